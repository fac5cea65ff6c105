package backendserver

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/net/blockwise"
)

// observeModulus is the range of the Observe option (RFC 7641, section 3.4).
const observeModulus = 1 << 24

// StreamPayload returns the payload of a stream at a tick.
func StreamPayload(path string, tick int64) string { return fmt.Sprintf("path=%s tick=%d", path, tick) }

// ParseStreamPayload returns the path and the tick of a payload from StreamPayload.
func ParseStreamPayload(payload string) (path string, tick int64, err error) {
	rest, ok := strings.CutPrefix(payload, "path=")
	path, number, found := strings.Cut(rest, " tick=")
	if !ok || !found {
		return "", 0, fmt.Errorf("stream payload %q has no path or no tick", payload)
	}
	if _, err := fmt.Sscanf(number, "%d", &tick); err != nil {
		return "", 0, fmt.Errorf("stream payload %q: %w", payload, err)
	}
	return path, tick, nil
}

// tick returns the stream counter, which is the same on all servers with the same interval.
func (s *Server) tick(now time.Time) int64 { return now.UnixMilli() / int64(s.spec.TickMS) }

// observeLocked registers a stream (Observe 0) or cancels it (Observe 1).
func (s *Server) observeLocked(now time.Time, ex *exchange, m *message.Message, path string) {
	key := tokenKey{remote: ex.key.remote, token: string(m.Token)}
	o, known := s.observers[key]
	if v, err := m.Options.Observe(); err != nil || v != 0 {
		if known {
			delete(s.observers, key)
			s.status.Cancelled++
		}
		s.replyLocked(ex, m, s.stateResponse(now, path))
		return
	}
	if !known {
		if !s.drainedAt.IsZero() {
			s.countDrainWorkLocked(now)
			s.status.StreamsShed++
			s.shedLocked(ex, m, "draining")
			return
		}
		if len(s.observers) >= s.spec.Connections {
			s.status.StreamsShed++
			s.shedLocked(ex, m, "connections in use")
			return
		}
		o = &observer{key: key}
		s.observers[key] = o
		s.status.Registrations++
	}
	o.token, o.path = slices.Clone(m.Token), path
	resp := s.stateResponse(now, path)
	resp.Options = addObserve(resp.Options, now)
	s.replyLocked(ex, m, resp)
}

// stateResponse returns a response with the current state of a stream.
func (s *Server) stateResponse(now time.Time, path string) message.Message {
	return message.Message{
		Code:    codes.Content,
		Options: addUint(nil, message.MaxAge, s.spec.MaxAge),
		Payload: []byte(StreamPayload(path, s.tick(now))),
	}
}

func addObserve(o message.Options, now time.Time) message.Options {
	return addUint(o, message.Observe, uint32(now.UnixMilli()%observeModulus))
}

// tickLoop notifies all observers at each tick, aligned to the wall clock.
func (s *Server) tickLoop() {
	defer s.loops.Done()
	interval := time.Duration(s.spec.TickMS) * time.Millisecond
	for {
		now := time.Now()
		t := time.NewTimer(now.Truncate(interval).Add(interval).Sub(now))
		select {
		case <-s.stop:
			t.Stop()
			return
		case <-t.C:
		}
		s.mu.Lock()
		if !s.killed {
			s.notifyLocked(time.Now())
		}
		s.mu.Unlock()
	}
}

func (s *Server) notifyLocked(now time.Time) {
	for _, o := range s.observers {
		resp := s.stateResponse(now, o.path)
		resp.Options = addObserve(resp.Options, now)
		resp.Token = o.token
		mid := s.nextMIDLocked(o.key.remote)
		resp.MessageID, resp.Type = int32(mid), message.NonConfirmable
		confirmable := o.sent%notificationsPerConfirmable == notificationsPerConfirmable-1
		if confirmable {
			resp.Type = message.Confirmable
		}
		datagram := s.sendLocked(resp, o.key.remote)
		if confirmable {
			s.expectAckLocked(messageKey{remote: o.key.remote, id: mid}, datagram, o)
		}
		o.recentMIDs[o.sent%recentMIDCount] = mid
		o.sent++
		s.status.Notifications++
	}
}

// endDrainLocked ends the streams that are still registered.
func (s *Server) endDrainLocked() {
	s.drainEnded = true
	for key, o := range s.observers {
		s.status.StreamsEndedByDrain++
		s.sendLocked(message.Message{
			Type: message.NonConfirmable, MessageID: int32(s.nextMIDLocked(key.remote)), Token: o.token,
			Code: codes.ServiceUnavailable, Payload: []byte("draining"),
		}, key.remote)
		delete(s.observers, key)
	}
}

// recordStateLocked appends the current state to the history and removes samples that are
// older than the lag requires.
func (s *Server) recordStateLocked(now time.Time) {
	lag := time.Duration(s.behaviour.LagMS) * time.Millisecond
	if lag == 0 {
		s.history = s.history[:0]
	}
	for len(s.history) > 1 && !s.history[1].at.After(now.Add(-lag)) {
		s.history = slices.Delete(s.history, 0, 1)
	}
	s.history = append(s.history, stateSample{at: now, running: len(s.running), draining: !s.drainedAt.IsZero()})
}

// laggedStateLocked returns the state as of LagMS ago, which the health and load endpoints
// report.
func (s *Server) laggedStateLocked(now time.Time) stateSample {
	at := now.Add(-time.Duration(s.behaviour.LagMS) * time.Millisecond)
	state := stateSample{}
	for _, h := range s.history {
		if h.at.After(at) {
			break
		}
		state = h
	}
	return state
}

func (s *Server) healthLocked(now time.Time, ex *exchange, m *message.Message) {
	s.status.HealthChecks++
	text := "ok"
	switch {
	case s.behaviour.Health == Silent:
		return
	case s.behaviour.Health == Failing:
		text = "failing"
	case s.behaviour.Health != OK && s.laggedStateLocked(now).draining:
		text = "draining"
	}
	s.replyLocked(ex, m, message.Message{Code: codes.Content, Payload: []byte(text)})
}

func (s *Server) loadLocked(now time.Time, ex *exchange, m *message.Message) {
	running := s.laggedStateLocked(now).running
	switch s.behaviour.Load {
	case Silent:
		return
	case OK:
		running = 0
	case Failing:
		running = s.spec.Slots
	}
	s.replyLocked(ex, m, message.Message{Code: codes.Content, Payload: fmt.Appendf(nil, "%d/%d", running, s.spec.Slots)})
}

func blockResponse(k archiveKey, b block, content []byte, more bool) message.Message {
	v, err := blockwise.EncodeBlockOption(b.szx, b.number, more)
	if err != nil {
		return message.Message{Code: codes.BadRequest, Payload: []byte(err.Error())}
	}
	var o message.Options
	o = o.Add(message.Option{ID: message.ETag, Value: k.etag()})
	o = addUint(o, message.Block2, v)
	o = addUint(o, message.Size2, uint32(k.size))
	return message.Message{Code: codes.Content, Options: o, Payload: content}
}
