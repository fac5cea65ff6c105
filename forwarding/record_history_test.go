package forwarding

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// recordHistory is a random sequence of record changes, failures and pauses at one engine.
type recordHistory struct {
	e         *Engine
	now       time.Duration
	rev       uint64
	listed    map[int]bool          // expected set of listed servers, by number
	removedAt map[int]time.Duration // when a server's record was removed
}

func newRecordHistory() *recordHistory {
	h := &recordHistory{
		e:      New(Config{Domain: "a", CookieLifetime: time.Minute, MaxFlows: 100, Seed: 5}),
		listed: make(map[int]bool), removedAt: make(map[int]time.Duration),
	}
	h.e.Configure(0, &Configuration{Version: 1, Routes: []Route{{Address: 10, Port: 443, Services: []ServiceWeight{{"orders", 1}}}}})
	return h
}

func (h *recordHistory) record(n int) Server {
	h.rev++
	domain := "a"
	if n%3 == 0 {
		domain = "b"
	}
	return Server{Name: fmt.Sprint(n), ID: uint64(n), Service: "orders", Domain: domain, Slots: 2, Sequence: h.rev, Revision: h.rev,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80)}
}

// advance advances the time with ticks. Long pauses have few ticks, as the results do not
// depend on their number.
func (h *recordHistory) advance(d time.Duration) {
	step := max(10*time.Millisecond, d/20)
	for end := h.now + d; h.now < end; {
		h.now += step
		h.e.Tick(h.now)
	}
}

func (h *recordHistory) step(t *rapid.T) {
	n := rapid.IntRange(1, 12).Draw(t, "server")
	switch rapid.IntRange(0, 5).Draw(t, "event") {
	case 0:
		h.e.PutServer(h.now, h.record(n))
		h.listed[n] = true
		delete(h.removedAt, n)
	case 1:
		h.e.RemoveServer(h.now, h.record(n))
		if h.listed[n] {
			h.removedAt[n] = h.now
		}
		delete(h.listed, n)
	case 2, 3:
		var cookies []uint32
		for range rapid.IntRange(1, 10).Draw(t, "failures") {
			cookies = append(cookies, uint32(n))
		}
		h.e.AddPeerFailures(h.now, cookies)
	case 4:
		h.advance(time.Duration(rapid.IntRange(10, 3000).Draw(t, "ms")) * time.Millisecond)
	case 5:
		h.advance(time.Duration(rapid.IntRange(5, 50).Draw(t, "s")) * time.Second)
	}
}

// Guards against too many servers that count as failing at once, against new flows that are
// refused while a server is eligible, and against a server that never recovers from failing.
func TestFailingServersAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newRecordHistory()
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			h.step(t)
			h.checkBound(t)
		}
		h.advance(2 * time.Minute)
		for _, s := range h.e.servers {
			if s.failing(h.now) || s.failurePenalty(h.now) != 1 {
				t.Fatalf("server %s still counts as failing two minutes after the last failure", s.Name)
			}
		}
		if len(h.e.failedServers) != 0 {
			t.Fatalf("%d servers are kept in the failure set two minutes after the last failure", len(h.e.failedServers))
		}
	})
}

func (h *recordHistory) checkBound(t *rapid.T) {
	h.e.sumFailures(h.now)
	all, failing := 0, 0
	for _, s := range h.e.servers {
		if !s.listed {
			continue
		}
		all++
		if s.failing(h.now) {
			failing++
		}
		if p := s.failurePenalty(h.now); p < 1 || p > maxFailurePenalty {
			t.Fatalf("penalty %v of server %s", p, s.Name)
		}
	}
	// A failing server has at least three times the mean failures of the others, so at most
	// about a third can be failing.
	if all > 0 && failing > (all-1)/3+1 {
		t.Fatalf("%d of %d servers count as failing", failing, all)
	}
	if r := h.e.routes[routeKey{10, 443}]; all > 0 && h.e.choose(h.now, r) == nil {
		t.Fatalf("no server for a new flow, %d are listed", all)
	}
}

// Guards against a server that is forgotten while its flows may still be open: its cookie
// must stay known for the cookie lifetime after its record was removed, whatever happens to
// other records.
func TestCookiesOutliveRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newRecordHistory()
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			h.step(t)
			for n := 1; n <= 12; n++ {
				at, removed := h.removedAt[n]
				if !h.listed[n] && (!removed || h.now-at >= h.e.cfg.CookieLifetime) {
					continue
				}
				k := FlowKey{Client: 7, ClientPort: uint16(n), Service: 10, ServicePort: 443}
				if s, reason := h.e.serverByCookie(h.now, Packet{Flow: k, Cookie: uint32(n), Acknowledges: true}); s == nil || s.ID != uint64(n) {
					t.Fatalf("cookie %d is unknown (%v) %v after its record was removed", n, reason, h.now-at)
				}
			}
		}
	})
}

// Guards against removed servers that lower the mean of the others: records of servers that
// were never listed counted in it, and two of three servers counted as failing (found by
// TestFailingServersAreBounded with rapid seed 3).
func TestDepartedServersDoNotLowerTheMean(t *testing.T) {
	h := newRecordHistory()
	for n := 1; n <= 3; n++ {
		h.e.PutServer(h.now, h.record(n))
	}
	for n := 4; n <= 12; n++ {
		h.e.RemoveServer(h.now, h.record(n))
	}
	for range 8 {
		h.e.AddPeerFailures(h.now, []uint32{1, 2})
	}
	h.e.sumFailures(h.now)
	for n := 1; n <= 3; n++ {
		if h.e.byCookie[uint32(n)][0].failing(h.now) {
			t.Errorf("server %d counts as failing although two of three servers fail alike", n)
		}
	}
}
