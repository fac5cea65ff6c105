package membership

import (
	"math/rand"
	"slices"
	"strings"
	"time"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

const (
	// maxCallGap is the time between calls above which running timers are extended,
	// because the machine could not receive answers during the gap. Tick is called every
	// 50 ms.
	maxCallGap = 150 * time.Millisecond
	// syncInterval is the time between anti-entropy comparisons of the whole state with
	// one peer.
	syncInterval = time.Second
	// deadProbeInterval is the time between pings to a random dead member. They heal
	// partitions that are shorter than DeadRetention.
	deadProbeInterval = time.Second
	// higherConfigInterval is the time between HigherConfig actions for the same version.
	higherConfigInterval = time.Second
	// rejoinPings is the number of peers that a fenced instance contacts at once.
	rejoinPings = 3
	// leavePings is the number of peers that are notified of a planned stop at once.
	leavePings = 5
	// maxDomains and maxMembers limit the state that peers and the instance list can make
	// a machine store. They are over 3 times the target of 19 domains and 1,300 instances.
	maxDomains = 64
	maxMembers = 4096
)

// Machine is the membership state machine of one instance. The zero value is not usable.
type Machine struct {
	cfg           Config
	rng           *rand.Rand
	self          *member
	ownDomain     *domain
	domains       []*domain // sorted by name
	byID          map[string]*member
	configVersion uint64 // own configuration version
	// reportedConfigVersion is the highest version reported by a HigherConfig action.
	reportedConfigVersion uint64
	view                  *View
	viewChanged           bool     // view must be rebuilt and reported by ViewChanged
	configChanged         bool     // view must be rebuilt, but only for configuration versions
	pendingActions        []Action // returned by the current call

	lastCall         time.Time
	nextProbe        time.Time
	nextSync         time.Time
	nextDeadProbe    time.Time
	nextHeartbeat    time.Time
	nextHigherConfig time.Time
	lastHeartbeat    time.Time
	heartbeatDigest  uint64     // digest of the own domain in the last heartbeat
	delegates        [2]*member // of the own domain at the last tick; empty if not a delegate

	nextDeadRemoval time.Time // next check for dead members to remove

	seq            uint64
	incarnationSeq uint64    // seq at the last change of the own incarnation
	probeOrder     []*member // members left to probe in the current shuffled round
	probes         []probe
	relays         []relay
	gossipQueue    []*update
	candidates     []*candidate
	nextCandidate  int
	pendingPulls   []pull
	synced         bool // whole state has equalled that of a peer at least once
	lastDigest     time.Time
	selfListed     bool // the instance list has shown this run as not leaving

	fenced      bool
	fencedSince time.Time
	// rejoinedIncarnation is the incarnation of the last start or Rejoined. If this or a
	// higher incarnation was declared dead, other instances have taken over what it owned.
	rejoinedIncarnation uint64
	duplicate           *duplicateProcess
}

// New returns a machine that knows only itself until ApplyInstanceList provides other instances.
func New(cfg Config, rng *rand.Rand, now time.Time) *Machine {
	cfg.setDefaults()
	cfg.Self.Incarnation = max(cfg.Self.Incarnation, uint64(max(now.UnixMilli(), 1)))
	m := &Machine{cfg: cfg, rng: rng, byID: map[string]*member{}, lastCall: now,
		rejoinedIncarnation: cfg.Self.Incarnation, seq: rng.Uint64() >> 32}
	m.ownDomain = m.domain(cfg.Self.Domain)
	m.self = m.addMember(cfg.Self)
	m.self.addressIncarnation = cfg.Self.Incarnation
	m.ownDomain.reachable = true
	// Random phases keep instances that were started together from sending at the same time.
	m.nextProbe = now.Add(m.jitter(cfg.ProbeInterval))
	m.nextSync = now.Add(m.jitter(syncInterval))
	m.nextDeadProbe = now.Add(m.jitter(deadProbeInterval))
	m.nextHeartbeat = now.Add(m.jitter(cfg.DomainInterval))
	m.view = &View{Version: uint64(max(now.UnixMilli(), 0))}
	m.setDomains(cfg.Domains)
	m.rebuildView()
	return m
}

func (m *Machine) jitter(d time.Duration) time.Duration { return time.Duration(m.rng.Int63n(int64(d))) }

// Tick advances time. It must be called every 50 ms.
func (m *Machine) Tick(now time.Time) []Action {
	m.advanceClock(now)
	if m.duplicate != nil {
		m.tickDuplicate(now)
		return m.takeActions()
	}
	m.tickFence(now)
	m.tickProbes(now)
	m.tickMembers(now)
	m.tickPulls()
	m.tickDomains(now)
	return m.takeActions()
}

// Receive handles a message from the instance with ID from.
func (m *Machine) Receive(now time.Time, from string, msg *peerpb.Membership) []Action {
	m.advanceClock(now)
	if from == m.self.ID {
		m.receiveFromDuplicate(now, msg)
		return m.takeActions()
	}
	if m.answerStaleSender(from, msg) {
		return m.takeActions()
	}
	for _, u := range msg.GetUpdates() {
		m.merge(now, u, fromGossip)
	}
	if m.duplicate != nil {
		return m.takeActions()
	}
	m.observeConfigVersion(now, from, msg.GetConfigVersion())
	if sender := m.byID[from]; sender != nil {
		sender.lastHeard = now
		m.dispatch(now, sender, msg)
	}
	return m.takeActions()
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
	m.advanceClock(now)
	m.leave(now)
	return m.takeActions()
}

func (m *Machine) leave(now time.Time) {
	if m.self.leaving {
		return
	}
	m.self.leaving = true
	m.recordChange(m.self)
	m.enqueue(m.self, false, false)
	for _, mb := range m.randomPeers(leavePings, nil) {
		m.ping(now, mb)
	}
	m.nextHeartbeat = now
}

// SetConfigVersion sets the version that heartbeats announce. Lower versions than
// the current one are ignored.
func (m *Machine) SetConfigVersion(v uint64) {
	if v <= m.configVersion {
		return
	}
	m.configVersion = v
	m.self.configVersion = v
	m.configChanged = true
	m.enqueue(m.self, false, true)
	m.nextHeartbeat = m.lastCall
}

// SetDomains replaces the configured domains.
func (m *Machine) SetDomains(now time.Time, d []DomainConfig) []Action {
	m.advanceClock(now)
	m.setDomains(d)
	return m.takeActions()
}

func (m *Machine) setDomains(configs []DomainConfig) {
	for _, d := range m.domains {
		d.configured, d.weight, d.dirty = false, 0, true
	}
	for _, c := range configs {
		if d := m.domain(c.Name); d != nil {
			d.configured, d.weight = true, c.Weight
		}
	}
	m.viewChanged = true
}

// View returns the current snapshot.
func (m *Machine) View() *View {
	if m.configChanged {
		m.rebuildView()
	}
	return m.view
}

// Synced reports whether the whole state has equalled that of a peer at least once. Before
// that, a joining instance does not know the other domains. An instance without live peers
// in its domain is never synced.
func (m *Machine) Synced() bool { return m.synced }

// raiseIncarnation gives the instance a higher incarnation and announces it. The incarnation
// is incremented by one instead of being taken from the wall clock, so that a process that
// was started later with the same ID keeps the higher incarnation.
func (m *Machine) raiseIncarnation(incarnation uint64) {
	m.self.Incarnation, m.self.addressIncarnation = incarnation, incarnation
	m.incarnationSeq = m.seq
	m.self.rank = rankAlive
	m.recordChange(m.self)
	m.enqueue(m.self, true, false)
}

// observeConfigVersion reports a higher configuration version. The report is repeated every
// second while the own version stays behind, because the fetch may fail.
func (m *Machine) observeConfigVersion(now time.Time, from string, version uint64) {
	if mb := m.byID[from]; mb != nil && version > mb.configVersion {
		mb.configVersion = version
		m.configChanged = true
	}
	if version <= m.configVersion || version <= m.reportedConfigVersion && now.Before(m.nextHigherConfig) {
		return
	}
	m.reportedConfigVersion = version
	m.nextHigherConfig = now.Add(higherConfigInterval)
	m.pendingActions = append(m.pendingActions, HigherConfig{from, version})
}

func (m *Machine) addDiagnostic(name string, fields ...Field) {
	m.pendingActions = append(m.pendingActions, Diagnostic{Name: name, Fields: fields})
}

func (m *Machine) send(to Instance, msg *peerpb.Membership) {
	m.pendingActions = append(m.pendingActions, Send{to, msg})
}

// takeActions returns and clears the collected actions. A new view is placed before the
// messages, but after a Diagnostic that explains it.
func (m *Machine) takeActions() []Action {
	if m.viewChanged {
		m.rebuildView()
		at := slices.IndexFunc(m.pendingActions, func(a Action) bool { _, ok := a.(Send); return ok })
		if at < 0 {
			at = len(m.pendingActions)
		}
		m.pendingActions = slices.Insert(m.pendingActions, at, Action(ViewChanged{m.view}))
	}
	out := m.pendingActions
	m.pendingActions = nil
	return out
}

// rebuildView makes a new snapshot and reuses the snapshots of unchanged domains.
func (m *Machine) rebuildView() {
	version := m.view.Version
	if m.viewChanged {
		version++
	}
	domains := make([]Domain, 0, len(m.domains))
	for _, d := range m.domains {
		if !d.configured && d != m.ownDomain {
			continue
		}
		if d.dirty || m.configChanged {
			d.buildSnapshot()
		}
		domains = append(domains, d.snapshot)
	}
	m.view = newView(version, domains)
	m.viewChanged, m.configChanged = false, false
}

// domain returns the state of a domain and creates it if necessary. It returns nil for an
// empty name or when there are too many domains.
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

// addMember stores a new member in its domain. It returns nil at the limit.
func (m *Machine) addMember(inst Instance) *member {
	d := m.domain(inst.Domain)
	if d == nil || len(m.byID) >= maxMembers {
		return nil
	}
	mb := &member{Instance: inst, domain: d}
	mb.idHash = hashID(inst.ID)
	i, _ := slices.BinarySearchFunc(d.members, inst.ID, func(o *member, id string) int { return strings.Compare(o.ID, id) })
	d.members = slices.Insert(d.members, i, mb)
	m.byID[inst.ID] = mb
	m.recordChange(mb)
	return mb
}

// removeMember deletes a member from the state.
func (m *Machine) removeMember(mb *member) {
	d := mb.domain
	d.membersDigest ^= mb.currentDigest
	d.removedSeq = max(d.removedSeq, mb.changeSeq)
	d.members = slices.DeleteFunc(d.members, func(o *member) bool { return o == mb })
	delete(m.byID, mb.ID)
	mb.removed = true
	d.dirty, m.viewChanged = true, true
}

// recordChange updates the digest of the member's domain and marks the view as changed.
func (m *Machine) recordChange(mb *member) {
	d := mb.domain
	if h := mb.digest(); h != mb.currentDigest {
		d.membersDigest ^= mb.currentDigest ^ h
		mb.currentDigest = h
	}
	d.changeSeq++
	mb.changeSeq = d.changeSeq
	d.dirty, m.viewChanged = true, true
}

// liveMembers returns the number of members of the own domain that are not dead, including
// this instance.
func (m *Machine) liveMembers() int {
	n := 0
	for _, mb := range m.ownDomain.members {
		if mb.rank != rankDead {
			n++
		}
	}
	return n
}

// randomPeers returns up to n random members of the own domain that are not dead.
func (m *Machine) randomPeers(n int, except *member) []*member {
	var peers []*member
	for _, mb := range m.ownDomain.members {
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
