// Command monsoonthread-forwarder is the entry instance daemon for transparent flows.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/monsoonthread/monsoonthread/internal/forwarder"
	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/internal/settings"
	"github.com/monsoonthread/monsoonthread/platform/wire"
	"github.com/monsoonthread/monsoonthread/result"
)

// gcPercent trades CPU time for less memory, because peak memory is billed.
const gcPercent = 50

func main() { settings.ExitOnError("monsoonthread-forwarder", command().Execute()) }

func command() *cobra.Command {
	c := &cobra.Command{
		Use:           "monsoonthread-forwarder",
		Short:         "Run an entry instance for transparent flows",
		Long:          "Run an entry instance for transparent flows.\n\nEach flag can also be set by the environment variable " + settings.EnvPrefix + "<FLAG>\nor a line FLAG=value of the settings file. A flag takes precedence over its variable and a variable over the file.",
		Args:          cobra.NoArgs,
		Version:       forwarder.Version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	addFlags(c.Flags(), new(forwarder.Settings))
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return result.Errorf(result.SettingsInvalid, "%w", err)
	})
	c.RunE = func(*cobra.Command, []string) error { return run(os.Args[1:]) }
	return c
}

const fileFlag = "settings-file"

func addFlags(f *pflag.FlagSet, s *forwarder.Settings) {
	s.AddFlags(f)
	f.String(fileFlag, os.Getenv(wire.SettingsFileVariable), "file with lines name=value, one for each flag")
}

// load reads and validates the settings from flags, environment and settings file.
func load(args []string) (forwarder.Settings, error) {
	var s forwarder.Settings
	f := pflag.NewFlagSet("settings", pflag.ContinueOnError)
	addFlags(f, &s)
	if err := f.Parse(args); err != nil {
		return s, result.Errorf(result.SettingsInvalid, "%w", err)
	}
	if err := settings.ApplyEnvironment(f); err != nil {
		return s, err
	}
	if path, _ := f.GetString(fileFlag); path != "" {
		if err := applyFile(f, path); err != nil {
			return s, err
		}
	}
	return s, s.Check()
}

func applyFile(f *pflag.FlagSet, path string) error {
	r, err := os.Open(path)
	if err != nil {
		return result.Errorf(result.SettingsInvalid, "--%s: %w", fileFlag, err)
	}
	defer r.Close()
	return forwarder.ApplyFile(f, r)
}

func run(args []string) error {
	s, err := load(args)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	log, err := logging.New(os.Stdout, s.LogLevel, s.InstanceID, s.FailureDomain)
	if err != nil {
		return err
	}
	f, err := forwarder.New(s, func() (forwarder.Settings, error) { return load(args) }, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return f.Run(ctx)
}
