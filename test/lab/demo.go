package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"
)

func demoCommand() *cobra.Command {
	o := options{}
	c := &cobra.Command{
		Use: "demo", Short: "Start a deployment, change it under load and check the outcome of every order", Args: cobra.NoArgs,
	}
	o.addFlags(c.Flags())
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		begin := time.Now()
		w := defaultWorkload()
		w.ArchiveBytes = 256 << 10 // small enough to complete several times during the demo
		r, err := o.run(cmd.Context(), cmd.OutOrStdout(), &demo, w)
		if err != nil {
			return err
		}
		r.print(cmd.OutOrStdout())
		fmt.Fprintf(cmd.OutOrStdout(), "total time of the demo: %.1fs\n", time.Since(begin).Seconds())
		return r.err()
	}
	return c
}

// demo accepts a configuration, replaces an instance, drains a backend server and kills
// another one.
var demo = scenario{
	name: "demo", description: "a configuration is accepted, an instance is replaced, a backend server is drained and another one is killed", duration: 22 * time.Second,
	load: 0.4, streams: 100, before: secondsWindow(3, 6), during: secondsWindow(6, 20), steps: demoSteps,
}

// inForceBound is the time within which an accepted configuration must be in force at all
// instances (docs/design.md, 1.2).
const inForceBound = 8 * time.Second

// acceptAndWait accepts a changed configuration under load and waits until it is in force.
func acceptAndWait(ctx context.Context, s *session) error {
	begin := time.Now()
	services := s.cluster.Deployment().Answers.Services
	services[0].DefaultDeadline += 100
	version, err := s.cluster.AcceptConfiguration(ctx)
	if err != nil {
		return err
	}
	if err := s.cluster.WaitInForce(ctx, version, inForceBound); err != nil {
		return fmt.Errorf("version %d is not in force within %v: %w", version, inForceBound, err)
	}
	s.recordEvent("version %d is accepted and in force everywhere after %d ms", version, time.Since(begin).Milliseconds())
	return nil
}

func demoSteps(ctx context.Context, s *session) error {
	d := s.cluster.Deployment()
	servers := d.Answers.Services[0].BackendServers
	if err := s.waitUntil(ctx, 6*time.Second); err != nil {
		return err
	}
	if err := acceptAndWait(ctx, s); err != nil {
		return err
	}
	replaced := make(chan error, 1)
	go func() { replaced <- replaceInstance(ctx, s, d.Instances[0]) }()
	if err := s.waitUntil(ctx, 10*time.Second); err != nil {
		return errors.Join(err, <-replaced)
	}
	if err := s.cluster.DrainServer(ctx, servers[1].Name, 30*time.Second); err != nil {
		return errors.Join(err, <-replaced)
	}
	s.recordEvent("server %s drains", servers[1].Name)
	if err := s.waitUntil(ctx, 14*time.Second); err != nil {
		return errors.Join(err, <-replaced)
	}
	if err := s.cluster.KillServer(ctx, servers[2].Name, false); err != nil {
		return errors.Join(err, <-replaced)
	}
	s.recordEvent("server %s is killed", servers[2].Name)
	return <-replaced
}
