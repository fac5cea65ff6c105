package ctl

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/monsoonthread/monsoonthread/internal/configcheck"
	"github.com/monsoonthread/monsoonthread/result"
)

// configCommand returns the command that groups the commands for configurations of the users' platform.
func (a *app) configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Examine configurations of monsoonthread-forwarder", RunE: requireSubcommand, Args: cobra.ArbitraryArgs}
	c.AddCommand(a.configCheckCommand())
	return c
}

// configCheckResult is the result of config check.
type configCheckResult struct {
	File     string                `json:"file"`
	Version  uint64                `json:"version,omitempty"` // 0 if the file cannot be decoded
	Findings []configcheck.Finding `json:"findings"`
	InForce  uint64                `json:"in_force,omitempty"` // version of the file with which it was compared
	Changes  []configcheck.Change  `json:"changes"`
}

func (r *configCheckResult) writeText(w io.Writer) {
	for _, f := range r.Findings {
		fmt.Fprintln(w, f)
	}
	if r.Version > 0 && len(r.Findings) == 0 {
		fmt.Fprintf(w, "%s: version %d, no findings\n", r.File, r.Version)
	}
	if r.InForce > 0 {
		fmt.Fprintf(w, "changes from version %d, which is in force, to version %d: %d\n", r.InForce, r.Version, len(r.Changes))
	}
	for _, c := range r.Changes {
		fmt.Fprintln(w, c)
	}
}

func (a *app) configCheckCommand() *cobra.Command {
	var inForceFile string
	var servers configcheck.Servers
	c := &cobra.Command{
		Use: "check FILE", Short: "Check a configuration before it is sent, and compare it with the one in force", Args: exactArgs("FILE"),
		RunE: func(_ *cobra.Command, args []string) error {
			if servers.Slots < 0 || servers.ServiceTime < 0 {
				return usagef("--slots and --service-time must not be negative")
			}
			return a.checkConfig(args[0], inForceFile, servers)
		},
	}
	c.Flags().StringVar(&inForceFile, "in-force", "", "file with the configuration in force; differences to it are shown")
	c.Flags().IntVar(&servers.Slots, "slots", 0, "requests that a backend server runs at the same time; 0 if unknown")
	c.Flags().DurationVar(&servers.ServiceTime, "service-time", time.Duration(0), "mean time of a request at a backend server; 0 if unknown")
	return c
}

func (a *app) checkConfig(file, inForceFile string, servers configcheck.Servers) error {
	var inForce *configcheck.Configuration
	if inForceFile != "" {
		value, err := readConfigurationFile(inForceFile)
		if err != nil {
			return err
		}
		var mistakes []configcheck.Finding
		if inForce, mistakes = configcheck.Decode(value); len(mistakes) > 0 {
			return result.Errorf(result.ConfigMalformed, "--in-force %s: %v", inForceFile, mistakes[0])
		}
	}
	value, err := readConfigurationFile(file)
	if err != nil {
		return err
	}
	c, mistakes := configcheck.Decode(value)
	r := &configCheckResult{File: file, Findings: mistakes, Changes: []configcheck.Change{}}
	if c != nil {
		r.Version = c.Version
		r.Findings = append([]configcheck.Finding{}, configcheck.Check(c, inForce, servers)...)
		if inForce != nil {
			r.InForce = inForce.Version
			r.Changes = append(r.Changes, configcheck.Diff(inForce, c)...)
		}
	}
	if err := a.print(r); err != nil {
		return err
	}
	if len(r.Findings) > 0 {
		return result.Errorf(result.ConfigMalformed, "%s: %d findings", file, len(r.Findings))
	}
	return nil
}

// readConfigurationFile reads a file that is at most as large as a proposal.
func readConfigurationFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, result.Errorf(result.SettingsInvalid, "read configuration: %w", err)
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, maxProposalBytes+1))
	if err != nil {
		return nil, result.Errorf(result.SettingsInvalid, "read configuration: %w", err)
	}
	if len(b) > maxProposalBytes {
		return nil, result.Errorf(result.ConfigTooLarge, "%s has more than %d bytes", path, maxProposalBytes)
	}
	return b, nil
}
