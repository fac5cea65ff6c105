package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/membership"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
	"github.com/monsoonthread/monsoonthread/result"
)

const (
	defaultWaitTimeout = 30 * time.Second
	// waitInterval is short compared with the 8 s within which a version must be in force.
	waitInterval = 500 * time.Millisecond
)

// errNotInForce reports that a version was not in force before the wait ended.
var errNotInForce = errors.New("not in force in time")

// inForceResult reports in which failure domains a version is in force.
type inForceResult struct {
	Target  uint64          `json:"wanted"`
	InForce bool            `json:"in_force"` // at every reachable instance
	Domains []domainInForce `json:"failure_domains"`
}

// domainInForce is the state of one failure domain.
type domainInForce struct {
	Name      string `json:"name"`
	Reachable bool   `json:"reachable"` // at least one of its instances answered
	// Version is the lowest version among its reachable instances, or 0 without any.
	Version     uint64            `json:"version"`
	Lagging     []instanceVersion `json:"lagging"`
	Unreachable []instanceVersion `json:"unreachable"`
	Instances   int               `json:"instances"`
}

type instanceVersion struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"` // last known
}

func (r inForceResult) writeText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FAILURE DOMAIN\tIN FORCE\tINSTANCES\tLAGGING\tUNREACHABLE")
	for _, d := range r.Domains {
		version := fmt.Sprint(d.Version)
		if !d.Reachable {
			version = "unreachable"
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\n", d.Name, version, d.Instances, formatInstances(d.Lagging), formatInstances(d.Unreachable))
	}
	t.Flush()
	if r.InForce {
		fmt.Fprintf(w, "version %d is in force at every reachable instance\n", r.Target)
	} else {
		fmt.Fprintf(w, "version %d is not in force everywhere\n", r.Target)
	}
}

func formatInstances(list []instanceVersion) string {
	if len(list) == 0 {
		return "-"
	}
	parts := make([]string, len(list))
	for i, s := range list {
		parts[i] = fmt.Sprintf("%s (%d)", s.ID, s.Version)
	}
	return strings.Join(parts, ", ")
}

func (a *app) inForceCommand() *cobra.Command {
	var wait bool
	var version uint64
	var timeout time.Duration
	c := &cobra.Command{
		Use: "in-force", Short: "Show the version in force in each failure domain and the lagging instances", Args: exactArgs(),
		Long: "Show the version in force in each failure domain and the lagging instances. The wanted version is that of\n" +
			"--version, else the accepted one (with --store-url), else the highest that an instance reports.",
		RunE: func(c *cobra.Command, _ []string) error {
			f, err := a.newInstanceClient()
			if err != nil {
				return err
			}
			if version == 0 && a.storeURL != "" {
				version, err = a.acceptedVersion(c.Context())
				if result.CodeOf(err) == result.StoreUnavailable {
					// The instances also report versions and stay reachable during a store outage.
					a.progress("the key-value service is unavailable; using the highest version that an instance reports: %v", err)
				} else if err != nil {
					return err
				}
			}
			var r *inForceResult
			if wait {
				r, err = f.waitInForce(c.Context(), version, timeout)
			} else {
				r, err = f.inForce(c.Context(), version)
			}
			if r != nil {
				if printErr := a.print(r); err == nil {
					err = printErr
				}
			}
			return err
		},
	}
	c.Flags().BoolVar(&wait, "wait", false, "wait until the version is in force at every reachable instance")
	c.Flags().Uint64Var(&version, "version", 0, "wanted version")
	c.Flags().DurationVar(&timeout, "timeout", defaultWaitTimeout, "maximum time to wait")
	return c
}

// acceptedVersion returns the version of the head, or 0 if no configuration has been accepted.
func (a *app) acceptedVersion(ctx context.Context) (uint64, error) {
	store, err := a.openStore()
	if err != nil {
		return 0, err
	}
	h, _, err := config.ReadHead(ctx, store)
	if result.CodeOf(err) == result.StoreNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return h.Version, nil
}

// waitInForce polls until the version is in force or the timeout expires.
func (f *instanceClient) waitInForce(ctx context.Context, version uint64, timeout time.Duration) (*inForceResult, error) {
	deadline := time.Now().Add(timeout)
	last := ""
	for {
		r, err := f.inForce(ctx, version)
		if err == nil && r.InForce {
			return r, nil
		}
		line := ""
		if err != nil {
			line = err.Error()
		} else {
			// Keep the version of the first poll; a later accept must not change the target.
			version = r.Target
			line = r.progressLine()
		}
		if line != last {
			f.app.progress("%s", line)
			last = line
		}
		if time.Now().After(deadline) {
			return r, result.Errorf(result.ConfigStale, "version %d is %w (%v): %s", version, errNotInForce, timeout, line)
		}
		select {
		case <-ctx.Done():
			return r, result.Errorf(result.ConfigStale, "version %d is %w: %v", version, errNotInForce, ctx.Err())
		case <-time.After(waitInterval):
		}
	}
}

func (r *inForceResult) progressLine() string {
	parts := make([]string, len(r.Domains))
	for i, d := range r.Domains {
		upToDate := d.Instances - len(d.Lagging) - len(d.Unreachable)
		parts[i] = fmt.Sprintf("%s %d/%d", d.Name, upToDate, d.Instances)
	}
	return fmt.Sprintf("version %d: %s", r.Target, strings.Join(parts, ", "))
}

// inForce queries every discovered instance for its version in force. For instances
// that answer it ignores the versions in heartbeats, which lag.
func (f *instanceClient) inForce(ctx context.Context, version uint64) (*inForceResult, error) {
	found, err := f.discover(ctx)
	if err != nil {
		return nil, err
	}
	instances := collectInstances(found)
	r := &inForceResult{Target: version}
	if version == 0 {
		for _, i := range instances {
			r.Target = max(r.Target, i.version)
		}
	}
	r.InForce = r.Target > 0
	domains := make(map[string]*domainInForce)
	for _, i := range instances {
		d, ok := domains[i.domain]
		if !ok {
			d = &domainInForce{Name: i.domain, Lagging: []instanceVersion{}, Unreachable: []instanceVersion{}}
			domains[i.domain] = d
		}
		d.add(i, r.Target)
	}
	for _, d := range domains {
		r.InForce = r.InForce && len(d.Lagging) == 0
		r.Domains = append(r.Domains, *d)
	}
	slices.SortFunc(r.Domains, func(a, b domainInForce) int { return strings.Compare(a.Name, b.Name) })
	return r, nil
}

func (d *domainInForce) add(i knownInstance, target uint64) {
	d.Instances++
	state := instanceVersion{i.id, i.version}
	switch {
	case !i.answered:
		d.Unreachable = append(d.Unreachable, state)
		return
	case i.version < target:
		d.Lagging = append(d.Lagging, state)
	}
	if !d.Reachable || i.version < d.Version {
		d.Version = i.version
	}
	d.Reachable = true
}

// knownInstance is an instance that answered or that another instance lists.
type knownInstance struct {
	id, domain string
	version    uint64
	answered   bool
}

// collectInstances merges the replies. An instance's own reply takes precedence over
// what others report of it; among those reports, the highest version is used.
func collectInstances(found []instanceStatus) []knownInstance {
	known := make(map[string]knownInstance)
	for _, s := range found {
		for _, d := range s.reply.GetDomains() {
			for _, m := range d.Members {
				if membership.State(m.State) != membership.Dead {
					k := known[m.Id]
					known[m.Id] = knownInstance{m.Id, m.Domain, max(k.version, m.ConfigVersion), false}
				}
			}
		}
	}
	for _, s := range found {
		if s.err == nil {
			self := s.reply.GetSelf()
			known[self.GetId()] = knownInstance{self.GetId(), domainOrUnknown(self), s.reply.ConfigVersion, true}
		}
	}
	list := make([]knownInstance, 0, len(known))
	for _, k := range known {
		list = append(list, k)
	}
	slices.SortFunc(list, func(a, b knownInstance) int { return strings.Compare(a.id, b.id) })
	return list
}

func domainOrUnknown(m *peerpb.Member) string {
	if m.GetDomain() == "" {
		return "unknown"
	}
	return m.GetDomain()
}
