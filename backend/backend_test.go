package backend

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

const ms = time.Millisecond

func newServer(cold bool) *Server {
	return New(Config{Slots: 4, Weight: 100, WarmUp: 400 * ms, StartCold: cold}, start)
}

func expect(t *testing.T, s *Server, now time.Time, state State, limit int) {
	t.Helper()
	if got := s.Limit(now); got != limit || s.State() != state {
		t.Errorf("after %v: %v with %d slots, want %v with %d", now.Sub(start), s.State(), got, state, limit)
	}
}

// Guards against a cold server that gets its full load immediately or never.
func TestSlowStart(t *testing.T) {
	s := newServer(true)
	expect(t, s, start, Cold, 1)
	s.RecordOutcome(start, Success, ms)
	expect(t, s, start, Warming, 1)
	expect(t, s, start.Add(200*ms), Warming, 2)
	expect(t, s, start.Add(399*ms), Warming, 3)
	expect(t, s, start.Add(400*ms), Active, 4)
	if s.LimitChangesWithTime() {
		t.Error("the limit of an active server changes with time")
	}
}

// Guards against endpoints that eject a server or override the outcomes of requests.
func TestEndpointsOnlyRaiseSuspicion(t *testing.T) {
	s := newServer(false)
	for range 20 {
		s.RecordHealth(start, HealthFailing)
		s.RecordHealth(start, HealthUnreachable)
	}
	expect(t, s, start, Suspect, 1)
	s.RecordHealth(start, HealthOK)
	expect(t, s, start, Active, 4)
	s.RecordOutcome(start, Success, ms)
	s.RecordHealth(start.Add(DefaultSuccessPrecedence-ms), HealthFailing)
	expect(t, s, start, Active, 4)
	s.RecordHealth(start.Add(DefaultSuccessPrecedence), HealthFailing)
	expect(t, s, start, Suspect, 1)
	s.RecordOutcome(start, Success, ms)
	expect(t, s, start, Active, 4)
	// The endpoint does not clear a suspicion caused by failed requests.
	s.RecordOutcome(start, Error, 0)
	s.RecordOutcome(start, Error, 0)
	s.RecordHealth(start, HealthOK)
	expect(t, s, start, Suspect, 1)
}

// Guards against a broken server that keeps getting requests, and against an ejected
// server that is never probed.
func TestEjectionAndProbes(t *testing.T) {
	s := newServer(false)
	for range 2 * DefaultFailureThreshold {
		s.RecordOutcome(start, Timeout, time.Second)
	}
	expect(t, s, start, Ejected, 0)
	now := start
	for _, pause := range []time.Duration{DefaultProbeInterval, 2 * DefaultProbeInterval, 4 * DefaultProbeInterval} {
		expect(t, s, now.Add(pause-ms), Ejected, 0)
		now = now.Add(pause)
		expect(t, s, now, Ejected, 1)
		s.RecordGrant(now)
		expect(t, s, now, Ejected, 0)
		s.RecordOutcome(now, Timeout, time.Second)
	}
	now = now.Add(DefaultMaxProbeInterval)
	s.RecordGrant(now)
	s.RecordOutcome(now, Success, ms)
	expect(t, s, now, Warming, 1)
}

// Guards against short caller deadlines that eject a healthy server.
func TestTimeoutOfShortDeadlineIsNotAFailure(t *testing.T) {
	s := newServer(false)
	s.RecordOutcome(start, Success, 100*ms)
	for range 20 {
		s.RecordOutcome(start, Timeout, 50*ms)
	}
	expect(t, s, start, Active, 4)
}

// Guards against new requests to a server after a notice that it leaves, whatever request
// outcomes and health responses follow.
func TestDrainIsReversedOnlyByReinstate(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newServer(rapid.Bool().Draw(r, "cold"))
		now := start
		step := func() {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(r, "ms")) * ms)
			if rapid.Bool().Draw(r, "request") {
				s.RecordGrant(now)
				s.RecordOutcome(now, Outcome(rapid.IntRange(0, 4).Draw(r, "outcome")), time.Duration(rapid.IntRange(0, 1000).Draw(r, "took"))*ms)
			} else if h := Health(rapid.IntRange(0, 3).Draw(r, "health")); h != HealthDraining {
				s.RecordHealth(now, h)
			}
		}
		for range rapid.IntRange(0, 20).Draw(r, "before") {
			step()
			if n := s.Limit(now); n < 0 || n > 4 {
				r.Fatalf("limit is %d of 4 slots", n)
			}
		}
		if source := rapid.IntRange(0, 2).Draw(r, "source"); NoticeSource(source) == NoticeHealth {
			s.RecordHealth(now, HealthDraining)
		} else {
			s.Drain(now, NoticeSource(source))
		}
		for range rapid.IntRange(0, 20).Draw(r, "after") {
			if s.State() != Draining || s.Limit(now) != 0 {
				r.Fatalf("%v with %d slots after the notice", s.State(), s.Limit(now))
			}
			step()
		}
		s.Reinstate(now)
		if s.State() != Cold || s.Limit(now) != 1 {
			r.Fatalf("%v with %d slots after Reinstate", s.State(), s.Limit(now))
		}
	})
}

// Guards against a shedding server that immediately gets more requests, and against a
// limit that stays low after a single shed response.
func TestShedLowersTheLimitForAShortTime(t *testing.T) {
	s := newServer(false)
	s.RecordOutcome(start, Shed, ms)
	s.RecordOutcome(start, Shed, ms)
	expect(t, s, start, Active, 2)
	expect(t, s, start.Add(DefaultShedRecovery), Active, 3)
	expect(t, s, start.Add(2*DefaultShedRecovery), Active, 4)
	for range 10 {
		s.RecordOutcome(start.Add(time.Second), Shed, ms)
	}
	expect(t, s, start.Add(time.Second), Active, 0)
	expect(t, s, start.Add(time.Second+4*DefaultShedRecovery), Active, 4)
	if s.ShedCount() != 12 {
		t.Errorf("%d sheds, want 12", s.ShedCount())
	}
}

// Guards against an estimate that does not follow a server whose speed changes.
func TestServiceTimeFollowsTheSpeed(t *testing.T) {
	s := newServer(false)
	for _, speed := range []time.Duration{10 * ms, 80 * ms, 10 * ms} {
		for range 80 {
			s.RecordOutcome(start, Success, speed)
		}
		if got := s.ServiceTime(); got < speed*9/10 || got > speed*11/10 {
			t.Errorf("service time is %v after 80 requests of %v", got, speed)
		}
	}
}

// Guards against a service that loses all servers to wrong ejections.
func TestPanicFilter(t *testing.T) {
	cases := []struct {
		states []State
		usable []bool
	}{
		{[]State{Active, Ejected}, []bool{true, false}},
		{[]State{Active, Ejected, Ejected}, []bool{true, true, true}},
		{[]State{Ejected}, []bool{true}},
		{[]State{Active, Ejected, Draining, Draining}, []bool{true, false, false, false}},
		{[]State{Suspect, Cold, Warming, Ejected}, []bool{true, true, true, false}},
		{[]State{Ejected, Draining}, []bool{true, false}},
	}
	for _, c := range cases {
		if got := PanicFilter(c.states, 0.5); !slices.Equal(got, c.usable) {
			t.Errorf("%v: usable %v, want %v", c.states, got, c.usable)
		}
	}
}
