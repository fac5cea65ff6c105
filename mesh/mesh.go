// Package mesh decides how entry instances keep each other informed: which peers are
// alive, who watches the store for a failure domain, who speaks for the domain to
// others, and from whom missing records are pulled. It performs no I/O. Times are
// monotonic durations since the start of the process.
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
	// aliveTurns is the number of turns that may be lost before a peer does not count as
	// alive; minAliveTime is the least silence.
	aliveTurns   = 3
	minAliveTime = 4 * StatusInterval
	// retryInterval is the time between messages to a peer that is not heard.
	retryInterval = time.Second
	// forgetTime is the silence after which an instance without a record in the
	// directory is forgotten.
	forgetTime = time.Minute
)

// Peer is an instance.
type Peer struct {
	ID      string
	Domain  string // failure domain
	Address netip.AddrPort
}

// Status is what an instance says of itself.
type Status struct {
	Peer
	Incarnation uint64        // differs after each start
	AsOf        uint64        // store revision up to which its records are complete
	ContactAge  time.Duration // since its records were last known to be current
	Watching    bool          // it reads the store itself
	Leaving     bool
}

// Config describes the mesh of an instance.
type Config struct {
	Self Peer
	// FreshTime is the age up to which records count as current; a watcher confirms
	// them at least this often.
	FreshTime time.Duration
}

type member struct {
	Peer
	listed  bool // in the directory
	status  Status
	heardAt time.Duration
	heard   bool
	sentAt  time.Duration
	sent    bool
	behind  time.Duration // since when its records are newer than ours
}

func (m *member) alive(now, within time.Duration) bool {
	return m.heard && now-m.heardAt < within && !m.status.Leaving
}

// watches reports whether the member holds a watch whose records are current. A watcher
// speaks to all peers each time, so that its loss is noticed at once.
func (m *member) watches(now, fresh time.Duration) bool {
	return m.alive(now, minAliveTime) && m.status.Watching && m.status.ContactAge+now-m.heardAt < fresh
}

// lostWatch reports whether the member watched when it was last heard and has been silent
// for too long since: turns of a large failure domain do not explain the silence of a
// watcher.
func (m *member) lostWatch(now time.Duration) bool {
	return m.heard && m.status.Watching && now-m.heardAt >= minAliveTime
}

// aliveTime returns the silence after which a peer does not count as alive: the turns of
// a large failure domain take longer.
func (m *Mesh) aliveTime() time.Duration {
	peers := len(m.ranked[m.cfg.Self.Domain]) - 1
	turns := (peers + fullRecipients - 1) / fullRecipients
	return max(minAliveTime, time.Duration(turns*aliveTurns)*StatusInterval)
}

// Mesh is the state of one instance. It is not safe for concurrent use.
type Mesh struct {
	cfg       Config
	members   map[string]*member
	ranked    map[string][]*member // members of each domain in rendezvous order
	contactAt time.Duration        // last time that the store or a watcher confirmed our records
	contacted bool
	failedAt  time.Duration // last failed store call
	failed    bool
	vacantAt  time.Duration // since when no better placed instance watches
	vacant    bool
	watching  bool
	turn      int // where the next status message's recipients begin
}

// New returns a mesh that knows only its own instance.
func New(cfg Config) *Mesh {
	m := &Mesh{cfg: cfg, members: make(map[string]*member)}
	m.rank()
	return m
}

// Learn adds an instance from the directory, a seed's answer or a message.
func (m *Mesh) Learn(p Peer, listed bool) {
	if p.ID == m.cfg.Self.ID || p.ID == "" {
		return
	}
	known := m.members[p.ID]
	if known == nil {
		known = &member{}
		m.members[p.ID] = known
	}
	known.listed = known.listed || listed
	if known.Peer != p {
		known.Peer = p
		m.rank()
	}
}

// Unlist notes that an instance's record has vanished. It stays a member while it is
// heard: leases end while their holder lives.
func (m *Mesh) Unlist(id string) {
	if p := m.members[id]; p != nil {
		p.listed = false
	}
}

// Heard applies a status message.
func (m *Mesh) Heard(now time.Duration, s Status) {
	if s.ID == m.cfg.Self.ID {
		return
	}
	m.Learn(s.Peer, false)
	p := m.members[s.ID]
	if p.heard && s.Incarnation == p.status.Incarnation && s.AsOf < p.status.AsOf {
		return // overtaken on the way
	}
	p.status, p.heardAt, p.heard = s, now, true
}

// Forget drops members that are neither listed nor heard.
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

// rank orders the members of each domain, own instance included, by rendezvous, so that
// all instances agree without a message.
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
			candidates[i] = placement.NewMember(p.ID, 1)
		}
		order := placement.Rank(placement.Key("watch", domain), candidates, nil)
		sorted := make([]*member, len(order))
		for i, j := range order {
			sorted[i] = members[j]
		}
		m.ranked[domain] = sorted
	}
}

// Members returns all known instances, the own one first.
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
