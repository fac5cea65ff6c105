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

// Guards against a cold server that gets its full load at once, and against one that
// never gets it.
func TestSlowStart(t *testing.T) {
	s := newServer(true)
	expect(t, s, start, Cold, 1)
	s.Outcome(start, Success, ms)
	expect(t, s, start, Warming, 1)
	expect(t, s, start.Add(200*ms), Warming, 2)
	expect(t, s, start.Add(399*ms), Warming, 3)
	expect(t, s, start.Add(400*ms), Active, 4)
	if s.Unsettled() {
		t.Error("an active server is unsettled")
	}
}

// Guards against endpoints that eject a server or outrank own outcomes.
func TestEndpointsOnlyRaiseSuspicion(t *testing.T) {
	s := newServer(false)
	for range 20 {
		s.Health(start, HealthFailing)
		s.Health(start, HealthUnreachable)
	}
	expect(t, s, start, Suspect, 1)
	s.Health(start, HealthOK)
	expect(t, s, start, Active, 4)
	s.Outcome(start, Success, ms)
	s.Health(start.Add(DefaultOwnPrecedence-ms), HealthFailing)
	expect(t, s, start, Active, 4)
	s.Health(start.Add(DefaultOwnPrecedence), HealthFailing)
	expect(t, s, start, Suspect, 1)
	s.Outcome(start, Success, ms)
	expect(t, s, start, Active, 4)
	// The endpoint does not clear the suspicion of own failures.
	s.Outcome(start, Error, 0)
	s.Outcome(start, Error, 0)
	s.Health(start, HealthOK)
	expect(t, s, start, Suspect, 1)
}

// Guards against a broken server that keeps getting requests, and against one that is
// never tried again.
func TestEjectionAndProbes(t *testing.T) {
	s := newServer(false)
	for range 2 * DefaultFailures {
		s.Outcome(start, Timeout, time.Second)
	}
	expect(t, s, start, Out, 0)
	now := start
	for _, pause := range []time.Duration{DefaultProbeInterval, 2 * DefaultProbeInterval, 4 * DefaultProbeInterval} {
		expect(t, s, now.Add(pause-ms), Out, 0)
		now = now.Add(pause)
		expect(t, s, now, Out, 1)
		s.Granted(now)
		expect(t, s, now, Out, 0)
		s.Outcome(now, Timeout, time.Second)
	}
	now = now.Add(DefaultProbeMax)
	s.Granted(now)
	s.Outcome(now, Success, ms)
	expect(t, s, now, Warming, 1)
}

// Guards against callers with short deadlines that eject a healthy server.
func TestTimeoutOfAShortDeadlineIsNoFailure(t *testing.T) {
	s := newServer(false)
	s.Outcome(start, Success, 100*ms)
	for range 20 {
		s.Outcome(start, Timeout, 50*ms)
	}
	expect(t, s, start, Active, 4)
}

// Guards against a server that gets new work after a notice that it leaves, whatever
// is observed afterwards.
func TestLeaveIsReversedOnlyByReturn(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newServer(rapid.Bool().Draw(r, "cold"))
		now := start
		step := func() {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(r, "ms")) * ms)
			if rapid.Bool().Draw(r, "own") {
				s.Granted(now)
				s.Outcome(now, Outcome(rapid.IntRange(0, 4).Draw(r, "outcome")), time.Duration(rapid.IntRange(0, 1000).Draw(r, "took"))*ms)
			} else if h := Health(rapid.IntRange(0, 3).Draw(r, "health")); h != HealthDraining {
				s.Health(now, h)
			}
		}
		for range rapid.IntRange(0, 20).Draw(r, "before") {
			step()
			if n := s.Limit(now); n < 0 || n > 4 {
				r.Fatalf("limit is %d of 4 slots", n)
			}
		}
		if source := rapid.IntRange(0, 2).Draw(r, "source"); NoticeSource(source) == NoticeHealth {
			s.Health(now, HealthDraining)
		} else {
			s.Leave(now, NoticeSource(source))
		}
		for range rapid.IntRange(0, 20).Draw(r, "after") {
			if s.State() != Draining || s.Limit(now) != 0 {
				r.Fatalf("%v with %d slots after the notice", s.State(), s.Limit(now))
			}
			step()
		}
		s.Return(now)
		if s.State() != Cold || s.Limit(now) != 1 {
			r.Fatalf("%v with %d slots after the return", s.State(), s.Limit(now))
		}
	})
}

// Guards against a server that sheds and is sent more at once, and against a limit
// that stays low after a single shed answer.
func TestShedLowersTheLimitForAShortTime(t *testing.T) {
	s := newServer(false)
	s.Outcome(start, Shed, ms)
	s.Outcome(start, Shed, ms)
	expect(t, s, start, Active, 2)
	expect(t, s, start.Add(DefaultShedRecovery), Active, 3)
	expect(t, s, start.Add(2*DefaultShedRecovery), Active, 4)
	for range 10 {
		s.Outcome(start.Add(time.Second), Shed, ms)
	}
	expect(t, s, start.Add(time.Second), Active, 0)
	expect(t, s, start.Add(time.Second+4*DefaultShedRecovery), Active, 4)
	if s.Sheds() != 12 {
		t.Errorf("%d sheds, want 12", s.Sheds())
	}
}

// Guards against an estimate that does not follow a server whose speed changes.
func TestServiceTimeFollowsTheSpeed(t *testing.T) {
	s := newServer(false)
	for _, speed := range []time.Duration{10 * ms, 80 * ms, 10 * ms} {
		for range 80 {
			s.Outcome(start, Success, speed)
		}
		if got := s.ServiceTime(); got < speed*9/10 || got > speed*11/10 {
			t.Errorf("service time is %v after 80 requests of %v", got, speed)
		}
	}
}

// Guards against a service that loses all its servers to a wrong suspicion.
func TestPanicFilter(t *testing.T) {
	cases := []struct {
		states []State
		usable []bool
	}{
		{[]State{Active, Out}, []bool{true, false}},
		{[]State{Active, Out, Out}, []bool{true, true, true}},
		{[]State{Out}, []bool{true}},
		{[]State{Active, Out, Draining, Draining}, []bool{true, false, false, false}},
		{[]State{Suspect, Cold, Warming, Out}, []bool{true, true, true, false}},
		{[]State{Out, Draining}, []bool{true, false}},
	}
	for _, c := range cases {
		if got := PanicFilter(c.states, 0.5); !slices.Equal(got, c.usable) {
			t.Errorf("%v: usable %v, want %v", c.states, got, c.usable)
		}
	}
}
