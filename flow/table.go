package flow

import (
	"bytes"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// evictionSampleFlows is the number of flows from which the one to evict is chosen.
	evictionSampleFlows = 32
	// minEvictionIdle protects flows in use from eviction in favour of new flows.
	minEvictionIdle = 10 * time.Second
)

// Table stores the flows, streams and copies of one instance.
//
// Lock order: handOverMu or outbox.copyMu, then the mutex of at most one shard, then
// at most one of outbox.mu, moveMu and the mutex of a pool.
type Table struct {
	cfg        Config
	seed       maphash.Seed
	timeOrigin atomic.Pointer[time.Time] // origin of ticks: the first time passed to the table
	shards     []shard

	names    pool[string]
	requests pool[[]byte]

	flowCount, streamCount, copyCount atomic.Int64

	outbox outbox

	moveMu sync.Mutex
	moves  moveState

	handOverMu       sync.Mutex
	handOverPosition cursor
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	cfg = cfg.withDefaults()
	t := &Table{cfg: cfg, seed: maphash.MakeSeed(), shards: make([]shard, cfg.Shards)}
	for i := range t.shards {
		t.shards[i].index.seed = t.seed
	}
	return t
}

// Len returns the numbers of flows, streams and copies.
func (t *Table) Len() (flows, streams, copies int) {
	return int(t.flowCount.Load()), int(t.streamCount.Load()), int(t.copyCount.Load())
}

func (t *Table) ticks(now time.Time) int32 {
	base := t.timeOrigin.Load()
	if base == nil {
		base = t.setTimeOrigin(now)
	}
	return int32(now.Sub(*base) / tick)
}

// setTimeOrigin is separate from ticks so that ticks allocates only on first use.
func (t *Table) setTimeOrigin(now time.Time) *time.Time {
	t.timeOrigin.CompareAndSwap(nil, &now)
	return t.timeOrigin.Load()
}

func (t *Table) time(ticks int32) time.Time {
	return t.timeOrigin.Load().Add(time.Duration(ticks) * tick)
}

func (t *Table) shardOf(hash uint64) *shard { return &t.shards[hash&uint64(len(t.shards)-1)] }

// RecordPacket records that a packet of the flow has arrived and adds the flow if it is new.
// The error for a new flow is PrefixLimited or TableFull.
func (t *Table) RecordPacket(now time.Time, k Key) (isNew bool, err error) {
	key, seen := pack(k), t.ticks(now)
	hash := maphash.Bytes(t.seed, key[:])
	s := t.shardOf(hash)
	s.mu.Lock()
	slot := s.index.find(hash, &s.flows, &key)
	if slot != 0 {
		s.flows.at(slot).lastSeen = seen
		s.mu.Unlock()
		return false, nil
	}
	s.mu.Unlock()
	if t.cfg.Limiter != nil && !t.cfg.Limiter.Allow(now, k.Caller.Addr()) {
		return true, result.Errorf(result.PrefixLimited, "too many new flows from the prefix of %s", k.Caller.Addr())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err = t.admitFlow(s, hash, key, seen)
	return true, err
}

// admitFlow returns the slot of the flow and adds the flow if it is new. The error is
// TableFull. The shard is locked.
func (t *Table) admitFlow(s *shard, hash uint64, key packedKey, seen int32) (uint32, error) {
	if slot := s.index.find(hash, &s.flows, &key); slot != 0 {
		s.flows.at(slot).lastSeen = seen
		return slot, nil
	}
	// Each admission also examines two flows, so that idle flows expire without Expire.
	if s.evictIdle(2, seen-ticksOf(t.cfg.IdleTimeout)) {
		t.flowCount.Add(-1)
	}
	if t.flowCount.Add(1) > int64(t.cfg.MaxFlows) || len(s.flows.free) == 0 && s.flows.used == maxSlot {
		if !s.evictIdle(evictionSampleFlows, seen-ticksOf(minEvictionIdle)) {
			t.flowCount.Add(-1)
			return 0, result.Errorf(result.TableFull, "%d flows are held and none is idle", t.cfg.MaxFlows)
		}
		t.flowCount.Add(-1)
	}
	return s.addFlow(hash, key, seen), nil
}

func ticksOf(d time.Duration) int32 { return int32(d / tick) }

// Expire removes the flows without a stream that have been idle for IdleTimeout.
func (t *Table) Expire(now time.Time) {
	since := t.ticks(now) - ticksOf(t.cfg.IdleTimeout)
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for slot := uint32(1); slot <= s.flows.used; slot++ {
			if f := s.flows.at(slot); f.inUse() && f.streams == 0 && f.lastSeen <= since {
				s.removeFlow(slot)
				t.flowCount.Add(-1)
			}
		}
		s.mu.Unlock()
	}
}

// Register adds a stream, or renews the one with the same flow and token, and
// returns its ID. A stored copy of the stream is removed, and the stream inherits its age
// and Observe number. The error is TableFull or, if the token is too long,
// MalformedDatagram.
func (t *Table) Register(now time.Time, r Record) (id uint64, err error) {
	if len(r.Token) > MaxTokenLen {
		return 0, result.Errorf(result.MalformedDatagram, "token of %d bytes", len(r.Token))
	}
	key, ticks, token := pack(r.Key), t.ticks(now), packToken(r.Token)
	hash := maphash.Bytes(t.seed, key[:])
	s := t.shardOf(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.findStream(s.index.find(hash, &s.flows, &key), token)
	if slot == 0 {
		if slot, err = t.addStream(s, hash, key, token, ticks); err != nil {
			return 0, err
		}
		if !r.Created.IsZero() {
			s.streams.at(slot).created = t.ticks(r.Created)
		}
	}
	s.flows.at(s.streams.at(slot).flow).lastSeen = ticks
	e := s.streams.at(slot)
	if c, ok := s.copies[copyKey{key, token}]; ok {
		t.inheritSequence(e, c.sequenceAt(ticks))
		e.created = min(e.created, c.created)
		t.copyCount.Add(-1)
		t.removeCopy(s, copyKey{key, token}, c)
	}
	t.inheritSequence(e, r.Sequence)
	if !bytes.Equal(t.requests.get(e.request), r.Request) {
		t.requests.release(e.request)
		e.request = t.requests.acquire(r.Request)
		e.flags |= flagDirty
	}
	if r.Server != "" {
		t.setServer(e, r.Server, r.Exception)
	}
	id = t.idOf(hash, slot, e)
	t.outbox.enqueueStream(id, e, ticks, e.created+ticksOf(t.cfg.MinCopyAge))
	return id, nil
}

func (t *Table) addStream(s *shard, hash uint64, key packedKey, token packedToken, ticks int32) (uint32, error) {
	if t.streamCount.Add(1) > int64(t.cfg.MaxStreams) || len(s.streams.free) == 0 && s.streams.used == maxSlot {
		t.streamCount.Add(-1)
		return 0, result.Errorf(result.TableFull, "%d streams are held", t.cfg.MaxStreams)
	}
	flow, err := t.admitFlow(s, hash, key, ticks)
	if err != nil {
		t.streamCount.Add(-1)
		return 0, err
	}
	slot := s.streams.alloc()
	e, f := s.streams.at(slot), s.flows.at(flow)
	*e = streamEntry{generation: e.generation, flow: flow, token: token.bytes, flags: token.len | flagDirty, created: ticks, next: f.streams}
	f.streams = slot
	return slot, nil
}

// inheritSequence adopts the Observe number of an earlier owner unless the stream's own is
// later.
func (t *Table) inheritSequence(e *streamEntry, sequence uint32) {
	own := e.observeNumber()
	if laterSequence(own, sequence) == own {
		return
	}
	e.setSequence(uint64(sequence))
	e.flags |= flagInherited
	if t.cfg.Clock != nil {
		e.extendSequence(t.cfg.Clock())
	}
}

// extendSequence extends an inherited Observe number to 64 bits.
func (e *streamEntry) extendSequence(clock uint64) {
	if e.flags&flagInherited != 0 {
		e.flags &^= flagInherited
		e.setSequence(unwrapSequence(e.observeNumber(), clock))
	}
}

// outgoingSequence returns the Observe number to send to another instance. It is not behind
// the clock, so that the receiver can bound the numbers that follow it.
func (t *Table) outgoingSequence(e *streamEntry) uint32 {
	if t.cfg.Clock == nil {
		return e.observeNumber()
	}
	return uint32(max(e.sequence(), t.cfg.Clock()) & sequenceMask)
}

func (e *streamEntry) observeNumber() uint32 { return e.sequenceWords[0] & sequenceMask }

// setServer records the server. This makes the copy out of date only if the stream is or was
// an exception, because the standby instance computes the other servers.
func (t *Table) setServer(e *streamEntry, server string, exception bool) {
	wasException := e.flags&flagException != 0
	if wasException != exception || exception && t.names.get(e.server) != server {
		e.flags |= flagDirty
		e.flags &^= flagQueued // its position in the outbox changes
	}
	e.flags &^= flagException
	if exception {
		e.flags |= flagException
	}
	t.replaceName(&e.server, server)
}

// idOf returns the ID of a stream, which consists of its generation, shard and slot.
func (t *Table) idOf(hash uint64, slot uint32, e *streamEntry) uint64 {
	return t.makeID(int(hash&uint64(len(t.shards)-1)), slot, e)
}

func (t *Table) makeID(shard int, slot uint32, e *streamEntry) uint64 {
	return uint64(e.generationNumber())<<32 | uint64(shard)<<slotBits | uint64(slot)
}

// lockStream locks the shard of a stream and returns the shard and the entry. If the stream
// does not exist, it returns nil and holds no lock.
func (t *Table) lockStream(id uint64) (*shard, *streamEntry) {
	number, slot := int(id>>slotBits)&(maxShards-1), uint32(id&maxSlot)
	if number >= len(t.shards) || slot == 0 {
		return nil, nil
	}
	s := &t.shards[number]
	s.mu.Lock()
	if slot <= s.streams.used {
		if e := s.streams.at(slot); e.flow != 0 && uint64(e.generationNumber()) == id>>32 {
			return s, e
		}
	}
	s.mu.Unlock()
	return nil, nil
}

// record builds the Record of a stream. A nil token is copied from the entry.
func (t *Table) record(s *shard, id uint64, e *streamEntry, token []byte) Record {
	if token == nil {
		token = e.packedToken().unpack()
	}
	return Record{
		Key:       s.flows.at(e.flow).key.unpack(),
		ID:        id,
		Token:     token,
		Request:   t.requests.get(e.request),
		Server:    t.names.get(e.server),
		Exception: e.flags&flagException != 0,
		Sequence:  e.observeNumber(),
		Created:   t.time(e.created),
	}
}

// Stream returns the stream with the flow and token. The Token of the returned record is
// the slice that was passed in.
func (t *Table) Stream(k Key, token []byte) (Record, bool) {
	if len(token) > MaxTokenLen {
		return Record{}, false
	}
	key := pack(k)
	hash := maphash.Bytes(t.seed, key[:])
	s := t.shardOf(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.findStream(s.index.find(hash, &s.flows, &key), packToken(token))
	if slot == 0 {
		return Record{}, false
	}
	e := s.streams.at(slot)
	if token == nil {
		token = []byte{}
	}
	return t.record(s, t.idOf(hash, slot, e), e, token), true
}

// ByID returns the stream with the ID that Register returned.
func (t *Table) ByID(id uint64) (Record, bool) {
	s, e := t.lockStream(id)
	if e == nil {
		return Record{}, false
	}
	defer s.mu.Unlock()
	return t.record(s, id, e, nil), true
}
