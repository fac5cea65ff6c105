package membership

import (
	"math/rand"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// Guards against a machine that never learns of a listed instance, or keeps a dead one.
func TestTwoMachinesJoinAndDetectDeath(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	domains := []DomainConfig{{"laval", 1}}
	ms := map[string]*Machine{}
	var list []ListEntry
	for i, id := range []string{"a", "b"} {
		self := Instance{ID: id, Domain: "laval", PeerAddress: id, Weight: 1}
		ms[id] = New(Config{Self: self, Domains: domains}, rand.New(rand.NewSource(int64(i))), now)
		list = append(list, ListEntry{Instance: self})
	}
	var deliver func(from string, as []Action)
	deliver = func(from string, as []Action) {
		for _, a := range as {
			if s, ok := a.(Send); ok && ms[s.To.ID] != nil {
				deliver(s.To.ID, ms[s.To.ID].Receive(now, from, (*peerpb.Membership)(s.Message)))
			}
		}
	}
	deliver("a", ms["a"].Hint(now, list))
	for i := range 200 {
		now = now.Add(50 * time.Millisecond)
		for _, id := range []string{"a", "b"} {
			if ms[id] != nil {
				deliver(id, ms[id].Tick(now))
			}
		}
		if i == 40 {
			if e, ok := ms["a"].View().Member("b"); !ok || e.State != Alive {
				t.Fatalf("b is %v, %v at a", e, ok)
			}
			delete(ms, "b")
		}
	}
	if e, _ := ms["a"].View().Member("b"); e.State != Dead {
		t.Fatalf("b is %v after 8 s of silence", e.State)
	}
}
