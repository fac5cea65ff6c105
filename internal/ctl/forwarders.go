package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/monsoonthread/monsoonthread/forwarding"
	"github.com/monsoonthread/monsoonthread/internal/forwarder/view"
	"github.com/monsoonthread/monsoonthread/result"
)

// forwarderClient queries the status endpoints of monsoonthread-forwarder instances.
type forwarderClient struct{ app *app }

// forwarderCommand returns the command that groups the monsoonthread-forwarder commands.
func (a *app) forwarderCommand() *cobra.Command {
	f := &forwarderClient{a}
	c := &cobra.Command{Use: "forwarder", Short: "Inspect a deployment of monsoonthread-forwarder", RunE: requireSubcommand, Args: cobra.ArbitraryArgs}
	c.AddCommand(f.statusCommand(), f.serversCommand(), f.explainCommand())
	return c
}

// forwarderStatus is the status reply of one instance, or the error of the request.
type forwarderStatus struct {
	Address string `json:"status_address"`
	Error   string `json:"error,omitempty"`
	view.Status
}

// get fetches a path and decodes the JSON response into body. found is false if the
// instance returned 404.
func (f *forwarderClient) get(ctx context.Context, address, path string, body any) (found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, f.app.timeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: path}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return false, usagef("%s: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false, result.Errorf(result.PeerUnreachable, "forwarder %s: %w", address, err)
	}
	defer response.Body.Close()
	answer := io.LimitReader(response.Body, maxReplyBytes)
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return false, nil
	default:
		text, _ := io.ReadAll(answer)
		return false, result.Errorf(result.PeerProtocol, "forwarder %s: %s: %s", address, response.Status, strings.TrimSpace(string(text)))
	}
	if err := json.NewDecoder(answer).Decode(body); err != nil {
		return false, result.Errorf(result.PeerProtocol, "forwarder %s: %w", address, err)
	}
	return true, nil
}

func (f *forwarderClient) fetchStatus(ctx context.Context, addresses []string) []forwarderStatus {
	out := make([]forwarderStatus, len(addresses))
	forEachAddress(addresses, func(i int, address string) {
		out[i].Address = address
		found, err := f.get(ctx, address, view.StatusPath, &out[i].Status)
		switch {
		case err != nil:
			out[i].Error = err.Error()
		case !found:
			out[i].Error = result.Errorf(result.PeerProtocol, "forwarder %s: status endpoint not found", address).Error()
		}
	})
	return out
}

// discover queries the configured instances and then the members that they report as alive.
// It fails if no configured instance answers.
func (f *forwarderClient) discover(ctx context.Context) ([]forwarderStatus, error) {
	if len(f.app.statusAddresses) == 0 {
		return nil, usagef("--status-addresses is required")
	}
	if f.app.tlsCert != "" || f.app.tlsKey != "" || f.app.tlsCA != "" {
		return nil, usagef("--tls-cert, --tls-key and --tls-ca: forwarders serve their status without TLS")
	}
	for _, a := range f.app.statusAddresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, usagef("--status-addresses: %w", err)
		}
	}
	found := f.fetchStatus(ctx, f.app.statusAddresses)
	known := make(map[string]bool) // queried addresses and IDs of instances that answered
	answered := false
	for _, s := range found {
		known[s.Address] = true
		if s.Error == "" {
			known[s.Instance], answered = true, true
		}
	}
	if !answered {
		return nil, result.Errorf(result.PeerUnreachable, "no forwarder answered: %s", found[0].Error)
	}
	var more []string
	for _, s := range found {
		port := netip.MustParseAddrPort(s.Address).Port()
		for _, m := range s.Members {
			peer, err := netip.ParseAddrPort(m.Address)
			if err != nil || !m.Alive || known[m.Instance] {
				continue
			}
			if statusAddress := netip.AddrPortFrom(peer.Addr(), port).String(); !known[statusAddress] {
				known[statusAddress] = true
				more = append(more, statusAddress)
			}
		}
	}
	found = append(found, f.fetchStatus(ctx, more)...)
	slices.SortFunc(found, func(a, b forwarderStatus) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Address, b.Address))
	})
	return found, nil
}

// forwardersResult is the state of all discovered instances.
type forwardersResult struct {
	Instances []forwarderStatus `json:"instances"`
}

func (r forwardersResult) writeText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FAILURE DOMAIN\tINSTANCE\tSTATUS ADDRESS\tSTATE\tVERSION\tERA\tREVISION\tAGE\tWATCHES\tALIVE PEERS\tFLOWS\tREQUESTS\tCOLD\tFULL")
	for _, s := range r.Instances {
		if s.Error != "" {
			fmt.Fprintf(t, "?\t?\t%s\tunreachable\t\t\t\t\t\t\t\t\t\t\n", s.Address)
			continue
		}
		alive := 0
		for _, m := range s.Members {
			if m.Alive {
				alive++
			}
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%t\t%d/%d\t%d\t%d\t%d\t%d\n", s.Domain, s.Instance, s.Address, s.State, s.Version, s.Era, s.Revision,
			formatAge(s.RecordsAge), s.Watching, alive, len(s.Members), s.Flows, s.PendingRequests, s.ColdServers, s.FullServers)
	}
	t.Flush()
	r.writeEvacuations(w)
	r.writeAdmissions(w)
	for _, s := range r.Instances {
		if s.Error != "" {
			fmt.Fprintln(w, s.Error)
		}
	}
}

// writeEvacuations writes a line for each evacuated failure domain. It names the instances that do
// not know of the evacuation, since those still send new flows there.
func (r forwardersResult) writeEvacuations(w io.Writer) {
	type evacuation struct {
		longest, held float64
		known         map[string]bool
	}
	domains := make(map[string]*evacuation)
	for _, s := range r.Instances {
		for _, v := range s.Evacuations {
			if !v.Active {
				continue
			}
			e := domains[v.Domain]
			if e == nil {
				e = &evacuation{known: make(map[string]bool)}
				domains[v.Domain] = e
			}
			e.longest, e.held, e.known[s.Instance] = max(e.longest, v.For), max(e.held, v.Held), true
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		e := domains[domain]
		line := fmt.Sprintf("failure domain %s is evacuated for %.1fs", domain, e.longest)
		if e.held > 0 {
			line += fmt.Sprintf("; the restored store lacks the record, held for another %.1fs", e.held)
		}
		var unaware []string
		for _, s := range r.Instances {
			if s.Error == "" && !e.known[s.Instance] {
				unaware = append(unaware, s.Instance)
			}
		}
		if len(unaware) > 0 {
			line += "; not at " + strings.Join(unaware, ", ")
		}
		fmt.Fprintln(w, line)
	}
}

// writeAdmissions shows why new flows were refused, if the configuration gives routes a priority.
func (r forwardersResult) writeAdmissions(w io.Writer) {
	if !slices.ContainsFunc(r.Instances, func(s forwarderStatus) bool { return len(s.Admissions) > 0 }) {
		return
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "INSTANCE\tSERVICE\tPRIORITY\tKIND\tLIMITING\tEVIDENCE\tUSE\tLIMIT\tSHARE\tSERVICE TIME\tADMITTED\tOVERLOADED\tDEADLINE UNMET")
	for _, s := range r.Instances {
		for _, a := range s.Admissions {
			fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%t\t%.1f%%\t%.0f%%\t%.0f%%\t%.0f%%\t%.0fms\t%d\t%d\t%d\n", s.Instance, a.Service, a.Priority, a.Kind, a.Limiting,
				100*a.Evidence, 100*a.Utilization, 100*a.Limit, 100*a.Share, 1000*a.ServiceTime, a.Admitted, a.Overloaded, a.Unmet)
		}
	}
	t.Flush()
}

func formatAge(seconds *float64) string {
	if seconds == nil {
		return "never"
	}
	return fmt.Sprintf("%.1fs", *seconds)
}

func (f *forwarderClient) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show each instance with its state, version in force and whether it watches the store", Args: exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			found, err := f.discover(c.Context())
			if err != nil {
				return err
			}
			// Servers are shown by their own command; up to 12,000 per instance would flood this output.
			for i := range found {
				found[i].Servers = nil
			}
			return f.app.print(forwardersResult{found})
		},
	}
}

// mergedServer combines the reports of all instances about one backend server.
type mergedServer struct {
	view.Server
	// InstancesByState lists the instances that report each state.
	InstancesByState map[string][]string `json:"judgements"`
	// ColdOwners lists the instances that send opening packets to the server while it is cold.
	ColdOwners []string `json:"cold_owners,omitempty"`
}

type serversResult struct {
	Servers []*mergedServer `json:"backend_servers"`
	Errors  []string        `json:"errors,omitempty"`
}

func (r serversResult) writeText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SERVICE\tBACKEND SERVER\tFAILURE DOMAIN\tADDRESS\tFLOWS\tLIMIT\tREQUESTS\tUSE\tTIME\tSPEED\tSAMPLES\tSTATE\tWHY")
	for _, s := range r.Servers {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%d\t%.0f%%\t%.0fms\t%.2f\t%.0f\t%s\t%s\n", s.Service, s.Name, s.Domain, s.Address, s.Flows, s.limit(), s.PendingRequests,
			100*s.Utilization, 1000*s.RequestTime, s.Speed, s.Samples, s.stateSummary(), s.reason())
	}
	t.Flush()
	for _, e := range r.Errors {
		fmt.Fprintln(w, e)
	}
}

// limit returns the number of open flows that the server accepts.
func (s *mergedServer) limit() string {
	if s.MaxFlows == 0 {
		return "-"
	}
	return strconv.Itoa(s.MaxFlows)
}

// reason returns the reason for the state and, for a cold server, for how long its opening packets
// are limited and which instance sends them.
func (s *mergedServer) reason() string {
	if s.ColdLeft == 0 {
		return s.StateReason
	}
	owners := "no instance"
	if len(s.ColdOwners) > 0 {
		owners = strings.Join(s.ColdOwners, ", ")
	}
	return fmt.Sprintf("%s; few opening packets for %.1fs, only from %s", s.StateReason, s.ColdLeft, owners)
}

// stateSummary returns the common state, or each reported state with its number of instances.
func (s *mergedServer) stateSummary() string {
	if len(s.InstancesByState) == 1 {
		return s.State
	}
	var out []string
	for state, instances := range s.InstancesByState {
		out = append(out, fmt.Sprintf("%s at %d", state, len(instances)))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

func (f *forwarderClient) serversCommand() *cobra.Command {
	var service, state string
	c := &cobra.Command{
		Use: "servers", Short: "Show the state of the backend servers as reported by the instances, with the reason", Args: exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			if state != "" && !slices.Contains(forwarding.ServerStates, state) {
				return usagef("--state %q is not allowed; allowed: %s", state, strings.Join(forwarding.ServerStates, ", "))
			}
			found, err := f.discover(c.Context())
			if err != nil {
				return err
			}
			r := mergeServers(found)
			r.Servers = slices.DeleteFunc(r.Servers, func(s *mergedServer) bool {
				return service != "" && s.Service != service || state != "" && s.InstancesByState[state] == nil
			})
			return f.app.print(r)
		},
	}
	c.Flags().StringVar(&service, "service", "", "only servers of this service")
	c.Flags().StringVar(&state, "state", "", "only servers for which at least one instance reports this state")
	must(c.RegisterFlagCompletionFunc("state", cobra.FixedCompletions(forwarding.ServerStates, cobra.ShellCompDirectiveNoFileComp)))
	return c
}

// mergeServers sums the flows and requests of each server over all instances. Utilization, speed and
// reason come from an instance in the server's own failure domain if one answered, because that
// instance sees more of the server's requests.
func mergeServers(found []forwarderStatus) serversResult {
	r := serversResult{Servers: []*mergedServer{}}
	byName := make(map[string]*mergedServer)
	local := make(map[string]bool)
	for _, instance := range found {
		if instance.Error != "" {
			r.Errors = append(r.Errors, instance.Error)
		}
		for _, s := range instance.Servers {
			merged := byName[s.Name]
			if merged == nil {
				merged = &mergedServer{Server: s, InstancesByState: make(map[string][]string)}
				merged.Flows, merged.PendingRequests = 0, 0
				byName[s.Name] = merged
				r.Servers = append(r.Servers, merged)
			}
			flows, pending := merged.Flows+s.Flows, merged.PendingRequests+s.PendingRequests
			if !local[s.Name] && instance.Domain == s.Domain {
				local[s.Name] = true
				merged.Server = s
			}
			merged.Flows, merged.PendingRequests = flows, pending
			if s.OwnsColdStart {
				merged.ColdOwners = append(merged.ColdOwners, instance.Instance)
			}
			merged.InstancesByState[s.State] = append(merged.InstancesByState[s.State], instance.Instance)
		}
	}
	slices.SortFunc(r.Servers, func(a, b *mergedServer) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	return r
}
