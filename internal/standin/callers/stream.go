package callers

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/caller"
	"github.com/monsoonthread/monsoonthread/internal/standin/backendserver"
)

const (
	// registerRetryDelay is the time between attempts to register a new stream.
	registerRetryDelay = 300 * time.Millisecond
	// registerTimeout bounds one registration attempt.
	registerTimeout = 4 * time.Second
	// maxPauses and maxErrors bound the lists in a report.
	maxPauses = 200
	maxErrors = 20
)

// watcher holds the state of one stream, used to check its notifications.
type watcher struct {
	path         string
	stream       *caller.Stream
	lastReceived time.Time // time of the last notification; zero before the first
	lastTick     int64
	ended        bool
	silent       bool // was silent for longer than BrokenAfterMS
}

// streamRunner executes one StreamLoad.
type streamRunner struct {
	load  StreamLoad
	start time.Time

	mu       sync.Mutex // protects the fields below
	watchers []*watcher
	report   StreamReport
}

func newStreamRunner(l StreamLoad) *streamRunner {
	return &streamRunner{load: l, report: StreamReport{Service: l.Service, Path: l.Path, Count: l.Count}}
}

// run registers the streams and keeps them open until the context ends.
func (s *streamRunner) run(ctx context.Context, start time.Time) error {
	s.mu.Lock()
	s.start = start
	s.mu.Unlock()
	var all sync.WaitGroup
	for i := range s.load.Count {
		w := &watcher{path: fmt.Sprintf("%s/%d", s.load.Path, i)}
		s.mu.Lock()
		s.watchers = append(s.watchers, w)
		s.mu.Unlock()
		all.Add(1)
		wait := time.Duration(s.load.RampMS) * time.Millisecond * time.Duration(i) / time.Duration(s.load.Count)
		go func() {
			defer all.Done()
			if sleep(ctx, wait) {
				s.watch(ctx, w, s.load.Address)
			}
		}()
	}
	all.Wait()
	return nil
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// watch registers one stream, retrying until it is established, and keeps it open.
func (s *streamRunner) watch(ctx context.Context, w *watcher, address netip.AddrPort) {
	client, err := caller.Dial(caller.Config{}, address)
	if err != nil {
		s.recordError(err)
		return
	}
	defer func() { _ = client.Close() }()
	for {
		stream, err := s.register(ctx, client, w)
		if err == nil {
			s.waitForEnd(ctx, w, stream)
			return
		}
		if ctx.Err() != nil {
			return
		}
		s.mu.Lock()
		s.report.FailedAttempts++
		s.mu.Unlock()
		if !sleep(ctx, registerRetryDelay) {
			return
		}
	}
}

// register makes one registration attempt. The context passed to Observe is that of the
// whole stream, so the timeout of the attempt must not cancel it afterwards.
func (s *streamRunner) register(ctx context.Context, client *caller.Client, w *watcher) (*caller.Stream, error) {
	streamCtx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(registerTimeout, cancel)
	stream, err := client.Observe(streamCtx, w.path, func(n caller.Notification) { s.handleNotification(w, n) })
	if err != nil || !timer.Stop() {
		cancel()
		if err == nil {
			err = fmt.Errorf("registration took longer than %v", registerTimeout)
		}
		return nil, err
	}
	context.AfterFunc(ctx, cancel)
	return stream, nil
}

// waitForEnd waits until the plan or the stream ends, and records an ended stream.
func (s *streamRunner) waitForEnd(ctx context.Context, w *watcher, stream *caller.Stream) {
	s.mu.Lock()
	w.stream = stream
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return
	case <-stream.Done():
	}
	if ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	w.ended = true
	s.mu.Unlock()
	s.recordError(fmt.Errorf("stream %s ended: %w", w.path, stream.Err()))
}

func (s *streamRunner) recordError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.report.Errors) < maxErrors {
		s.report.Errors = append(s.report.Errors, err.Error())
	}
}

// handleNotification checks one notification. All servers of a service share the same tick
// counter, so a gap or a decrease is a fault between the server and the caller.
func (s *streamRunner) handleNotification(w *watcher, n caller.Notification) {
	path, tick, err := backendserver.ParseStreamPayload(string(n.Payload))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Notifications++
	if err != nil || "/"+path != w.path {
		s.report.WrongPath++
		return
	}
	if w.lastReceived.IsZero() {
		s.report.Established++
	} else {
		missed := tick - w.lastTick - 1
		if missed > 0 {
			s.report.MissedTicks += uint64(missed)
		}
		if tick < w.lastTick {
			s.report.StepsBack++
		}
		s.recordSilenceLocked(w, n.Received, max(0, missed), false)
	}
	w.lastReceived, w.lastTick = n.Received, max(tick, w.lastTick)
}

// recordSilenceLocked records the silence from the last notification until a time.
func (s *streamRunner) recordSilenceLocked(w *watcher, until time.Time, missed int64, pending bool) {
	ms := until.Sub(w.lastReceived).Milliseconds()
	s.report.LongestSilenceMS = max(s.report.LongestSilenceMS, ms)
	if ms > int64(s.load.BrokenAfterMS) {
		w.silent = true
	}
	if ms > 2*int64(s.load.TickMS) && len(s.report.Pauses) < maxPauses {
		s.report.Pauses = append(s.report.Pauses, Silence{
			Path: w.path, FromMS: w.lastReceived.Sub(s.start).Milliseconds(), MS: ms, Missed: missed, Pending: pending,
		})
	}
}

// snapshot returns the report, with silences that last until the given time. The stored
// report is restored afterwards, so that snapshot can be called repeatedly.
func (s *streamRunner) snapshot(until time.Time) StreamReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	saved := s.report
	s.report.Pauses = append([]Silence{}, saved.Pauses...)
	s.report.Errors = append([]string{}, saved.Errors...)
	for _, w := range s.watchers {
		if w.stream != nil {
			st := w.stream.Stats()
			s.report.Stale += st.Stale
			s.report.Refreshes += st.Refreshes
			s.report.Silences += st.RegistrationFailures
		}
		silent := w.silent
		if !w.lastReceived.IsZero() && !w.ended && until.After(w.lastReceived) {
			s.recordSilenceLocked(w, until, 0, true)
		}
		if w.ended || w.silent {
			s.report.Broken++
		}
		if w.ended {
			s.report.Ended++
		}
		w.silent = silent
	}
	out := s.report
	s.report = saved
	return out
}
