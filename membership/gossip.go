package membership

import (
	"math/bits"
	"slices"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

const (
	// maxUpdates bounds the piggybacked updates of one message; 16 are about 0.5 KB.
	maxUpdates = 16
	// maxRemoteQueue is the queue length above which changes of other domains are left to
	// pulls by digest, so that they do not delay what happens in the own domain.
	maxRemoteQueue = 64
	// knownCredit is how many sends an update is credited when a peer sends the same.
	knownCredit = 1
	// configDelay is how many sends a configuration version waits behind other updates.
	configDelay = 4
)

// update is a pending update about a member or the record of a domain. It is encoded
// when it is sent, so that it always carries the newest state.
type update struct {
	member *member
	domain *domain
	full   bool // with address and weight
	config bool // only the configuration version has changed
	sent   int
}

func (m *Machine) enqueue(mb *member, full, config bool) {
	if mb.queued == nil {
		mb.queued = &update{member: mb, config: true}
		m.queue = append(m.queue, mb.queued)
	}
	u := mb.queued
	u.sent = 0
	u.full = u.full || full
	u.config = u.config && config
}

// alreadyKnown accounts that a peer spreads the same update.
func (mb *member) alreadyKnown() {
	if mb.queued != nil {
		mb.queued.sent += knownCredit
	}
}

func (m *Machine) enqueueRecord(d *domain) {
	if d.queued == nil {
		d.queued = &update{domain: d}
		m.queue = append(m.queue, d.queued)
	}
	d.queued.sent = 0
}

// gossip appends pending updates, the least sent ones first.
func (m *Machine) gossip(dst []*peerpb.Member) []*peerpb.Member {
	if len(m.queue) == 0 {
		return dst
	}
	if len(m.queue) > maxUpdates {
		slices.SortStableFunc(m.queue, func(a, b *update) int { return a.order() - b.order() })
	}
	// Every update is sent O(log n) times, which reaches all members with high
	// probability. A lost configuration version is repaired by the next digest.
	levels := bits.Len(uint(m.alive()))
	limit := func(u *update) int {
		if u.config {
			return levels + 1
		}
		return 2 * levels
	}
	for _, u := range m.queue[:min(maxUpdates, len(m.queue))] {
		u.sent++
		if e := u.wire(m.own); e != nil {
			dst = append(dst, e)
		}
	}
	m.queue = slices.DeleteFunc(m.queue, func(u *update) bool {
		done := u.sent >= limit(u) || u.member != nil && u.member.gone
		if done {
			u.forget()
		}
		return done
	})
	return dst
}

func (u *update) order() int {
	if u.config {
		return u.sent + configDelay
	}
	return u.sent
}

func (u *update) wire(own *domain) *peerpb.Member {
	switch {
	case u.domain != nil:
		return u.domain.wireRecord()
	case u.member.gone:
		return nil
	}
	return u.member.wire(u.full, u.member.d != own)
}

func (u *update) forget() {
	if u.member != nil {
		u.member.queued = nil
	} else {
		u.domain.queued = nil
	}
}
