package callers

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Runner executes one plan. It is safe for concurrent use.
type Runner struct {
	plan       Plan
	generators []*generator
	streams    []*streamRunner
	archives   []*archiveRunner

	mu    sync.Mutex // protects the fields below
	start time.Time
	end   time.Time // zero while the plan runs
	stop  context.CancelFunc
	done  bool
}

// New validates a plan and returns a runner for it.
func New(p Plan) (*Runner, error) {
	if err := p.withDefaults(); err != nil {
		return nil, err
	}
	r := &Runner{plan: p}
	for i, l := range p.Loads {
		r.generators = append(r.generators, newGenerator(l, i, p.Seed))
	}
	for _, s := range p.Streams {
		r.streams = append(r.streams, newStreamRunner(s))
	}
	for _, a := range p.Archives {
		r.archives = append(r.archives, newArchiveRunner(a))
	}
	return r, nil
}

// Run executes the plan once. It ends with the duration of the plan, with the context or
// with Stop, and returns when every request has its response or is past its deadline.
func (r *Runner) Run(ctx context.Context) error {
	start := time.Now()
	ctx, cancel := context.WithDeadline(ctx, start.Add(time.Duration(r.plan.DurationMS)*time.Millisecond))
	defer cancel()
	r.mu.Lock()
	r.start, r.stop = start, cancel
	r.mu.Unlock()
	context.AfterFunc(ctx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.end = time.Now()
	})

	var runs []func(context.Context, time.Time) error
	for _, g := range r.generators {
		runs = append(runs, g.run)
	}
	for _, s := range r.streams {
		runs = append(runs, s.run)
	}
	for _, a := range r.archives {
		runs = append(runs, a.run)
	}
	errs := make([]error, len(runs))
	var all sync.WaitGroup
	for i, run := range runs {
		all.Add(1)
		go func() {
			defer all.Done()
			errs[i] = run(ctx, start)
		}()
	}
	all.Wait()
	r.mu.Lock()
	r.done = true
	r.mu.Unlock()
	return errors.Join(errs...)
}

// Stop ends the plan before its duration has passed.
func (r *Runner) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stop != nil {
		r.stop()
	}
}

// Status is the progress of a plan.
type Status struct {
	ElapsedMS int  `json:"elapsed_ms"`
	Done      bool `json:"done"`
}

// Status returns the time since the start and whether Run has finished all loads.
func (r *Runner) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.start.IsZero() {
		return Status{}
	}
	return Status{ElapsedMS: int(time.Since(r.start).Milliseconds()), Done: r.done}
}

// Report summarizes the window between two times since the start; toMS 0 means the end
// of the plan. The reports of streams and archives cover the time since the start.
func (r *Runner) Report(fromMS, toMS int) Report {
	r.mu.Lock()
	until := r.end
	r.mu.Unlock()
	if until.IsZero() {
		until = time.Now()
	}
	if toMS == 0 {
		toMS = r.plan.DurationMS
	}
	rep := Report{FromMS: fromMS, ToMS: toMS, Loads: []LoadReport{}, Streams: []StreamReport{}, Archives: []ArchiveReport{}}
	for _, g := range r.generators {
		rep.Loads = append(rep.Loads, g.report(fromMS, toMS))
	}
	for _, s := range r.streams {
		rep.Streams = append(rep.Streams, s.snapshot(until))
	}
	for _, a := range r.archives {
		rep.Archives = append(rep.Archives, a.snapshot())
	}
	return rep
}

// Orders returns the outcomes of all completed requests that have a payload ID.
func (r *Runner) Orders() []Order {
	all := []Order{}
	for _, g := range r.generators {
		g.mu.Lock()
		all = append(all, g.orders...)
		g.mu.Unlock()
	}
	return all
}

// Handler returns the HTTP handler of the control API:
//
//	GET  /healthz
//	GET  /status                      Status
//	GET  /report?from_ms=n&to_ms=n    Report
//	GET  /orders                      []Order
//	POST /stop                        ends the plan
func (r *Runner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.Status()) })
	mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.Orders()) })
	mux.HandleFunc("POST /stop", func(http.ResponseWriter, *http.Request) { r.Stop() })
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, req *http.Request) {
		from, errFrom := intQuery(req, "from_ms")
		to, errTo := intQuery(req, "to_ms")
		if err := errors.Join(errFrom, errTo); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, r.Report(from, to))
	})
	return mux
}

func intQuery(r *http.Request, name string) (int, error) {
	v := r.URL.Query().Get(name)
	if v == "" {
		return 0, nil
	}
	return strconv.Atoi(v)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a write error cannot be reported to the client
}
