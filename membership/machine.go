package membership

import (
	"math/rand"
	"slices"
	"strings"
	"time"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// Kinds of Membership messages.
const (
	kindPing = 1 + iota
	kindAck
)

type member struct {
	Entry
	heard time.Time
}

// Machine is the membership of one instance.
type Machine struct {
	cfg        Config
	rng        *rand.Rand
	self       *member
	members    map[string]*member
	last       time.Time
	nextProbe  time.Time
	config     uint64
	view       *View
	dirty      bool
	out        []Action
	higherSeen uint64
}

// New returns a machine that knows only itself until Hint names other instances.
func New(cfg Config, rng *rand.Rand, now time.Time) *Machine {
	cfg.setDefaults()
	cfg.Self.Incarnation = max(cfg.Self.Incarnation, uint64(now.UnixMilli()))
	m := &Machine{cfg: cfg, rng: rng, members: map[string]*member{}, last: now, nextProbe: now}
	m.self = &member{Entry: Entry{Instance: cfg.Self}}
	m.members[cfg.Self.ID] = m.self
	m.view = m.build(uint64(now.UnixMilli()))
	return m
}

func (m *Machine) build(version uint64) *View {
	domains := make([]Domain, 0, len(m.cfg.Domains))
	for _, dc := range m.cfg.Domains {
		var es []Entry
		for _, mb := range m.members {
			if mb.Domain == dc.Name {
				es = append(es, mb.Entry)
			}
		}
		domains = append(domains, newDomain(dc.Name, dc.Weight, es, len(es) > 0, false))
	}
	slices.SortFunc(domains, func(a, b Domain) int { return strings.Compare(a.Name, b.Name) })
	return newView(version, domains)
}

func (m *Machine) flush() []Action {
	if m.dirty {
		m.dirty = false
		m.view = m.build(m.view.Version + 1)
		m.out = append(m.out, ViewChanged{m.view})
	}
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) wire(e *Entry) *peerpb.Member {
	return &peerpb.Member{Id: e.ID, Domain: e.Domain, PeerAddress: e.PeerAddress, Weight: e.Weight,
		Incarnation: e.Incarnation, State: uint32(e.State), ConfigVersion: e.ConfigVersion}
}

func (m *Machine) send(to Instance, kind uint32) {
	m.out = append(m.out, Send{to, &peerpb.Membership{Kind: kind, ConfigVersion: m.config,
		Updates: []*peerpb.Member{m.wire(&m.self.Entry)}}})
}

func (m *Machine) checkGap(now time.Time) {
	if now.Sub(m.last) > m.cfg.SuspicionTimeout {
		m.self.Incarnation = max(m.self.Incarnation+1, uint64(now.UnixMilli()))
		for _, mb := range m.members {
			mb.heard = now
		}
		m.dirty = true
		m.out = append(m.out, Diagnostic{Name: "membership-fenced"}, Rejoined{m.self.Incarnation})
	}
	if now.After(m.last) {
		m.last = now
	}
}

// Tick advances time; it is to be called every 50 ms.
func (m *Machine) Tick(now time.Time) []Action {
	m.checkGap(now)
	probe := !now.Before(m.nextProbe)
	if probe {
		m.nextProbe = now.Add(m.cfg.ProbeInterval)
	}
	for id, mb := range m.members {
		if mb == m.self {
			continue
		}
		silence := now.Sub(mb.heard)
		state := mb.State
		switch {
		case silence > m.cfg.DeadRetention:
			delete(m.members, id)
			m.dirty = true
			continue
		case silence > 2*m.cfg.ProbeTimeout+m.cfg.SuspicionTimeout:
			state = Dead
		case silence > 2*m.cfg.ProbeTimeout && state == Alive:
			state = Suspect
		}
		if state != mb.State {
			mb.State = state
			m.dirty = true
		}
		if probe {
			m.send(mb.Instance, kindPing)
		}
	}
	return m.flush()
}

// Receive handles a message of instance from.
func (m *Machine) Receive(now time.Time, from string, msg *peerpb.Membership) []Action {
	m.checkGap(now)
	for _, u := range msg.GetUpdates() {
		if u.GetId() != from || from == m.self.ID {
			continue
		}
		e := Entry{Instance: Instance{u.GetId(), u.GetDomain(), u.GetPeerAddress(), u.GetWeight(), u.GetIncarnation()},
			State: State(u.GetState()), ConfigVersion: u.GetConfigVersion()}
		old := m.members[from]
		if old != nil && old.Incarnation > e.Incarnation {
			continue
		}
		if old == nil || old.Entry != e {
			m.dirty = true
		}
		m.members[from] = &member{Entry: e, heard: now}
		if msg.GetKind() == kindPing {
			m.send(e.Instance, kindAck)
		}
	}
	if v := msg.GetConfigVersion(); v > m.config && v > m.higherSeen {
		m.higherSeen = v
		m.out = append(m.out, HigherConfig{from, v})
	}
	return m.flush()
}

// Hint takes the platform's list: unknown instances are probed.
func (m *Machine) Hint(now time.Time, list []ListEntry) []Action {
	m.checkGap(now)
	for _, l := range list {
		if m.members[l.ID] == nil {
			m.send(l.Instance, kindPing)
		}
	}
	return m.flush()
}

// Leave marks the instance as leaving.
func (m *Machine) Leave(now time.Time) []Action {
	m.self.State = Leaving
	m.dirty = true
	return m.flush()
}

// SetConfigVersion sets the version that heartbeats announce.
func (m *Machine) SetConfigVersion(v uint64) {
	m.config = v
	m.self.ConfigVersion = v
}

// SetDomains replaces the configured domains.
func (m *Machine) SetDomains(now time.Time, d []DomainConfig) []Action {
	m.cfg.Domains = d
	m.dirty = true
	return m.flush()
}

// View returns the current snapshot.
func (m *Machine) View() *View { return m.view }

// Fenced reports whether the machine was not called for longer than the suspicion
// time, so that other instances may have declared this one dead.
func (m *Machine) Fenced(now time.Time) bool { return now.Sub(m.last) > m.cfg.SuspicionTimeout }
