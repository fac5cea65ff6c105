package dispatch

import (
	"slices"
	"time"

	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/config"
)

// role is the relation of this instance to a backend server.
type role uint8

const (
	asking      role = iota // waiting for the previous dispatcher's handover
	quarantined             // all slots count as busy until a time
	owner                   // dispatching
	released                // no longer dispatching; own requests may still run
)

// String returns the name used in status reports.
func (r role) String() string {
	return [...]string{"asking", "quarantined", "owner", "released"}[r]
}

// server is one backend server at this instance.
type server struct {
	// Used by each decision.
	life    *backend.Server
	role    role
	seen    backend.State // state at the last refresh
	running int           // own requests that occupy a slot
	foreign []time.Time   // deadlines of the previous dispatcher's requests, earliest first
	expired int           // foreign requests that expired and were not reported as ended
	limit   int
	free    int
	rate    float64
	// busy is the slot time granted so far, per slot, in seconds. It orders the free
	// servers, so that each is used in proportion to its capacity.
	busy      float64
	heap      int  // position in the heap of free servers, -1 if none is free
	watched   bool // in the scheduler's watch list
	panicking bool // used although ejected

	assigned bool   // in the last SetOwned
	fenced   bool   // ownership was given up by Fence
	previous string // whom to ask
	source   string // who handed over the foreign requests
	returned bool   // asking the instance to which this one handed the server over
	takenBy  string // to whom the server was handed over
	acquired time.Time
	askAgain time.Time
	until    time.Time // end of the quarantine
	lostAt   time.Time
	cfg      config.BackendServer
}

// occupied returns the slots that are or may be busy.
func (v *server) occupied() int { return v.running + len(v.foreign) }

// usable reports whether the server can get requests, now or when a slot is free.
func (v *server) usable() bool { return v.role == owner && v.limit > 0 }

// idempotentOnly reports whether only requests that may be repeated go to the
// server, because it most likely fails.
func (v *server) idempotentOnly() bool { return v.life.State() == backend.Out && !v.panicking }

// expireForeign removes requests whose deadline has passed. After another handover
// the new dispatcher does that.
func (v *server) expireForeign(now time.Time) {
	if v.role == released {
		return
	}
	n := 0
	for n < len(v.foreign) && !now.Before(v.foreign[n]) {
		n++
	}
	v.foreign = v.foreign[n:]
	v.expired += n
}

// endForeign removes requests that the previous dispatcher reports as ended, and
// returns how many of them it had not removed before. Which ones have ended is unknown,
// so those with the latest deadlines stay, and a report counts for one that expired if
// there is any.
func (v *server) endForeign(ended int) int {
	known := min(ended, v.expired)
	v.expired -= known
	ended = min(ended-known, len(v.foreign))
	v.foreign = v.foreign[ended:]
	return ended
}

// setForeign replaces the requests of the previous dispatcher.
func (v *server) setForeign(deadlines []time.Time, source string) {
	slices.SortFunc(deadlines, time.Time.Compare)
	v.foreign, v.expired, v.source = deadlines, 0, source
}

// freeHeap orders the servers with a free slot by busy.
type freeHeap []*server

func (h *freeHeap) update(v *server) {
	switch {
	case v.free > 0 && v.heap < 0:
		v.heap = len(*h)
		*h = append(*h, v)
		h.up(v.heap)
	case v.free > 0:
		h.up(v.heap)
		h.down(v.heap)
	case v.heap >= 0:
		at, last := v.heap, len(*h)-1
		h.swap(at, last)
		(*h)[last] = nil
		*h = (*h)[:last]
		v.heap = -1
		if at < last {
			h.up(at)
			h.down(at)
		}
	}
}

func (h freeHeap) swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heap, h[b].heap = a, b
}

func (h freeHeap) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if h[i].busy >= h[p].busy {
			return
		}
		h.swap(i, p)
		i = p
	}
}

func (h freeHeap) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(h) {
			return
		}
		if c+1 < len(h) && h[c+1].busy < h[c].busy {
			c++
		}
		if h[c].busy >= h[i].busy {
			return
		}
		h.swap(i, c)
		i = c
	}
}
