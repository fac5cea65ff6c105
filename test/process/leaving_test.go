package process

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/callers"
	"github.com/monsoonthread/monsoonthread/internal/standin/instancelist"
)

const (
	// maxLeavingDelay bounds how long a leaving backend server may still receive new
	// requests after the first notice that an instance could observe.
	maxLeavingDelay  = 2 * time.Second
	listPollInterval = 10 * time.Millisecond
	delayedListLag   = 5 * time.Second
)

// Guards against sending new requests to a leaving backend server when only one source
// (the configuration, the health endpoint or the instance list) reports that it leaves.
func TestLeavingServerGetsNoWork(t *testing.T) {
	d := start(t, 501, nil)
	// notice announces through one source that a backend server leaves, and returns the time
	// at which an instance could first observe that.
	runSubtest := func(name string, server int, lag time.Duration, notice func(*deployment, string) time.Time) {
		t.Run(name, func(t *testing.T) {
			d := d.withT(t)
			target := d.servers("orders")[server].Name
			var noticed time.Time
			load := []callers.Load{d.readLoad("orders", 200), d.orderLoad("leaving-" + name)}
			c := d.runWithCallers(name, lag+maxLeavingDelay+2*time.Second, callers.Plan{Loads: load}, func() {
				d.sleep(time.Second)
				noticed = notice(d, target)
			})
			d.checkOrders(c)
			d.checkLastRequest(target, noticed)
		})
	}
	runSubtest("configuration", 0, 500*time.Millisecond, func(d *deployment, server string) time.Time {
		s, _ := d.Deployment().Service("orders")
		for i := range s.BackendServers {
			if s.BackendServers[i].Name == server {
				s.BackendServers[i].Leaving = true
			}
		}
		changedAt := d.watchHead()
		_, err := d.AcceptConfiguration(d.ctx)
		d.requireNoError(err)
		return <-changedAt
	})
	runSubtest("health", 2, 0, func(d *deployment, server string) time.Time {
		// The instance list is unavailable, so only the health endpoint reports the drain.
		d.requireNoError(d.SetListFaults(d.ctx, instancelist.Faults{Outage: true}))
		begin := time.Now()
		d.requireNoError(d.DrainServer(d.ctx, server, testTimeout))
		return begin
	})
	runSubtest("list", 4, delayedListLag, func(d *deployment, server string) time.Time {
		d.requireNoError(d.SetListFaults(d.ctx, instancelist.Faults{LagMS: int(delayedListLag.Milliseconds())}))
		mark := instancelist.BackendServer{Name: server, Leaving: true}
		d.requireNoError(d.ListControl.Do(d.ctx, "POST", "/control/servers", mark, nil))
		return d.waitUntilListedLeaving(server)
	})
	d.checkInvariants()
}

// checkLastRequest fails if a backend server started a request more than maxLeavingDelay
// after the first notice that it leaves.
func (d *deployment) checkLastRequest(server string, noticed time.Time) {
	d.Helper()
	log, err := d.Executions(d.ctx)
	d.requireNoError(err)
	var before, after int
	var last, lastElsewhere time.Time
	for _, e := range log {
		at := time.UnixMicro(e.StartUS)
		switch {
		case e.Server != server:
			lastElsewhere = laterOf(lastElsewhere, at)
		case at.Before(noticed):
			before++
			last = laterOf(last, at)
		default:
			after++
			last = laterOf(last, at)
		}
	}
	d.Logf("%s: %d requests before the notice and %d after it, the last one %v after it", server, before, after, last.Sub(noticed).Round(time.Millisecond))
	if before == 0 || lastElsewhere.Before(noticed.Add(maxLeavingDelay)) {
		d.Errorf("the load is inconclusive: %d requests before the notice, last request on other servers %v after it", before, lastElsewhere.Sub(noticed))
	}
	if last.After(noticed.Add(maxLeavingDelay)) {
		d.Errorf("%s started a request %v after the first notice", server, last.Sub(noticed))
	}
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// watchHead watches the configuration head with the long-polling read that instances use
// and sends the time at which the read returns.
func (d *deployment) watchHead() <-chan time.Time {
	d.Helper()
	url := d.StoreControl.URL + "/v1/kv/monsoonthread/head"
	revision := d.headRevision(url)
	changedAt := make(chan time.Time, 1)
	go func() {
		defer close(changedAt)
		ctx, cancel := context.WithTimeout(d.ctx, 10*time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s?after=%s&wait_ms=10000", url, revision), nil)
		if err != nil {
			d.Error(err)
			return
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			d.Error(err)
			return
		}
		_ = resp.Body.Close() // the body is not needed
		changedAt <- time.Now()
	}()
	return changedAt
}

func (d *deployment) headRevision(url string) string {
	d.Helper()
	resp, err := http.Get(url)
	d.requireNoError(err)
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body) // the revision is in the ETag header
	etag := resp.Header.Get("ETag")
	if len(etag) < 3 {
		d.Fatalf("configuration head has an invalid ETag %q", etag)
	}
	return etag[1 : len(etag)-1]
}

// waitUntilListedLeaving polls the instance list as an instance does and returns the time
// at which the list first marks a backend server as leaving.
func (d *deployment) waitUntilListedLeaving(server string) time.Time {
	d.Helper()
	for d.ctx.Err() == nil {
		var c instancelist.Contents
		d.requireNoError(d.ListControl.Do(d.ctx, "GET", "/v1/instances", nil, &c))
		for _, b := range c.BackendServers {
			if b.Name == server && b.Leaving {
				return time.Now()
			}
		}
		d.sleep(listPollInterval)
	}
	d.Fatal("the instance list did not mark the server as leaving before the test timeout")
	return time.Time{}
}
