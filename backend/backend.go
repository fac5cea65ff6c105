// Package backend tracks the state of one backend server for its dispatcher: the
// lifecycle state, the number of slots that may be used, and the service time.
//
// The outcomes of dispatched requests take precedence. The health and load endpoints may
// report stale or wrong state, so they can only make a server suspect and announce that
// it leaves.
package backend

import (
	"time"
)

// State is the lifecycle state of a backend server.
type State uint8

// The lifecycle states.
const (
	Cold     State = iota // no request has succeeded since it started
	Warming               // slow start
	Active                // all slots usable
	Draining              // leaving: no new requests until Reinstate
	Suspect               // one slot usable until a request succeeds
	Ejected               // probed by single requests
)

// String returns the name used in logs and status reports.
func (s State) String() string {
	return [...]string{"cold", "warming", "active", "draining", "suspect", "out"}[s]
}

// Outcome is the outcome of a request that was sent to the server.
type Outcome uint8

// The outcomes.
const (
	Success   Outcome = iota
	Shed              // refused by the server, did not run
	Timeout           // no response within the allowed time; may have run
	Error             // the server reported a failure; the request has ended
	Cancelled         // abandoned by the caller; says nothing about the server
)

// Health is a response of the server's health or load endpoint.
type Health uint8

// The health responses.
const (
	HealthOK Health = iota
	HealthFailing
	HealthDraining
	HealthUnreachable
)

// NoticeSource is the source of a notice that a server leaves.
type NoticeSource uint8

// The notice sources.
const (
	NoticeList NoticeSource = iota
	NoticeHealth
	NoticeConfig
)

// String returns the name used in logs.
func (n NoticeSource) String() string { return [...]string{"list", "health", "config"}[n] }

// Config configures a Server. Zero durations and counts select the defaults.
type Config struct {
	Slots, Connections int
	Weight             uint32        // relative speed, 100 = reference
	WarmUp             time.Duration // length of the slow start
	StartCold          bool          // the server is new, not merely new to this dispatcher
	// ServiceTime is the estimate before the first measurement; 0 derives it from Weight.
	ServiceTime time.Duration
	// FailureThreshold is the number of consecutive failures that make an active server
	// suspect, and of further ones that eject it.
	FailureThreshold  int
	SuccessPrecedence time.Duration // the endpoints are ignored for this long after a success
	ProbeInterval     time.Duration // initial interval between probes of an ejected server
	MaxProbeInterval  time.Duration // limit of the interval, which doubles with each probe
	ShedRecovery      time.Duration // interval at which slots withheld after shed responses are restored, one at a time
}

// Defaults of Config.
const (
	DefaultFailureThreshold  = 2
	DefaultSuccessPrecedence = 2 * time.Second
	DefaultProbeInterval     = 500 * time.Millisecond
	DefaultMaxProbeInterval  = 10 * time.Second
	DefaultShedRecovery      = 100 * time.Millisecond
	// ReferenceServiceTime is the assumed service time of a server of weight 100 before
	// the first measurement.
	ReferenceServiceTime = 10 * time.Millisecond
	referenceWeight      = 100
	// serviceTimeSmoothing is the weight of one sample in the moving average of the
	// service time. 1/16 adapts to a change of speed within about 40 requests and has
	// half the noise of 1/4.
	serviceTimeSmoothing = 1.0 / 16
)

func (c *Config) setDefaults() {
	setDefault(&c.FailureThreshold, DefaultFailureThreshold)
	setDefault(&c.SuccessPrecedence, DefaultSuccessPrecedence)
	setDefault(&c.ProbeInterval, DefaultProbeInterval)
	setDefault(&c.MaxProbeInterval, DefaultMaxProbeInterval)
	setDefault(&c.ShedRecovery, DefaultShedRecovery)
	setDefault(&c.Weight, referenceWeight)
	setDefault(&c.ServiceTime, ReferenceServiceTime*referenceWeight/time.Duration(c.Weight))
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Server is the state of one backend server. It is not safe for concurrent use.
type Server struct {
	cfg       Config
	state     State
	lifecycle lifecycle

	consecutiveFailures int
	lastSuccess         time.Time
	suspectByEndpoint   bool // suspect because of an endpoint, not of request outcomes
	warmUpStart         time.Time
	nextProbe           time.Time
	probeInterval       time.Duration

	withheldSlots    int // after shed responses
	nextShedRecovery time.Time
	shedCount        uint64

	mean, deviation float64 // service time in seconds
	measured        bool
}

// New returns a server that is active, or cold if cfg.StartCold is set.
func New(cfg Config, now time.Time) *Server {
	cfg.setDefaults()
	s := &Server{cfg: cfg, state: Active, mean: cfg.ServiceTime.Seconds(), probeInterval: cfg.ProbeInterval}
	s.deviation = s.mean / 2
	if cfg.StartCold {
		s.state = Cold
	}
	s.lifecycle = newLifecycle(&s.state)
	s.warmUpStart = now
	return s
}

// Update changes the configuration and keeps the state and the measurements.
func (s *Server) Update(cfg Config) {
	cfg.setDefaults()
	s.cfg = cfg
}

// RecordOutcome records the outcome of a request that took the given time. For a timeout,
// took is the time allowed for the request.
func (s *Server) RecordOutcome(now time.Time, o Outcome, took time.Duration) {
	switch o {
	case Success:
		s.updateServiceTime(took)
		s.recordSuccess(now)
	case Shed:
		s.recordShed(now)
	case Timeout:
		// A timeout with a deadline below the usual completion time says nothing about
		// the server.
		if took >= s.CompletionTime() {
			s.recordFailure(now)
		}
	case Error:
		s.recordFailure(now)
	}
}

func (s *Server) recordSuccess(now time.Time) {
	s.lastSuccess, s.consecutiveFailures, s.suspectByEndpoint = now, 0, false
	s.probeInterval = s.cfg.ProbeInterval
	switch s.state {
	case Cold, Ejected:
		s.warmUpStart = now
		s.lifecycle.fire(triggerSuccess)
		s.endWarmUpIfDue(now)
	case Suspect:
		s.lifecycle.fire(triggerSuccess)
	}
}

func (s *Server) recordFailure(now time.Time) {
	s.consecutiveFailures++
	s.suspectByEndpoint = false
	switch s.state {
	case Ejected:
		s.nextProbe = now.Add(s.probeInterval)
	case Suspect:
		if s.consecutiveFailures >= 2*s.cfg.FailureThreshold {
			s.lifecycle.fire(triggerEject)
			s.nextProbe = now.Add(s.probeInterval)
		}
	default:
		if s.consecutiveFailures >= s.cfg.FailureThreshold {
			s.lifecycle.fire(triggerSuspect)
		}
	}
}

// recordShed withholds one slot. Slots are restored one by one, so for a server that keeps
// shedding, the limit converges to the number of slots that it actually offers.
func (s *Server) recordShed(now time.Time) {
	s.shedCount++
	if s.state == Ejected {
		s.nextProbe = now.Add(s.probeInterval)
	}
	s.recoverWithheldSlots(now)
	if s.withheldSlots < s.cfg.Slots {
		s.withheldSlots++
	}
	s.nextShedRecovery = now.Add(s.cfg.ShedRecovery)
}

func (s *Server) recoverWithheldSlots(now time.Time) {
	for s.withheldSlots > 0 && !now.Before(s.nextShedRecovery) {
		s.withheldSlots--
		s.nextShedRecovery = s.nextShedRecovery.Add(s.cfg.ShedRecovery)
	}
}

// RecordHealth records a response of an endpoint.
func (s *Server) RecordHealth(now time.Time, h Health) {
	switch h {
	case HealthDraining:
		s.Drain(now, NoticeHealth)
	case HealthOK:
		// An endpoint can only clear a suspicion that an endpoint raised.
		if s.state == Suspect && s.suspectByEndpoint {
			s.suspectByEndpoint = false
			s.lifecycle.fire(triggerSuccess)
		}
	case HealthFailing, HealthUnreachable:
		if !s.lastSuccess.IsZero() && now.Sub(s.lastSuccess) < s.cfg.SuccessPrecedence {
			return
		}
		if s.state == Warming || s.state == Active {
			s.suspectByEndpoint = true
			s.lifecycle.fire(triggerSuspect)
		}
	}
}

// Drain immediately stops new requests, for any source. Only Reinstate reverses it.
func (s *Server) Drain(time.Time, NoticeSource) { s.lifecycle.fire(triggerDrain) }

// Reinstate puts a draining server back into service. It starts cold, because a drained
// server has usually been restarted.
func (s *Server) Reinstate(now time.Time) {
	if s.state != Draining {
		return
	}
	s.consecutiveFailures, s.suspectByEndpoint, s.withheldSlots = 0, false, 0
	s.lastSuccess = time.Time{}
	s.warmUpStart = now
	s.lifecycle.fire(triggerReinstate)
}

// RecordGrant records that a request is sent to the server. For an ejected server, this is
// a probe and doubles the interval to the next one.
func (s *Server) RecordGrant(now time.Time) {
	if s.state != Ejected {
		return
	}
	s.probeInterval = min(2*s.probeInterval, s.cfg.MaxProbeInterval)
	s.nextProbe = now.Add(s.probeInterval)
}

// Limit returns the number of slots that may be busy at the same time now.
func (s *Server) Limit(now time.Time) int {
	s.endWarmUpIfDue(now)
	s.recoverWithheldSlots(now)
	limit := 0
	switch s.state {
	case Cold, Suspect:
		limit = 1
	case Warming:
		limit = 1 + int(float64(s.cfg.Slots-1)*float64(now.Sub(s.warmUpStart))/float64(s.cfg.WarmUp))
	case Active:
		limit = s.cfg.Slots
	case Ejected:
		if !now.Before(s.nextProbe) {
			limit = 1
		}
	}
	return max(0, min(limit, s.cfg.Slots)-s.withheldSlots)
}

// endWarmUpIfDue ends the slow start once its duration has passed.
func (s *Server) endWarmUpIfDue(now time.Time) {
	if s.state == Warming && now.Sub(s.warmUpStart) >= s.cfg.WarmUp {
		s.lifecycle.fire(triggerWarmUpEnd)
	}
}

// LimitChangesWithTime reports whether Limit can change without a further outcome or
// notice.
func (s *Server) LimitChangesWithTime() bool {
	return s.state == Warming || s.state == Ejected || s.withheldSlots > 0
}

// State returns the lifecycle state.
func (s *Server) State() State { return s.state }

// ShedCount returns the number of shed responses.
func (s *Server) ShedCount() uint64 { return s.shedCount }

// Slots returns the configured number of slots.
func (s *Server) Slots() int { return s.cfg.Slots }

func (s *Server) updateServiceTime(took time.Duration) {
	x := took.Seconds()
	if !s.measured {
		s.measured = true
		s.mean, s.deviation = x, x/2
		return
	}
	diff := x - s.mean
	s.mean += serviceTimeSmoothing * diff
	if diff < 0 {
		diff = -diff
	}
	s.deviation += serviceTimeSmoothing * (diff - s.deviation)
}

// ServiceTime returns the estimated mean service time of a request.
func (s *Server) ServiceTime() time.Duration { return time.Duration(s.mean * float64(time.Second)) }

// CompletionTime returns the time within which a request very likely completes: the mean
// plus two mean deviations, which covers 92% of exponential service times.
func (s *Server) CompletionTime() time.Duration {
	return time.Duration((s.mean + 2*s.deviation) * float64(time.Second))
}

// PanicFilter returns which servers may be used. Ejected servers may not, unless more than
// the given share of all servers is ejected: then the ejections are more likely wrong than
// the servers, and all ejected servers may be used again. Draining servers are never used
// and do not count.
func PanicFilter(states []State, share float64) []bool {
	usable := make([]bool, len(states))
	ejected, total := 0, 0
	for _, s := range states {
		if s == Draining {
			continue
		}
		total++
		if s == Ejected {
			ejected++
		}
	}
	panicMode := float64(ejected) > share*float64(total)
	for i, s := range states {
		usable[i] = s != Draining && (s != Ejected || panicMode)
	}
	return usable
}

// SeedServiceTime sets the service time to the measurement of another dispatcher.
func (s *Server) SeedServiceTime(serviceTime time.Duration) {
	if serviceTime > 0 {
		s.measured = true
		s.mean, s.deviation = serviceTime.Seconds(), serviceTime.Seconds()/2
	}
}
