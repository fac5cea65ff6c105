package forwarder

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonthread/monsoonthread/directory"
	"github.com/monsoonthread/monsoonthread/internal/forwarder/view"
	"github.com/monsoonthread/monsoonthread/internal/standin/metastore"
	"github.com/monsoonthread/monsoonthread/platform/wire"
)

// evacuationBound is the bound of the tests, and so the time for which a removal is held back that a
// restored store implies.
const evacuationBound = 2 * time.Second

// logBuffer collects log lines.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// count returns the number of lines with all of the parts.
func (b *logBuffer) count(parts ...string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
line:
	for line := range strings.Lines(b.buf.String()) {
		for _, part := range parts {
			if !strings.Contains(line, part) {
				continue line
			}
		}
		n++
	}
	return n
}

// startDomains starts the instances a and b and the server i-1 in the failure domain laval, and the
// instance c and the server i-2 in levis.
func startDomains(t *testing.T) (d *deployment, all []*instance, lines *logBuffer) {
	d, lines = newDeployment(t), new(logBuffer)
	d.evacuationBound, d.log = evacuationBound, zerolog.New(lines)
	d.startServer("i-1", "orders", "laval", 1)
	d.startServer("i-2", "orders", "levis", 2)
	all = []*instance{
		d.startInstance("a", "laval", 1), d.startInstance("b", "laval", 2, "127.0.2.1:1"), d.startInstance("c", "levis", 3, "127.0.2.1:1"),
	}
	for _, i := range all {
		d.eventually("ready", testTimeout, func() bool {
			return d.ready(i) && i.hasRecord(wire.ServerPrefix+"i-1", "ready") && i.hasRecord(wire.ServerPrefix+"i-2", "ready")
		})
	}
	return d, all, lines
}

func (d *deployment) evacuate(domain string) {
	d.store.Put(wire.EvacuationPrefix+domain, []byte(`{"by":"test"}`))
}
func (d *deployment) endEvacuation(domain string) { d.store.Remove(wire.EvacuationPrefix + domain) }

// evacuation returns what the instance says about a failure domain.
func (i *instance) evacuation(domain string) view.Evacuation {
	for _, v := range i.statusView().Evacuations {
		if v.Domain == domain {
			return v
		}
	}
	return view.Evacuation{}
}

// waitEvacuated waits until the domain is evacuated, or not, at all instances.
func (d *deployment) waitEvacuated(domain string, active bool, within time.Duration, all []*instance) {
	d.t.Helper()
	for _, i := range all {
		d.eventually("evacuation of "+domain, within, func() bool { return i.evacuation(domain).Active == active })
	}
}

// checkNoFlows checks that the server gets no new flows through the instances.
func (d *deployment) checkNoFlows(server string, via []*instance) {
	d.t.Helper()
	if got := d.openFlows(server, via...); got != 0 {
		d.t.Errorf("%d new flows at %s in an evacuated failure domain", got, server)
	}
}

// Guards against an evacuation, or its end, that does not arrive within its bound at the watcher, its
// peer or another failure domain, and against open flows that end with it.
func TestEvacuationArrivesByWatch(t *testing.T) {
	d, all, lines := startDomains(t)
	open := d.openFlow(all[0])
	d.request(open, all[0], "i-1:x")
	d.evacuate("laval")
	d.waitEvacuated("laval", true, evacuationBound, all)
	d.checkNoFlows("i-1", all)
	d.request(open, all[0], "i-1:x")
	if n := lines.count(`"evacuation_begun"`, `"domain":"laval"`, `"revision":"1/`); n != len(all) {
		t.Errorf("%d lines evacuation_begun", n)
	}
	var metrics strings.Builder
	response, err := http.Get("http://" + all[0].settings.Load().ReadyAddress + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if io.Copy(&metrics, response.Body); !strings.Contains(metrics.String(), "forwarder_evacuated_domains 1\n") || strings.Contains(metrics.String(), "forwarder_flows_left_evacuated_domain 0\n") {
		t.Error("metrics do not show the evacuation")
	}
	for _, s := range all[0].statusView().Servers {
		if s.Domain == "laval" && (s.GetsNewFlows || s.State != "evacuated") {
			t.Errorf("server %+v", s)
		}
	}
	d.endEvacuation("laval")
	d.waitEvacuated("laval", false, evacuationBound, all)
	if got := d.openFlows("i-1", all[0]); got == 0 {
		t.Error("no new flows after the end")
	}
	if n := lines.count(`"evacuation_ended"`, `"domain":"laval"`, `"revision":"1/`); n != len(all) {
		t.Errorf("%d lines evacuation_ended", n)
	}
	if n := lines.count(`"evacuation_held"`) + lines.count("evacuation_domain_unknown"); n != 0 {
		t.Errorf("%d lines of a restore or an unknown domain", n)
	}
}

// Guards against an instance that is ready without an evacuation: it starts from a listing, from a stale
// one of before the evacuation, without the history since that listing, or from a peer.
func TestInstanceThatStartsDuringAnEvacuation(t *testing.T) {
	d, all, _ := startDomains(t)
	start := func(name string, number int, seeds ...string) {
		i := d.startInstance(name, "laval", number, seeds...)
		d.eventually("ready", testTimeout, func() bool { return d.ready(i) })
		if !i.evacuation("laval").Active {
			t.Errorf("%s is ready without the evacuation", name)
		}
		d.checkNoFlows("i-1", []*instance{i})
	}
	d.evacuate("laval")
	d.waitEvacuated("laval", true, evacuationBound, all)
	start("from-listing", 4)
	d.endEvacuation("laval")
	d.waitEvacuated("laval", false, evacuationBound, all)
	d.store.FreezeStaleReads()
	d.evacuate("laval")
	d.waitEvacuated("laval", true, evacuationBound, all)
	start("from-stale-listing", 5)
	d.store.DropHistory()
	start("without-history", 6)
	d.store.SetFault(metastore.NoResponse)
	start("from-peer", 7, "127.0.2.1:1")
}

// Guards against an instance that is ready when the first page of its first listing has brought the
// configuration, but not yet the evacuations.
func TestInstanceIsNotReadyWithinAListing(t *testing.T) {
	d := newDeployment(t)
	i := d.newInstance("a", "laval", 1)
	i.finishInitialSync() // the store did not answer
	configuration := directory.Record{Key: wire.ConfigurationKey, Value: d.store.Value(wire.ConfigurationKey), Revision: 1<<40 + 5}
	i.applyUpdate(directory.Update{Records: []directory.Record{configuration}})
	if i.version() == 0 || i.lifecycle.isReady.Load() {
		t.Fatalf("version %d, ready %v within a listing", i.version(), i.lifecycle.isReady.Load())
	}
	i.applyUpdate(directory.Update{AsOf: 1<<40 + 6})
	if !i.lifecycle.isReady.Load() {
		t.Error("not ready after the listing")
	}
}

// Guards against an opening packet that meets a server before the evacuation of its failure domain,
// which is the later record of one batch, and against a change that is applied after a later one.
func TestEvacuationIsAppliedBeforeServers(t *testing.T) {
	d, lines := newDeployment(t), new(logBuffer)
	d.log = zerolog.New(lines)
	i := d.newInstance("a", "laval", 1)
	i.finishInitialSync()
	key := wire.EvacuationPrefix + "laval"
	i.applyUpdate(directory.Update{Records: []directory.Record{
		{Key: wire.ServerPrefix + "i-1", Value: []byte(`{"service":"orders","address":"127.0.3.1:80","zone":"laval","version":"v1","slots":2,"state":"ready","coldLeftMs":0,"sequence":1,"born":1}`), Revision: 1<<40 + 5},
		{Key: key, Value: []byte(`{}`), Revision: 1<<40 + 7},
	}})
	if text := lines.buf.String(); strings.Index(text, `"evacuation_begun"`) > strings.Index(text, `"message":"server"`) || !i.evacuation("laval").Active {
		t.Errorf("log lines %s", text)
	}
	i.apply([]directory.Record{{Key: key, Removed: true, Revision: 1<<40 + 6}})
	if !i.evacuation("laval").Active {
		t.Error("an earlier removal ended the evacuation")
	}
}

// Guards against a second evacuation, of another failure domain or of the same one, that has no effect
// or ends the first one's.
func TestEvacuationsInTurn(t *testing.T) {
	d, all, _ := startDomains(t)
	for _, domain := range []string{"laval", "levis", "laval"} {
		server := map[string]string{"laval": "i-1", "levis": "i-2"}[domain]
		d.evacuate(domain)
		d.waitEvacuated(domain, true, evacuationBound, all)
		d.checkNoFlows(server, all)
		d.endEvacuation(domain)
		d.waitEvacuated(domain, false, evacuationBound, all)
	}
	d.evacuate("laval")
	d.evacuate("levis")
	d.waitEvacuated("laval", true, evacuationBound, all)
	d.waitEvacuated("levis", true, evacuationBound, all)
	if _, err := d.client.Open(service, all[0].datagramAddress(), time.Second); err == nil {
		t.Error("a flow opened without a failure domain")
	}
	d.store.DropHistory()
	d.endEvacuation("levis")
	d.waitEvacuated("levis", false, evacuationBound+maxRetryDelay, all)
	d.checkNoFlows("i-1", all)
}

// Guards against an evacuation that ends when the store is restored from a copy without its record,
// before operators can write it again, and against one that never ends if they do not.
func TestEvacuationOutlastsARestoredStore(t *testing.T) {
	d, all, lines := startDomains(t)
	older := d.store.Copy()
	restoreAndWait := func() {
		d.restore(older)
		for _, i := range all {
			d.eventually("held", configurationBound, func() bool { return i.evacuation("laval").Held > 0 })
		}
	}
	d.evacuate("laval")
	d.waitEvacuated("laval", true, evacuationBound, all)
	restoreAndWait()
	d.checkNoFlows("i-1", all)
	d.evacuate("laval")
	for _, i := range all {
		d.eventually("hold cancelled", evacuationBound, func() bool { return i.evacuation("laval").Held == 0 })
	}
	time.Sleep(evacuationBound)
	d.waitEvacuated("laval", true, 0, all)
	d.checkNoFlows("i-1", all)
	if n := lines.count(`"evacuation_held"`, `"domain":"laval"`, `"revision":"2/`); n != len(all) {
		t.Errorf("%d lines evacuation_held", n)
	}
	restoreAndWait()
	d.waitEvacuated("laval", false, 2*evacuationBound, all)
}

// Guards against a hold of the operators' removal because the record is from before the restore.
func TestEvacuationOfTheCopyEndsAtOnce(t *testing.T) {
	d, all, lines := startDomains(t)
	d.evacuate("laval")
	d.waitEvacuated("laval", true, evacuationBound, all)
	older := d.store.Copy()
	d.restore(older)
	for _, i := range all {
		d.eventually("restore noticed", configurationBound, func() bool { return i.statusView().Era == 2 })
	}
	time.Sleep(2 * maxBatchDelay) // one round of the status loop
	d.endEvacuation("laval")
	d.waitEvacuated("laval", false, evacuationBound, all)
	if n := lines.count("evacuation_held"); n != 0 {
		t.Errorf("%d lines evacuation_held", n)
	}
}

// Guards against an evacuation of a failure domain that nobody names that is lost before a server
// registers there, or that no log line tells from a spelling mistake.
func TestEvacuationOfAnUnknownDomain(t *testing.T) {
	d, all, lines := startDomains(t)
	d.evacuate("lavall")
	d.waitEvacuated("lavall", true, evacuationBound, all)
	d.eventually("log line", time.Second, func() bool {
		return lines.count("evacuation_domain_unknown", `"code":507`, "op/evacuate/lavall") == len(all)
	})
	d.startServer("i-3", "orders", "lavall", 3)
	for _, i := range all {
		d.eventually("server known", configurationBound, func() bool { return i.hasRecord(wire.ServerPrefix+"i-3", "ready") })
	}
	d.store.Remove(wire.ServerPrefix + "i-1")
	d.store.Remove(wire.ServerPrefix + "i-2")
	for _, i := range all {
		d.eventually("removals known", configurationBound, func() bool {
			return !i.hasRecord(wire.ServerPrefix+"i-1", "") && !i.hasRecord(wire.ServerPrefix+"i-2", "")
		})
	}
	time.Sleep(2500 * time.Millisecond) // removed servers may get flows for 2 s
	if _, err := d.client.Open(service, all[0].datagramAddress(), time.Second); err == nil || d.servers["i-3"].Counters().Opened != 0 {
		t.Error("a flow opened in the evacuated failure domain")
	}
}

// Guards against unreadable evacuation records that begin or end an evacuation, change anything else,
// or stay without a log line.
func TestUnreadableEvacuationChangesNothing(t *testing.T) {
	d, all, lines := startDomains(t)
	d.evacuate("laval")
	d.waitEvacuated("laval", true, evacuationBound, all)
	n := 0
	for key, value := range map[string]string{"": `{}`, "a/b": `{}`, "levis": `[1]`, "laval": "\x00", "round-rock": `{"a":`} {
		n++
		d.store.Put(wire.EvacuationPrefix+key, []byte(value))
		d.eventually("log line for "+key, evacuationBound, func() bool {
			return lines.count(`"evacuation_malformed"`, `"code":507`, wire.EvacuationPrefix+key+":") == len(all)
		})
	}
	d.configure("orders")
	for _, i := range all {
		d.eventually("version after the records", configurationBound, func() bool { return i.version() == 2 })
		if v := i.statusView().Evacuations; len(v) != 1 || v[0].Domain != "laval" || !v[0].Active {
			t.Errorf("evacuations %+v", v)
		}
	}
	d.checkNoFlows("i-1", all)
	d.endEvacuation("laval")
	d.waitEvacuated("laval", false, evacuationBound, all)
}
