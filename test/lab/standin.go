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

// headerTimeout bounds how long a control endpoint reads a request header.
const headerTimeout = 10 * time.Second

func standinCommand() *cobra.Command {
	c := &cobra.Command{Use: "standin", Short: "Run a stand-in in this process"}
	c.AddCommand(fabricCommand(), kvserviceCommand(), instancelistCommand(), backendserverCommand(), callersCommand())
	return c
}

func fabricCommand() *cobra.Command {
	var listen, control string
	var services []string
	var seed uint64
	c := &cobra.Command{Use: "fabric", Short: "Forward the datagrams of callers to random instances", Args: cobra.NoArgs}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "UDP address that receives the responses of instances")
	c.Flags().StringVar(&control, "control", "127.0.0.1:0", "HTTP address of the control endpoint")
	c.Flags().StringSliceVar(&services, "service", nil, "service address to bind")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the random choice of instances")
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
		return errors.Join(serveControl(cmd.Context(), "fabric", control, f.Handler(), "listen="+f.ListenAddress().String()), f.Close())
	}
	return c
}

func kvserviceCommand() *cobra.Command {
	var listen string
	var seed uint64
	c := &cobra.Command{Use: "kvservice", Short: "Run the key-value service", Args: cobra.NoArgs}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "HTTP address")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the injected faults")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		return serveControl(cmd.Context(), "kvservice", listen, kvservice.New(seed, time.Now).Handler(), "")
	}
	return c
}

func instancelistCommand() *cobra.Command {
	var listen string
	var lag time.Duration
	c := &cobra.Command{Use: "instancelist", Short: "Run the instance list", Args: cobra.NoArgs}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "HTTP address")
	c.Flags().DurationVar(&lag, "lag", 0, "staleness of the list's responses")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		l := instancelist.New(time.Now)
		l.SetFaults(instancelist.Faults{LagMS: int(lag.Milliseconds())})
		return serveControl(cmd.Context(), "instancelist", listen, l.Handler(), "")
	}
	return c
}

func backendserverCommand() *cobra.Command {
	var control, specsJSON string
	c := &cobra.Command{Use: "backendserver", Short: "Run backend servers", Args: cobra.NoArgs}
	c.Flags().StringVar(&control, "control", "127.0.0.1:0", "HTTP address of the control endpoint")
	c.Flags().StringVar(&specsJSON, "servers", "[]", "JSON array of server specs")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		var serverSpecs []backendserver.Spec
		if err := json.Unmarshal([]byte(specsJSON), &serverSpecs); err != nil {
			return fmt.Errorf("--servers: %w", err)
		}
		h := backendserver.NewHost()
		defer h.Close()
		for _, s := range serverSpecs {
			if _, err := h.Start(s); err != nil {
				return err
			}
		}
		return serveControl(cmd.Context(), "backendserver", control, h.Handler(), "")
	}
	return c
}

func callersCommand() *cobra.Command {
	var control, planJSON string
	c := &cobra.Command{Use: "callers", Short: "Execute a load plan and serve its report until stopped", Args: cobra.NoArgs}
	c.Flags().StringVar(&control, "control", "127.0.0.1:0", "HTTP address of the control endpoint")
	c.Flags().StringVar(&planJSON, "plan", "{}", "load plan as JSON")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		var p callers.Plan
		if err := json.Unmarshal([]byte(planJSON), &p); err != nil {
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
		return serveControl(cmd.Context(), "callers", control, r.Handler(), "")
	}
	return c
}

// serveControl prints the ready line, which the parent process parses, and serves HTTP
// until the context is done.
func serveControl(ctx context.Context, name, address string, h http.Handler, detail string) error {
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
