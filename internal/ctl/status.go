package ctl

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/monsoonthread/monsoonthread/membership"
)

// statusResult is the state of every discovered instance.
type statusResult struct {
	Instances []instanceOutput `json:"instances"`
}

type instanceOutput struct {
	Address  string             `json:"address"`
	ID       string             `json:"id,omitempty"`
	Domain   string             `json:"failure_domain,omitempty"`
	State    string             `json:"state,omitempty"`
	Ready    bool               `json:"ready"`
	Version  uint64             `json:"config_version"`
	Flows    uint64             `json:"flows"`
	Streams  uint64             `json:"streams"`
	Servers  []serverOutput     `json:"backend_servers,omitempty"`
	Counters map[string]float64 `json:"counters,omitempty"`
	Error    string             `json:"error,omitempty"`
}

type serverOutput struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	State   string `json:"state"`
	Role    string `json:"role"`
	Running uint32 `json:"running"`
	Slots   uint32 `json:"slots"`
	Queued  uint32 `json:"queued"`
}

func (r statusResult) writeText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FAILURE DOMAIN\tINSTANCE\tADDRESS\tSTATE\tREADY\tVERSION\tFLOWS\tSTREAMS")
	for _, e := range r.Instances {
		if e.Error != "" {
			fmt.Fprintf(t, "?\t?\t%s\tunreachable\t\t\t\t\n", e.Address)
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%t\t%d\t%d\t%d\n", e.Domain, e.ID, e.Address, e.State, e.Ready, e.Version, e.Flows, e.Streams)
	}
	fmt.Fprintln(t, "\nSERVICE\tBACKEND SERVER\tSTATE\tROLE\tRUNNING\tQUEUED\tDISPATCHER")
	for _, e := range r.Instances {
		for _, s := range e.Servers {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d/%d\t%d\t%s\n", s.Service, s.Name, s.State, s.Role, s.Running, s.Slots, s.Queued, e.ID)
		}
	}
	t.Flush()
	for _, e := range r.Instances {
		if e.Error != "" {
			fmt.Fprintln(w, e.Error)
		}
	}
}

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show every entry instance and the backend servers that it dispatches to", Args: exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			f, err := a.newInstanceClient()
			if err != nil {
				return err
			}
			found, err := f.discover(c.Context())
			if err != nil {
				return err
			}
			r := statusResult{Instances: []instanceOutput{}}
			for _, s := range found {
				r.Instances = append(r.Instances, s.output())
			}
			return a.print(r)
		},
	}
}

func (s *instanceStatus) output() instanceOutput {
	if s.err != nil {
		return instanceOutput{Address: s.address, Error: s.err.Error()}
	}
	self := s.reply.GetSelf()
	e := instanceOutput{
		Address: s.address, ID: self.GetId(), Domain: self.GetDomain(), State: membership.State(self.GetState()).String(),
		Ready: s.reply.Ready, Version: s.reply.ConfigVersion, Flows: s.reply.Flows, Streams: s.reply.Streams, Counters: s.reply.Counters,
	}
	for _, b := range s.reply.Servers {
		e.Servers = append(e.Servers, serverOutput{b.Name, b.Service, b.State, b.Role, b.Running, b.Slots, b.Queued})
	}
	return e
}

// versionResult describes this binary.
type versionResult struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func (r versionResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "monsoonctl %s %s %s\n", r.Version, r.Revision, r.Go)
}

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Show the version of this tool", Args: exactArgs(),
		RunE: func(*cobra.Command, []string) error {
			r := versionResult{Version: "unknown", Go: runtime.Version()}
			if info, ok := debug.ReadBuildInfo(); ok {
				r.Version = info.Main.Version
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						r.Revision = s.Value
					}
				}
			}
			return a.print(r)
		},
	}
}
