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
	// leavingBound is the time after the first notice that an instance could see within
	// which a leaving backend server gets its last new work.
	leavingBound = 2 * time.Second
	noticePoll   = 10 * time.Millisecond
	noticeLag    = 5 * time.Second
)

// Guards against a leaving backend server that gets new work although one source, and
// only one, says that it leaves.
func TestLeavingServerGetsNoWork(t *testing.T) {
	d := start(t, 501, nil)
	leave := func(name string, server int, lag time.Duration, notice func(*deployment, string) time.Time) {
		t.Run(name, func(t *testing.T) {
			d := d.sub(t)
			target := d.servers("orders")[server].Name
			var noticed time.Time
			load := []callers.Load{d.reads("orders", 200), d.orders("leaving-" + name)}
			c := d.during(name, lag+leavingBound+2*time.Second, callers.Plan{Loads: load}, func() {
				d.sleep(time.Second)
				noticed = notice(d, target)
			})
			d.checkOrders(c)
			d.checkLastWork(target, noticed)
		})
	}
	leave("configuration", 0, 500*time.Millisecond, func(d *deployment, server string) time.Time {
		s, _ := d.Deployment().Service("orders")
		for i := range s.BackendServers {
			if s.BackendServers[i].Name == server {
				s.BackendServers[i].Leaving = true
			}
		}
		seen := d.headChanges()
		_, err := d.Accept(d.ctx)
		d.must(err)
		return <-seen
	})
	leave("health", 2, 0, func(d *deployment, server string) time.Time {
		// The list is down, so that only the health endpoint tells of the drain.
		d.must(d.SetListFaults(d.ctx, instancelist.Faults{Outage: true}))
		begin := time.Now()
		d.must(d.DrainServer(d.ctx, server, testTimeout))
		return begin
	})
	leave("list", 4, noticeLag, func(d *deployment, server string) time.Time {
		d.must(d.SetListFaults(d.ctx, instancelist.Faults{LagMS: int(noticeLag.Milliseconds())}))
		mark := instancelist.BackendServer{Name: server, Leaving: true}
		d.must(d.ListControl.Do(d.ctx, "POST", "/control/servers", mark, nil))
		return d.listed(server)
	})
	d.checkInvariants()
}

// checkLastWork compares the start of the last request at a backend server with the
// first notice.
func (d *deployment) checkLastWork(server string, noticed time.Time) {
	d.Helper()
	log, err := d.Executions(d.ctx)
	d.must(err)
	var before, after int
	var last, lastElsewhere time.Time
	for _, e := range log {
		at := time.UnixMicro(e.StartUS)
		switch {
		case e.Server != server:
			lastElsewhere = later(lastElsewhere, at)
		case at.Before(noticed):
			before++
			last = later(last, at)
		default:
			after++
			last = later(last, at)
		}
	}
	d.Logf("%s: %d requests before the notice, %d after it, the last %v after it", server, before, after, last.Sub(noticed).Round(time.Millisecond))
	if before == 0 || lastElsewhere.Before(noticed.Add(leavingBound)) {
		d.Errorf("the load shows nothing: %d requests before the notice, the last at other servers %v after it", before, lastElsewhere.Sub(noticed))
	}
	if last.After(noticed.Add(leavingBound)) {
		d.Errorf("%s got new work %v after the first notice", server, last.Sub(noticed))
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// headChanges watches the head of the configuration as an instance does and sends the
// time at which it saw a change.
func (d *deployment) headChanges() <-chan time.Time {
	d.Helper()
	url := d.StoreControl.URL + "/v1/kv/monsoonthread/head"
	revision := d.revision(url)
	seen := make(chan time.Time, 1)
	go func() {
		defer close(seen)
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
		_ = resp.Body.Close() // only the time matters
		seen <- time.Now()
	}()
	return seen
}

func (d *deployment) revision(url string) string {
	d.Helper()
	resp, err := http.Get(url)
	d.must(err)
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body) // the revision is in the header
	etag := resp.Header.Get("ETag")
	if len(etag) < 3 {
		d.Fatalf("the head has the ETag %q", etag)
	}
	return etag[1 : len(etag)-1]
}

// listed polls the list as an instance does and returns when it first shows a backend
// server as leaving.
func (d *deployment) listed(server string) time.Time {
	d.Helper()
	for d.ctx.Err() == nil {
		var c instancelist.Contents
		d.must(d.ListControl.Do(d.ctx, "GET", "/v1/instances", nil, &c))
		for _, b := range c.BackendServers {
			if b.Name == server && b.Leaving {
				return time.Now()
			}
		}
		d.sleep(noticePoll)
	}
	d.Fatal("the list never showed the server as leaving")
	return time.Time{}
}
