package flow

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// slab stores entries without pointers, addressed by slot number. Slot 0 is not used,
// so that 0 means "none". An entry may move when another one is allocated.
type slab[T any] struct {
	entries []T
	free    []uint32
	used    uint32 // highest slot that was ever allocated
}

func (s *slab[T]) at(slot uint32) *T { return &s.entries[slot] }

func (s *slab[T]) alloc() uint32 {
	if n := len(s.free); n > 0 {
		slot := s.free[n-1]
		s.free = s.free[:n-1]
		return slot
	}
	s.used++
	if n := len(s.entries); int(s.used) >= n {
		// Growth by a sixteenth leaves at most 6% unused; doubling would exceed 96
		// bytes per flow.
		grown := make([]T, n+max(minGrowth, n/16))
		copy(grown, s.entries)
		s.entries = grown
	}
	return s.used
}

func (s *slab[T]) release(slot uint32) { s.free = append(s.free, slot) }

const (
	minGrowth = 8  // entries of a slab
	chunkSize = 32 // values of a pool
)

// pool stores equal values once and counts their uses. Index 0 is the empty value.
// The stored values of an index do not change while it is in use, so get needs no
// lock.
type pool[T string | []byte] struct {
	chunks atomic.Pointer[[]*[chunkSize]pooled[T]]

	mu     sync.Mutex // guards everything below and the uses
	byHash map[uint64]uint32
	free   []uint32
	used   uint32
}

type pooled[T string | []byte] struct {
	value T
	hash  uint64
	uses  uint32
}

func (p *pool[T]) at(index uint32) *pooled[T] {
	return &(*p.chunks.Load())[index/chunkSize][index%chunkSize]
}

func (p *pool[T]) get(index uint32) (v T) {
	if index == 0 {
		return v
	}
	return p.at(index).value
}

// acquire stores a copy of the value and returns its index.
func (p *pool[T]) acquire(v T) uint32 {
	if len(v) == 0 {
		return 0
	}
	hash := xxhash.Sum64([]byte(v))
	p.mu.Lock()
	defer p.mu.Unlock()
	index, ok := p.byHash[hash]
	if ok && string(p.at(index).value) == string(v) {
		p.at(index).uses++
		return index
	}
	index = p.alloc()
	*p.at(index) = pooled[T]{value: T(append([]byte(nil), v...)), hash: hash, uses: 1}
	if !ok { // otherwise two values have one hash, and the second is not shared
		if p.byHash == nil {
			p.byHash = make(map[uint64]uint32)
		}
		p.byHash[hash] = index
	}
	return index
}

func (p *pool[T]) alloc() uint32 {
	if n := len(p.free); n > 0 {
		index := p.free[n-1]
		p.free = p.free[:n-1]
		return index
	}
	var chunks []*[chunkSize]pooled[T]
	if old := p.chunks.Load(); old != nil {
		chunks = *old
	}
	p.used++
	if int(p.used/chunkSize) >= len(chunks) {
		// Readers keep the old slice.
		chunks = append(chunks[:len(chunks):len(chunks)], new([chunkSize]pooled[T]))
		p.chunks.Store(&chunks)
	}
	return p.used
}

func (p *pool[T]) release(index uint32) {
	if index == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.at(index)
	if e.uses--; e.uses > 0 {
		return
	}
	if p.byHash[e.hash] == index {
		delete(p.byHash, e.hash)
	}
	*e = pooled[T]{}
	p.free = append(p.free, index)
}
