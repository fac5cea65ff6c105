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

// sampleInterval is the time between samples and the resolution of the time series.
const sampleInterval = time.Second

// instanceSample holds the cumulative counters of an instance at one time.
type instanceSample struct {
	id           string
	pid          int
	usage        cluster.Usage
	controlBytes map[string]float64 // bytes sent and received by kind of envelope, without request traffic
	violations   float64            // invariant violations
}

// sample is the state of a deployment at one time.
type sample struct {
	at        time.Duration // since the start of the callers
	servers   []backendserver.Status
	instances []instanceSample
}

// session runs a scenario on a started deployment and collects its samples.
type session struct {
	cluster *cluster.Cluster
	callers *cluster.Callers
	plan    callers.Plan
	start   time.Time

	mu      sync.Mutex // protects the fields below
	samples []sample
	events  []Event
}

// recordEvent adds a step of the scenario to the events of the result.
func (s *session) recordEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, Event{AtMS: time.Since(s.start).Milliseconds(), Text: fmt.Sprintf(format, args...)})
}

// waitUntil waits until d has passed since the start of the callers.
func (s *session) waitUntil(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(time.Until(s.start.Add(d)))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runLoad starts the callers, executes the scenario's steps meanwhile, and waits until the
// callers have finished.
func (s *session) runLoad(ctx context.Context, sc *scenario) error {
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
	if sc.endAfterSteps {
		if err := s.endLoadAfterSettling(ctx); err != nil {
			return err
		}
	}
	return s.callers.Wait(ctx)
}

// settleTime is how long the load continues after the last step. It is long enough for a
// stream that the last step broke to be counted as broken.
const settleTime = brokenStreamSilence + time.Second

// endLoadAfterSettling stops the callers after settleTime.
func (s *session) endLoadAfterSettling(ctx context.Context) error {
	end := time.Since(s.start) + settleTime
	if limit := time.Duration(s.plan.DurationMS) * time.Millisecond; end >= limit {
		return nil
	}
	if err := s.waitUntil(ctx, end); err != nil {
		return err
	}
	s.plan.DurationMS = int(end.Milliseconds())
	return s.callers.Do(ctx, "POST", "/stop", nil, nil)
}

func (s *session) sampleLoop(ctx context.Context) {
	for next := time.Duration(0); s.waitUntil(ctx, next) == nil; next += sampleInterval {
		sm, err := s.takeSample(ctx)
		if err != nil {
			continue // a process has just exited; the next sample leaves it out
		}
		s.mu.Lock()
		s.samples = append(s.samples, sm)
		s.mu.Unlock()
	}
}

func (s *session) takeSample(ctx context.Context) (sample, error) {
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
		text, err := in.Metrics.GetText(ctx, "/metrics")
		if err != nil {
			continue
		}
		inst := instanceSample{id: in.ID, pid: in.PID(), usage: u}
		inst.controlBytes, inst.violations = parseMetrics(text)
		sm.instances = append(sm.instances, inst)
	}
	return sm, nil
}

// parseMetrics returns the bytes of control traffic between instances, both directions, by
// kind of envelope, and the number of invariant violations.
func parseMetrics(text string) (controlBytes map[string]float64, violations float64) {
	controlBytes = map[string]float64{}
	scanner := bufio.NewScanner(strings.NewReader(text))
	for scanner.Scan() {
		name, value, ok := strings.Cut(scanner.Text(), " ")
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
			if kind := envelopeKind(labels); !peer.DataKinds[kind] {
				controlBytes[kind] += v
			}
		case "monsoonthread_invariant_violations_total", "monsoonthread_dispatch_violations":
			violations += v
		}
	}
	return controlBytes, violations
}

// envelopeKind returns the envelope kind from the labels of a metric.
func envelopeKind(labels string) string {
	_, kind, _ := strings.Cut(labels, `kind="`)
	kind, _, _ = strings.Cut(kind, `"`)
	return kind
}

// firstAndLastSample returns the first and the last sample in a window. ok is false if
// there are fewer than two.
func (s *session) firstAndLastSample(w window) (first, last sample, ok bool) {
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

// window is a time interval, relative to the start of the callers.
type window struct{ from, to time.Duration }
