package timeline

import (
	"sort"
	"sync"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// Field is one key and value of an event.
type Field struct{ Key, Value string }

// Ring is a ring buffer of the most recent events of one process. It is safe for concurrent
// use.
type Ring struct {
	clock    *Clock
	instance string

	mu             sync.Mutex      // protects the fields below
	events         []*peerpb.Event // ordered by timestamp, starting at next once full
	next           int             // index that the next event overwrites once full
	overwrittenHLC uint64          // timestamp of the newest overwritten event
	dropped        uint64          // number of overwritten events
}

// NewRing returns a ring for capacity events (at least 1). clock provides their timestamps.
func NewRing(clock *Clock, instance string, capacity int) *Ring {
	return &Ring{clock: clock, instance: instance, events: make([]*peerpb.Event, 0, max(capacity, 1))}
}

// Record stores an event and overwrites the oldest one when the ring is full.
func (r *Ring) Record(name string, fields ...Field) {
	e := &peerpb.Event{Instance: r.instance, Name: name}
	if len(fields) > 0 {
		e.Fields = make([]string, len(fields))
		for i, f := range fields {
			e.Fields[i] = f.Key + "=" + f.Value
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The timestamp is taken under the lock to keep the ring ordered.
	e.Hlc = r.clock.Now()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.overwrittenHLC = r.events[r.next].Hlc
	r.dropped++
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

// After returns up to limit events with a timestamp above hlc, oldest first; limit 0 means
// all. dropped is 0 if no event after hlc has been overwritten, otherwise the total number of
// events that this ring has overwritten. Events are shared and must not be modified.
func (r *Ring) After(hlc uint64, limit int) (events []*peerpb.Event, dropped uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.events)
	at := func(i int) *peerpb.Event { return r.events[(r.next+i)%n] }
	first := sort.Search(n, func(i int) bool { return at(i).Hlc > hlc })
	count := n - first
	if limit > 0 {
		count = min(count, limit)
	}
	for i := range count {
		events = append(events, at(first+i))
	}
	if r.overwrittenHLC > hlc {
		dropped = r.dropped
	}
	return events, dropped
}
