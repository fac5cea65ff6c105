// Package mesh decides how entry instances exchange their state: which peers are alive, which
// instance watches the store for a failure domain, which one sends the domain's status to
// other domains, and from which peer missing records are pulled. It performs no I/O. Times
// are monotonic durations since the start of the process.
package mesh

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/monsoonthread/monsoonthread/placement"
)

const (
	// StatusInterval is the time between status messages to a peer.
	StatusInterval = 250 * time.Millisecond
	// A peer stops counting as alive after maxMissedRounds round-robin rounds of status messages
	// without one from it, but at the earliest after minAliveTime.
	maxMissedRounds = 3
	minAliveTime    = 4 * StatusInterval
	// retryInterval is the time between messages to a peer that is not alive.
	retryInterval = time.Second
	// forgetTime is the silence after which an instance without a record in the directory is
	// deleted.
	forgetTime = time.Minute
)

// Peer identifies an instance.
type Peer struct {
	ID      string
	Domain  string // failure domain
	Address netip.AddrPort
}

// Status is the state that an instance reports in its status messages.
type Status struct {
	Peer
	Incarnation     uint64        // changes at each start
	AsOf            uint64        // position in the store's changes up to which its records are complete
	ConfirmationAge time.Duration // time since its records were last known to be current
	Watching        bool          // it holds the watch of its failure domain
	WatchHeldFor    time.Duration // how long it still holds the watch if the store does not answer
	Leaving         bool
}

// Config configures the mesh of an instance.
type Config struct {
	Self Peer
	// MaxRecordAge is the age up to which records count as current, and the time since the last
	// answer of the store after which an instance no longer holds the watch.
	MaxRecordAge time.Duration
}

type member struct {
	Peer
	placement placement.Member
	listed    bool // has a record in the directory
	// listedDomain is the failure domain in that record. Messages may name another one.
	listedDomain string
	status       Status
	heardAt      time.Duration
	heard        bool
	sentAt       time.Duration
	sent         bool
	advancedAt   time.Duration // when it first reported the position that it has now
	aheadSince   time.Duration // since when its records are newer than ours; 0 if they are not
	pullFailedAt time.Duration // last pull that it did not answer
	pullFailed   bool
}

func (m *member) alive(now, within time.Duration) bool {
	return m.heard && now-m.heardAt < within && !m.status.Leaving
}

// holdsWatch reports whether the member watches the store and the store's answers to it are not
// overdue. A watcher sends each status message to all peers, so its loss is noticed at once.
func (m *member) holdsWatch(now time.Duration) bool {
	return m.alive(now, minAliveTime) && now-m.heardAt < m.status.WatchHeldFor
}

// lostWatch reports whether the member watched the store when it was last heard and has been
// silent for too long since. A watcher sends to all peers at once instead of round-robin, so a
// large failure domain does not explain its silence.
func (m *member) lostWatch(now time.Duration) bool {
	return m.heard && m.status.Watching && now-m.heardAt >= minAliveTime
}

// aliveTime returns the silence after which a peer does not count as alive. It grows with the
// failure domain, since a round through all peers takes longer.
func (m *Mesh) aliveTime() time.Duration {
	peers := len(m.ranked[m.cfg.Self.Domain]) - 1
	intervalsPerRound := (peers + fullRecipients - 1) / fullRecipients
	return max(minAliveTime, time.Duration(intervalsPerRound*maxMissedRounds)*StatusInterval)
}

// Mesh holds one instance's view of the others. It is not safe for concurrent use.
type Mesh struct {
	cfg            Config
	members        map[string]*member
	ranked         map[string][]*member // members of each failure domain, ordered by rendezvous hashing
	confirmedAt    time.Duration        // last time that the store or a watcher confirmed our records
	confirmed      bool
	failedAt       time.Duration // time of the last failed store call
	failed         bool
	watch          WatchState
	answeredAt     time.Duration // last answer of the store while this instance watched
	unwatchedSince time.Duration // since when no instance of higher rank is known to hold the watch
	unwatched      bool
	nextRecipient  int                // index of the next status message's first recipient
	selfListed     bool               // the directory contains this instance in its failure domain
	gainedAt       time.Duration      // last change that may have made this instance the owner of cold servers; at first the start
	joinedAt       time.Duration      // see JoinedAt
	owners         []placement.Member // listed instances of the own failure domain, sorted by ID
}

// New returns a mesh that knows only its own instance.
func New(cfg Config) *Mesh {
	m := &Mesh{cfg: cfg, members: make(map[string]*member)}
	m.rank()
	return m
}

// AddPeer adds or updates an instance known from the directory, a seed's answer or a message.
func (m *Mesh) AddPeer(p Peer) {
	if p.ID == m.cfg.Self.ID || p.ID == "" {
		return
	}
	known := m.members[p.ID]
	if known == nil {
		known = &member{}
		m.members[p.ID] = known
	}
	if known.Peer != p {
		known.Peer = p
		m.rank()
	}
}

// ApplyStatus applies a status message.
func (m *Mesh) ApplyStatus(now time.Duration, s Status) {
	if s.ID == m.cfg.Self.ID || s.ID == "" {
		return // "" comes from a malformed message
	}
	m.AddPeer(s.Peer)
	p := m.members[s.ID]
	if p.heard && s.Incarnation == p.status.Incarnation && s.AsOf < p.status.AsOf {
		return // reordered in transit
	}
	if !p.heard || s.AsOf != p.status.AsOf {
		p.advancedAt = now
	}
	switch {
	case !p.heard || s.Incarnation != p.status.Incarnation:
		m.joinedAt = now
	case p.Domain == m.cfg.Self.Domain && now-p.heardAt >= m.aliveTime():
		m.joinedAt = now // members of other failure domains send only while they are delegates
	}
	p.status, p.heardAt, p.heard = s, now, true
}

// JoinedAt returns when an instance has last joined as far as messages show: one that has started, or one of
// the own failure domain that is heard again after it did not count as alive.
func (m *Mesh) JoinedAt() time.Duration { return m.joinedAt }

// Forget deletes members that are neither listed nor heard.
func (m *Mesh) Forget(now time.Duration) {
	changed := false
	for id, p := range m.members {
		if !p.listed && now-p.heardAt > forgetTime {
			delete(m.members, id)
			changed = true
		}
	}
	if changed {
		m.rank()
	}
}

// rank orders the members of each failure domain, including this instance, by rendezvous
// hashing, so that all instances agree on the order without communication.
func (m *Mesh) rank() {
	m.ranked = make(map[string][]*member)
	self := &member{Peer: m.cfg.Self}
	m.ranked[self.Domain] = append(m.ranked[self.Domain], self)
	for _, p := range m.members {
		m.ranked[p.Domain] = append(m.ranked[p.Domain], p)
	}
	for domain, members := range m.ranked {
		slices.SortFunc(members, func(a, b *member) int { return cmp.Compare(a.ID, b.ID) })
		candidates := make([]placement.Member, len(members))
		for i, p := range members {
			p.placement = placement.NewMember(p.ID, 1)
			candidates[i] = p.placement
		}
		order := placement.Rank(placement.Key("watch", domain), candidates, nil)
		sorted := make([]*member, len(order))
		for i, j := range order {
			sorted[i] = members[j]
		}
		m.ranked[domain] = sorted
	}
}

// Members returns all known instances, this one first, the others sorted by ID.
func (m *Mesh) Members() []Peer {
	out := []Peer{m.cfg.Self}
	for _, p := range m.members {
		out = append(out, p.Peer)
	}
	slices.SortFunc(out[1:], func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Alive returns the number of live peers.
func (m *Mesh) Alive(now time.Duration) int {
	n := 0
	for _, p := range m.members {
		if p.alive(now, m.aliveTime()) {
			n++
		}
	}
	return n
}
