// Package slowstart limits the opening packets that a backend server gets while it is cold, which
// it is for a while after its start. It performs no I/O. Times are monotonic durations since the
// start of the process.
package slowstart

import (
	"math"
	"time"
)

// Limit is the limit of the opening packets that all instances together send to a cold server in
// any second.
type Limit struct {
	Rate    float64 // opening packets per second that a cold server bears
	Overage float64 // factor on Rate
	Slack   float64 // opening packets per second beyond that
}

// Enabled reports whether there is a limit.
func (l Limit) Enabled() bool { return l.Overage > 0 || l.Slack > 0 }

// Share returns the opening packets that the owner of a cold server may send to it in a span. It is
// half of the limit, so that the limit holds while a former owner does not know yet that it is none.
func (l Limit) Share() int {
	return int(min((l.Rate*l.Overage+l.Slack)/2, math.MaxInt32))
}

const (
	// Span is the time in which a Window holds at most one share. It is longer than the second
	// that the limit is about, because packets that were sent over 1.2 s may arrive within one.
	Span = 1200 * time.Millisecond
	// slotTime is the resolution of a Window. A packet counts for up to one slotTime longer than
	// Span.
	slotTime  = 100 * time.Millisecond
	spanSlots = int(Span/slotTime) + 1 // slots that a span touches at most
	// maxCount bounds the packets of a slot, so that a Window takes 40 bytes: there is one for each
	// of up to 12,000 servers.
	maxCount = math.MaxUint16
)

// Window counts the opening packets of the last span. The zero value is empty.
type Window struct {
	counts [spanSlots]uint16 // by slot number modulo spanSlots
	newest int64             // number of the newest slot with a packet
}

// Allows reports whether the last span holds fewer than share packets. It counts nothing.
func (w *Window) Allows(now time.Duration, share int) bool { return w.sum(now) < min(share, maxCount) }

// Take counts a packet and returns true unless the last span already holds share packets.
func (w *Window) Take(now time.Duration, share int) bool {
	if !w.Allows(now, share) {
		return false
	}
	slot := int64(now / slotTime)
	for i := max(w.newest+1, slot-int64(spanSlots)+1); i <= slot; i++ {
		w.counts[i%int64(spanSlots)] = 0
	}
	w.newest = max(w.newest, slot)
	w.counts[w.newest%int64(spanSlots)]++
	return true
}

// sum returns the number of packets in the last span.
func (w *Window) sum(now time.Duration) int {
	n := 0
	for i := max(int64(now/slotTime)-int64(spanSlots)+1, 0); i <= w.newest; i++ {
		n += int(w.counts[i%int64(spanSlots)])
	}
	return n
}
