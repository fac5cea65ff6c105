package daemon

import (
	"net/netip"
	"time"

	"github.com/monsoonthread/monsoonthread/flow"
	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/internal/timeline"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// tickStreams retransmits notifications, retries registrations, copies records to the
// standbys and moves streams affected by a change.
func (d *Daemon) tickStreams(now time.Time) {
	r := d.routes.Load()
	if r == nil {
		return
	}
	t := d.streams
	t.resend(now)
	t.retry(now)
	t.expireHandovers(now)
	t.handOver(r, now)
	t.copyRecords(r, now)
	t.move(r, now)
	d.issuer.expire(now)
	d.flows.Expire(now)
}

// resend retransmits unacknowledged notifications and ends streams whose callers are
// gone.
func (t *streamTable) resend(now time.Time) {
	var due, gone []*stream
	t.mu.Lock()
	for _, st := range t.unacked {
		st.mu.Lock()
		if st.unacked != nil && now.After(st.resendAt) {
			if st.attempts >= maxNotifyAttempts {
				gone = append(gone, st)
			} else {
				due = append(due, st)
				st.attempts++
				st.resendAt = now.Add(notifyTimeout << st.attempts / 2)
			}
		}
		st.mu.Unlock()
	}
	t.mu.Unlock()
	for _, st := range due {
		st.mu.Lock()
		m := st.unacked
		st.mu.Unlock()
		if svc := t.daemon.routes.Load().byID[st.key.ServiceID]; svc != nil && m != nil {
			t.daemon.send(svc, st.key.Caller, m)
		}
	}
	for _, st := range gone {
		t.daemon.metrics.callersGone.Inc()
		t.end(st)
	}
}

// retry repeats the registration of streams that no backend server accepted.
func (t *streamTable) retry(now time.Time) {
	var due []*stream
	t.mu.Lock()
	for st := range t.retrying {
		st.mu.Lock()
		if now.After(st.retryAt) {
			due = append(due, st)
			delete(t.retrying, st)
		}
		st.mu.Unlock()
	}
	t.mu.Unlock()
	for _, st := range due {
		t.establish(st)
	}
}

// expireHandovers reclaims streams whose new owner did not confirm the handover in time,
// for instance because it died or the batch was lost. They can then be handed over again.
func (t *streamTable) expireHandovers(now time.Time) {
	var expired []*stream
	t.mu.Lock()
	for st := range t.handingOver {
		st.mu.Lock()
		if now.After(st.handoverDeadline) {
			expired = append(expired, st)
		}
		st.mu.Unlock()
	}
	t.mu.Unlock()
	for _, st := range expired {
		t.daemon.metrics.handoverTimeouts.Inc()
		t.reclaim(st)
	}
}

func (t *streamTable) reclaim(st *stream) {
	st.mu.Lock()
	rec := flow.Record{Key: st.key, Token: st.token, Request: st.request, Server: st.server, Sequence: st.sequence}
	st.mu.Unlock()
	id, err := t.daemon.flows.Register(time.Now(), rec)
	if err != nil {
		t.daemon.metrics.streamsBroken.Inc()
		t.release(st)
		return
	}
	t.mu.Lock()
	delete(t.handingOver, st)
	t.byID[id] = st
	st.mu.Lock()
	st.id, st.handoverDeadline = id, time.Time{}
	st.mu.Unlock()
	t.mu.Unlock()
	t.requestReplan()
}

// handOver transfers streams to their new owners. The existing observation keeps feeding
// the caller until the new owner confirms.
func (t *streamTable) handOver(r *routing, now time.Time) {
	d := t.daemon
	if !t.clearReplan() {
		return
	}
	moved := d.flows.HandOver(now, maxHandoverRecords, func(k flow.Key) string {
		owner, ok := r.view.Owner(k.Hash())
		if !ok || owner.ID == d.settings.InstanceID {
			return ""
		}
		return owner.ID
	})
	count := 0
	for to, records := range moved {
		count += len(records)
		for i := range records {
			t.markHandingOver(records[i], now)
		}
		d.sendTo(to, flowCopiesEnvelope(records, true))
	}
	if count > 0 {
		d.event("streams_handed_over", timeline.Field{Key: logging.Count, Value: itoa(count)})
		t.requestReplan() // the batch may not have covered all streams
	}
}

func (t *streamTable) markHandingOver(rec flow.Record, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.byID[rec.ID]
	if st == nil {
		return
	}
	delete(t.byID, rec.ID)
	t.handingOver[st] = struct{}{}
	st.mu.Lock()
	st.handoverDeadline = now.Add(handoverTimeout)
	st.id = 0
	st.mu.Unlock()
}

// requestReplan makes the next tick look for streams whose owner or server has changed.
func (t *streamTable) requestReplan() {
	t.daemon.flows.Replan()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replan = true
}

func (t *streamTable) clearReplan() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	was := t.replan
	t.replan = false
	return was
}

// copyRecords copies records to the standbys within the copy budget.
func (t *streamTable) copyRecords(r *routing, now time.Time) {
	d := t.daemon
	copies := d.flows.Copies(now, func(k flow.Key) string {
		e, ok := r.view.Standby(k.Hash())
		if !ok || e.ID == d.settings.InstanceID {
			return ""
		}
		return e.ID
	}, d.settings.CopyBudget)
	for to, records := range copies {
		d.sendTo(to, flowCopiesEnvelope(records, false))
	}
}

// move re-registers streams whose backend server is leaving or lost. A stream on any
// other available server stays there, even if it is not the first in rendezvous order.
func (t *streamTable) move(r *routing, now time.Time) {
	d := t.daemon
	moves := d.flows.PlanMoves(now, func(rec flow.Record) string {
		if rec.Server == "" {
			return ""
		}
		if server := r.servers[rec.Server]; server != nil && !server.Leaving && !d.notices.unavailable(rec.Server) && domainReachable(r.view, server.Domain) {
			return rec.Server
		}
		svc := r.byID[rec.ServiceID]
		if svc == nil {
			return ""
		}
		return t.rendezvousServer(svc, rec.Key.Hash(), nil)
	}, maxMovesPerTick)
	for _, mv := range moves {
		t.mu.Lock()
		st := t.byID[mv.ID]
		t.mu.Unlock()
		if st != nil {
			t.establish(st)
		}
	}
}

// takeOver resumes the streams of a dead owner from their copies.
func (t *streamTable) takeOver(r *routing, dead string, now time.Time) {
	d := t.daemon
	records := d.flows.TakeOver(now, dead)
	if len(records) == 0 {
		return
	}
	d.event("streams_taken_over", timeline.Field{Key: logging.Peer, Value: dead}, timeline.Field{Key: logging.Count, Value: itoa(len(records))})
	byOwner := map[string][]flow.Record{}
	for _, rec := range records {
		owner, ok := r.view.Owner(rec.Key.Hash())
		if ok && owner.ID != d.settings.InstanceID {
			byOwner[owner.ID] = append(byOwner[owner.ID], rec)
			continue
		}
		t.adopt(rec, "")
	}
	for to, list := range byOwner {
		d.sendTo(to, flowCopiesEnvelope(list, true))
	}
}

// adopt resumes a stream on this instance. from is the previous owner, which waits for
// a confirmation, or "" if it is dead.
func (t *streamTable) adopt(rec flow.Record, from string) {
	if st := t.find(streamKey{rec.Key, string(rec.Token)}); st != nil && !st.isHandingOver() {
		if from != "" {
			t.confirmHandover(st, from) // the caller has already registered again
		}
		return
	}
	st, err := t.add(rec, nil)
	if err != nil {
		t.daemon.violation("adopted_stream_fits", err.Error())
		return
	}
	st.mu.Lock()
	st.previousOwner = from
	st.preferredServer = rec.Server
	if st.sequence == 0 {
		st.sequence = 1 // mark as established; see handleNoServer
	}
	st.mu.Unlock()
	t.establish(st)
}

// confirmHandover tells the previous owner that this instance now feeds the stream.
func (t *streamTable) confirmHandover(st *stream, to string) {
	rec := flow.Record{Key: st.key, Token: st.token, Removed: true}
	t.daemon.sendTo(to, flowCopiesEnvelope([]flow.Record{rec}, true))
}

// handleFlowCopies stores copies, resumes streams that are handed over, and ends those
// whose handover is confirmed.
func (d *Daemon) handleFlowCopies(from string, in *peerpb.FlowCopies) {
	now := time.Now()
	var copies []flow.Record
	for _, pb := range in.Records {
		rec, ok := recordFromProto(pb, now)
		switch {
		case !ok:
			d.log.Warn().Str(logging.Peer, from).Msg("flow_record_malformed")
		case in.Handover && rec.Removed:
			d.streams.handoverConfirmed(streamKey{rec.Key, string(rec.Token)})
		case in.Handover:
			d.streams.adopt(rec, from)
		default:
			copies = append(copies, rec)
		}
	}
	if len(copies) > 0 {
		d.flows.StoreCopies(now, from, copies)
	}
}

// handoverConfirmed ends the local observation of a handed-over stream.
func (t *streamTable) handoverConfirmed(k streamKey) {
	t.mu.Lock()
	var st *stream
	for s := range t.handingOver {
		if s.keyOf() == k {
			st = s
			break
		}
	}
	t.mu.Unlock()
	if st != nil {
		t.release(st)
	}
}

func (s *stream) isHandingOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.handoverDeadline.IsZero()
}

// active returns the number of streams that depend on this instance.
func (t *streamTable) active() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID) + len(t.handingOver)
}

func flowCopiesEnvelope(records []flow.Record, handover bool) *peerpb.Envelope {
	out := &peerpb.FlowCopies{Handover: handover, Records: make([]*peerpb.FlowRecord, len(records))}
	for i, rec := range records {
		caller, _ := rec.Caller.MarshalBinary()
		pb := &peerpb.FlowRecord{Caller: caller, ServiceId: rec.ServiceID, Token: rec.Token, Request: rec.Request,
			Sequence: rec.Sequence, Removed: rec.Removed}
		if rec.Exception {
			pb.Server = rec.Server
		}
		if !rec.Created.IsZero() {
			pb.AgeS = uint32(max(time.Since(rec.Created).Seconds(), 0))
		}
		out.Records[i] = pb
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_FlowCopies{FlowCopies: out}}
}

func recordFromProto(pb *peerpb.FlowRecord, now time.Time) (flow.Record, bool) {
	var caller netip.AddrPort
	if pb == nil || caller.UnmarshalBinary(pb.Caller) != nil || !caller.IsValid() || len(pb.Token) > flow.MaxTokenLen {
		return flow.Record{}, false
	}
	return flow.Record{Key: flow.Key{Caller: caller, ServiceID: pb.ServiceId}, Token: pb.Token, Request: pb.Request, Server: pb.Server,
		Exception: pb.Server != "", Sequence: pb.Sequence, Created: now.Add(-time.Duration(pb.AgeS) * time.Second), Removed: pb.Removed}, true
}
