package config

import (
	"sync"
	"sync/atomic"

	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// keptVersions is how many versions a peer can be behind and still get only the
	// changes. One version more costs about 0.5 MB at 2,800 services, because
	// unchanged services are shared.
	keptVersions = 4
	// cachedEncodings bounds the encoded answers kept for peers that ask at once.
	cachedEncodings = 4
)

// Current is the configuration in force at one instance. The zero value holds none.
// It is safe for concurrent use; Get does not block.
type Current struct {
	current atomic.Pointer[Config]

	mu      sync.Mutex
	kept    []*Config         // earlier versions, oldest first
	encoded map[uint64][]byte // answers for the version in force, by known version
}

// Get returns the configuration in force, or nil before the first.
func (c *Current) Get() *Config { return c.current.Load() }

// Version returns the version in force, or 0 before the first.
func (c *Current) Version() uint64 {
	if n := c.Get(); n != nil {
		return n.Version
	}
	return 0
}

// Apply puts n into force if its version is higher than the one in force.
func (c *Current) Apply(n *Config) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.current.Load()
	if n == nil || old != nil && n.Version <= old.Version {
		return false
	}
	if old != nil {
		c.kept = append(c.kept, old)
		if len(c.kept) > keptVersions {
			c.kept = append([]*Config(nil), c.kept[1:]...)
		}
	}
	c.encoded = nil
	c.current.Store(n)
	return true
}

// EncodeSince answers a peer that has the version known: nil if it is not behind,
// otherwise the changes since then, or the whole configuration where that version is
// no longer kept (or known is 0).
func (c *Current) EncodeSince(known uint64) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.current.Load()
	if n == nil || known >= n.Version {
		return nil, nil
	}
	var base *Config
	for _, k := range c.kept {
		if k.Version == known {
			base = k
		}
	}
	if base == nil {
		known = 0
	}
	if b, ok := c.encoded[known]; ok {
		return b, nil
	}
	b, err := encodeSince(base, n)
	if err != nil {
		return nil, err
	}
	if c.encoded == nil || len(c.encoded) >= cachedEncodings {
		c.encoded = make(map[uint64][]byte)
	}
	c.encoded[known] = b
	return b, nil
}

// ApplyEncoded puts into force what a peer answered with EncodeSince. Code 404 or
// 405 means that the changes do not fit the version in force here; the caller then
// asks for the whole configuration (known version 0).
func (c *Current) ApplyEncoded(b []byte) (changed bool, err error) {
	if len(b) == 0 {
		return false, result.Errorf(result.ConfigMalformed, "configuration is empty")
	}
	n, err := decodeOnto(c.Get(), b)
	if err != nil {
		return false, err
	}
	return c.Apply(n), nil
}
