package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// rank orders the observed states of one incarnation. The highest rank wins when views are
// merged.
type rank uint8

const (
	rankAlive rank = iota
	rankSuspect
	rankDead
)

// The state of a member in a Membership message is its rank plus these bits. Leaving is
// separate from the rank because a leaving instance can also be suspected. An address is
// marked as old when it belongs to a lower incarnation than the one in the message.
const (
	stateRankMask   = 3
	stateLeaving    = 4
	stateOldAddress = 8
)

// member is the state that the machine keeps for an instance.
type member struct {
	Instance
	domain        *domain
	rank          rank
	leaving       bool
	configVersion uint64
	removed       bool // pending updates about a removed member are dropped
	// addressIncarnation is the incarnation that PeerAddress belongs to.
	addressIncarnation uint64

	idHash        uint64
	currentDigest uint64 // digest that is included in domain.membersDigest
	changeSeq     uint64 // domain.changeSeq at the last change

	lastHeard        time.Time // last message or successful indirect probe
	suspectAt        time.Time
	suspectPings     int // pings sent during the current suspicion
	deadAt           time.Time
	missingSince     time.Time // arrival of the first full summary of its domain without it
	ackedIncarnation uint64    // incarnation of this instance that the member has acknowledged
	queued           *update
	// listedLeaving is set if the instance list shows the member as leaving.
	listedLeaving bool
}

func (mb *member) state() State {
	switch {
	case mb.rank == rankDead:
		return Dead
	case mb.leaving || mb.listedLeaving && mb.rank == rankSuspect:
		// The list alone does not make an instance leaving, but one that is listed as
		// leaving and also fails to answer is treated as leaving without waiting for the
		// end of the suspicion.
		return Leaving
	case mb.rank == rankSuspect:
		return Suspect
	}
	return Alive
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// hashPair combines two words into a well-distributed hash.
func hashPair(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// digest covers the state of a member that other domains need. It is 0 for a dead member,
// so that instances which remove it at different times have equal digests.
func (mb *member) digest() uint64 {
	if mb.rank == rankDead {
		return 0
	}
	flags := uint64(mb.Weight) << 1
	if mb.leaving {
		flags |= 1
	}
	return hashPair(hashPair(mb.idHash, mb.Incarnation), hashPair(hashID(mb.PeerAddress), flags))
}

// encode returns the wire form of a member. withAddress includes the address and weight,
// which a receiver that knows the member does not need. The domain is omitted where the
// message implies it.
func (mb *member) encode(withAddress, withDomain bool) *peerpb.Member {
	u := &peerpb.Member{Id: mb.ID, Incarnation: mb.Incarnation, State: uint32(mb.rank), ConfigVersion: mb.configVersion}
	if mb.leaving {
		u.State |= stateLeaving
	}
	if withAddress {
		u.PeerAddress, u.Weight = mb.PeerAddress, mb.Weight
		if mb.addressIncarnation != mb.Incarnation {
			u.State |= stateOldAddress
		}
	}
	if withDomain {
		u.Domain = mb.domain.name
	}
	return u
}

// historyLen is the number of earlier digests for which the changes since can be sent.
const historyLen = 32

type checkpoint struct{ digest, seq uint64 }

// domain is the state that the machine keeps for a failure domain.
type domain struct {
	name       string
	weight     uint32
	configured bool
	members    []*member // sorted by ID
	dirty      bool
	snapshot   Domain

	membersDigest    uint64 // XOR of the members' digests
	changeSeq        uint64 // number of changes recorded by this machine
	removedSeq       uint64 // highest changeSeq of a removed member
	history          [historyLen]checkpoint
	historyIndex     int
	minConfigVersion uint64 // highest version that all its members are known to have reached

	reachable           bool
	reachabilityVersion uint64 // version of reachable, assigned by delegates of the own domain
	unreachableSince    time.Time
	lastHeard           time.Time     // last message from that domain; may be ahead of time while presumed reachable
	heardRecently       bool          // heard or presumed reachable at the last tick
	presumption         time.Duration // see presumeReachable; 0 if heard directly
	ackedDigest         uint64        // digest of the own domain that it last reported
	lastHeartbeat       time.Time
	lastFullSummary     time.Time
	queued              *update

	listed      []Instance // from the instance list
	vacant      bool       // see Domain.vacant
	vacantSince time.Time
	// delegates are the members that exchange summaries with other domains.
	delegates [2]*member
}

// delegateSeed makes the choice of delegates independent of other placements.
const delegateSeed = 0x64656c6567617465

// buildSnapshot builds the immutable snapshot and chooses the delegates.
func (d *domain) buildSnapshot() {
	entries := make([]Entry, len(d.members))
	for i, mb := range d.members {
		e := Entry{Instance: mb.Instance, State: mb.state(), ConfigVersion: max(mb.configVersion, d.minConfigVersion)}
		e.Domain = d.name
		entries[i] = e
	}
	if d.dirty {
		d.chooseDelegates()
		d.snapshot = newDomain(d.name, d.weight, entries, d.reachable, false)
		d.snapshot.vacant = d.vacant && !(d.reachable && len(d.snapshot.placeable) > 0)
		d.dirty = false
		return
	}
	d.snapshot.Members = entries // only configuration versions differ
}

// chooseDelegates selects the two members with the highest rendezvous hash. Leaving members
// are selected only when there are not enough others.
func (d *domain) chooseDelegates() {
	d.delegates = [2]*member{}
	var scores [2]uint64
	for _, mb := range d.members {
		if mb.rank == rankDead {
			continue
		}
		score := hashPair(delegateSeed, mb.idHash)>>1 | 1<<63
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

// digest returns the digest that is exchanged with other domains. Each new value is added
// to the history, so that later the changes since then can be sent.
func (d *domain) digest() uint64 {
	s := d.membersDigest ^ hashPair(1, d.minConfigVersion)
	if d.history[d.historyIndex].digest != s {
		d.historyIndex = (d.historyIndex + 1) % historyLen
		d.history[d.historyIndex] = checkpoint{s, d.changeSeq}
	}
	d.history[d.historyIndex].seq = d.changeSeq
	return s
}

// changeSeqAt returns the value of changeSeq at which the domain had the digest.
func (d *domain) changeSeqAt(digest uint64) (seq uint64, ok bool) {
	for i := range d.history {
		// If the digest occurs more than once, any occurrence gives a correct difference.
		if h := &d.history[i]; h.digest == digest && h.seq > 0 && h.seq >= d.removedSeq {
			return h.seq, true
		}
	}
	return 0, false
}

// raiseMinConfigVersion updates minConfigVersion of the own domain. It never decreases, so
// that a joining instance with an old configuration does not change the digest.
func (d *domain) raiseMinConfigVersion() {
	lowest := uint64(0)
	for _, mb := range d.members {
		if mb.rank != rankDead && mb.configVersion > 0 && (lowest == 0 || mb.configVersion < lowest) {
			lowest = mb.configVersion
		}
	}
	d.minConfigVersion = max(d.minConfigVersion, lowest)
}

// configDigest covers the configuration versions of the members, which are compared only
// within the own domain.
func (d *domain) configDigest() uint64 {
	var x uint64
	for _, mb := range d.members {
		if mb.rank != rankDead {
			x ^= hashPair(mb.idHash, mb.configVersion)
		}
	}
	return x
}
