package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/monsoonthread/monsoonthread/test/soak"
)

// errInvariantsViolated makes lab exit with code 1 after a soak test that found violations.
var errInvariantsViolated = errors.New("invariants were violated")

func soakCommand() *cobra.Command {
	o := soak.Options{}
	var out string
	var drawSeed bool
	c := &cobra.Command{
		Use: "soak", Short: "Run forwarders under random faults and check invariants", Args: cobra.NoArgs,
		Long: "Runs monsoonthread-forwarder processes on loopback with stand-ins for the store, clients and backend servers,\n" +
			"injects random faults and checks invariants meanwhile. The exit code is 1 if one was violated.",
	}
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the faults and of the clients")
	c.Flags().BoolVar(&drawSeed, "fresh", false, "use a new seed instead of --seed")
	c.Flags().DurationVar(&o.FaultDuration, "for", time.Minute, "how long faults are injected")
	c.Flags().IntVar(&o.InstancesPerDomain, "instances", 2, "instances in each of the 3 failure domains, 1 to 100")
	c.Flags().IntVar(&o.Clients, "clients", 12, "clients, 1 to 500")
	c.Flags().StringVar(&o.Dir, "dir", "", "directory for the binary, settings and logs; if empty, a temporary directory that is removed on success")
	c.Flags().StringVar(&out, "json", "", "file for the result as JSON; if empty, none is written")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		if o.InstancesPerDomain < 1 || o.InstancesPerDomain > 100 || o.Clients < 1 || o.Clients > 500 || o.FaultDuration <= 0 {
			return errors.New("--instances must be from 1 to 100, --clients from 1 to 500, and --for above 0")
		}
		if drawSeed {
			o.Seed = uint64(time.Now().UnixNano())
		}
		temporary := o.Dir == ""
		if temporary {
			var err error
			if o.Dir, err = os.MkdirTemp("", "monsoonthread-soak-"); err != nil {
				return err
			}
		} else if err := os.MkdirAll(o.Dir, 0o755); err != nil {
			return err
		}
		o.ForwarderPath = filepath.Join(o.Dir, "monsoonthread-forwarder")
		if err := soak.BuildForwarder(o.ForwarderPath); err != nil {
			return err
		}
		errOut := cmd.ErrOrStderr()
		o.Progress = func(r soak.Result) {
			fmt.Fprintf(errOut, "\r%4.0f s, %d of %d requests served, version %d, %d violations ", r.ElapsedSeconds, r.RequestsServed, r.RequestsTried, r.Version, len(r.Violations))
		}
		r, err := soak.Run(cmd.Context(), o)
		fmt.Fprintln(errOut)
		if err != nil {
			return fmt.Errorf("seed %d: %w; logs in %s", o.Seed, err, o.Dir)
		}
		if err := writeSoakResult(cmd.OutOrStdout(), out, r); err != nil {
			return err
		}
		if len(r.Violations) > 0 {
			return fmt.Errorf("seed %d: %w; logs in %s", o.Seed, errInvariantsViolated, o.Dir)
		}
		if temporary {
			return os.RemoveAll(o.Dir)
		}
		return nil
	}
	return c
}

// writeSoakResult prints a table and writes the JSON result.
func writeSoakResult(w io.Writer, file string, r soak.Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SEED\tINSTANCES\tSECONDS\tREQUESTS\tSERVED\tVERSION\tBACKEND SERVERS\tVIOLATIONS")
	fmt.Fprintf(t, "%d\t%d\t%.0f\t%d\t%d\t%d\t%d\t%d\n\n", r.Seed, r.Instances, r.ElapsedSeconds, r.RequestsTried, r.RequestsServed, r.Version, r.Servers, len(r.Violations))
	fmt.Fprintln(t, "FAULT\tTIMES")
	var names []string
	for name := range r.FaultCounts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(t, "%s\t%d\n", name, r.FaultCounts[name])
	}
	t.Flush()
	for _, v := range r.Violations {
		fmt.Fprintln(w, "violation:", v)
	}
	if file == "" {
		return nil
	}
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(b, '\n'), 0o644)
}
