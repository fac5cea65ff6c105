package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/monsoonthread/monsoonthread/internal/standin/backendserver"
	"github.com/monsoonthread/monsoonthread/internal/standin/callers"
	"github.com/monsoonthread/monsoonthread/internal/standin/fabric"
	"github.com/monsoonthread/monsoonthread/internal/standin/instancelist"
	"github.com/monsoonthread/monsoonthread/internal/standin/kvservice"
)

// headerTimeout bounds the reading of a request header at the control endpoints.
const headerTimeout = 10 * time.Second

func standinCommand() *cobra.Command {
	c := &cobra.Command{Use: "standin", Short: "Run one stand-in in this process"}
	c.AddCommand(fabricCommand(), kvserviceCommand(), instancelistCommand(), backendserverCommand(), callersCommand())
	return c
}

func fabricCommand() *cobra.Command {
	var listen, control string
	var services []string
	var seed uint64
	c := &cobra.Command{Use: "fabric", Short: "Send the datagrams of callers to random instances", Args: cobra.NoArgs}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "UDP address that takes the answers of instances")
	c.Flags().StringVar(&control, "control", "127.0.0.1:0", "HTTP address of the control endpoint")
	c.Flags().StringSliceVar(&services, "service", nil, "service address to bind")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the random choices")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		address, err := netip.ParseAddrPort(listen)
		if err != nil {
			return err
		}
		f, err := fabric.New(fabric.Config{Listen: address, Seed: seed})
		if err != nil {
			return err
		}
		for _, s := range services {
			a, err := netip.ParseAddrPort(s)
			if err != nil {
				return err
			}
			if _, err := f.AddService(a); err != nil {
				return err
			}
		}
		return errors.Join(serve(cmd.Context(), "fabric", control, f.Handler(), "listen="+f.Listen().String()), f.Close())
	}
	return c
}

func kvserviceCommand() *cobra.Command {
	var listen string
	var seed uint64
	c := &cobra.Command{Use: "kvservice", Short: "Serve the key-value service", Args: cobra.NoArgs}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "HTTP address")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the faults")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		return serve(cmd.Context(), "kvservice", listen, kvservice.New(seed, time.Now).Handler(), "")
	}
	return c
}

func instancelistCommand() *cobra.Command {
	var listen string
	var lag time.Duration
	c := &cobra.Command{Use: "instancelist", Short: "Serve the list of instances", Args: cobra.NoArgs}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "HTTP address")
	c.Flags().DurationVar(&lag, "lag", 0, "age of the state that the list answers with")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		l := instancelist.New(time.Now)
		l.SetFaults(instancelist.Faults{LagMS: int(lag.Milliseconds())})
		return serve(cmd.Context(), "instancelist", listen, l.Handler(), "")
	}
	return c
}

func backendserverCommand() *cobra.Command {
	var control, specs string
	c := &cobra.Command{Use: "backendserver", Short: "Run backend servers", Args: cobra.NoArgs}
	c.Flags().StringVar(&control, "control", "127.0.0.1:0", "HTTP address of the control endpoint")
	c.Flags().StringVar(&specs, "servers", "[]", "JSON array of server specs")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		var all []backendserver.Spec
		if err := json.Unmarshal([]byte(specs), &all); err != nil {
			return fmt.Errorf("--servers: %w", err)
		}
		h := backendserver.NewHost()
		defer h.Close()
		for _, s := range all {
			if _, err := h.Start(s); err != nil {
				return err
			}
		}
		return serve(cmd.Context(), "backendserver", control, h.Handler(), "")
	}
	return c
}

func callersCommand() *cobra.Command {
	var control, plan string
	c := &cobra.Command{Use: "callers", Short: "Execute a plan of callers and serve its report until stopped", Args: cobra.NoArgs}
	c.Flags().StringVar(&control, "control", "127.0.0.1:0", "HTTP address of the control endpoint")
	c.Flags().StringVar(&plan, "plan", "{}", "plan as JSON")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		var p callers.Plan
		if err := json.Unmarshal([]byte(plan), &p); err != nil {
			return fmt.Errorf("--plan: %w", err)
		}
		r, err := callers.New(p)
		if err != nil {
			return err
		}
		go func() {
			if err := r.Run(cmd.Context()); err != nil {
				fmt.Fprintln(os.Stderr, "callers:", err)
			}
		}()
		return serve(cmd.Context(), "callers", control, r.Handler(), "")
	}
	return c
}

// serve answers HTTP until the context ends and prints one line when it is ready.
func serve(ctx context.Context, name, address string, h http.Handler, detail string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(l) }()
	fmt.Printf("ready standin=%s control=http://%s %s\n", name, l.Addr(), detail)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return srv.Close()
	}
}
