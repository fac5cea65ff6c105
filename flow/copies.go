package flow

import (
	"container/heap"
	"hash/maphash"
	"sync"
	"time"
)

const (
	// maxCreditPeriod limits the burst after a pause between calls of Copies.
	maxCreditPeriod = time.Second

	// These rates limit the checks whether a stream has another standby instance. At 3 us
	// per check with 89 candidates, the normal rate takes 0.3% of a core, and the rate of
	// the pass that StandbysChanged starts takes 3%.
	standbyChecksPerSecond     = 1000
	fastStandbyChecksPerSecond = 10000

	// maxTombstones limits the removals that wait for the budget. The oldest are
	// dropped; an orphaned copy causes one registration that the caller rejects.
	maxTombstones = 1 << 14
)

// outbox holds the copies and removals to send to standby instances. Entries refer to
// streams by ID and are validated when they are dequeued.
type outbox struct {
	mu                 sync.Mutex
	scheduled          []dueStream // streams below MinCopyAge, in order of due
	pending            pendingHeap // exceptions first, then the oldest streams
	endedTombstones    []tombstone // copies of streams that have ended
	replacedTombstones []tombstone // copies at former standby instances

	// copyMu guards the fields below, which Copies and StandbysChanged use.
	copyMu          sync.Mutex
	lastCall        time.Time
	credit          int64 // bytes
	checkPosition   cursor
	checkQuota      float64 // streams that may be checked now
	fastShardsLeft  int     // shards left in the pass at fastStandbyChecksPerSecond
	standbysChanged bool
}

type dueStream struct {
	id  uint64
	due int32 // ticks
}

type pendingStream struct {
	id        uint64
	created   int32
	exception bool
}

// tombstone is a pending removal of a copy.
type tombstone struct {
	to    string
	key   packedKey
	token packedToken
}

type pendingHeap []pendingStream

// Len, Swap, Less, Push and Pop implement heap.Interface. Exceptions come first, then
// the streams that were created earliest.
func (h pendingHeap) Len() int      { return len(h) }
func (h pendingHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h pendingHeap) Less(i, j int) bool {
	if h[i].exception != h[j].exception {
		return h[i].exception
	}
	return h[i].created < h[j].created
}
func (h *pendingHeap) Push(x any) { *h = append(*h, x.(pendingStream)) }
func (h *pendingHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// cursor is a position in the streams of a table.
type cursor struct {
	shard int
	slot  uint32 // last visited slot
}

// enqueueStream queues a stream whose copy is out of date. A stream that is not due to be
// copied yet is scheduled for later. The stream's shard is locked.
func (o *outbox) enqueueStream(id uint64, e *streamEntry, ticks, due int32) {
	if e.flags&flagDirty == 0 || e.flags&flagQueued != 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if due > ticks {
		e.flags |= flagQueued
		o.scheduled = append(o.scheduled, dueStream{id, due})
		return
	}
	o.enqueuePending(id, e)
}

// enqueuePending adds a stream to the pending heap. o.mu and the stream's shard are locked.
func (o *outbox) enqueuePending(id uint64, e *streamEntry) {
	e.flags |= flagQueued
	heap.Push(&o.pending, pendingStream{id, e.created, e.flags&flagException != 0})
}

// enqueueRemoval queues the removal of a stream's copy. The stream's shard is locked.
func (o *outbox) enqueueRemoval(t *Table, s *shard, e *streamEntry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.endedTombstones = appendTombstone(o.endedTombstones, t, s, e)
}

func appendTombstone(list []tombstone, t *Table, s *shard, e *streamEntry) []tombstone {
	if len(list) == maxTombstones {
		list = list[1:]
	}
	return append(list, tombstone{t.names.get(e.copiedTo), s.flows.at(e.flow).key, e.packedToken()})
}

// StandbysChanged makes Copies check the standby instance of every stream at the fast
// rate. The daemon calls it when the view has changed; without it a pass takes longer.
func (t *Table) StandbysChanged() {
	t.outbox.copyMu.Lock()
	defer t.outbox.copyMu.Unlock()
	t.outbox.standbysChanged = true
}

// Copies returns the records to send to each standby instance, in order of priority:
// exceptions, removals, other streams by age, then removals of copies at former standby
// instances. On average they take at most budget bytes per second (by Record.WireSize). A
// stream is copied when it reaches MinCopyAge, when its record changes and when its
// standby instance changes. The function standby returns "" if there is none; it must not
// use the table.
func (t *Table) Copies(now time.Time, standby func(Key) string, budget int) map[string][]Record {
	o := &t.outbox
	o.copyMu.Lock()
	defer o.copyMu.Unlock()
	elapsed := min(max(now.Sub(o.lastCall), 0), maxCreditPeriod)
	o.lastCall = now
	o.credit = min(o.credit+int64(budget)*int64(elapsed)/int64(time.Second), int64(budget))
	t.checkStandbys(elapsed, standby)
	out := make(map[string][]Record)
	send := func(to string, r Record) {
		out[to] = append(out[to], r)
		o.credit -= int64(r.WireSize())
	}
	ticks := t.ticks(now)
	o.enqueueDue(ticks, t)
	for o.credit > 0 {
		if r, to, ok := t.nextPending(ticks, standby, true); ok {
			send(to, r)
		} else if r, to, ok := t.nextTombstone(&o.endedTombstones); ok {
			send(to, r)
		} else if r, to, ok := t.nextPending(ticks, standby, false); ok {
			send(to, r)
		} else if r, to, ok := t.nextTombstone(&o.replacedTombstones); ok {
			send(to, r)
		} else {
			break
		}
	}
	return out
}

// enqueueDue moves streams that have reached MinCopyAge to the pending heap.
func (o *outbox) enqueueDue(ticks int32, t *Table) {
	o.mu.Lock()
	n := 0
	for n < len(o.scheduled) && o.scheduled[n].due <= ticks {
		n++
	}
	due := append([]dueStream(nil), o.scheduled[:n]...)
	o.scheduled = append(o.scheduled[:0], o.scheduled[n:]...)
	o.mu.Unlock()
	for _, d := range due {
		if s, e := t.lockStream(d.id); e != nil {
			o.mu.Lock()
			o.enqueuePending(d.id, e)
			o.mu.Unlock()
			s.mu.Unlock()
		}
	}
}

// nextPending returns the next stream to copy and its standby instance. If exception is
// set, only exceptions are considered.
func (t *Table) nextPending(ticks int32, standby func(Key) string, exception bool) (Record, string, bool) {
	o := &t.outbox
	for {
		o.mu.Lock()
		if len(o.pending) == 0 || exception && !o.pending[0].exception {
			o.mu.Unlock()
			return Record{}, "", false
		}
		id := heap.Pop(&o.pending).(pendingStream).id
		o.mu.Unlock()
		if r, to, ok := t.takeCopy(ticks, id, standby); ok {
			return r, to, true
		}
	}
}

// takeCopy returns the record to send to the standby instance of a stream and marks the
// stream as copied. ok is false if no copy is needed now.
func (t *Table) takeCopy(ticks int32, id uint64, standby func(Key) string) (r Record, to string, ok bool) {
	s, e := t.lockStream(id)
	if e == nil {
		return r, "", false
	}
	defer s.mu.Unlock()
	e.flags &^= flagQueued
	if due := e.created + ticksOf(t.cfg.MinCopyAge); due > ticks {
		t.outbox.enqueueStream(id, e, ticks, due)
		return r, "", false
	}
	r = t.record(s, id, e, nil)
	r.Sequence = t.outgoingSequence(e)
	to = standby(r.Key)
	previousStandby := t.names.get(e.copiedTo)
	if to == "" || to == previousStandby && e.flags&flagDirty == 0 {
		return r, "", false
	}
	if previousStandby != "" && previousStandby != to {
		t.outbox.mu.Lock()
		t.outbox.replacedTombstones = appendTombstone(t.outbox.replacedTombstones, t, s, e)
		t.outbox.mu.Unlock()
	}
	t.replaceName(&e.copiedTo, to)
	e.flags &^= flagDirty
	return r, to, true
}

// nextTombstone returns the next removal that is still valid.
func (t *Table) nextTombstone(list *[]tombstone) (Record, string, bool) {
	for {
		t.outbox.mu.Lock()
		if len(*list) == 0 {
			*list = nil
			t.outbox.mu.Unlock()
			return Record{}, "", false
		}
		d := (*list)[0]
		*list = (*list)[1:]
		t.outbox.mu.Unlock()
		if !t.hasNewerCopy(d) {
			return Record{Key: d.key.unpack(), Token: d.token.unpack(), Removed: true}, d.to, true
		}
	}
}

// hasNewerCopy reports whether the instance has since received a new copy of the stream.
func (t *Table) hasNewerCopy(d tombstone) bool {
	hash := maphash.Bytes(t.seed, d.key[:])
	s := t.shardOf(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.findStream(s.index.find(hash, &s.flows, &d.key), d.token)
	return slot != 0 && t.names.get(s.streams.at(slot).copiedTo) == d.to
}

// checkStandbys queues the streams whose standby instance has changed.
func (t *Table) checkStandbys(elapsed time.Duration, standby func(Key) string) {
	o := &t.outbox
	rate := standbyChecksPerSecond
	if o.standbysChanged {
		o.standbysChanged, o.fastShardsLeft = false, len(t.shards)+1
	}
	if o.fastShardsLeft > 0 {
		rate = fastStandbyChecksPerSecond
	}
	o.checkQuota = min(o.checkQuota+float64(rate)*elapsed.Seconds(), fastStandbyChecksPerSecond)
	left := len(t.shards) + 1 // the shard at the cursor is visited in two parts
	o.checkQuota -= float64(t.scan(&o.checkPosition, &left, int(o.checkQuota), func(r Record) bool {
		to := standby(r.Key)
		if s, e := t.lockStream(r.ID); e != nil {
			if to != "" && to != t.names.get(e.copiedTo) && e.flags&flagQueued == 0 {
				o.mu.Lock()
				o.enqueuePending(r.ID, e)
				o.mu.Unlock()
			}
			s.mu.Unlock()
		}
		return true
	}))
	o.fastShardsLeft = max(o.fastShardsLeft-(len(t.shards)+1-left), 0)
}

// StoreCopies stores the copies that an owner sent and applies its removals. At the limit
// new copies are discarded; owners send the most important ones first.
func (t *Table) StoreCopies(now time.Time, from string, rs []Record) {
	ticks := t.ticks(now)
	for _, r := range rs {
		if len(r.Token) <= MaxTokenLen {
			t.storeCopy(ticks, from, r)
		}
	}
}

func (t *Table) storeCopy(ticks int32, from string, r Record) {
	k := copyKey{pack(r.Key), packToken(r.Token)}
	s := t.shardOf(maphash.Bytes(t.seed, k.flow[:]))
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.copies[k]
	if r.Removed {
		// Only the owner that sent a copy may remove it.
		if ok && t.names.get(old.from) == from {
			t.copyCount.Add(-1)
			t.removeCopy(s, k, old)
		}
		return
	}
	if ok {
		t.removeCopy(s, k, old)
	} else if t.copyCount.Add(1) > int64(t.cfg.MaxCopies) {
		t.copyCount.Add(-1)
		return
	}
	c := copyEntry{
		from:     t.names.acquire(from),
		request:  t.requests.acquire(r.Request),
		sequence: r.Sequence,
		created:  t.ticks(r.Created),
		stored:   ticks,
	}
	if r.Exception {
		c.server = t.names.acquire(r.Server)
	}
	if t.cfg.Clock != nil {
		clock := t.cfg.Clock()
		c.sequence = laterSequence(uint32(clock&sequenceMask), r.Sequence)
	}
	if s.copies == nil {
		s.copies = make(map[copyKey]copyEntry)
	}
	s.copies[k] = c
}

// sequenceAt returns an Observe number that the former owner cannot have exceeded by the
// given time. It adds the time since the copy was stored. 0 stays 0, because the stream
// had no notification.
func (c copyEntry) sequenceAt(ticks int32) uint32 {
	if c.sequence == 0 {
		return 0
	}
	passed := int64(max(ticks-c.stored, 0)) * int64(tick/time.Millisecond)
	return max(uint32((int64(c.sequence)+passed+takeOverMarginMillis)&sequenceMask), 1)
}

// TakeOver removes and returns the copies whose owner died. The daemon registers the
// streams that this instance now owns and forwards the others to their owners; both
// operations are idempotent.
func (t *Table) TakeOver(now time.Time, dead string) []Record {
	ticks := t.ticks(now)
	var out []Record
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for k, c := range s.copies {
			if t.names.get(c.from) != dead {
				continue
			}
			out = append(out, Record{
				Key:       k.flow.unpack(),
				Token:     k.token.unpack(),
				Request:   t.requests.get(c.request),
				Server:    t.names.get(c.server),
				Exception: c.server != 0,
				Sequence:  c.sequenceAt(ticks),
				Created:   t.time(c.created),
			})
			t.copyCount.Add(-1)
			t.removeCopy(s, k, c)
		}
		s.mu.Unlock()
	}
	return out
}
