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
	// registerRetry is the time between attempts to register a stream at first.
	registerRetry = 300 * time.Millisecond
	// registerTimeout bounds one attempt.
	registerTimeout = 4 * time.Second
	// maxPauses and maxErrors bound the lists in a report.
	maxPauses = 200
	maxErrors = 20
)

// watcher keeps one stream and checks what it delivers.
type watcher struct {
	path   string
	stream *caller.Stream
	last   time.Time // of the last notification; zero before the first
	tick   int64
	ended  bool
	silent bool // was silent for longer than allowed
}

// streams is the state of one StreamLoad.
type streams struct {
	load  StreamLoad
	start time.Time

	mu       sync.Mutex // protects the fields below
	watchers []*watcher
	report   StreamReport
}

func newStreams(l StreamLoad) *streams {
	return &streams{load: l, report: StreamReport{Service: l.Service, Path: l.Path, Count: l.Count}}
}

// run registers the streams and holds them until the context ends.
func (s *streams) run(ctx context.Context, start time.Time) error {
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
			if pause(ctx, wait) {
				s.watch(ctx, w, s.load.Address)
			}
		}()
	}
	all.Wait()
	return nil
}

// pause waits and reports false when the context ended.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// watch registers one stream, with further attempts until it is established.
func (s *streams) watch(ctx context.Context, w *watcher, address netip.AddrPort) {
	client, err := caller.Dial(caller.Config{}, address)
	if err != nil {
		s.fail(err)
		return
	}
	defer func() { _ = client.Close() }()
	for {
		stream, err := s.register(ctx, client, w)
		if err == nil {
			s.hold(ctx, w, stream)
			return
		}
		if ctx.Err() != nil {
			return
		}
		s.mu.Lock()
		s.report.FailedAttempts++
		s.mu.Unlock()
		if !pause(ctx, registerRetry) {
			return
		}
	}
}

// register makes one attempt. The context given to Observe is that of the whole stream,
// so the time limit of the attempt must not end it.
func (s *streams) register(ctx context.Context, client *caller.Client, w *watcher) (*caller.Stream, error) {
	streamCtx, cancel := context.WithCancel(ctx)
	limit := time.AfterFunc(registerTimeout, cancel)
	stream, err := client.Observe(streamCtx, w.path, func(n caller.Notification) { s.notified(w, n) })
	if err != nil || !limit.Stop() {
		cancel()
		if err == nil {
			err = fmt.Errorf("registration took longer than %v", registerTimeout)
		}
		return nil, err
	}
	context.AfterFunc(ctx, cancel)
	return stream, nil
}

// hold waits for the end of the plan or of the stream.
func (s *streams) hold(ctx context.Context, w *watcher, stream *caller.Stream) {
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
	s.fail(fmt.Errorf("stream %s ended: %w", w.path, stream.Err()))
}

func (s *streams) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.report.Errors) < maxErrors {
		s.report.Errors = append(s.report.Errors, err.Error())
	}
}

// notified checks one notification. All servers of a service count the same ticks, so a
// gap or a step back is an error of the path between.
func (s *streams) notified(w *watcher, n caller.Notification) {
	path, tick, err := backendserver.ParseStreamPayload(string(n.Payload))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Notifications++
	if err != nil || "/"+path != w.path {
		s.report.WrongPath++
		return
	}
	if w.last.IsZero() {
		s.report.Established++
	} else {
		missed := tick - w.tick - 1
		if missed > 0 {
			s.report.MissedTicks += uint64(missed)
		}
		if tick < w.tick {
			s.report.StepsBack++
		}
		s.silenceLocked(w, n.Received, max(0, missed), false)
	}
	w.last, w.tick = n.Received, max(tick, w.tick)
}

// silenceLocked records the time since the last notification.
func (s *streams) silenceLocked(w *watcher, until time.Time, missed int64, pending bool) {
	ms := until.Sub(w.last).Milliseconds()
	s.report.LongestSilenceMS = max(s.report.LongestSilenceMS, ms)
	if ms > int64(s.load.BrokenAfterMS) {
		w.silent = true
	}
	if ms > 2*int64(s.load.TickMS) && len(s.report.Pauses) < maxPauses {
		s.report.Pauses = append(s.report.Pauses, Silence{
			Path: w.path, FromMS: w.last.Sub(s.start).Milliseconds(), MS: ms, Missed: missed, Pending: pending,
		})
	}
}

// snapshot returns the report up to now; until is the end of the plan if it has ended.
func (s *streams) snapshot(until time.Time) StreamReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.report
	s.report.Pauses = append([]Silence{}, kept.Pauses...)
	s.report.Errors = append([]string{}, kept.Errors...)
	for _, w := range s.watchers {
		if w.stream != nil {
			st := w.stream.Stats()
			s.report.Stale += st.Stale
			s.report.Refreshes += st.Refreshes
			s.report.Silences += st.Silences
		}
		silent := w.silent
		if !w.last.IsZero() && !w.ended && until.After(w.last) {
			s.silenceLocked(w, until, 0, true)
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
	s.report = kept
	return out
}
