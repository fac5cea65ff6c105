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
	// fullRecipients is how many peers get the loads with each status message, by turns,
	// so that the traffic of a large failure domain stays below 22 KB a second.
	fullRecipients = 6
	// aliveTurns is the number of turns that may be lost before a peer does not count as
	// alive; minAliveTime is the least silence.
	aliveTurns   = 3
	minAliveTime = 4 * StatusInterval
	// retryInterval is the time between messages to a peer that is not heard.
	retryInterval = time.Second
	// forgetTime is the silence after which an instance without a record in the
	// directory is forgotten.
	forgetTime = time.Minute
	// unfitTime keeps an instance whose store calls fail from watching while another
	// one can.
	unfitTime = 4 * time.Second
	// takeoverStep is the pause before the next instance in rank takes over a watch
	// that nobody holds, so that not all start at once.
	takeoverStep = 150 * time.Millisecond
	// pullDelay lets a record that was pushed arrive before it is pulled. Later ranks wait
	// pullStep longer for each pullWidth instances, and pull from any that is ahead, so
	// that a large record does not fill the link of the one that read it.
	pullDelay = 100 * time.Millisecond
	pullStep  = 100 * time.Millisecond
	pullWidth = 3
	// foreignTargets is how many instances of another failure domain a delegate speaks
	// to, so that the loss of one does not stop the exchange.
	foreignTargets = 2
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

// StoreAnswered notes that the store confirmed or brought the own records up to date.
func (m *Mesh) StoreAnswered(now time.Duration) {
	m.contactAt, m.contacted, m.failed = now, true, false
}

// StoreFailed notes a failed call.
func (m *Mesh) StoreFailed(now time.Duration) { m.failedAt, m.failed = now, true }

// Self returns the own status without loads.
func (m *Mesh) Self(now time.Duration, incarnation, asOf uint64, leaving bool) Status {
	return Status{Peer: m.cfg.Self, Incarnation: incarnation, AsOf: asOf, ContactAge: m.contactAge(now), Watching: m.watching, Leaving: leaving}
}

// noContact is the age of records that nothing has confirmed yet.
const noContact = time.Hour

func (m *Mesh) contactAge(now time.Duration) time.Duration {
	if !m.contacted {
		return noContact
	}
	return now - m.contactAt
}

// Watch decides whether this instance reads the store. Of the instances of a failure
// domain whose calls succeed, the first in rank does.
func (m *Mesh) Watch(now time.Duration) bool {
	unfit := m.failed && now-m.failedAt < unfitTime
	position, someoneFit := 0, false
	for _, p := range m.ranked[m.cfg.Self.Domain] {
		if p.ID == m.cfg.Self.ID {
			if !unfit {
				break
			}
			continue
		}
		if p.watches(now, m.cfg.FreshTime) {
			m.vacant, m.watching = false, false
			return false
		}
		if p.alive(now, m.aliveTime()) {
			position, someoneFit = position+1, true
		}
	}
	if m.watching && (!unfit || !someoneFit) {
		return true
	}
	if !m.vacant {
		m.vacant, m.vacantAt = true, now
	}
	wait := time.Duration(position) * takeoverStep
	if position > 0 {
		wait += minAliveTime // a better placed instance is alive and may be about to watch
	}
	m.watching = now-m.vacantAt >= wait
	return m.watching
}

// Confirmed notes the confirmation that a watcher of the own or another domain passed
// on: records complete up to its revision are as current as its own.
func (m *Mesh) Confirmed(now time.Duration, asOf uint64) {
	for _, p := range m.members {
		if !p.alive(now, m.aliveTime()) || p.status.AsOf > asOf {
			continue
		}
		if at := p.heardAt - p.status.ContactAge; at > m.contactAt || !m.contacted && p.status.ContactAge < noContact {
			m.contactAt, m.contacted = max(at, 0), true
		}
	}
}

// Fresh reports whether the own records count as current.
func (m *Mesh) Fresh(now time.Duration) bool {
	return m.contacted && now-m.contactAt < m.cfg.FreshTime
}

// PullFrom returns a live peer whose records are complete to a higher revision for so
// long that a pushed record must have arrived, preferring the own failure domain.
func (m *Mesh) PullFrom(now time.Duration, asOf uint64) (Peer, bool) {
	var best *member
	for _, p := range m.members {
		if !p.alive(now, m.aliveTime()) || p.status.AsOf <= asOf {
			p.behind = 0
			continue
		}
		if p.behind == 0 {
			p.behind = now
		}
		if asOf > 0 && now-p.behind < m.pullDelay() {
			continue
		}
		if best == nil || m.prefer(p, best) {
			best = p
		}
	}
	if best == nil {
		return Peer{}, false
	}
	return best.Peer, true
}

// pullDelay returns the delay of this instance by its place in the failure domain.
func (m *Mesh) pullDelay() time.Duration {
	for i, p := range m.ranked[m.cfg.Self.Domain] {
		if p.ID == m.cfg.Self.ID {
			return pullDelay + time.Duration(i/pullWidth)*pullStep
		}
	}
	return pullDelay
}

func (m *Mesh) prefer(a, b *member) bool {
	if own := m.cfg.Self.Domain; (a.Domain == own) != (b.Domain == own) {
		return a.Domain == own
	}
	if a.status.AsOf != b.status.AsOf {
		return a.status.AsOf > b.status.AsOf
	}
	// Different instances prefer different peers.
	key := placement.Key(m.cfg.Self.ID)
	return key^placement.Key(a.ID) < key^placement.Key(b.ID)
}

// Delegate reports whether this instance speaks for its failure domain to others.
func (m *Mesh) Delegate(now time.Duration) bool {
	for _, p := range m.ranked[m.cfg.Self.Domain] {
		if p.ID == m.cfg.Self.ID {
			return true
		}
		if p.alive(now, m.aliveTime()) {
			return false
		}
	}
	return true
}

// DomainPeers returns the addresses in the own failure domain that a message goes to
// now: some get the whole status by turns, and from a watcher the others a bare one.
func (m *Mesh) DomainPeers(now time.Duration) (full, bare []netip.AddrPort) {
	own := m.ranked[m.cfg.Self.Domain]
	for i := range own {
		p := own[(m.turn+i)%len(own)]
		if p.ID == m.cfg.Self.ID {
			continue
		}
		switch {
		case len(full) < fullRecipients && p.due(now, m.aliveTime()):
			full = append(full, p.Address)
		case m.watching && p.alive(now, m.aliveTime()):
			bare = append(bare, p.Address)
		}
	}
	m.turn = (m.turn + fullRecipients) % len(own)
	return full, bare
}

// AliveDomainPeers returns the addresses of the live peers in the own failure domain.
func (m *Mesh) AliveDomainPeers(now time.Duration) []netip.AddrPort {
	var out []netip.AddrPort
	for _, p := range m.ranked[m.cfg.Self.Domain] {
		if p.ID != m.cfg.Self.ID && p.alive(now, m.aliveTime()) {
			out = append(out, p.Address)
		}
	}
	return out
}

// ForeignPeers returns the addresses in other failure domains that a delegate speaks to.
func (m *Mesh) ForeignPeers(now time.Duration) []netip.AddrPort {
	var out []netip.AddrPort
	for domain, members := range m.ranked {
		if domain == m.cfg.Self.Domain {
			continue
		}
		n := 0
		for _, p := range members {
			if n < foreignTargets && p.alive(now, m.aliveTime()) {
				out, n = append(out, p.Address), n+1
			}
		}
		for _, p := range members {
			if n < foreignTargets && !p.alive(now, m.aliveTime()) && p.due(now, m.aliveTime()) {
				out, n = append(out, p.Address), n+1
			}
		}
	}
	return out
}

// ForeignDomains returns the other failure domains.
func (m *Mesh) ForeignDomains() []string {
	var out []string
	for domain := range m.ranked {
		if domain != m.cfg.Self.Domain {
			out = append(out, domain)
		}
	}
	slices.Sort(out)
	return out
}

// due reports whether a message may go to the member now: always while it is alive, at
// times otherwise.
func (m *member) due(now, within time.Duration) bool {
	if !m.alive(now, within) && m.sent && now-m.sentAt < retryInterval {
		return false
	}
	m.sentAt, m.sent = now, true
	return true
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
