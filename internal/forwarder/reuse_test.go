package forwarder

import (
	"testing"
	"time"
)

// isDead reports whether the instance regards the server as dead. If not, the instance is told that the
// server appears to be down.
func (i *instance) isDead(cookie uint32) bool {
	i.mu.Lock()
	now := i.now()
	for _, s := range i.engine.Servers(now) {
		if s.Cookie == cookie && s.State == "dead" {
			i.mu.Unlock()
			return true
		}
	}
	actions := i.engine.Suspect(now, cookie)
	i.mu.Unlock()
	i.perform(actions)
	return false
}

// Guards against a reset of a flow that may have ended at an instance that has just started: the client may
// have a later flow between the same endpoints at another server. A flow that is still open is reset when
// its next packet arrives.
func TestNoResetOfFlowAfterAnInstanceHasJoined(t *testing.T) {
	for _, joins := range []bool{false, true} {
		t.Run(map[bool]string{false: "without", true: "with"}[joins], func(t *testing.T) {
			d, a, _ := startPair(t)
			f := d.openFlow(a)
			d.request(f, a, "i-1:x")
			cookie := f.Cookie()
			time.Sleep(6 * time.Second) // the starts of the pair do not count any more
			d.request(f, a, "i-1:x")
			if joins {
				c := d.startInstance("c", "laval", 3, "127.0.2.1:1")
				d.eventually("ready", testTimeout, func() bool { return d.ready(c) })
			}
			time.Sleep(1500 * time.Millisecond)
			d.servers["i-1"].Stop()
			d.eventually("server dead", testTimeout, func() bool { return a.isDead(cookie) })
			time.Sleep(300 * time.Millisecond)
			if reset := f.ResetAt().UnixNano() != 0; reset == joins {
				t.Errorf("reset of the idle flow: %v", reset)
			}
			if _, err := f.Request(a.datagramAddress(), "x", testTimeout); joins && err == nil {
				t.Error("a request at the dead server was answered")
			}
			if joins && f.ResetAt().UnixNano() == 0 {
				t.Error("the flow is not reset when its next packet arrives")
			}
		})
	}
}
