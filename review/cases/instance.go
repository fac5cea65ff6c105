package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
)

// instance is a process of the program on its own machine.
type instance struct {
	d        *deployment
	name     string
	zone     string
	ip       netip.Addr
	settings string
	seeds    string
	proxy    *proxy // to the store
	log      *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	misses int
	inTurn bool // in rotation
}

func (in *instance) datagramAddress() netip.AddrPort {
	return netip.AddrPortFrom(in.ip, in.d.ports.datagram)
}

func (d *deployment) addInstance(z int, zone string, n int, seeds string) error {
	in := &instance{d: d, name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, ip: d.ip(1+z, 1+n), seeds: seeds}
	in.settings = filepath.Join(d.dir, in.name+".conf")
	var err error
	if in.proxy, err = newProxy(d.storeAddr); err != nil {
		return err
	}
	if err := os.WriteFile(in.settings, []byte(d.render(in)), 0o600); err != nil {
		return err
	}
	if in.log, err = os.Create(filepath.Join(d.dir, in.name+".log")); err != nil {
		return err
	}
	d.instances = append(d.instances, in)
	return in.launch()
}

// render fills in deploy/forwarder.conf as the platform does, with the values of a small deployment.
func (d *deployment) render(in *instance) string {
	at := func(p uint16) string { return netip.AddrPortFrom(in.ip, p).String() }
	return strings.Join([]string{"instance-id=" + in.name, "failure-domain=" + in.zone, "datagram-address=" + at(d.ports.datagram),
		"ready-address=" + at(d.ports.ready), "peer-address=" + at(d.ports.peer), "seeds=" + in.seeds, "store-address=" + in.proxy.address().String(),
		"metrics-address=" + at(d.ports.metrics), "memory-mb=284", "max-flow-lifetime=60s", "grace-period=6s", "configuration-bound=3000ms",
		"drain-bound=3000ms", "first-start=true", ""}, "\n")
}

// launch starts the process.
func (in *instance) launch() error {
	cmd := exec.Command("./" + program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "MONSOONTHREAD_NODE_FILE=" + in.settings}
	cmd.Stdout, cmd.Stderr = in.log, in.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in.mu.Lock()
	defer in.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	in.cmd = cmd
	return nil
}
