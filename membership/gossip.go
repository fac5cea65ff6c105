package membership

import (
	"math/bits"
	"slices"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

const (
	// maxUpdatesPerMessage limits the updates piggybacked on one message; 16 are about 0.5 KB.
	maxUpdatesPerMessage = 16
	// maxQueueForRemoteUpdates is the queue length above which changes of other domains are
	// left to anti-entropy, so that they do not delay updates about the own domain.
	maxQueueForRemoteUpdates = 64
	// duplicateSendCredit is the number of sends that are credited to an update when a peer
	// sends the same update.
	duplicateSendCredit = 1
	// configSendPenalty is the number of sends by which a configuration version ranks
	// behind other updates.
	configSendPenalty = 4
)

// update is a pending update about a member or the reachability of a domain. It is encoded
// when it is sent, so that it always contains the newest state.
type update struct {
	member      *member
	domain      *domain
	withAddress bool // with address and weight
	configOnly  bool // only the configuration version has changed
	sends       int
}

func (m *Machine) enqueue(mb *member, withAddress, configOnly bool) {
	if mb.queued == nil {
		mb.queued = &update{member: mb, configOnly: true}
		m.gossipQueue = append(m.gossipQueue, mb.queued)
	}
	u := mb.queued
	u.sends = 0
	u.withAddress = u.withAddress || withAddress
	u.configOnly = u.configOnly && configOnly
}

// creditDuplicate accounts for a peer that already disseminates the same update.
func (mb *member) creditDuplicate() {
	if mb.queued != nil {
		mb.queued.sends += duplicateSendCredit
	}
}

func (m *Machine) enqueueReachability(d *domain) {
	if d.queued == nil {
		d.queued = &update{domain: d}
		m.gossipQueue = append(m.gossipQueue, d.queued)
	}
	d.queued.sends = 0
}

// appendUpdates appends pending updates to dst, the least sent ones first.
func (m *Machine) appendUpdates(dst []*peerpb.Member) []*peerpb.Member {
	if len(m.gossipQueue) == 0 {
		return dst
	}
	if len(m.gossipQueue) > maxUpdatesPerMessage {
		slices.SortStableFunc(m.gossipQueue, func(a, b *update) int { return a.priority() - b.priority() })
	}
	// Every update is sent O(log n) times, which reaches all members with high
	// probability. A lost configuration version is repaired by the next digest comparison.
	logMembers := bits.Len(uint(m.liveMembers()))
	limit := func(u *update) int {
		if u.configOnly {
			return logMembers + 1
		}
		return 2 * logMembers
	}
	for _, u := range m.gossipQueue[:min(maxUpdatesPerMessage, len(m.gossipQueue))] {
		u.sends++
		if e := u.encode(m.ownDomain); e != nil {
			dst = append(dst, e)
		}
	}
	m.gossipQueue = slices.DeleteFunc(m.gossipQueue, func(u *update) bool {
		done := u.sends >= limit(u) || u.member != nil && u.member.removed
		if done {
			u.dequeue()
		}
		return done
	})
	return dst
}

func (u *update) priority() int {
	if u.configOnly {
		return u.sends + configSendPenalty
	}
	return u.sends
}

func (u *update) encode(own *domain) *peerpb.Member {
	switch {
	case u.domain != nil:
		return u.domain.encodeReachability()
	case u.member.removed:
		return nil
	}
	return u.member.encode(u.withAddress, u.member.domain != own)
}

func (u *update) dequeue() {
	if u.member != nil {
		u.member.queued = nil
	} else {
		u.domain.queued = nil
	}
}
