package daemon

import (
	"time"

	"github.com/monsoonthread/monsoonthread/edge"
	"github.com/monsoonthread/monsoonthread/internal/timeline"
)

// handleNotification processes a notification of a backend server.
func (t *streamTable) handleNotification(o *observation, token uint64, m *edge.Message) {
	st := o.stream
	seq, observes := m.Observe()
	st.mu.Lock()
	current := st.serverToken == token && !st.ended
	stale := current && observes && !newer(seq, st.serverSeq)
	if current && !stale && observes {
		st.serverSeq = seq
	}
	waits := current && !stale && observes && st.settling && m.Code.IsSuccess()
	if waits {
		st.held = m
	}
	st.mu.Unlock()
	switch {
	case !current || stale || waits:
		return
	case m.Code == edge.ServiceUnavailable:
		// The server ended the observation, for instance because it drains.
		t.daemon.backends.forget(token)
		st.mu.Lock()
		st.tried = append(st.tried, o.server)
		st.server, st.serverToken = "", 0
		st.mu.Unlock()
		t.establish(st)
	case !m.Code.IsSuccess() || !observes:
		t.daemon.backends.forget(token)
		t.finish(st, m)
	default:
		t.forward(st, m)
	}
}

// newer reports whether Observe sequence number a follows b (RFC 7641, 3.4).
func newer(a, b uint32) bool {
	return a != b && (a-b)%sequenceModulus < sequenceWindow
}

// forward sends a notification to the caller with the stream's own sequence number.
func (t *streamTable) forward(st *stream, m *edge.Message) {
	d := t.daemon
	m = m.Clone()
	st.mu.Lock()
	if st.ended {
		st.mu.Unlock()
		return
	}
	st.updates++
	millis := timeline.Millis(d.clock.Now())
	if seq, ok := d.flows.Notify(st.id, millis); ok && st.handoverDeadline.IsZero() {
		st.sequence = seq
	} else {
		st.sequence = nextSequence(st.sequence, millis)
	}
	m.SetObserve(st.sequence)
	p := st.registration
	st.registration = nil
	st.mu.Unlock()
	d.metrics.notifications.Inc()
	if p != nil {
		d.respond(p, m)
		return
	}
	t.sendNotification(st, m)
}

// nextSequence returns the next sequence number of a stream that is no longer in the
// flow table.
func nextSequence(last uint32, millis uint64) uint32 {
	if now := uint32(millis % sequenceModulus); newer(now, last) {
		return now
	}
	return (last + 1) % sequenceModulus
}

// sendNotification sends a confirmable notification. It replaces an unacknowledged one
// and inherits its attempts and timeout (RFC 7641, 4.5.2). If each notification
// restarted them, an unreachable caller would never be detected when notifications come
// faster than the timeout.
func (t *streamTable) sendNotification(st *stream, m *edge.Message) {
	d := t.daemon
	r := d.routes.Load()
	svc := r.byID[st.key.ServiceID]
	if svc == nil {
		return
	}
	m.Type, m.Token = edge.Confirmable, st.token
	m.ID = d.nextMessageID()
	t.mu.Lock()
	st.mu.Lock()
	if st.unacked != nil {
		delete(t.unacked, exchangeKey{st.key.Caller, st.key.ServiceID, st.unacked.ID})
	} else {
		st.attempts, st.resendAt = 1, time.Now().Add(notifyTimeout)
	}
	st.unacked = m
	st.mu.Unlock()
	t.unacked[exchangeKey{st.key.Caller, st.key.ServiceID, m.ID}] = st
	t.mu.Unlock()
	d.send(svc, st.key.Caller, m)
}

// takeUnacked removes and returns the stream whose notification is acknowledged or
// rejected by p.
func (t *streamTable) takeUnacked(p *packet) *stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := exchangeKeyOf(p)
	st := t.unacked[k]
	if st == nil {
		return nil
	}
	delete(t.unacked, k)
	st.mu.Lock()
	if st.unacked != nil && st.unacked.ID == p.message.ID {
		st.unacked, st.attempts = nil, 0
	}
	st.mu.Unlock()
	return st
}

func (t *streamTable) handleAck(p *packet) { t.takeUnacked(p) }

// handleReset ends a stream whose caller rejected a notification with Reset.
func (t *streamTable) handleReset(p *packet) {
	if st := t.takeUnacked(p); st != nil {
		t.end(st)
	}
}
