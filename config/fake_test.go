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

// Each run draws the same values, unless -rapid.seed is given.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// callOutcome is the simulated outcome of one store call.
type callOutcome int

const (
	applied callOutcome = iota
	responseLost
	requestLost
	delayed // takes effect later, if the expected revision still matches
	rateLimited
	responseMalformed // takes effect, but the response cannot be decoded
	numCallOutcomes
)

// fakeStore is an in-memory key-value service with simulated call outcomes.
type fakeStore struct {
	mu            sync.Mutex
	values        map[string]stored
	revision      uint64
	heads         []Head // every head written, in order
	delayedWrites []func()
	serviceReads  int // reads of service values
	// nextOutcome is called without mu before each call except reads of service values.
	nextOutcome func() callOutcome
	down        bool
}

type stored struct {
	value    []byte
	revision uint64
}

var _ Store = (*fakeStore)(nil)

func newFakeStore() *fakeStore { return &fakeStore{values: map[string]stored{}} }

func (s *fakeStore) outcome() callOutcome {
	if s.nextOutcome == nil {
		return applied
	}
	return s.nextOutcome()
}

func (s *fakeStore) Get(ctx context.Context, key string) ([]byte, uint64, error) {
	f := applied
	if key == HeadKey {
		f = s.outcome()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if key != HeadKey {
		s.serviceReads++
	}
	if s.down || f == requestLost || f == responseLost {
		return nil, 0, result.Errorf(result.StoreUnavailable, "outage")
	}
	v, ok := s.values[key]
	if !ok {
		return nil, 0, result.Errorf(result.StoreNotFound, "no %s", key)
	}
	return v.value, v.revision, nil
}

func (s *fakeStore) Put(ctx context.Context, key string, value []byte, ifRevision uint64) (uint64, error) {
	f := s.outcome()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		f = requestLost
	}
	switch f {
	case applied:
		return s.write(key, value, ifRevision)
	case responseLost, responseMalformed:
		s.write(key, value, ifRevision)
	case delayed:
		s.delayedWrites = append(s.delayedWrites, func() { s.write(key, value, ifRevision) })
	case rateLimited:
		return 0, result.Errorf(result.StoreRateLimited, "too many calls")
	}
	if f == responseMalformed {
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

// applyDelayed applies the i-th delayed write.
func (s *fakeStore) applyDelayed(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayedWrites[i]()
	s.delayedWrites = append(s.delayedWrites[:i], s.delayedWrites[i+1:]...)
}

func (s *fakeStore) Watch(ctx context.Context, key string, after uint64) ([]byte, uint64, error) {
	value, revision, err := s.Get(ctx, key)
	if err == nil && revision == after {
		return nil, after, nil
	}
	return value, revision, err
}

// testConfig returns a configuration with the given numbers of services and hosts, all of
// the same speed.
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
