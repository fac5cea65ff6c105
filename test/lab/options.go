package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/pflag"

	"github.com/monsoonthread/monsoonthread/questionnaire"
	"github.com/monsoonthread/monsoonthread/test/lab/cluster"
)

// closeTimeout bounds the shutdown of a deployment.
const closeTimeout = time.Minute

// options holds the flags of the commands that start a deployment.
type options struct {
	deployment       string
	seed             uint64
	dir              string
	daemon           string
	daemonArgs       []string
	processPerServer bool
	tls              bool
}

func (o *options) addFlags(f *pflag.FlagSet) {
	f.StringVar(&o.deployment, "deployment", questionnaire.Templates[0], "deployment: "+strings.Join(questionnaire.Templates, " or "))
	f.Uint64Var(&o.seed, "seed", 1, "seed of the load, the stand-ins and the instances")
	f.StringVar(&o.dir, "dir", "", "directory for binaries and logs; if empty, a temporary directory that is removed on success")
	f.StringVar(&o.daemon, "daemon", "", "path of a monsoonthreadd binary to use instead of the built one")
	f.BoolVar(&o.tls, "tls", false, "use mutual TLS between instances")
	f.BoolVar(&o.processPerServer, "process-per-server", false, "run each backend server in its own process")
	f.StringArrayVar(&o.daemonArgs, "daemon-arg", nil, "argument appended to the command line of each instance")
}

// defaultWorkload returns the default workload of the backend servers. At 100 ms per
// request at speed 1, the larger service completes about 1,000 requests/s, which leaves
// most of a 10-core machine to the instances.
func defaultWorkload() cluster.Workload {
	return cluster.Workload{MeanWorkMS: 100, Sigma: 0.5, BlockWorkMS: 0.3, TickMS: 500, ArchiveBytes: 1 << 20, ColdStartMS: 2000}
}

// buildCluster builds the programs and returns a cluster that is not started, and a
// function that closes it. That function also removes a temporary directory unless failed
// is true or closing fails.
func (o *options) buildCluster(ctx context.Context, out io.Writer, w cluster.Workload) (*cluster.Cluster, func(failed bool) error, error) {
	deployment, err := cluster.NewDeployment(o.deployment, o.seed, w)
	if err != nil {
		return nil, nil, err
	}
	dir, temporary := o.dir, o.dir == ""
	if temporary {
		if dir, err = os.MkdirTemp("", "monsoonthread-lab-"); err != nil {
			return nil, nil, err
		}
	}
	if dir, err = filepath.Abs(dir); err != nil {
		return nil, nil, err
	}
	begin := time.Now()
	bin, err := cluster.Build(ctx, dir)
	if err != nil {
		return nil, nil, err
	}
	if o.daemon != "" {
		bin.Daemon = o.daemon
	}
	fmt.Fprintf(out, "programs built in %.1fs, logs in %s\n", time.Since(begin).Seconds(), dir)
	c := cluster.New(cluster.Config{
		Deployment: deployment, Daemon: bin.Daemon, Ctl: bin.Ctl, Lab: bin.Lab, Dir: filepath.Join(dir, "logs"), DaemonArgs: o.daemonArgs,
		ProcessPerServer: o.processPerServer, TLS: o.tls,
	})
	closeCluster := func(failed bool) error {
		// The context of the command may have been cancelled by an interrupt.
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		err := c.Close(ctx)
		if temporary && !failed && err == nil {
			err = errors.Join(err, os.RemoveAll(dir))
		}
		return err
	}
	return c, closeCluster, nil
}

// startCluster starts the cluster and prints how long that took.
func startCluster(ctx context.Context, out io.Writer, c *cluster.Cluster) error {
	begin := time.Now()
	if err := c.Start(ctx); err != nil {
		return err
	}
	d := c.Deployment()
	servers := 0
	for i := range d.Answers.Services {
		servers += len(d.Answers.Services[i].BackendServers)
	}
	fmt.Fprintf(out, "%s: %d instances and %d backend servers started in %.1fs\n",
		d.Name, len(d.Instances), servers, time.Since(begin).Seconds())
	return nil
}
