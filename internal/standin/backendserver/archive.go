package backendserver

import (
	"encoding/binary"
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// archiveStore generates archives on demand. Content and entity tag depend only on the
// service, the name, the seed and the size, so that all servers of a service return the
// same archive.
type archiveStore struct {
	mu     sync.Mutex
	cached map[archiveKey][]byte
}

type archiveKey struct {
	service, name string
	seed          uint64
	size          int
}

func (k archiveKey) hash() uint64 {
	d := xxhash.NewWithSeed(k.seed)
	_, _ = d.WriteString(k.service + "\x00" + k.name)
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(k.size))
	_, _ = d.Write(b[:])
	return d.Sum64()
}

func (k archiveKey) etag() []byte { return binary.BigEndian.AppendUint64(nil, k.hash()) }

// maxCachedArchives bounds the cache to about 130 MB per process at 8 MB per archive.
const maxCachedArchives = 16

func (s *archiveStore) get(k archiveKey) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.cached[k]; ok {
		return b
	}
	b := ArchiveContent(k.service, k.name, k.seed, k.size)
	if s.cached == nil || len(s.cached) >= maxCachedArchives {
		s.cached = map[archiveKey][]byte{}
	}
	s.cached[k] = b
	return b
}

// ArchiveContent returns the complete content of an archive.
func ArchiveContent(service, name string, seed uint64, size int) []byte {
	k := archiveKey{service: service, name: name, seed: seed, size: size}
	rng := rand.New(rand.NewPCG(k.hash(), seed))
	b := make([]byte, 0, size+8)
	for len(b) < size {
		b = binary.LittleEndian.AppendUint64(b, rng.Uint64())
	}
	return b[:size]
}
