package main

import (
	"bufio"
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/backendserver"
	"github.com/monsoonthread/monsoonthread/internal/standin/callers"
	"github.com/monsoonthread/monsoonthread/peer"
	"github.com/monsoonthread/monsoonthread/test/lab/cluster"
)

// sampleInterval is the resolution of the series in a result.
const sampleInterval = time.Second

// instanceSample is what an instance had used at a time.
type instanceSample struct {
	id      string
	pid     int
	usage   cluster.Usage
	control map[string]float64 // bytes sent and received by kind, without requests
	invalid float64            // violated invariants
}

// sample is the state of a deployment at a time.
type sample struct {
	at        time.Duration
	servers   []backendserver.Status
	instances []instanceSample
}

// session is a deployment under load.
type session struct {
	cluster *cluster.Cluster
	callers *cluster.Callers
	plan    callers.Plan
	start   time.Time

	mu      sync.Mutex // protects the fields below
	samples []sample
	events  []Event
}

// event notes what the scenario does.
func (s *session) event(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, Event{AtMS: time.Since(s.start).Milliseconds(), Text: fmt.Sprintf(format, args...)})
}

// at waits until a time since the start of the callers.
func (s *session) at(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(time.Until(s.start.Add(d)))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// load starts the callers, executes the steps while they run, and waits for their end.
func (s *session) load(ctx context.Context, sc *scenario) error {
	var err error
	if s.callers, err = s.cluster.StartCallers(ctx, "callers", s.plan); err != nil {
		return err
	}
	s.start = time.Now()
	sampleCtx, stop := context.WithCancel(ctx)
	var sampler sync.WaitGroup
	sampler.Add(1)
	go func() {
		defer sampler.Done()
		s.sampleLoop(sampleCtx)
	}()
	defer sampler.Wait()
	defer stop()
	if sc.steps != nil {
		if err := sc.steps(ctx, s); err != nil {
			return err
		}
	}
	if sc.endsWithSteps {
		if err := s.endSoon(ctx); err != nil {
			return err
		}
	}
	return s.callers.Wait(ctx)
}

// settleTime is how long the load goes on after the last step. A stream that the last
// step broke is silent for longer than allowed by then.
const settleTime = streamBroken + time.Second

// endSoon ends the load after the settle time.
func (s *session) endSoon(ctx context.Context) error {
	end := time.Since(s.start) + settleTime
	if limit := time.Duration(s.plan.DurationMS) * time.Millisecond; end >= limit {
		return nil
	}
	if err := s.at(ctx, end); err != nil {
		return err
	}
	s.plan.DurationMS = int(end.Milliseconds())
	return s.callers.Do(ctx, "POST", "/stop", nil, nil)
}

func (s *session) sampleLoop(ctx context.Context) {
	for next := time.Duration(0); s.at(ctx, next) == nil; next += sampleInterval {
		sm, err := s.sample(ctx)
		if err != nil {
			continue // a process that has just ended; the next sample is without it
		}
		s.mu.Lock()
		s.samples = append(s.samples, sm)
		s.mu.Unlock()
	}
}

func (s *session) sample(ctx context.Context) (sample, error) {
	sm := sample{at: time.Since(s.start)}
	var err error
	if sm.servers, err = s.cluster.Servers(ctx); err != nil {
		return sm, err
	}
	for _, in := range s.cluster.Instances() {
		u, err := in.Usage()
		if err != nil {
			continue
		}
		text, err := in.Metrics.Text(ctx, "/metrics")
		if err != nil {
			continue
		}
		is := instanceSample{id: in.ID, pid: in.PID(), usage: u}
		is.control, is.invalid = parseMetrics(text)
		sm.instances = append(sm.instances, is)
	}
	return sm, nil
}

// parseMetrics returns the bytes of control traffic between instances by kind, both
// directions, and the number of violated invariants.
func parseMetrics(text string) (control map[string]float64, invalid float64) {
	control = map[string]float64{}
	sc := bufio.NewScanner(strings.NewReader(text))
	for sc.Scan() {
		name, value, ok := strings.Cut(sc.Text(), " ")
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		metric, labels, _ := strings.Cut(name, "{")
		switch metric {
		case "monsoonthread_peer_sent_bytes_total", "monsoonthread_peer_received_bytes_total":
			if kind := kindOf(labels); !peer.DataKinds[kind] {
				control[kind] += v
			}
		case "monsoonthread_invariant_violations_total", "monsoonthread_dispatch_violations":
			invalid += v
		}
	}
	return control, invalid
}

// kindOf returns the kind of envelope in the labels of a metric.
func kindOf(labels string) string {
	_, kind, _ := strings.Cut(labels, `kind="`)
	kind, _, _ = strings.Cut(kind, `"`)
	return kind
}

// between returns the first and the last sample in a window.
func (s *session) between(w window) (first, last sample, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sm := range s.samples {
		if sm.at < w.from || sm.at > w.to+sampleInterval/2 {
			continue
		}
		if !ok {
			first, ok = sm, true
		}
		last = sm
	}
	return first, last, ok && last.at > first.at
}

// window is a span of time since the start of the callers.
type window struct{ from, to time.Duration }
