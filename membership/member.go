package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// rank orders what is known of one incarnation; the highest wins when views merge.
type rank uint8

const (
	rankAlive rank = iota
	rankSuspect
	rankDead
)

// In Membership messages the state of a member is its rank plus these bits. Leaving is
// kept apart from the rank because a suspected instance is still leaving. An address is
// marked as old when it was learned for a lower incarnation than the one in the message.
const (
	wireRank       = 3
	wireLeaving    = 4
	wireOldAddress = 8
)

// member is what the machine knows of an instance.
type member struct {
	Instance
	d       *domain
	rank    rank
	leaving bool
	config  uint64
	gone    bool // removed; pending updates about it are dropped
	// addressOf is the incarnation that the address was learned for.
	addressOf uint64

	idHash  uint64
	hash    uint64 // share of the domain's digest
	changed uint64 // domain.seq of the last change

	heard        time.Time // last sign of life, direct or by an indirect probe
	suspectAt    time.Time
	suspectPings int // pings because of the suspicion
	deadAt       time.Time
	missing      time.Time // first full summary of its domain that lacked it
	acked        uint64    // own incarnation that this member has acknowledged
	queued       *update
	// listedLeaving: the instance list shows it as leaving.
	listedLeaving bool
}

func (mb *member) state() State {
	switch {
	case mb.rank == rankDead:
		return Dead
	case mb.leaving || mb.listedLeaving && mb.rank == rankSuspect:
		// The list alone does not make an instance leaving, but a listed one that also
		// fails to answer is not waited for.
		return Leaving
	case mb.rank == rankSuspect:
		return Suspect
	}
	return Alive
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// combine mixes two words into a well-distributed hash.
func combine(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// digest covers what other domains have to know of a member; 0 for a dead one, so that
// views which forget it at different times are equal.
func (mb *member) digest() uint64 {
	if mb.rank == rankDead {
		return 0
	}
	flags := uint64(mb.Weight) << 1
	if mb.leaving {
		flags |= 1
	}
	return combine(combine(mb.idHash, mb.Incarnation), combine(hashID(mb.PeerAddress), flags))
}

// wire encodes a member. The full form has the address and weight, which a receiver
// that knows the member does not need; the domain is left out where the message
// implies it.
func (mb *member) wire(full, withDomain bool) *peerpb.Member {
	u := &peerpb.Member{Id: mb.ID, Incarnation: mb.Incarnation, State: uint32(mb.rank), ConfigVersion: mb.config}
	if mb.leaving {
		u.State |= wireLeaving
	}
	if full {
		u.PeerAddress, u.Weight = mb.PeerAddress, mb.Weight
		if mb.addressOf != mb.Incarnation {
			u.State |= wireOldAddress
		}
	}
	if withDomain {
		u.Domain = mb.d.name
	}
	return u
}

// historyLen is the number of earlier digests for which a domain can send a difference.
const historyLen = 32

type checkpoint struct{ digest, seq uint64 }

// domain is what the machine knows of a failure domain.
type domain struct {
	name       string
	weight     uint32
	configured bool
	members    []*member // sorted by ID
	dirty      bool
	snapshot   Domain

	core       uint64 // XOR of the members' digests
	seq        uint64 // counts changes at this machine
	droppedSeq uint64 // highest change of a forgotten member
	history    [historyLen]checkpoint
	historyAt  int
	minConfig  uint64 // highest version that all its members were seen to have

	reachable   bool
	record      uint64 // version of reachable, set by delegates of the own domain
	unreachable time.Time
	heard       time.Time     // last message from that domain to this machine
	evidence    bool          // heard recently, as this machine saw it at its last tick
	doubt       time.Duration // see presume
	known       uint64        // digest of the own domain that it reported to know
	lastPush    time.Time
	lastFull    time.Time
	queued      *update

	listed      []Instance // from the instance list
	vacant      bool       // see Domain.vacant
	vacantSince time.Time
	// delegates exchange summaries with other domains.
	delegates [2]*member
}

// delegateSeed keeps the choice of delegates apart from other placements.
const delegateSeed = 0x64656c6567617465

// build makes the immutable snapshot and chooses the delegates.
func (d *domain) build() {
	entries := make([]Entry, len(d.members))
	for i, mb := range d.members {
		e := Entry{Instance: mb.Instance, State: mb.state(), ConfigVersion: max(mb.config, d.minConfig)}
		e.Domain = d.name
		entries[i] = e
	}
	if d.dirty {
		d.chooseDelegates()
		d.snapshot = newDomain(d.name, d.weight, entries, d.reachable, false)
		d.snapshot.vacant = d.vacant && !(d.reachable && len(d.snapshot.place) > 0)
		d.dirty = false
		return
	}
	d.snapshot.Members = entries // only configuration versions differ
}

// chooseDelegates takes the two members with the highest rendezvous hash; leaving ones
// only when there are not enough others.
func (d *domain) chooseDelegates() {
	d.delegates = [2]*member{}
	var scores [2]uint64
	for _, mb := range d.members {
		if mb.rank == rankDead {
			continue
		}
		score := combine(delegateSeed, mb.idHash)>>1 | 1<<63
		if mb.leaving {
			score &^= 1 << 63
		}
		switch {
		case score > scores[0]:
			d.delegates[0], d.delegates[1] = mb, d.delegates[0]
			scores[0], scores[1] = score, scores[0]
		case score > scores[1]:
			d.delegates[1], scores[1] = mb, score
		}
	}
}

// summary is the digest that is exchanged with other domains. Each new value is
// remembered, so that a later difference can start from it.
func (d *domain) summary() uint64 {
	s := d.core ^ combine(1, d.minConfig)
	if d.history[d.historyAt].digest != s {
		d.historyAt = (d.historyAt + 1) % historyLen
		d.history[d.historyAt] = checkpoint{s, d.seq}
	}
	d.history[d.historyAt].seq = d.seq
	return s
}

// since returns the change count at which the domain had a digest.
func (d *domain) since(digest uint64) (seq uint64, ok bool) {
	for i := range d.history {
		// Of equal digests any gives a correct difference.
		if h := &d.history[i]; h.digest == digest && h.seq > 0 && h.seq >= d.droppedSeq {
			return h.seq, true
		}
	}
	return 0, false
}

// raiseMinConfig updates minConfig of the own domain. It never goes down, so that a
// joining instance with an old configuration does not make digests differ.
func (d *domain) raiseMinConfig() {
	lowest := uint64(0)
	for _, mb := range d.members {
		if mb.rank != rankDead && mb.config > 0 && (lowest == 0 || mb.config < lowest) {
			lowest = mb.config
		}
	}
	d.minConfig = max(d.minConfig, lowest)
}

// configDigest covers the members' configuration versions, which are compared inside
// the own domain only.
func (d *domain) configDigest() uint64 {
	var x uint64
	for _, mb := range d.members {
		if mb.rank != rankDead {
			x ^= combine(mb.idHash, mb.config)
		}
	}
	return x
}
