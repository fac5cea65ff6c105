package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

func upCommand() *cobra.Command {
	var o options
	c := &cobra.Command{Use: "up", Short: "Start a deployment and keep it running until interrupted", Args: cobra.NoArgs}
	o.addFlags(c.Flags())
	c.RunE = func(cmd *cobra.Command, _ []string) (err error) {
		ctx, out := cmd.Context(), cmd.OutOrStdout()
		cl, closeCluster, err := o.buildCluster(ctx, out, defaultWorkload())
		if err != nil {
			return err
		}
		defer func() {
			if e := closeCluster(err != nil); err == nil {
				err = e
			}
		}()
		if err := startCluster(ctx, out, cl); err != nil {
			return err
		}
		d := cl.Deployment()
		for i := range d.Answers.Services {
			s := &d.Answers.Services[i]
			fmt.Fprintf(out, "service %-12s coap://%s\n", s.Name, s.Address)
		}
		for _, in := range cl.Instances() {
			fmt.Fprintf(out, "instance %-14s peer %s metrics %s pid %d\n", in.ID, in.PeerAddress, in.Metrics.URL, in.PID())
		}
		fmt.Fprintf(out, "store %s list %s fabric %s\n", cl.StoreControl.URL, cl.ListControl.URL, cl.FabricControl.URL)
		fmt.Fprintln(out, "running; press Ctrl-C to stop")
		<-ctx.Done()
		return nil
	}
	return c
}
