package dispatch

import (
	"slices"
	"time"

	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/config"
)

// role is the role of this instance for a backend server.
type role uint8

const (
	roleAwaitingHandover role = iota // waiting for the handover from the previous dispatcher
	roleQuarantined                  // all slots count as busy until quarantineEnd
	roleOwner                        // dispatching
	roleReleased                     // no longer dispatching; requests of this instance may still run
)

// String returns the name used in status reports.
func (r role) String() string {
	return [...]string{"asking", "quarantined", "owner", "released"}[r]
}

// server is the state of one backend server at this instance.
type server struct {
	number uint64 // identifies the server in queued requests, above 0; stable across assignments
	// Fields used by each scheduling decision.
	backend        *backend.Server
	role           role
	reportedState  backend.State // state at the last refresh
	running        int           // requests of this instance that occupy a slot
	inherited      []time.Time   // deadlines of the requests of previous dispatchers, earliest first
	unreportedEnds int           // inherited requests that expired before their end was reported
	limit          int           // slots that may be busy at the same time now
	free           int           // slots within limit that are free
	serviceRate    float64       // requests per second that the slots within limit complete
	// slotTime is the time for which slots were granted so far, per slot, in seconds. Free
	// servers are ordered by it, so that each is used in proportion to its capacity.
	slotTime  float64
	heapIndex int  // position in the heap of free servers, -1 if no slot is free
	polled    bool // in the scheduler's poll list
	panicMode bool // ejected, but used because too many servers are ejected

	assigned bool // in the list of the last SetAssignments
	fenced   bool // ownership was given up by Fence
	// takeoverIncomplete is set when the server was assigned elsewhere before the
	// previous dispatcher had handed it over, so the request count here is incomplete.
	takeoverIncomplete  bool
	previous            string // instance from which the handover is requested
	fromSuccessor       bool   // previous is the instance to which this one handed the server over
	successor           string // instance to which the server was handed over
	takeoverStart       time.Time
	nextHandoverRequest time.Time
	quarantineEnd       time.Time
	releasedAt          time.Time
	// lastInheritedExpiry is when inherited requests expired last.
	lastInheritedExpiry time.Time
	cfg                 config.BackendServer
}

// occupiedSlots returns the number of slots that are or may be busy.
func (srv *server) occupiedSlots() int { return srv.running + len(srv.inherited) }

// usable reports whether the server can get requests, now or once a slot is free.
func (srv *server) usable() bool { return srv.role == roleOwner && srv.limit > 0 }

// idempotentOnly reports whether the server may only get idempotent requests, because
// it is ejected and will most likely fail them.
func (srv *server) idempotentOnly() bool {
	return srv.backend.State() == backend.Ejected && !srv.panicMode
}

// expireInherited removes inherited requests whose deadline has passed. For a released
// server, the new dispatcher does that.
func (srv *server) expireInherited(now time.Time) {
	if srv.role == roleReleased {
		return
	}
	n := 0
	for n < len(srv.inherited) && !now.Before(srv.inherited[n]) {
		n++
	}
	if n > 0 {
		srv.inherited = srv.inherited[n:]
		srv.unreportedEnds += n
		srv.lastInheritedExpiry = now
	}
}

// endInherited removes requests that the previous dispatcher reported as ended, and
// returns how many of them had not expired before. A report does not identify the
// request: it is counted for an expired request if there is one, and otherwise for the
// request with the earliest deadline.
func (srv *server) endInherited(ended int) int {
	known := min(ended, srv.unreportedEnds)
	srv.unreportedEnds -= known
	ended = min(ended-known, len(srv.inherited))
	srv.inherited = srv.inherited[ended:]
	return ended
}

// setInherited replaces the inherited requests. The end of requests that expired
// recently may still be reported.
func (srv *server) setInherited(now time.Time, deadlines []time.Time) {
	slices.SortFunc(deadlines, time.Time.Compare)
	srv.inherited = deadlines
	if now.Sub(srv.lastInheritedExpiry) > endReportWindow {
		srv.unreportedEnds = 0
	}
}

// endReportWindow is how long after its deadline a request may still be reported as
// ended.
const endReportWindow = time.Second

// freeHeap is a min-heap of the servers with a free slot, ordered by slotTime.
type freeHeap []*server

func (h *freeHeap) update(srv *server) {
	switch {
	case srv.free > 0 && srv.heapIndex < 0:
		srv.heapIndex = len(*h)
		*h = append(*h, srv)
		h.up(srv.heapIndex)
	case srv.free > 0:
		h.up(srv.heapIndex)
		h.down(srv.heapIndex)
	case srv.heapIndex >= 0:
		at, last := srv.heapIndex, len(*h)-1
		h.swap(at, last)
		(*h)[last] = nil
		*h = (*h)[:last]
		srv.heapIndex = -1
		if at < last {
			h.up(at)
			h.down(at)
		}
	}
}

func (h freeHeap) swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heapIndex, h[b].heapIndex = a, b
}

func (h freeHeap) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if h[i].slotTime >= h[p].slotTime {
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
		if c+1 < len(h) && h[c+1].slotTime < h[c].slotTime {
			c++
		}
		if h[c].slotTime >= h[i].slotTime {
			return
		}
		h.swap(i, c)
		i = c
	}
}
