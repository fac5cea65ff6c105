// Package backend holds what a dispatcher knows about one backend server: its
// lifecycle, how many of its slots may be used now, and how fast it is.
//
// Outcomes of the system's own requests decide. The health and load endpoints lag
// and mislead, so they can only raise suspicion and announce that a server leaves.
package backend

import (
	"time"
)

// State is a state of the lifecycle.
type State uint8

// The lifecycle states.
const (
	Cold     State = iota // no request has succeeded since it started
	Warming               // slow start
	Active                // all slots usable
	Draining              // leaving: no new work until Return
	Suspect               // one slot usable until an own request succeeds
	Out                   // ejected; probed by single requests
)

// String returns the name used in logs and status reports.
func (s State) String() string {
	return [...]string{"cold", "warming", "active", "draining", "suspect", "out"}[s]
}

// Outcome is the outcome of one request that was sent to the server.
type Outcome uint8

// The outcomes.
const (
	Success   Outcome = iota
	Shed              // refused by the server, did not run
	Timeout           // no answer within the allowed time, may have run
	Error             // the server failed to run it; the request has ended
	Cancelled         // abandoned by the caller; says nothing about the server
)

// Health is an answer of the server's health or load endpoint.
type Health uint8

// The health answers.
const (
	HealthOK Health = iota
	HealthFailing
	HealthDraining
	HealthUnreachable
)

// NoticeSource is where the notice that a server leaves came from.
type NoticeSource uint8

// The notice sources.
const (
	NoticeList NoticeSource = iota
	NoticeHealth
	NoticeConfig
)

// String returns the name used in logs.
func (n NoticeSource) String() string { return [...]string{"list", "health", "config"}[n] }

// Config describes one backend server. Zero durations and counts take the defaults.
type Config struct {
	Slots, Connections int
	Weight             uint32        // relative speed, 100 = reference
	WarmUp             time.Duration // length of the slow start
	StartCold          bool          // the server is new, not only newly dispatched here
	// ServiceTime is the estimate before the first measurement; 0 derives it from Weight.
	ServiceTime time.Duration
	// Failures is the number of consecutive failures that make an active server
	// suspect, and of further ones that eject it.
	Failures      int
	OwnPrecedence time.Duration // an own success outranks the endpoints for this long
	ProbeInterval time.Duration // first pause between probes of an ejected server
	ProbeMax      time.Duration // the pause doubles up to this
	ShedRecovery  time.Duration // one slot lost to a shed answer returns after this
}

// Defaults of Config.
const (
	DefaultFailures      = 2
	DefaultOwnPrecedence = 2 * time.Second
	DefaultProbeInterval = 500 * time.Millisecond
	DefaultProbeMax      = 10 * time.Second
	DefaultShedRecovery  = 100 * time.Millisecond
	// ReferenceServiceTime is assumed for a server of weight 100 until it is measured.
	ReferenceServiceTime = 10 * time.Millisecond
	referenceWeight      = 100
	// estimateGain is the weight of one sample in the service time. 1/16 follows a
	// change of speed within about 40 requests and halves the noise of 1/4.
	estimateGain = 1.0 / 16
)

func (c *Config) setDefaults() {
	setDefault(&c.Failures, DefaultFailures)
	setDefault(&c.OwnPrecedence, DefaultOwnPrecedence)
	setDefault(&c.ProbeInterval, DefaultProbeInterval)
	setDefault(&c.ProbeMax, DefaultProbeMax)
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

// Server is what is known about one backend server. It is not safe for concurrent use.
type Server struct {
	cfg   Config
	state State
	life  lifecycle

	failures    int // consecutive own failures
	lastSuccess time.Time
	byHealth    bool // suspicion was raised by an endpoint alone
	warmSince   time.Time
	nextProbe   time.Time
	probePause  time.Duration

	shedSlots  int // slots withheld after shed answers
	shedReturn time.Time
	sheds      uint64

	mean, deviation float64 // service time in seconds
	measured        bool
}

// New returns a server that is active, or cold if cfg says so.
func New(cfg Config, now time.Time) *Server {
	cfg.setDefaults()
	s := &Server{cfg: cfg, state: Active, mean: cfg.ServiceTime.Seconds(), probePause: cfg.ProbeInterval}
	s.deviation = s.mean / 2
	if cfg.StartCold {
		s.state = Cold
	}
	s.life = newLifecycle(&s.state)
	s.warmSince = now
	return s
}

// Update changes the configured properties and keeps what was learned.
func (s *Server) Update(cfg Config) {
	cfg.setDefaults()
	s.cfg = cfg
}

// Outcome records the outcome of an own request that took the given time. For a
// timeout, took is the time that the request was given.
func (s *Server) Outcome(now time.Time, o Outcome, took time.Duration) {
	switch o {
	case Success:
		s.measure(took)
		s.succeeded(now)
	case Shed:
		s.shed(now)
	case Timeout:
		// A caller's deadline that is shorter than the usual service time says
		// nothing about the server.
		if took >= s.Completion() {
			s.failed(now)
		}
	case Error:
		s.failed(now)
	}
}

func (s *Server) succeeded(now time.Time) {
	s.lastSuccess, s.failures, s.byHealth = now, 0, false
	s.probePause = s.cfg.ProbeInterval
	switch s.state {
	case Cold, Out:
		s.warmSince = now
		s.life.fire(succeed)
		s.advance(now)
	case Suspect:
		s.life.fire(succeed)
	}
}

func (s *Server) failed(now time.Time) {
	s.failures++
	s.byHealth = false
	switch s.state {
	case Out:
		s.nextProbe = now.Add(s.probePause)
	case Suspect:
		if s.failures >= 2*s.cfg.Failures {
			s.life.fire(eject)
			s.nextProbe = now.Add(s.probePause)
		}
	default:
		if s.failures >= s.cfg.Failures {
			s.life.fire(doubt)
		}
	}
}

// shed withholds one slot. Slots return one by one, so a server that keeps
// shedding settles at the number of slots that it really offers.
func (s *Server) shed(now time.Time) {
	s.sheds++
	if s.state == Out {
		s.nextProbe = now.Add(s.probePause)
	}
	s.recoverShed(now)
	if s.shedSlots < s.cfg.Slots {
		s.shedSlots++
	}
	s.shedReturn = now.Add(s.cfg.ShedRecovery)
}

func (s *Server) recoverShed(now time.Time) {
	for s.shedSlots > 0 && !now.Before(s.shedReturn) {
		s.shedSlots--
		s.shedReturn = s.shedReturn.Add(s.cfg.ShedRecovery)
	}
}

// Health records an answer of an endpoint.
func (s *Server) Health(now time.Time, h Health) {
	switch h {
	case HealthDraining:
		s.Leave(now, NoticeHealth)
	case HealthOK:
		// An endpoint may withdraw its own suspicion, never that of own outcomes.
		if s.state == Suspect && s.byHealth {
			s.byHealth = false
			s.life.fire(succeed)
		}
	case HealthFailing, HealthUnreachable:
		if !s.lastSuccess.IsZero() && now.Sub(s.lastSuccess) < s.cfg.OwnPrecedence {
			return
		}
		if s.state == Warming || s.state == Active {
			s.byHealth = true
			s.life.fire(doubt)
		}
	}
}

// Leave stops new work at once, whatever the source. Only Return reverses it.
func (s *Server) Leave(time.Time, NoticeSource) { s.life.fire(leave) }

// Return puts a server that left back into service. It starts cold, because a
// server that drained has usually been restarted.
func (s *Server) Return(now time.Time) {
	if s.state != Draining {
		return
	}
	s.failures, s.byHealth, s.shedSlots = 0, false, 0
	s.lastSuccess = time.Time{}
	s.warmSince = now
	s.life.fire(comeBack)
}

// Granted records that a request is sent to the server. The next probe of an
// ejected server waits twice as long.
func (s *Server) Granted(now time.Time) {
	if s.state != Out {
		return
	}
	s.probePause = min(2*s.probePause, s.cfg.ProbeMax)
	s.nextProbe = now.Add(s.probePause)
}

// Limit returns the number of slots that may be busy now.
func (s *Server) Limit(now time.Time) int {
	s.advance(now)
	s.recoverShed(now)
	limit := 0
	switch s.state {
	case Cold, Suspect:
		limit = 1
	case Warming:
		limit = 1 + int(float64(s.cfg.Slots-1)*float64(now.Sub(s.warmSince))/float64(s.cfg.WarmUp))
	case Active:
		limit = s.cfg.Slots
	case Out:
		if !now.Before(s.nextProbe) {
			limit = 1
		}
	}
	return max(0, min(limit, s.cfg.Slots)-s.shedSlots)
}

// advance ends the slow start when its time has passed.
func (s *Server) advance(now time.Time) {
	if s.state == Warming && now.Sub(s.warmSince) >= s.cfg.WarmUp {
		s.life.fire(warmed)
	}
}

// Unsettled reports whether Limit can change without a further event.
func (s *Server) Unsettled() bool {
	return s.state == Warming || s.state == Out || s.shedSlots > 0
}

// State returns the lifecycle state.
func (s *Server) State() State { return s.state }

// Sheds returns the number of shed answers.
func (s *Server) Sheds() uint64 { return s.sheds }

// Slots returns the configured number of slots.
func (s *Server) Slots() int { return s.cfg.Slots }

func (s *Server) measure(took time.Duration) {
	x := took.Seconds()
	if !s.measured {
		s.measured = true
		s.mean, s.deviation = x, x/2
		return
	}
	diff := x - s.mean
	s.mean += estimateGain * diff
	if diff < 0 {
		diff = -diff
	}
	s.deviation += estimateGain * (diff - s.deviation)
}

// ServiceTime returns the estimated mean time that the server takes for a request.
func (s *Server) ServiceTime() time.Duration { return time.Duration(s.mean * float64(time.Second)) }

// Completion returns the time within which a request very likely ends: the mean
// plus two mean deviations, which covers 92% of exponential service times.
func (s *Server) Completion() time.Duration {
	return time.Duration((s.mean + 2*s.deviation) * float64(time.Second))
}

// PanicFilter returns which servers may be used. Ejected servers are not, unless
// more than the given share of all servers is ejected: then the suspicion is more
// likely wrong than the servers, and all ejected ones are used again. Draining
// servers are never used and do not count.
func PanicFilter(states []State, share float64) []bool {
	usable := make([]bool, len(states))
	out, total := 0, 0
	for _, s := range states {
		if s == Draining {
			continue
		}
		total++
		if s == Out {
			out++
		}
	}
	panicking := float64(out) > share*float64(total)
	for i, s := range states {
		usable[i] = s != Draining && (s != Out || panicking)
	}
	return usable
}

// Seed sets the service time that another dispatcher has measured.
func (s *Server) Seed(serviceTime time.Duration) {
	if serviceTime > 0 {
		s.measured = true
		s.mean, s.deviation = serviceTime.Seconds(), serviceTime.Seconds()/2
	}
}
