package config

import (
	"sync"
	"sync/atomic"

	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// maxKeptVersions is how many versions a peer can be behind and still receive only a
	// delta. Each kept version costs about 0.5 MB at 2,800 services, because unchanged
	// services are shared.
	maxKeptVersions = 4
	// maxCachedEncodings bounds the encoded responses cached for concurrent requests of peers.
	maxCachedEncodings = 4
)

// Current holds the configuration in force at one instance. The zero value holds none.
// It is safe for concurrent use; Get does not block.
type Current struct {
	current atomic.Pointer[Config]

	mu            sync.Mutex
	history       []*Config         // earlier versions, oldest first
	encodedByBase map[uint64][]byte // responses for the version in force, by the version known to the peer
}

// Get returns the configuration in force, or nil if there is none yet.
func (c *Current) Get() *Config { return c.current.Load() }

// Version returns the version in force, or 0 if there is none yet.
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
		c.history = append(c.history, old)
		if len(c.history) > maxKeptVersions {
			c.history = append([]*Config(nil), c.history[1:]...)
		}
	}
	c.encodedByBase = nil
	c.current.Store(n)
	return true
}

// EncodeSince returns the response for a peer that has version peerVersion: nil if the peer
// is not behind, a delta if that version is still kept, and otherwise (or if peerVersion
// is 0) the full configuration.
func (c *Current) EncodeSince(peerVersion uint64) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.current.Load()
	if n == nil || peerVersion >= n.Version {
		return nil, nil
	}
	var base *Config
	for _, k := range c.history {
		if k.Version == peerVersion {
			base = k
		}
	}
	if base == nil {
		peerVersion = 0
	}
	if b, ok := c.encodedByBase[peerVersion]; ok {
		return b, nil
	}
	b, err := encodeSince(base, n)
	if err != nil {
		return nil, err
	}
	if c.encodedByBase == nil || len(c.encodedByBase) >= maxCachedEncodings {
		c.encodedByBase = make(map[uint64][]byte)
	}
	c.encodedByBase[peerVersion] = b
	return b, nil
}

// ApplyEncoded puts into force a response that a peer produced with EncodeSince. Code
// result.ConfigStale or result.DigestMismatch means that the delta does not match the
// version in force here; the caller then requests the full configuration (peerVersion 0).
func (c *Current) ApplyEncoded(b []byte) (changed bool, err error) {
	if len(b) == 0 {
		return false, result.Errorf(result.ConfigMalformed, "configuration is empty")
	}
	n, err := decodeWithBase(c.Get(), b)
	if err != nil {
		return false, err
	}
	return c.Apply(n), nil
}
