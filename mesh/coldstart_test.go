package mesh

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// directoryChange is a change of the list of instances.
type directoryChange struct {
	peer    Peer
	removed bool
}

// reader is an instance that has applied a part of the changes.
type reader struct {
	*Mesh
	startedAt time.Duration
	applied   int
	cutOff    bool
}

func (r *reader) sync(now time.Duration, changes []directoryChange) {
	if r.cutOff {
		return
	}
	for _, c := range changes[r.applied:] {
		if c.removed {
			r.Unlist(now-r.startedAt, c.peer.ID)
		} else {
			r.List(now-r.startedAt, c.peer)
		}
	}
	r.applied = len(changes)
	r.StoreAnswered(now - r.startedAt)
}

func (r *reader) owns(now time.Duration, cookie uint32) bool {
	return r.OwnsColdStart(now-r.startedAt, cookie)
}

func testPeer(i int) Peer {
	return Peer{ID: fmt.Sprint("i", i), Domain: "d", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)}
}

// Guards against two owners of a cold server at once, whatever an instance has missed of the changes
// of the directory: it was cut off, has just started, or is not listed. Guards also against a
// server without an owner once all instances know the same directory.
func TestColdServerHasOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 6
		readers := make([]*reader, size)
		for i := range readers {
			readers[i] = &reader{Mesh: New(Config{Self: testPeer(i), MaxRecordAge: maxRecordAge})}
		}
		var changes []directoryChange
		listed := make(map[int]bool)
		now := time.Duration(0)
		check := func() (owners int) {
			for cookie := range uint32(8) {
				owners = 0
				for i, r := range readers {
					if !r.owns(now, cookie) {
						continue
					}
					if owners++; owners > 1 {
						t.Fatalf("%v: server %d has two owners, one of them i%d", now, cookie, i)
					}
				}
			}
			return owners
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			i := rapid.IntRange(0, size-1).Draw(t, "instance")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				changes = append(changes, directoryChange{testPeer(i), listed[i]})
				listed[i] = !listed[i]
			case 2:
				readers[i].cutOff = !readers[i].cutOff
			case 3:
				readers[i] = &reader{Mesh: New(Config{Self: testPeer(i), MaxRecordAge: maxRecordAge}), startedAt: now}
			}
			// Instances read changes up to 600 ms late.
			for end := now + time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms"))*time.Millisecond; now < end; now += 200 * time.Millisecond {
				readers[rapid.IntRange(0, size-1).Draw(t, "reader")].sync(now, changes)
				if now%600 == 0 {
					for _, r := range readers {
						r.sync(now, changes)
					}
				}
				check()
			}
		}
		for _, r := range readers {
			r.cutOff = false
		}
		for end := now + ownershipDelay + time.Second; now < end; now += 200 * time.Millisecond {
			for _, r := range readers {
				r.sync(now, changes)
			}
			check()
		}
		anyListed := false
		for _, l := range listed {
			anyListed = anyListed || l
		}
		if owners := check(); anyListed != (owners == 1) {
			t.Fatalf("%d owners, instances listed: %v", owners, listed)
		}
	})
}

// Guards against an instance that assumes that it is alone, or that it owns the servers of another
// failure domain for which an old record lists it.
func TestUnlistedInstanceOwnsNothing(t *testing.T) {
	self := testPeer(1)
	moved := self
	moved.Domain = "e"
	for name, list := range map[string]func(*Mesh){
		"no record":                       func(*Mesh) {},
		"messages of others only":         func(m *Mesh) { m.ApplyStatus(0, Status{Peer: testPeer(2)}) },
		"record in another domain":        func(m *Mesh) { m.List(0, moved) },
		"only others have a record":       func(m *Mesh) { m.List(0, testPeer(2)) },
		"own record vanished a while ago": func(m *Mesh) { m.List(0, self); m.Unlist(time.Second, self.ID) },
	} {
		m := New(Config{Self: self, MaxRecordAge: maxRecordAge})
		m.StoreAnswered(10 * time.Second)
		list(m)
		for cookie := range uint32(20) {
			if m.OwnsColdStart(10*time.Second, cookie) {
				t.Errorf("%s: owns server %d", name, cookie)
			}
		}
	}
}

// Guards against an owner that is chosen among live instances only: instances that hear different
// peers would disagree. Guards also against the failure domain that a message names.
func TestOwnerDependsOnDirectoryOnly(t *testing.T) {
	m := New(Config{Self: testPeer(0), MaxRecordAge: maxRecordAge})
	for i := range 10 {
		m.List(0, testPeer(i))
	}
	owned := func(now time.Duration) (n int) {
		m.StoreAnswered(now)
		for cookie := range uint32(1000) {
			if m.OwnsColdStart(now, cookie) {
				n++
			}
		}
		return n
	}
	before := owned(5 * time.Second)
	for i := range 5 {
		p := testPeer(i + 1)
		p.Domain = "e"
		m.ApplyStatus(5*time.Second, Status{Peer: p, Leaving: true})
	}
	m.ApplyStatus(5*time.Second, Status{Peer: testPeer(20)})
	if after := owned(9 * time.Second); before < 60 || before > 140 || after != before {
		t.Errorf("owns %d and then %d of 1000 servers of 10 instances", before, after)
	}
}

// Guards against allocations for each new flow at a cold server.
func BenchmarkOwnsColdStart(b *testing.B) {
	m := New(Config{Self: testPeer(0), MaxRecordAge: maxRecordAge})
	for i := range 45 {
		m.List(0, testPeer(i))
	}
	m.StoreAnswered(5 * time.Second)
	b.ReportAllocs()
	for cookie := uint32(0); b.Loop(); cookie++ {
		m.OwnsColdStart(5*time.Second, cookie)
	}
}
