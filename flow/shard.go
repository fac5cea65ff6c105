package flow

import (
	"sync"
	"time"
)

const (
	shardBits = 12
	maxShards = 1 << shardBits

	// ticksPerSecond is the resolution of stored times. 32 bits cover 6.8 years before
	// and after the first use of the table.
	ticksPerSecond = 10
	tick           = time.Second / ticksPerSecond

	flagException = 1 << 4
	flagDirty     = 1 << 5 // the copy is out of date
	flagInherited = 1 << 6 // sequence has only 24 bits, from another owner
	flagQueued    = 1 << 7 // in the outbox
	tokenLenMask  = 1<<4 - 1
)

// flowEntry is a flow of this instance (32 bytes).
type flowEntry struct {
	key      packedKey
	streams  uint32 // first stream, 0 if none
	lastSeen int32  // ticks
}

// streamEntry is a stream of this instance (44 bytes). The fields request, server and
// copiedTo are pool indexes.
type streamEntry struct {
	sequenceWords [2]uint32 // sequence, lower word first; split to avoid 8-byte alignment
	token         [MaxTokenLen]byte
	flow          uint32
	next          uint32 // next stream of the flow
	request       uint32
	server        uint32
	copiedTo      uint32  // instance that has a copy
	created       int32   // ticks
	generation    [3]byte // distinguishes the stream IDs of a reused slot
	flags         uint8   // and the token length
}

func (s *streamEntry) sequence() uint64 {
	return uint64(s.sequenceWords[1])<<32 | uint64(s.sequenceWords[0])
}

func (s *streamEntry) setSequence(n uint64) { s.sequenceWords = [2]uint32{uint32(n), uint32(n >> 32)} }

// generationNumber returns the generation as a 24-bit number.
func (s *streamEntry) generationNumber() uint32 {
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

// copyEntry is a copy of a stream of another instance. The fields from, request and server
// are pool indexes.
type copyEntry struct {
	from     uint32
	request  uint32
	server   uint32 // 0 unless the stream is an exception
	sequence uint32 // last Observe number, or the clock when the copy was stored if that is later
	created  int32  // ticks
	stored   int32  // ticks
}

// shard holds the flows whose hash contains the shard's number in its lowest bits.
type shard struct {
	mu            sync.Mutex
	index         index
	flows         slab[flowEntry]
	streams       slab[streamEntry]
	copies        map[copyKey]copyEntry
	evictPosition uint32 // slot that was last examined for eviction
}

// evictIdle examines the next flows and evicts the longest idle one without a stream, if it
// was last seen at or before idleSince. It reports whether a flow was evicted.
func (s *shard) evictIdle(examined int, idleSince int32) bool {
	victim, oldest := uint32(0), idleSince
	for range min(examined, int(s.flows.used)) {
		s.evictPosition = s.evictPosition%s.flows.used + 1
		if f := s.flows.at(s.evictPosition); f.inUse() && f.streams == 0 && f.lastSeen <= oldest {
			victim, oldest = s.evictPosition, f.lastSeen
		}
	}
	if victim == 0 {
		return false
	}
	s.removeFlow(victim)
	return true
}

// inUse reports whether the slot contains a flow. Service IDs are positive, so no flow has
// the zero key.
func (f *flowEntry) inUse() bool { return f.key != packedKey{} }

func (s *shard) addFlow(hash uint64, key packedKey, seen int32) uint32 {
	slot := s.flows.alloc()
	*s.flows.at(slot) = flowEntry{key: key, lastSeen: seen}
	s.index.insert(hash, slot, &s.flows)
	return slot
}

func (s *shard) removeFlow(slot uint32) {
	f := s.flows.at(slot)
	s.index.remove(s.index.hash(&f.key), slot, &s.flows)
	*f = flowEntry{}
	s.flows.release(slot)
}

// findStream returns the slot of the flow's stream with the token, or 0.
func (s *shard) findStream(flow uint32, token packedToken) uint32 {
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
