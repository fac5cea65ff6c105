// Command monsoonthreadd is the entry instance daemon.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/monsoonthread/monsoonthread/internal/daemon"
	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/internal/security"
	"github.com/monsoonthread/monsoonthread/internal/settings"
	"github.com/monsoonthread/monsoonthread/result"
)

// version is set at build time with -ldflags "-X main.version=...".
var version = "devel"

func main() { settings.ExitOnError("monsoonthreadd", command().Execute()) }

func command() *cobra.Command {
	var s settings.Settings
	c := &cobra.Command{
		Use:           "monsoonthreadd",
		Short:         "Run an entry instance of the load balancer",
		Long:          "Run an entry instance of the load balancer.\n\nEach flag can also be set by the environment variable " + settings.EnvPrefix + "<FLAG>,\nfor example " + settings.EnvName("instance-id") + ". A flag takes precedence over its variable.",
		Args:          cobra.NoArgs,
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	s.AddFlags(c.Flags())
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return result.Errorf(result.SettingsInvalid, "%w", err)
	})
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := settings.ApplyEnvironment(cmd.Flags()); err != nil {
			return err
		}
		if err := s.Check(); err != nil {
			return err
		}
		return run(s)
	}
	return c
}

func run(s settings.Settings) error {
	// Control state has a budget of 32 MB per instance. A lower GC percentage keeps the
	// resident memory close to the live data.
	debug.SetGCPercent(gcPercent)
	log, err := logging.New(os.Stderr, s.LogLevel, s.InstanceID, s.FailureDomain)
	if err != nil {
		return err
	}
	var credentials daemon.Credentials
	if credentials.Server, err = security.ServerCredentials(s.TLSCert, s.TLSKey, s.TLSCA); err != nil {
		return err
	}
	if credentials.Client, err = security.ClientCredentials(s.TLSCert, s.TLSKey, s.TLSCA); err != nil {
		return err
	}
	if credentials.Platform, err = security.Transport(s.TLSCert, s.TLSKey, s.TLSCA); err != nil {
		return err
	}
	d, err := daemon.New(s, log, credentials)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return d.Run(ctx)
}

// gcPercent trades CPU time for less memory.
const gcPercent = 75
