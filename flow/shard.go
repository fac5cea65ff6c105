package flow

import (
	"sync"
	"time"
)

const (
	shardBits = 12
	maxShards = 1 << shardBits

	// ticksPerSecond is the resolution of stored times; 32 bits span 6.8 years
	// around the first use of the table.
	ticksPerSecond = 10
	tick           = time.Second / ticksPerSecond

	flagException = 1 << 4
	flagDirty     = 1 << 5 // the copy is out of date
	flagInherited = 1 << 6 // sequence has 24 bits and was set by another holder
	flagQueued    = 1 << 7 // in the outbox
	tokenLenMask  = 1<<4 - 1
)

// flowEntry is a held flow (32 bytes).
type flowEntry struct {
	key     packedKey
	streams uint32 // first stream, 0 if none
	seen    int32  // ticks
}

// streamEntry is a held stream (44 bytes). Values that repeat are pool indexes.
type streamEntry struct {
	last       [2]uint32 // sequence, split to avoid 8-byte alignment
	token      [MaxToken]byte
	flow       uint32
	next       uint32 // next stream of the flow
	request    uint32
	server     uint32
	copiedTo   uint32  // runner-up that has a copy
	created    int32   // ticks
	generation [3]byte // makes the IDs of a reused slot differ
	flags      uint8   // and the token length
}

func (s *streamEntry) sequence() uint64 { return uint64(s.last[1])<<32 | uint64(s.last[0]) }

func (s *streamEntry) setSequence(n uint64) { s.last = [2]uint32{uint32(n), uint32(n >> 32)} }

// version returns the generation as a number of 24 bits.
func (s *streamEntry) version() uint32 {
	return uint32(s.generation[0]) | uint32(s.generation[1])<<8 | uint32(s.generation[2])<<16
}

func (s *streamEntry) packedToken() packedToken {
	return packedToken{bytes: s.token, len: s.flags & tokenLenMask}
}

// copyKey identifies a stored copy.
type copyKey struct {
	flow  packedKey
	token packedToken
}

// copyEntry is a copy of another instance's stream.
type copyEntry struct {
	from     uint32
	request  uint32
	server   uint32 // 0 unless the stream is an exception
	sequence uint32 // last number, or the clock when the copy was stored if later
	created  int32  // ticks
	stored   int32  // ticks
}

// shard holds the flows whose hash has the shard's number in its lowest bits.
type shard struct {
	mu      sync.Mutex
	index   index
	flows   slab[flowEntry]
	streams slab[streamEntry]
	copies  map[copyKey]copyEntry
	hand    uint32 // next flow to examine for eviction
}

// evict forgets the flow without a stream that has been idle longest among the next
// examined ones, if it was last seen at or before idleSince.
func (s *shard) evict(examined int, idleSince int32) bool {
	victim, oldest := uint32(0), idleSince
	for range min(examined, int(s.flows.used)) {
		s.hand = s.hand%s.flows.used + 1
		if f := s.flows.at(s.hand); f.inUse() && f.streams == 0 && f.seen <= oldest {
			victim, oldest = s.hand, f.seen
		}
	}
	if victim == 0 {
		return false
	}
	s.forget(victim)
	return true
}

// inUse reports whether the slot holds a flow. Every service ID is positive.
func (f *flowEntry) inUse() bool { return f.key != packedKey{} }

func (s *shard) addFlow(hash uint64, key packedKey, seen int32) uint32 {
	slot := s.flows.alloc()
	*s.flows.at(slot) = flowEntry{key: key, seen: seen}
	s.index.insert(hash, slot, &s.flows)
	return slot
}

func (s *shard) forget(slot uint32) {
	f := s.flows.at(slot)
	s.index.remove(s.index.hash(&f.key), slot, &s.flows)
	*f = flowEntry{}
	s.flows.release(slot)
}

// find returns the slot of the stream with the token, or 0.
func (s *shard) find(flow uint32, token packedToken) uint32 {
	if flow == 0 {
		return 0
	}
	slot := s.flows.at(flow).streams
	for slot != 0 {
		e := s.streams.at(slot)
		if e.packedToken() == token {
			break
		}
		slot = e.next
	}
	return slot
}
