package process

import (
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/callers"
	"github.com/monsoonthread/monsoonthread/internal/standin/fabric"
)

// Guards against executing a non-idempotent request twice, and against a refusal with a
// "not executed" code for a request that was executed. Covers duplicated, reordered and
// lost datagrams and failures of the permit issuer or of a backend server.
func TestAtMostOnce(t *testing.T) {
	d := start(t, 101, nil)
	t.Run("duplicates at all instances", func(t *testing.T) { testDuplicatesAtAllInstances(d.withT(t)) })
	t.Run("answers lost after execution", func(t *testing.T) {
		d := d.withT(t)
		d.impair(fabric.Impairment{Loss: 0.2, Duplicate: 0.2, Reorder: 0.2, ReorderMS: 100})
		defer d.impair(fabric.Impairment{})
		c := d.runWithCallers("loss", 2*time.Second, callers.Plan{Loads: []callers.Load{d.orderLoad("loss")}}, func() {})
		d.expectMostDone(d.checkOrders(c))
	})
	t.Run("backend server times out", func(t *testing.T) { testServerTimeout(d.withT(t)) })
	t.Run("issuer is paused", func(t *testing.T) { testIssuerPaused(d.withT(t), "laval-1") })
	t.Run("issuer is cut off", func(t *testing.T) { testIssuerPartitioned(d.withT(t), "levis-1", "levis") })
	t.Run("issuer is killed", func(t *testing.T) { testIssuerCrash(d.withT(t), "sherbrooke-1") })
	d.checkInvariants()
}

// expectMostDone fails if fewer than half of the requests succeeded, because the test is
// inconclusive then.
func (d *deployment) expectMostDone(t outcomeCounts) {
	d.Helper()
	if total := t.done + t.refused + t.unknown + t.failed; t.done < total/2 || total == 0 {
		d.Errorf("only %d of %d requests succeeded", t.done, total)
	}
}

func testDuplicatesAtAllInstances(d *deployment) {
	d.impair(fabric.Impairment{Duplicate: 0.3, Reorder: 0.3, ReorderMS: 80})
	defer d.impair(fabric.Impairment{})
	all := d.obtainPermits("duplicate", 150)
	d.sendCopies(all, 4*instanceCount, 2500*time.Millisecond)
	d.expectMostDone(d.checkPermitted(all))
	// Copies that arrive after the response must not be executed either.
	d.sendCopies(all, 2*instanceCount, 500*time.Millisecond)
	d.checkPermitted(all)
}

func testServerTimeout(d *deployment) {
	d.impair(impairedNetwork)
	defer d.impair(fabric.Impairment{})
	server := d.servers("orders")[0].Name
	c := d.runWithCallers("timeout", 3*time.Second, callers.Plan{Loads: []callers.Load{d.orderLoad("timeout")}}, func() {
		d.sleep(700 * time.Millisecond)
		d.requireNoError(d.KillServer(d.ctx, server, true))
	})
	d.expectMostDone(d.checkOrders(c))
	d.requireNoError(d.RestartServer(d.ctx, server))
}

func testIssuerPaused(d *deployment, id string) {
	in, err := d.Instance(id)
	d.requireNoError(err)
	issued := issuedBy(d.obtainPermits("paused", 120), id)
	if len(issued) == 0 {
		d.Fatalf("instance %s issued no permits", id)
	}
	d.impair(impairedNetwork)
	defer d.impair(fabric.Impairment{})
	c := d.runWithCallers("pause", 5*time.Second, callers.Plan{Loads: []callers.Load{d.orderLoad("pause")}}, func() {
		d.sleep(500 * time.Millisecond)
		d.requireNoError(in.Pause())
		d.sendCopies(issued, instanceCount, suspicionTimeout+time.Second)
		d.requireNoError(in.Resume())
		d.sendCopies(issued, instanceCount, time.Second)
	})
	d.checkOrders(c)
	d.checkPermitted(issued)
}

func testIssuerPartitioned(d *deployment, id, domain string) {
	issued := issuedBy(d.obtainPermits("cut", 120), id)
	if len(issued) == 0 {
		d.Fatalf("instance %s issued no permits", id)
	}
	d.impair(impairedNetwork)
	defer d.impair(fabric.Impairment{})
	c := d.runWithCallers("cut", 4*time.Second, callers.Plan{Loads: []callers.Load{d.orderLoad("cut")}}, func() {
		d.sleep(500 * time.Millisecond)
		d.requireNoError(d.Partition(d.ctx, domain))
		d.sendCopies(issued, instanceCount, suspicionTimeout+time.Second)
		d.requireNoError(d.Heal(d.ctx))
		d.sendCopies(issued, instanceCount, time.Second)
	})
	d.checkOrders(c)
	d.checkPermitted(issued)
}

func testIssuerCrash(d *deployment, id string) {
	issued := issuedBy(d.obtainPermits("killed", 120), id)
	if len(issued) == 0 {
		d.Fatalf("instance %s issued no permits", id)
	}
	d.impair(impairedNetwork)
	defer d.impair(fabric.Impairment{})
	c := d.runWithCallers("kill", 4*time.Second, callers.Plan{Loads: []callers.Load{d.orderLoad("kill")}}, func() {
		d.sleep(500 * time.Millisecond)
		d.sendCopies(issued[:len(issued)/2], instanceCount, 20*time.Millisecond)
		d.requireNoError(d.CrashInstance(d.ctx, id))
		d.sendCopies(issued, instanceCount, suspicionTimeout+time.Second)
	})
	d.checkOrders(c)
	d.checkPermitted(issued)
	for _, p := range issued[len(issued)/2:] {
		if len(p.refused) > 0 || p.successes > 0 {
			d.Errorf("request %s with a permit of a crashed issuer: %d successes, refused with %v; want an unknown outcome", p.id, p.successes, p.refused)
		}
	}
}
