package membership

import (
	"math/rand"
	"slices"
	"strings"
	"time"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

const (
	// lateCall is a time between calls after which running timers are extended: the
	// machine could not have received an answer in that time. Tick is called every 50 ms.
	lateCall = 150 * time.Millisecond
	// syncInterval is the time between comparisons of the whole state with one peer.
	syncInterval = time.Second
	// deadProbeInterval is the time between pings to one dead member, which end
	// partitions that were shorter than the dead retention.
	deadProbeInterval = time.Second
	// higherInterval is the time between reports of the same higher configuration version.
	higherInterval = time.Second
	// rejoinPings is the number of peers that a fenced instance contacts at once.
	rejoinPings = 3
	// leavePings is the number of peers that hear of a planned stop at once.
	leavePings = 5
	// maxDomains and maxMembers bound what peers and the list can make a machine store:
	// over 3 times the target of 19 domains and 1,300 instances.
	maxDomains = 64
	maxMembers = 4096
)

// Machine is the membership of one instance. The zero value is not usable.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	self    *member
	own     *domain
	domains []*domain // sorted by name
	byID    map[string]*member
	config  uint64 // own configuration version
	// reported is the highest version of a HigherConfig so far.
	reported uint64
	view     *View
	changed  bool // view must be rebuilt and announced
	refresh  bool // view must be rebuilt because of configuration versions only
	out      []Action

	last          time.Time // last call
	nextProbe     time.Time
	nextSync      time.Time
	nextDeadProbe time.Time
	nextDomain    time.Time
	nextHigher    time.Time
	lastPush      time.Time
	pushed        uint64     // digest of the own domain in the last push
	delegates     [2]*member // of the own domain at the last tick as a delegate

	nextSweep time.Time

	seq        uint64
	raisedSeq  uint64    // seq at the last change of the own incarnation
	round      []*member // rest of the current shuffled round of probes
	probes     []probe
	relays     []relay
	queue      []*update
	candidates []*candidate
	nextCand   int
	pulls      []pull
	synced     bool // whole state equalled that of a peer once
	lastDigest time.Time
	listedSelf bool // the list has shown this run as not leaving

	fenced      bool
	fencedSince time.Time
	// rejoined is the incarnation of the last start or Rejoined: news that this or a
	// higher incarnation was dead means that others took over what it owned.
	rejoined uint64
	rival    *rival
}

// New returns a machine that knows only itself until Hint names other instances.
func New(cfg Config, rng *rand.Rand, now time.Time) *Machine {
	cfg.setDefaults()
	cfg.Self.Incarnation = max(cfg.Self.Incarnation, uint64(max(now.UnixMilli(), 1)))
	m := &Machine{cfg: cfg, rng: rng, byID: map[string]*member{}, last: now,
		rejoined: cfg.Self.Incarnation, seq: rng.Uint64() >> 32}
	m.own = m.domain(cfg.Self.Domain)
	m.self = m.add(cfg.Self)
	m.self.addressOf = cfg.Self.Incarnation
	m.own.reachable = true
	// Random phases keep instances that were started together from sending together.
	m.nextProbe = now.Add(m.jitter(cfg.ProbeInterval))
	m.nextSync = now.Add(m.jitter(syncInterval))
	m.nextDeadProbe = now.Add(m.jitter(deadProbeInterval))
	m.nextDomain = now.Add(m.jitter(cfg.DomainInterval))
	m.view = &View{Version: uint64(max(now.UnixMilli(), 0))}
	m.configure(cfg.Domains)
	m.rebuild()
	return m
}

func (m *Machine) jitter(d time.Duration) time.Duration { return time.Duration(m.rng.Int63n(int64(d))) }

// Tick advances time; it is to be called every 50 ms.
func (m *Machine) Tick(now time.Time) []Action {
	m.enter(now)
	if m.rival != nil {
		m.tickRival(now)
		return m.flush()
	}
	m.tickFence(now)
	m.tickProbes(now)
	m.tickMembers(now)
	m.tickPulls()
	m.tickDomains(now)
	return m.flush()
}

// Receive handles a message of instance from.
func (m *Machine) Receive(now time.Time, from string, msg *peerpb.Membership) []Action {
	m.enter(now)
	if from == m.self.ID {
		m.receiveRival(now, msg)
		return m.flush()
	}
	if m.answerStale(from, msg) {
		return m.flush()
	}
	for _, u := range msg.GetUpdates() {
		m.merge(now, u, fromGossip)
	}
	if m.rival != nil {
		return m.flush()
	}
	m.noteConfig(now, from, msg.GetConfigVersion())
	if sender := m.byID[from]; sender != nil {
		sender.heard = now
		m.dispatch(now, sender, msg)
	}
	return m.flush()
}

func (m *Machine) dispatch(now time.Time, sender *member, msg *peerpb.Membership) {
	switch msg.GetKind() {
	case kindPing:
		m.receivePing(now, sender, msg)
	case kindAck:
		m.receiveAck(now, sender, msg)
	case kindPingRequest:
		m.receivePingRequest(now, sender, msg)
	case kindDigest:
		m.receiveDigest(sender, msg)
	case kindPull:
		m.receivePull(sender, msg)
	case kindSync:
		m.receiveSync(now, msg)
	case kindDomain:
		m.receiveDomain(now, sender, msg)
	case kindDomainDelta, kindDomainFull:
		m.receiveDomainReply(now, sender, msg)
	}
}

// Leave announces that the instance is leaving. It cannot be undone.
func (m *Machine) Leave(now time.Time) []Action {
	m.enter(now)
	m.leave(now)
	return m.flush()
}

func (m *Machine) leave(now time.Time) {
	if m.self.leaving {
		return
	}
	m.self.leaving = true
	m.touch(m.self)
	m.enqueue(m.self, false, false)
	for _, mb := range m.randomPeers(leavePings, nil) {
		m.ping(now, mb)
	}
	m.nextDomain = now
}

// SetConfigVersion sets the version that heartbeats announce. Lower versions than
// the current one are ignored.
func (m *Machine) SetConfigVersion(v uint64) {
	if v <= m.config {
		return
	}
	m.config = v
	m.self.config = v
	m.refresh = true
	m.enqueue(m.self, false, true)
	m.nextDomain = m.last
}

// SetDomains replaces the configured domains.
func (m *Machine) SetDomains(now time.Time, d []DomainConfig) []Action {
	m.enter(now)
	m.configure(d)
	return m.flush()
}

func (m *Machine) configure(configs []DomainConfig) {
	for _, d := range m.domains {
		d.configured, d.weight, d.dirty = false, 0, true
	}
	for _, c := range configs {
		if d := m.domain(c.Name); d != nil {
			d.configured, d.weight = true, c.Weight
		}
	}
	m.changed = true
}

// View returns the current snapshot.
func (m *Machine) View() *View {
	if m.refresh {
		m.rebuild()
	}
	return m.view
}

// Synced reports that the view was compared with that of a peer at least once. A joining
// instance does not know the other domains before. An instance without live peers in its
// domain is never synced.
func (m *Machine) Synced() bool { return m.synced }

func (m *Machine) raise(incarnation uint64) {
	m.self.Incarnation, m.self.addressOf = incarnation, incarnation
	m.raisedSeq = m.seq
	m.self.rank = rankAlive
	m.touch(m.self)
	m.enqueue(m.self, true, false)
}

// noteConfig reports a higher configuration version, and repeats it every second while
// the own version stays behind, because the fetch may fail.
func (m *Machine) noteConfig(now time.Time, from string, version uint64) {
	if mb := m.byID[from]; mb != nil && version > mb.config {
		mb.config = version
		m.refresh = true
	}
	if version <= m.config || version <= m.reported && now.Before(m.nextHigher) {
		return
	}
	m.reported = version
	m.nextHigher = now.Add(higherInterval)
	m.out = append(m.out, HigherConfig{from, version})
}

func (m *Machine) diagnose(name string, fields ...Field) {
	m.out = append(m.out, Diagnostic{Name: name, Fields: fields})
}

func (m *Machine) send(to Instance, msg *peerpb.Membership) {
	m.out = append(m.out, Send{to, msg})
}

// flush returns the collected actions. A new view comes before the messages, but not
// before a Diagnostic that explains it.
func (m *Machine) flush() []Action {
	if m.changed {
		m.rebuild()
		at := slices.IndexFunc(m.out, func(a Action) bool { _, ok := a.(Send); return ok })
		if at < 0 {
			at = len(m.out)
		}
		m.out = slices.Insert(m.out, at, Action(ViewChanged{m.view}))
	}
	out := m.out
	m.out = nil
	return out
}

// rebuild makes a new snapshot; domains without a change are reused.
func (m *Machine) rebuild() {
	version := m.view.Version
	if m.changed {
		version++
	}
	domains := make([]Domain, 0, len(m.domains))
	for _, d := range m.domains {
		if !d.configured && d != m.own {
			continue
		}
		if d.dirty || m.refresh {
			d.build()
		}
		domains = append(domains, d.snapshot)
	}
	m.view = newView(version, domains)
	m.changed, m.refresh = false, false
}

// domain returns the record of a domain and creates it, or nil when there are too many.
func (m *Machine) domain(name string) *domain {
	i, ok := slices.BinarySearchFunc(m.domains, name, func(d *domain, n string) int { return strings.Compare(d.name, n) })
	if ok {
		return m.domains[i]
	}
	if name == "" || len(m.domains) >= maxDomains {
		return nil
	}
	d := &domain{name: name, dirty: true}
	m.domains = slices.Insert(m.domains, i, d)
	return d
}

// add stores a new member in its domain.
func (m *Machine) add(inst Instance) *member {
	d := m.domain(inst.Domain)
	if d == nil || len(m.byID) >= maxMembers {
		return nil
	}
	mb := &member{Instance: inst, d: d}
	mb.idHash = hashID(inst.ID)
	i, _ := slices.BinarySearchFunc(d.members, inst.ID, func(o *member, id string) int { return strings.Compare(o.ID, id) })
	d.members = slices.Insert(d.members, i, mb)
	m.byID[inst.ID] = mb
	m.touch(mb)
	return mb
}

// remove forgets a member.
func (m *Machine) remove(mb *member) {
	d := mb.d
	d.core ^= mb.hash
	d.droppedSeq = max(d.droppedSeq, mb.changed)
	d.members = slices.DeleteFunc(d.members, func(o *member) bool { return o == mb })
	delete(m.byID, mb.ID)
	mb.gone = true
	d.dirty, m.changed = true, true
}

// touch accounts a change of what a member's digest covers, and marks the view.
func (m *Machine) touch(mb *member) {
	d := mb.d
	if h := mb.digest(); h != mb.hash {
		d.core ^= mb.hash ^ h
		mb.hash = h
	}
	d.seq++
	mb.changed = d.seq
	d.dirty, m.changed = true, true
}

// alive returns the number of members of the own domain that are not dead.
func (m *Machine) alive() int {
	n := 0
	for _, mb := range m.own.members {
		if mb.rank != rankDead {
			n++
		}
	}
	return n
}

// randomPeers returns up to n random members of the own domain that are not dead.
func (m *Machine) randomPeers(n int, except *member) []*member {
	var peers []*member
	for _, mb := range m.own.members {
		if mb != m.self && mb != except && mb.rank != rankDead {
			peers = append(peers, mb)
		}
	}
	n = min(n, len(peers))
	for i := range n {
		j := i + m.rng.Intn(len(peers)-i)
		peers[i], peers[j] = peers[j], peers[i]
	}
	return peers[:n]
}
