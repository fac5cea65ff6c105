package config

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/result"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// fate is what happens to one write.
type fate int

const (
	applied fate = iota
	answerLost
	requestLost
	delayed // takes effect at a later call, if its revision still fits
	rateLimited
	malformed // takes effect, but the answer cannot be read
	numFates
)

// fakeStore is a key-value service in memory whose writes can have any fate.
type fakeStore struct {
	mu       sync.Mutex
	values   map[string]stored
	revision uint64
	heads    []Head // every head that was ever written
	late     []func()
	gets     int // of service values
	// turn is called before each call but the reads of service values, without mu.
	turn func() fate
	down bool
}

type stored struct {
	value    []byte
	revision uint64
}

var _ Store = (*fakeStore)(nil)

func newFakeStore() *fakeStore { return &fakeStore{values: map[string]stored{}} }

func (s *fakeStore) fate() fate {
	if s.turn == nil {
		return applied
	}
	return s.turn()
}

func (s *fakeStore) Get(ctx context.Context, key string) ([]byte, uint64, error) {
	f := applied
	if key == HeadKey {
		f = s.fate()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if key != HeadKey {
		s.gets++
	}
	if s.down || f == requestLost || f == answerLost {
		return nil, 0, result.Errorf(result.StoreUnavailable, "outage")
	}
	v, ok := s.values[key]
	if !ok {
		return nil, 0, result.Errorf(result.StoreNotFound, "no %s", key)
	}
	return v.value, v.revision, nil
}

func (s *fakeStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (uint64, error) {
	f := s.fate()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		f = requestLost
	}
	switch f {
	case applied:
		return s.write(key, value, ifRevision)
	case answerLost, malformed:
		s.write(key, value, ifRevision)
	case delayed:
		s.late = append(s.late, func() { s.write(key, value, ifRevision) })
	case rateLimited:
		return 0, result.Errorf(result.StoreRateLimited, "too many calls")
	}
	if f == malformed {
		return 0, result.Errorf(result.StoreMalformed, "no revision")
	}
	return 0, result.Errorf(result.StoreUnavailable, "no answer")
}

func (s *fakeStore) write(key string, value []byte, ifRevision uint64) (uint64, error) {
	if s.values[key].revision != ifRevision {
		return 0, result.Errorf(result.StoreConflict, "revision %d", s.values[key].revision)
	}
	s.revision++
	s.values[key] = stored{value, s.revision}
	if key == HeadKey {
		h, err := DecodeHead(value)
		if err != nil {
			panic(err)
		}
		s.heads = append(s.heads, *h)
	}
	return s.revision, nil
}

// deliverLate lets the i-th delayed write take effect.
func (s *fakeStore) deliverLate(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late[i]()
	s.late = append(s.late[:i], s.late[i+1:]...)
}

func (s *fakeStore) Watch(ctx context.Context, key string, after uint64) ([]byte, uint64, error) {
	value, revision, err := s.Get(ctx, key)
	if err == nil && revision == after {
		return nil, after, nil
	}
	return value, revision, err
}

// testConfig returns a configuration with the given size. Every speed is the same.
func testConfig(services, hosts int, speed uint32) *Config {
	c := &Config{Version: 1, NextServiceID: uint32(services) + 1, Domains: []Domain{{"east", 100}, {"west", 100}}}
	address := func(net byte, n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, net, byte(n >> 8), byte(n)}), 5683)
	}
	for i := range services {
		s := Service{
			ID: uint32(i + 1), Name: fmt.Sprintf("service-%05d", i), Address: address(1, i),
			DefaultDeadline: 2000, MaxDeadline: 10_000, MaxRequestBytes: 1152, MinShares: [NumClasses]uint32{20, 10, 5},
			Routes: []Route{{"GET", "/", Normal, true, false}, {"POST", "/orders", Urgent, false, false}},
		}
		for h := i; h < hosts; h += services {
			s.BackendServers = append(s.BackendServers, BackendServer{
				Name: fmt.Sprintf("host-%05d", h), Domain: c.Domains[h%2].Name, Address: address(2, h),
				Slots: 2, Connections: 2000, Weight: speed, WarmUp: 10_000, HealthPath: "/health", LoadPath: "/load",
			})
		}
		c.Services = append(c.Services, s)
	}
	return c
}

func noSleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }
