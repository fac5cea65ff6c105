package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/monsoonthread/monsoonthread/forwarding"
	"github.com/monsoonthread/monsoonthread/internal/forwarder/view"
	"github.com/monsoonthread/monsoonthread/result"
)

// forwarders reads the status addresses of instances of monsoonthread-forwarder.
type forwarders struct{ app *app }

// forwarderCommand groups what shows a deployment of monsoonthread-forwarder.
func (a *app) forwarderCommand() *cobra.Command {
	f := &forwarders{a}
	c := &cobra.Command{Use: "forwarder", Short: "Show a deployment of monsoonthread-forwarder", RunE: group, Args: cobra.ArbitraryArgs}
	c.AddCommand(f.statusCommand(), f.serversCommand(), f.explainCommand())
	return c
}

// forwarderStatus is what one instance answered.
type forwarderStatus struct {
	Address string `json:"status_address"`
	Error   string `json:"error,omitempty"`
	view.Status
}

// get reads a JSON body. found is false if the instance answered 404.
func (f *forwarders) get(ctx context.Context, address, path string, body any) (found bool, err error) {
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

func (f *forwarders) statusOf(ctx context.Context, addresses []string) []forwarderStatus {
	out := make([]forwarderStatus, len(addresses))
	each(addresses, func(i int, address string) {
		out[i].Address = address
		found, err := f.get(ctx, address, view.StatusPath, &out[i].Status)
		switch {
		case err != nil:
			out[i].Error = err.Error()
		case !found:
			out[i].Error = result.Errorf(result.PeerProtocol, "forwarder %s: no status there", address).Error()
		}
	})
	return out
}

// discover asks the given instances and then those that they know to be alive. It fails
// if none of the given ones answers.
func (f *forwarders) discover(ctx context.Context) ([]forwarderStatus, error) {
	if len(f.app.forwarders) == 0 {
		return nil, usagef("--status-addresses is needed")
	}
	for _, a := range f.app.forwarders {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, usagef("--status-addresses: %w", err)
		}
	}
	found := f.statusOf(ctx, f.app.forwarders)
	known := make(map[string]bool) // addresses asked and instances that answered
	answered := false
	for _, s := range found {
		known[s.Address] = true
		if s.Error == "" {
			known[s.Instance], answered = true, true
		}
	}
	if !answered {
		return nil, result.Errorf(result.PeerUnreachable, "no forwarder answers: %s", found[0].Error)
	}
	var more []string
	for _, s := range found {
		port := netip.MustParseAddrPort(s.Address).Port()
		for _, m := range s.Members {
			peer, err := netip.ParseAddrPort(m.Address)
			if err != nil || !m.Alive || known[m.Instance] {
				continue
			}
			if at := netip.AddrPortFrom(peer.Addr(), port).String(); !known[at] {
				known[at] = true
				more = append(more, at)
			}
		}
	}
	found = append(found, f.statusOf(ctx, more)...)
	slices.SortFunc(found, func(a, b forwarderStatus) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Address, b.Address))
	})
	return found, nil
}

// forwardersResult is the state of all instances that could be found.
type forwardersResult struct {
	Instances []forwarderStatus `json:"instances"`
}

func (r forwardersResult) text(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FAILURE DOMAIN\tINSTANCE\tSTATUS ADDRESS\tSTATE\tVERSION\tREVISION\tAGE\tWATCHES\tALIVE PEERS\tFLOWS\tREQUESTS")
	for _, s := range r.Instances {
		if s.Error != "" {
			fmt.Fprintf(t, "?\t?\t%s\tunreachable\t\t\t\t\t\t\t\n", s.Address)
			continue
		}
		alive := 0
		for _, m := range s.Members {
			if m.Alive {
				alive++
			}
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%t\t%d/%d\t%d\t%d\n", s.Domain, s.Instance, s.Address, s.State, s.Version, s.Revision,
			age(s.RecordsAge), s.Watching, alive, len(s.Members), s.Flows, s.PendingRequests)
	}
	t.Flush()
	for _, s := range r.Instances {
		if s.Error != "" {
			fmt.Fprintln(w, s.Error)
		}
	}
}

func age(seconds *float64) string {
	if seconds == nil {
		return "never"
	}
	return fmt.Sprintf("%.1fs", *seconds)
}

func (f *forwarders) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show every instance: state, version in force, who watches the store", Args: exactly(),
		RunE: func(c *cobra.Command, _ []string) error {
			found, err := f.discover(c.Context())
			if err != nil {
				return err
			}
			// The servers have a command of their own, and 12,000 for each instance are too many.
			for i := range found {
				found[i].Servers = nil
			}
			return f.app.print(forwardersResult{found})
		},
	}
}

// judgedServer is a backend server as all instances judge it.
type judgedServer struct {
	view.Server
	// Judgements tells which instances hold which state, if they do not agree.
	Judgements map[string][]string `json:"judgements"`
}

type serversResult struct {
	Servers []*judgedServer `json:"backend_servers"`
	Errors  []string        `json:"errors,omitempty"`
}

func (r serversResult) text(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SERVICE\tBACKEND SERVER\tFAILURE DOMAIN\tADDRESS\tFLOWS\tREQUESTS\tUSE\tSTATE\tWHY")
	for _, s := range r.Servers {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%.0f%%\t%s\t%s\n", s.Service, s.Name, s.Domain, s.Address, s.Flows, s.PendingRequests, 100*s.Utilization, s.states(), s.StateReason)
	}
	t.Flush()
	for _, e := range r.Errors {
		fmt.Fprintln(w, e)
	}
}

// states returns the state, or each state with the number of instances that hold it.
func (s *judgedServer) states() string {
	if len(s.Judgements) == 1 {
		return s.State
	}
	var out []string
	for state, instances := range s.Judgements {
		out = append(out, fmt.Sprintf("%s at %d", state, len(instances)))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

func (f *forwarders) serversCommand() *cobra.Command {
	var service, state string
	c := &cobra.Command{
		Use: "servers", Short: "Show the backend servers as the instances judge them, and why", Args: exactly(),
		RunE: func(c *cobra.Command, _ []string) error {
			if state != "" && !slices.Contains(forwarding.ServerStates, state) {
				return usagef("--state %q is not allowed; allowed: %s", state, strings.Join(forwarding.ServerStates, ", "))
			}
			found, err := f.discover(c.Context())
			if err != nil {
				return err
			}
			r := mergeServers(found)
			r.Servers = slices.DeleteFunc(r.Servers, func(s *judgedServer) bool {
				return service != "" && s.Service != service || state != "" && s.Judgements[state] == nil
			})
			return f.app.print(r)
		},
	}
	c.Flags().StringVar(&service, "service", "", "only servers of this service")
	c.Flags().StringVar(&state, "state", "", "only servers that some instance judges so")
	must(c.RegisterFlagCompletionFunc("state", cobra.FixedCompletions(forwarding.ServerStates, cobra.ShellCompDirectiveNoFileComp)))
	return c
}

// mergeServers sums up flows and requests. Use and reason are those of an instance in the
// server's own failure domain, which knows more of its requests, if one answered.
func mergeServers(found []forwarderStatus) serversResult {
	r := serversResult{Servers: []*judgedServer{}}
	byName := make(map[string]*judgedServer)
	local := make(map[string]bool)
	for _, instance := range found {
		if instance.Error != "" {
			r.Errors = append(r.Errors, instance.Error)
		}
		for _, s := range instance.Servers {
			j := byName[s.Name]
			if j == nil {
				j = &judgedServer{Server: s, Judgements: make(map[string][]string)}
				j.Flows, j.PendingRequests = 0, 0
				byName[s.Name] = j
				r.Servers = append(r.Servers, j)
			}
			flows, waiting := j.Flows+s.Flows, j.PendingRequests+s.PendingRequests
			if !local[s.Name] && instance.Domain == s.Domain {
				local[s.Name] = true
				j.Server = s
			}
			j.Flows, j.PendingRequests = flows, waiting
			j.Judgements[s.State] = append(j.Judgements[s.State], instance.Instance)
		}
	}
	slices.SortFunc(r.Servers, func(a, b *judgedServer) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	return r
}
