package cluster

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/kvservice"
	"github.com/monsoonthread/monsoonthread/result"
)

const testTimeout = 30 * time.Second

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a process that Stop leaves running, a kill after the timeout that is
// reported as a graceful stop, and a paused process that keeps using CPU time.
func TestProcessControl(t *testing.T) {
	ctx := testContext(t)
	start := func(name, script string) *Process {
		p, err := Start(Command{Name: name, Path: "/bin/sh", Args: []string{"-c", script}, Dir: t.TempDir()})
		if err != nil {
			t.Fatal(err)
		}
		if line, err := p.FirstLine(ctx); err != nil || line != "up\n" {
			t.Fatalf("first line %q, %v", line, err)
		}
		return p
	}
	const graceful = `trap 'exit 0' TERM; echo up; while :; do sleep 0.01; done`
	p := start("graceful", graceful)
	if err := p.Stop(ctx); err != nil || p.Running() {
		t.Fatalf("graceful stop: %v", err)
	}
	p = start("ignores-sigterm", `trap '' TERM; echo up; while :; do sleep 0.01; done`)
	short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	if err := p.Stop(short); err == nil || p.Running() {
		t.Fatalf("stop of a process that ignores SIGTERM: error %v, running %v", err, p.Running())
	}
	p = start("busy", `echo up; while :; do :; done`)
	if err := p.Pause(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	before, err := p.Usage()
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	if after, err := p.Usage(); err != nil || after.CPU != before.CPU || after.RSSBytes == 0 {
		t.Fatalf("paused process used CPU: %+v, then %+v, %v", before, after, err)
	}
	if err := p.Kill(); err != nil || p.Running() {
		t.Fatalf("kill: %v", err)
	}
}

// Guards against stand-ins that fail to start, drain or stop as separate processes, an
// accept that fails when the key-value service loses a response, and an accept that
// reports a wrong error code in an outage.
func TestPlatformAndAccept(t *testing.T) {
	ctx := testContext(t)
	dir := t.TempDir()
	bin, err := Build(ctx, dir)
	if err != nil {
		t.Fatal(err)
	}
	d, err := NewDeployment("bellefleur", 1, Workload{MeanWorkMS: 10, TickMS: 500, ArchiveBytes: 10000})
	if err != nil {
		t.Fatal(err)
	}
	c := New(Config{Deployment: d, Lab: bin.Lab, Daemon: bin.Daemon, Ctl: bin.Ctl, Dir: filepath.Join(dir, "run"), ProcessPerServer: true, TLS: true})
	t.Cleanup(func() {
		if err := c.Close(context.WithoutCancel(ctx)); err != nil {
			t.Error(err)
		}
	})
	if err := c.StartPlatform(ctx); err != nil {
		t.Fatal(err)
	}
	servers, err := c.Servers(ctx)
	if err != nil || len(servers) != 19 {
		t.Fatalf("%d backend servers, %v", len(servers), err)
	}
	name := servers[0].Name
	p, err := c.BackendProcess(name)
	if err != nil || p.Name() != "backends-"+name {
		t.Fatalf("process of %s: %v, %v", name, p, err)
	}
	if err := c.DrainServer(ctx, name, time.Minute); err != nil {
		t.Fatal(err)
	}
	if servers, err = c.Servers(ctx); err != nil || !servers[0].Draining || servers[1].Draining {
		t.Fatalf("servers after the drain of the first: %+v, %v", servers[:2], err)
	}
	if err := c.SetStoreFaults(ctx, kvservice.Faults{LoseNextAnswers: 1}); err != nil {
		t.Fatal(err)
	}
	if v, err := c.AcceptConfiguration(ctx); err != nil || v == 0 {
		t.Fatalf("accept with one lost response: version %d, %v", v, err)
	}
	if err := c.SetStoreFaults(ctx, kvservice.Faults{Outage: true}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.AcceptConfiguration(ctx); result.CodeOf(err) != result.StoreUnavailable {
		t.Fatalf("accept in an outage: %v", err)
	}
	if _, err := os.Stat(filepath.Join(dir, "run", "fabric.log")); err != nil {
		t.Fatal(err)
	}
}
