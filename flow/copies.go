package flow

import (
	"container/heap"
	"hash/maphash"
	"sync"
	"time"
)

const (
	// maxCredit bounds the burst after a pause of the calls of Copies.
	maxCredit = time.Second

	// Runner-ups are computed for so many streams per second, which at the 3 us
	// measured with 89 candidates is 0.3% of a core; in the pass that
	// RunnerUpsChanged starts it is 3%.
	verifyRate     = 1000
	verifyFastRate = 10000

	// maxTombstones bounds the removals that wait for the budget. The oldest are
	// dropped; an orphaned copy costs one registration that the caller rejects.
	maxTombstones = 1 << 14
)

// outbox holds what has to be sent to runner-ups. Entries refer to streams by ID and
// are checked when they are taken out.
type outbox struct {
	mu       sync.Mutex
	young    []dueStream // in order of due
	pending  streamHeap  // exceptions first, then the longest-lived
	ended    []tombstone // removals of streams that have ended
	replaced []tombstone // removals of copies at former runner-ups

	// Used only by Copies, one call at a time.
	copies  sync.Mutex
	last    time.Time
	credit  int64 // bytes
	verify  cursor
	quota   float64 // streams to verify
	fast    int     // shards left in a pass at verifyFastRate
	changes bool
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

// tombstone is the removal of a copy.
type tombstone struct {
	to    string
	key   packedKey
	token packedToken
}

type streamHeap []pendingStream

func (h streamHeap) Len() int      { return len(h) }
func (h streamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h streamHeap) Less(i, j int) bool {
	if h[i].exception != h[j].exception {
		return h[i].exception
	}
	return h[i].created < h[j].created
}
func (h *streamHeap) Push(x any) { *h = append(*h, x.(pendingStream)) }
func (h *streamHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// cursor is a position in the streams of a table.
type cursor struct {
	shard int
	slot  uint32 // last one visited
}

// changed queues a stream whose copy is out of date. One that is not due to be
// copied yet waits among the young ones.
func (o *outbox) changed(id uint64, e *streamEntry, ticks, due int32) {
	if e.flags&flagDirty == 0 || e.flags&flagQueued != 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if due > ticks {
		e.flags |= flagQueued
		o.young = append(o.young, dueStream{id, due})
		return
	}
	o.push(id, e)
}

// push adds a stream to the pending ones; o.mu and its shard are locked.
func (o *outbox) push(id uint64, e *streamEntry) {
	e.flags |= flagQueued
	heap.Push(&o.pending, pendingStream{id, e.created, e.flags&flagException != 0})
}

// removed queues the removal of a stream's copy. The stream's shard is locked.
func (o *outbox) removed(t *Table, s *shard, e *streamEntry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = bury(o.ended, t, s, e)
}

func bury(list []tombstone, t *Table, s *shard, e *streamEntry) []tombstone {
	if len(list) == maxTombstones {
		list = list[1:]
	}
	return append(list, tombstone{t.names.get(e.copiedTo), s.flows.at(e.flow).key, e.packedToken()})
}

// RunnerUpsChanged makes Copies check the runner-up of every stream soon. The daemon
// calls it when the view has changed; without it the check takes longer.
func (t *Table) RunnerUpsChanged() {
	t.outbox.copies.Lock()
	defer t.outbox.copies.Unlock()
	t.outbox.changes = true
}

// Copies returns the records to send to each runner-up, in order of importance:
// exceptions, removals, then streams by age. Over time they take at most budget bytes
// per second (by Record.WireSize). A stream is copied when it is older than CopyAge,
// when its record changes and when it gets another runner-up. The function runnerUp
// returns "" where there is none; it must not use the table.
func (t *Table) Copies(now time.Time, runnerUp func(Key) string, budget int) map[string][]Record {
	o := &t.outbox
	o.copies.Lock()
	defer o.copies.Unlock()
	elapsed := min(max(now.Sub(o.last), 0), maxCredit)
	o.last = now
	o.credit = min(o.credit+int64(budget)*int64(elapsed)/int64(time.Second), int64(budget))
	t.verifyRunnerUps(elapsed, runnerUp)
	out := make(map[string][]Record)
	send := func(to string, r Record) {
		out[to] = append(out[to], r)
		o.credit -= int64(r.WireSize())
	}
	ticks := t.ticks(now)
	o.mature(ticks, t)
	for o.credit > 0 {
		if r, to, ok := t.nextPending(ticks, runnerUp, true); ok {
			send(to, r)
		} else if r, to, ok := t.nextTombstone(&o.ended); ok {
			send(to, r)
		} else if r, to, ok := t.nextPending(ticks, runnerUp, false); ok {
			send(to, r)
		} else if r, to, ok := t.nextTombstone(&o.replaced); ok {
			send(to, r)
		} else {
			break
		}
	}
	return out
}

// mature moves streams that have reached CopyAge to the pending ones.
func (o *outbox) mature(ticks int32, t *Table) {
	o.mu.Lock()
	n := 0
	for n < len(o.young) && o.young[n].due <= ticks {
		n++
	}
	due := append([]dueStream(nil), o.young[:n]...)
	o.young = append(o.young[:0], o.young[n:]...)
	o.mu.Unlock()
	for _, d := range due {
		if s, e := t.lock(d.id); e != nil {
			o.mu.Lock()
			o.push(d.id, e)
			o.mu.Unlock()
			s.mu.Unlock()
		}
	}
}

// nextPending returns the next stream to copy. Only exceptions are considered if
// exception is set.
func (t *Table) nextPending(ticks int32, runnerUp func(Key) string, exception bool) (Record, string, bool) {
	o := &t.outbox
	for {
		o.mu.Lock()
		if len(o.pending) == 0 || exception && !o.pending[0].exception {
			o.mu.Unlock()
			return Record{}, "", false
		}
		id := heap.Pop(&o.pending).(pendingStream).id
		o.mu.Unlock()
		if r, to, ok := t.copyTo(ticks, id, runnerUp); ok {
			return r, to, true
		}
	}
}

// copyTo marks a stream as copied to its runner-up, if the copy is out of date.
func (t *Table) copyTo(ticks int32, id uint64, runnerUp func(Key) string) (r Record, to string, ok bool) {
	s, e := t.lock(id)
	if e == nil {
		return r, "", false
	}
	defer s.mu.Unlock()
	e.flags &^= flagQueued
	if due := e.created + ticksOf(t.cfg.CopyAge); due > ticks {
		t.outbox.changed(id, e, ticks, due)
		return r, "", false
	}
	r = t.record(s, id, e, nil)
	r.Sequence = t.outgoing(e)
	to = runnerUp(r.Key)
	had := t.names.get(e.copiedTo)
	if to == "" || to == had && e.flags&flagDirty == 0 {
		return r, "", false
	}
	if had != "" && had != to {
		t.outbox.mu.Lock()
		t.outbox.replaced = bury(t.outbox.replaced, t, s, e)
		t.outbox.mu.Unlock()
	}
	t.setName(&e.copiedTo, to)
	e.flags &^= flagDirty
	return r, to, true
}

// nextTombstone returns the next removal that still holds.
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
		if !t.hasCopy(d) {
			return Record{Key: d.key.unpack(), Token: d.token.unpack(), Removed: true}, d.to, true
		}
	}
}

// hasCopy reports whether the instance has got a new copy of the stream since.
func (t *Table) hasCopy(d tombstone) bool {
	hash := maphash.Bytes(t.seed, d.key[:])
	s := t.shardOf(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.find(s.index.find(hash, &s.flows, &d.key), d.token)
	return slot != 0 && t.names.get(s.streams.at(slot).copiedTo) == d.to
}

// verifyRunnerUps queues the streams that have got another runner-up.
func (t *Table) verifyRunnerUps(elapsed time.Duration, runnerUp func(Key) string) {
	o := &t.outbox
	rate := verifyRate
	if o.changes {
		o.changes, o.fast = false, len(t.shards)+1
	}
	if o.fast > 0 {
		rate = verifyFastRate
	}
	o.quota = min(o.quota+float64(rate)*elapsed.Seconds(), verifyFastRate)
	left := len(t.shards) + 1
	o.quota -= float64(t.scan(&o.verify, &left, int(o.quota), func(r Record) bool {
		to := runnerUp(r.Key)
		if s, e := t.lock(r.ID); e != nil {
			if to != "" && to != t.names.get(e.copiedTo) && e.flags&flagQueued == 0 {
				o.mu.Lock()
				o.push(r.ID, e)
				o.mu.Unlock()
			}
			s.mu.Unlock()
		}
		return true
	}))
	o.fast = max(o.fast-(len(t.shards)+1-left), 0)
}

// StoreCopies stores the copies that a holder sent. At the limit further ones are
// refused; holders send the most important ones first.
func (t *Table) StoreCopies(now time.Time, from string, rs []Record) {
	ticks := t.ticks(now)
	for _, r := range rs {
		if len(r.Token) <= MaxToken {
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
		// Only the holder that sent a copy may remove it.
		if ok && t.names.get(old.from) == from {
			t.copyCount.Add(-1)
			t.dropCopy(s, k, old)
		}
		return
	}
	if ok {
		t.dropCopy(s, k, old)
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
		c.sequence = later(uint32(clock&sequenceMask), r.Sequence)
	}
	if s.copies == nil {
		s.copies = make(map[copyKey]copyEntry)
	}
	s.copies[k] = c
}

// sequenceAt returns a number that the former holder cannot have passed by the given
// time, by adding the time since the copy was stored. 0 stays 0: the stream had not
// been notified.
func (c copyEntry) sequenceAt(ticks int32) uint32 {
	if c.sequence == 0 {
		return 0
	}
	passed := int64(max(ticks-c.stored, 0)) * int64(tick/time.Millisecond)
	return max(uint32((int64(c.sequence)+passed+takeOverMargin)&sequenceMask), 1)
}

// TakeOver removes and returns the copies whose holder died. The daemon registers
// those that it now holds and passes the others on to their holder; both are
// idempotent.
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
			t.dropCopy(s, k, c)
		}
		s.mu.Unlock()
	}
	return out
}
