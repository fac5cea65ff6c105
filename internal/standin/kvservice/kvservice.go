// Package kvservice is a stand-in for the platform's key-value service: an HTTP store with
// compare-and-swap, leases, watches and rate limits. It can simulate outages, slow
// responses, and lost responses to writes that took effect.
package kvservice

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// MaxValueBytes is the platform's limit for one value.
	MaxValueBytes = 1 << 20
	// DomainHeader is the request header with the failure domain of the client.
	DomainHeader = "X-Failure-Domain"
	// maxWatchWait caps the wait time that a client requests for a watch.
	maxWatchWait = 5 * time.Minute
	// cutRequestTimeout bounds how long a request from a cut failure domain is kept open.
	cutRequestTimeout = time.Minute
)

// Faults configures simulated faults. The zero value disables all of them.
type Faults struct {
	// Outage makes every call fail with status 503.
	Outage bool `json:"outage"`
	// SlowMS is added to the response time of every call.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers is the probability that the response to a successful write is lost.
	LoseAnswers float64 `json:"lose_answers"`
	// LoseNextAnswers is the number of upcoming successful writes whose responses are lost.
	LoseNextAnswers int `json:"lose_next_answers"`
	// CutDomains lists the failure domains whose clients get no response.
	CutDomains []string `json:"cut_domains"`
	// ReadsPerSecond and WritesPerSecond are rate limits; 0 means no limit.
	ReadsPerSecond  float64 `json:"reads_per_second"`
	WritesPerSecond float64 `json:"writes_per_second"`
}

// Counters holds call counts by kind since the start.
type Counters struct {
	Reads       uint64            `json:"reads"`
	Writes      uint64            `json:"writes"`
	Watches     uint64            `json:"watches"`
	Conflicts   uint64            `json:"conflicts"`
	NotFound    uint64            `json:"not_found"`
	RateLimited uint64            `json:"rate_limited"`
	Outages     uint64            `json:"outages"`
	LostAnswers uint64            `json:"lost_answers"`
	Cut         uint64            `json:"cut"`
	Expired     uint64            `json:"expired_leases"`
	ByDomain    map[string]uint64 `json:"by_domain"`
}

type entry struct {
	value    []byte
	revision uint64
	expires  time.Time // zero without a lease
}

// Service is an in-memory key-value service. It is safe for concurrent use.
type Service struct {
	now func() time.Time

	mu           sync.Mutex // protects the fields below
	rng          *rand.Rand
	entries      map[string]entry
	revision     uint64
	era          uint64 // number of restores, from 1
	older        *storeCopy
	changed      chan struct{} // closed and replaced at each change
	faults       Faults
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	counters     Counters
}

// New returns an empty store. now is the clock for leases and rate limits.
func New(seed uint64, now func() time.Time) *Service {
	return &Service{
		now: now, rng: rand.New(rand.NewPCG(seed, 0)), entries: map[string]entry{}, era: 1,
		changed: make(chan struct{}), readLimiter: newLimiter(0), writeLimiter: newLimiter(0),
		counters: Counters{ByDomain: map[string]uint64{}},
	}
}

// storeCopy is the contents of a store at one moment.
type storeCopy struct {
	entries  map[string]entry
	revision uint64
}

// Copy keeps a copy of the contents for Restore.
func (s *Service) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.older = &storeCopy{maps.Clone(s.entries), s.revision}
}

// Restore replaces the contents by those of the last copy and begins a new era. Revisions since
// the copy are given out again. Without a copy, it does nothing.
func (s *Service) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.older == nil {
		return
	}
	s.entries, s.revision = maps.Clone(s.older.entries), s.older.revision
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// nameEra sets the response header with the era.
func (s *Service) nameEra(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.ReadsPerSecond != s.faults.ReadsPerSecond {
		s.readLimiter = newLimiter(f.ReadsPerSecond)
	}
	if f.WritesPerSecond != s.faults.WritesPerSecond {
		s.writeLimiter = newLimiter(f.WritesPerSecond)
	}
	s.faults = f
}

// Faults returns the current faults.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counters returns the call counts.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters
	c.ByDomain = make(map[string]uint64, len(s.counters.ByDomain))
	for d, n := range s.counters.ByDomain {
		c.ByDomain[d] = n
	}
	return c
}

// admit counts a call, applies outage and rate limits, and reports whether the call may
// proceed. It writes the response of a rejected call.
func (s *Service) admit(w http.ResponseWriter, r *http.Request, write, watch bool) bool {
	s.mu.Lock()
	domain := r.Header.Get(DomainHeader)
	if slices.Contains(s.faults.CutDomains, domain) {
		s.counters.Cut++
		s.mu.Unlock()
		holdUntilDisconnect(r)
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	s.counters.ByDomain[domain]++
	limiter := s.readLimiter
	switch {
	case write:
		s.counters.Writes++
		limiter = s.writeLimiter
	case watch:
		s.counters.Watches++
	default:
		s.counters.Reads++
	}
	delay := time.Duration(s.faults.SlowMS) * time.Millisecond
	outage := s.faults.Outage
	limited := !outage && !limiter.AllowN(s.now(), 1)
	if outage {
		s.counters.Outages++
	}
	if limited {
		s.counters.RateLimited++
	}
	s.mu.Unlock()

	sleep(r, delay)
	s.nameEra(w)
	switch {
	case outage:
		http.Error(w, "service is down", http.StatusServiceUnavailable)
	case limited:
		http.Error(w, "rate limit passed", http.StatusTooManyRequests)
	}
	return !outage && !limited
}

// holdUntilDisconnect keeps a request open until its client disconnects or
// cutRequestTimeout ends.
func holdUntilDisconnect(r *http.Request) { sleep(r, cutRequestTimeout) }

func sleep(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

// lookup returns the entry of a key and removes it if its lease has expired. mu must be
// held.
func (s *Service) lookup(key string) (entry, bool) {
	e, ok := s.entries[key]
	if ok && !e.expires.IsZero() && !s.now().Before(e.expires) {
		s.counters.Expired++
		delete(s.entries, key)
		return entry{}, false
	}
	return e, ok
}

func etag(revision uint64) string { return `"` + strconv.FormatUint(revision, 10) + `"` }

func parseETag(s string) (uint64, error) {
	v, err := strconv.ParseUint(strings.Trim(s, `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("entity tag %q is not a revision", s)
	}
	return v, nil
}

func (s *Service) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if !s.admit(w, r, false, q.Has("after")) {
		return
	}
	key := r.PathValue("key")
	if q.Has("after") {
		s.watch(w, r, key)
		return
	}
	s.mu.Lock()
	e, ok := s.lookup(key)
	if !ok {
		s.counters.NotFound++
	}
	s.mu.Unlock()
	s.writeEntry(w, e, ok)
}

func (s *Service) writeEntry(w http.ResponseWriter, e entry, ok bool) {
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", etag(e.revision))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(e.value) // a write error cannot be reported to the client
}

// watch returns the entry as soon as its revision is above "after", or status 304 when the
// wait time ends.
func (s *Service) watch(w http.ResponseWriter, r *http.Request, key string) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision", http.StatusBadRequest)
		return
	}
	ms, err := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if q.Has("wait_ms") && err != nil {
		http.Error(w, "wait_ms is not a number", http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatchWait))
	defer deadline.Stop()
	for {
		s.mu.Lock()
		e, ok := s.lookup(key)
		changed, faults, revision := s.changed, s.faults, s.revision
		s.mu.Unlock()
		s.nameEra(w)
		if slices.Contains(faults.CutDomains, r.Header.Get(DomainHeader)) {
			holdUntilDisconnect(r)
			panic(http.ErrAbortHandler)
		}
		if faults.Outage {
			http.Error(w, "service is down", http.StatusServiceUnavailable)
			return
		}
		if after > revision {
			http.Error(w, "no such revision", http.StatusGone)
			return
		}
		if ok && e.revision > after {
			s.writeEntry(w, e, true)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// put writes a value. With a precondition header it is a compare-and-swap.
func (s *Service) put(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, true, false) {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, "value is larger than 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	var lease time.Duration
	if v := r.URL.Query().Get("lease_ms"); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 {
			http.Error(w, "lease_ms is not a positive number", http.StatusBadRequest)
			return
		}
		lease = time.Duration(ms) * time.Millisecond
	}
	var wantRevision uint64
	match := r.Header.Get("If-Match")
	if match != "" {
		if wantRevision, err = parseETag(match); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	revision, status, lost := s.applyWrite(r.PathValue("key"), value, lease, match != "", wantRevision, r.Header.Get("If-None-Match") == "*")
	if lost {
		panic(http.ErrAbortHandler)
	}
	if revision > 0 {
		w.Header().Set("ETag", etag(revision))
	}
	w.WriteHeader(status)
}

// applyWrite checks the preconditions and stores the value. lost means that the response
// must not be sent.
func (s *Service) applyWrite(key string, value []byte, lease time.Duration, mustMatch bool, wantRevision uint64, mustBeAbsent bool) (revision uint64, status int, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.lookup(key)
	if (mustMatch && (!ok || e.revision != wantRevision)) || (mustBeAbsent && ok) {
		s.counters.Conflicts++
		return e.revision, http.StatusPreconditionFailed, false
	}
	s.revision++
	e = entry{value: value, revision: s.revision}
	if lease > 0 {
		e.expires = s.now().Add(lease)
	}
	s.entries[key] = e
	close(s.changed)
	s.changed = make(chan struct{})
	lost = s.rng.Float64() < s.faults.LoseAnswers
	if s.faults.LoseNextAnswers > 0 {
		s.faults.LoseNextAnswers--
		lost = true
	}
	if lost {
		s.counters.LostAnswers++
	}
	if ok {
		return e.revision, http.StatusNoContent, lost
	}
	return e.revision, http.StatusCreated, lost
}
