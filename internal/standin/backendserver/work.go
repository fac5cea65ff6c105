package backendserver

import (
	"math"
	"slices"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// replyLocked responds in the acknowledgement of a confirmable request, or in a
// non-confirmable message.
func (s *Server) replyLocked(ex *exchange, req *message.Message, resp message.Message) {
	resp.Token = req.Token
	resp.MessageID = int32(ex.key.id)
	resp.Type = message.Acknowledgement
	if req.Type != message.Confirmable {
		resp.Type = message.NonConfirmable
		resp.MessageID = int32(s.nextMIDLocked(ex.key.remote))
	}
	ex.reply = s.sendLocked(resp, ex.key.remote)
}

func (s *Server) shedLocked(ex *exchange, m *message.Message, text string) {
	s.replyLocked(ex, m, message.Message{
		Code: codes.ServiceUnavailable, Options: addUint(nil, message.MaxAge, shedMaxAgeSeconds), Payload: []byte(text),
	})
}

// startWorkLocked runs work in a free slot, or sheds it.
func (s *Server) startWorkLocked(now time.Time, ex *exchange, m *message.Message, path string, duration time.Duration, resp message.Message) {
	if !s.drainedAt.IsZero() {
		s.countDrainWorkLocked(now)
		if s.drainEnded {
			s.shedWorkLocked(now, ex, m, path, "draining")
			return
		}
	}
	if full := len(s.running) >= s.spec.Slots; full || s.behaviour.ShedAll {
		if full {
			s.status.Overruns++
		}
		s.shedWorkLocked(now, ex, m, path, "slots busy")
		return
	}
	key := tokenKey{remote: ex.key.remote, token: string(m.Token)}
	if _, ok := s.running[key]; ok {
		s.replyLocked(ex, m, message.Message{Code: codes.BadRequest, Payload: []byte("token in use")})
		return
	}
	r := &request{
		key: key, messageKey: ex.key, confirmable: m.Type == message.Confirmable, token: slices.Clone(m.Token),
		start: now, exchange: ex, response: resp,
		entry: s.logEntryLocked(now, ex, m, path),
	}
	abandon := false
	if ms, err := m.Options.GetUint32(DeadlineOption); err == nil && time.Duration(ms)*time.Millisecond < duration {
		duration, abandon = time.Duration(ms)*time.Millisecond, true
	}
	r.separate = duration > piggybackLimit
	s.running[key], s.byMID[ex.key] = r, r
	s.recordStateLocked(now)
	if r.separate && r.confirmable {
		ex.reply = s.sendLocked(message.Message{Type: message.Acknowledgement, MessageID: m.MessageID}, ex.key.remote)
	}
	wait := duration - s.timerLag
	s.timerLag = max(0, -wait)
	planned := now.Add(max(0, wait))
	r.timer = time.AfterFunc(max(0, wait), func() { s.complete(r, planned, abandon) })
}

// shedWorkLocked sheds work, and logs it if the request has a payload ID.
func (s *Server) shedWorkLocked(now time.Time, ex *exchange, m *message.Message, path, text string) {
	s.status.Shed++
	s.shedLocked(ex, m, text)
	if e := s.logEntryLocked(now, ex, m, path); e.PayloadID != "" {
		e.Shed, e.EndUS, e.Slots = true, e.StartUS, e.Slots-1
		s.log.append(e)
	}
}

// logEntryLocked returns the log entry of a request that starts now.
func (s *Server) logEntryLocked(now time.Time, ex *exchange, m *message.Message, path string) Execution {
	return Execution{
		Server: s.spec.Name, Service: s.spec.Service, Method: m.Code.String(), Path: path,
		PayloadID: payloadID(m.Payload), StartUS: now.UnixMicro(), Slots: len(s.running) + 1,
		Remote: ex.key.remote, MessageID: ex.key.id,
	}
}

// complete finishes work when its timer fires. It adds the delay of the timer to timerLag,
// which is subtracted from later work, so that the mean duration is correct although timers
// have a resolution of 1 ms.
func (s *Server) complete(r *request, planned time.Time, abandoned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.done || s.killed {
		return
	}
	s.timerLag += min(max(0, time.Since(planned)), maxTimerLag)
	s.finishLocked(r, abandoned)
	resp := r.response
	if abandoned {
		resp = message.Message{Code: codes.GatewayTimeout, Payload: []byte("abandoned at the deadline")}
	}
	resp.Token = r.token
	if !r.separate && r.confirmable {
		resp.Type, resp.MessageID = message.Acknowledgement, int32(r.messageKey.id)
		r.exchange.reply = s.sendLocked(resp, r.key.remote)
		return
	}
	mid := s.nextMIDLocked(r.key.remote)
	resp.MessageID, resp.Type = int32(mid), message.NonConfirmable
	if r.confirmable {
		resp.Type = message.Confirmable
	}
	datagram := s.sendLocked(resp, r.key.remote)
	if r.confirmable {
		s.expectAckLocked(messageKey{remote: r.key.remote, id: mid}, datagram, nil)
	}
}

// maxTimerLag bounds the compensation for one timer. A longer delay means that the whole
// process was paused, and compensating for it would cause a burst of short work.
const maxTimerLag = 5 * time.Millisecond

// finishLocked frees the slot of a request and appends its log entry.
func (s *Server) finishLocked(r *request, abandoned bool) {
	if r.done {
		return
	}
	r.done = true
	now := time.Now()
	delete(s.running, r.key)
	delete(s.byMID, r.messageKey)
	s.status.Executed++
	if abandoned {
		s.status.Abandoned++
	}
	s.status.BusyUS += now.Sub(r.start).Microseconds()
	r.entry.EndUS, r.entry.Abandoned = now.UnixMicro(), abandoned
	s.log.append(r.entry)
	s.recordStateLocked(now)
}

// durationLocked returns a log-normally distributed duration with the given mean at speed
// 1, divided by the current speed.
func (s *Server) durationLocked(now time.Time, meanMS float64) time.Duration {
	z := min(max(s.rng.NormFloat64(), -maxSigmas), maxSigmas)
	ms := meanMS * math.Exp(s.spec.Sigma*z-s.spec.Sigma*s.spec.Sigma/2) / s.speedLocked(now)
	return time.Duration(ms * float64(time.Millisecond))
}

func (s *Server) speedLocked(now time.Time) float64 {
	speed := s.spec.Speed
	if s.behaviour.Speed > 0 {
		speed = s.behaviour.Speed
	}
	cold := time.Duration(s.spec.ColdStartMS) * time.Millisecond
	if uptime := now.Sub(s.started); uptime < cold {
		share := float64(uptime) / float64(cold)
		speed *= s.spec.ColdFactor + (1-s.spec.ColdFactor)*share
	}
	return speed
}

func (s *Server) countDrainWorkLocked(now time.Time) {
	s.status.WorkWhileDraining++
	s.status.LastWorkAfterDrainMS = now.Sub(s.drainedAt).Milliseconds()
}

func (s *Server) archiveLocked(now time.Time, ex *exchange, m *message.Message, path, name string) {
	k := archiveKey{service: s.spec.Service, name: name, seed: s.spec.ArchiveSeed, size: s.spec.ArchiveBytes}
	b, err := requestedBlock(m.Options)
	start := b.number * b.szx.Size()
	if err != nil || start >= int64(k.size) {
		s.replyLocked(ex, m, message.Message{Code: codes.BadRequest, Payload: []byte("no such block")})
		return
	}
	content := s.archives.get(k)
	end := min(start+b.szx.Size(), int64(k.size))
	s.startWorkLocked(now, ex, m, path, s.durationLocked(now, s.spec.BlockWorkMS), blockResponse(k, b, content[start:end], end < int64(k.size)))
}
