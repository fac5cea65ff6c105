package flow

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// slab stores entries of a pointer-free type by slot number. Slot 0 is not used, so that 0
// means "none". Pointers to entries become invalid when another entry is allocated.
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
		// Growth by 1/16 leaves at most 6% unused. Doubling would exceed the limit of
		// 96 bytes per flow.
		grown := make([]T, n+max(minSlabGrowth, n/16))
		copy(grown, s.entries)
		s.entries = grown
	}
	return s.used
}

func (s *slab[T]) release(slot uint32) { s.free = append(s.free, slot) }

const (
	minSlabGrowth = 8  // entries of a slab
	poolChunkSize = 32 // values of a pool
)

// pool stores equal values once, with reference counts. Index 0 is the empty value.
// The value of an index does not change while the index is in use, so get needs no
// lock.
type pool[T string | []byte] struct {
	chunks atomic.Pointer[[]*[poolChunkSize]pooled[T]]

	mu     sync.Mutex // guards the fields below and pooled.uses
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
	return &(*p.chunks.Load())[index/poolChunkSize][index%poolChunkSize]
}

func (p *pool[T]) get(index uint32) (v T) {
	if index == 0 {
		return v
	}
	return p.at(index).value
}

// acquire returns the index of a stored copy of the value and adds a reference to it.
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
	if !ok { // otherwise the hash collides with another value, and this one is not shared
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
	var chunks []*[poolChunkSize]pooled[T]
	if old := p.chunks.Load(); old != nil {
		chunks = *old
	}
	p.used++
	if int(p.used/poolChunkSize) >= len(chunks) {
		// The old slice is not modified, because readers may still use it.
		chunks = append(chunks[:len(chunks):len(chunks)], new([poolChunkSize]pooled[T]))
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
