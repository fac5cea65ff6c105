package process

import (
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/callers"
	"github.com/monsoonthread/monsoonthread/internal/standin/fabric"
)

// Guards against a non-idempotent request that runs twice, and against a refusal that
// says "not run" for a request that ran, under duplication, reordering and loss and
// when the issuer of the permit or a backend server fails.
func TestAtMostOnce(t *testing.T) {
	d := start(t, 101, nil)
	t.Run("duplicates at all instances", func(t *testing.T) { duplicatesAtAllInstances(d.sub(t)) })
	t.Run("answers lost after execution", func(t *testing.T) {
		d := d.sub(t)
		d.impair(fabric.Impairment{Loss: 0.2, Duplicate: 0.2, Reorder: 0.2, ReorderMS: 100})
		defer d.impair(fabric.Impairment{})
		c := d.during("loss", 2*time.Second, callers.Plan{Loads: []callers.Load{d.orders("loss")}}, func() {})
		d.expectDone(d.checkOrders(c))
	})
	t.Run("backend server times out", func(t *testing.T) { serverTimesOut(d.sub(t)) })
	t.Run("issuer is paused", func(t *testing.T) { issuerPaused(d.sub(t), "laval-1") })
	t.Run("issuer is cut off", func(t *testing.T) { issuerCutOff(d.sub(t), "levis-1", "levis") })
	t.Run("issuer is killed", func(t *testing.T) { issuerKilled(d.sub(t), "sherbrooke-1") })
	d.checkInvariants()
}

// expectDone fails when so few requests succeeded that the test shows nothing.
func (d *deployment) expectDone(t tally) {
	d.Helper()
	if total := t.done + t.refused + t.unknown + t.failed; t.done < total/2 || total == 0 {
		d.Errorf("only %d of %d requests were done", t.done, total)
	}
}

func duplicatesAtAllInstances(d *deployment) {
	d.impair(fabric.Impairment{Duplicate: 0.3, Reorder: 0.3, ReorderMS: 80})
	defer d.impair(fabric.Impairment{})
	all := d.obtain("duplicate", 150)
	d.present(all, 4*instanceCount, 2500*time.Millisecond)
	d.expectDone(d.checkPermitted(all))
	// Copies that arrive after the answer must not run either.
	d.present(all, 2*instanceCount, 500*time.Millisecond)
	d.checkPermitted(all)
}

func serverTimesOut(d *deployment) {
	d.impair(impaired)
	defer d.impair(fabric.Impairment{})
	server := d.servers("orders")[0].Name
	c := d.during("timeout", 3*time.Second, callers.Plan{Loads: []callers.Load{d.orders("timeout")}}, func() {
		d.sleep(700 * time.Millisecond)
		d.must(d.KillServer(d.ctx, server, true))
	})
	d.expectDone(d.checkOrders(c))
	d.must(d.RestartServer(d.ctx, server))
}

func issuerPaused(d *deployment, id string) {
	in, err := d.Instance(id)
	d.must(err)
	mine := issuedBy(d.obtain("paused", 120), id)
	if len(mine) == 0 {
		d.Fatalf("%s issued no permit", id)
	}
	d.impair(impaired)
	defer d.impair(fabric.Impairment{})
	c := d.during("pause", 5*time.Second, callers.Plan{Loads: []callers.Load{d.orders("pause")}}, func() {
		d.sleep(500 * time.Millisecond)
		d.must(in.Pause())
		d.present(mine, instanceCount, suspicionTimeout+time.Second)
		d.must(in.Resume())
		d.present(mine, instanceCount, time.Second)
	})
	d.checkOrders(c)
	d.checkPermitted(mine)
}

func issuerCutOff(d *deployment, id, domain string) {
	mine := issuedBy(d.obtain("cut", 120), id)
	if len(mine) == 0 {
		d.Fatalf("%s issued no permit", id)
	}
	d.impair(impaired)
	defer d.impair(fabric.Impairment{})
	c := d.during("cut", 4*time.Second, callers.Plan{Loads: []callers.Load{d.orders("cut")}}, func() {
		d.sleep(500 * time.Millisecond)
		d.must(d.Partition(d.ctx, domain))
		d.present(mine, instanceCount, suspicionTimeout+time.Second)
		d.must(d.Heal(d.ctx))
		d.present(mine, instanceCount, time.Second)
	})
	d.checkOrders(c)
	d.checkPermitted(mine)
}

func issuerKilled(d *deployment, id string) {
	mine := issuedBy(d.obtain("killed", 120), id)
	if len(mine) == 0 {
		d.Fatalf("%s issued no permit", id)
	}
	d.impair(impaired)
	defer d.impair(fabric.Impairment{})
	c := d.during("kill", 4*time.Second, callers.Plan{Loads: []callers.Load{d.orders("kill")}}, func() {
		d.sleep(500 * time.Millisecond)
		d.present(mine[:len(mine)/2], instanceCount, 20*time.Millisecond)
		d.must(d.CrashInstance(d.ctx, id))
		d.present(mine, instanceCount, suspicionTimeout+time.Second)
	})
	d.checkOrders(c)
	d.checkPermitted(mine)
	for _, p := range mine[len(mine)/2:] {
		if len(p.refused) > 0 || p.success > 0 {
			d.Errorf("request %s of a dead issuer: %d successes, refused with %v; the outcome must be unknown", p.id, p.success, p.refused)
		}
	}
}
