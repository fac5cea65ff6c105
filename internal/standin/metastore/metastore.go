// Package metastore is a stand-in of the platform's metadata store: items with
// revisions, listings in pages, watches, transactions and leases over HTTP, with the
// faults that the platform knows.
package metastore

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize keeps pages small, so that tests meet more than one.
const pageSize = 5

// Fault is how the store treats calls.
type Fault int

// The faults.
const (
	None       Fault = iota
	Busy             // 503, nothing is done
	Many             // 429, nothing is done
	Silent           // no answer until the caller leaves
	LostAnswer       // writes are done, no answer comes
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	dropped  uint64 // history up to this revision is gone
	revision uint64
	leases   map[uint64]time.Time // end of each
	fault    Fault
	calls    map[string]int
	changed  chan struct{}
	stale    *Store // what stale reads return, if they lag
}

// New returns an empty store.
func New() *Store {
	return &Store{items: make(map[string]item), revision: 1, leases: make(map[uint64]time.Time), calls: make(map[string]int), changed: make(chan struct{})}
}

// SetFault changes how calls are treated from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls by name.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Put writes a key as the operator or a server does and returns the revision.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, value, 0)
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// FreezeStaleReads lets stale reads return the present items from now on.
func (s *Store) FreezeStaleReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = &Store{items: maps.Clone(s.items), revision: s.revision}
}

// DropHistory forgets all changes; watches that continue from before get 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.revision
	s.wake()
}

// EndLeases ends all leases and removes their keys, as the platform may in an outage.
func (s *Store) EndLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for lease := range s.leases {
		s.leases[lease] = time.Time{}
	}
	s.expire()
}

// Keys returns the keys with a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys(prefix, "")
}

func (s *Store) put(key string, value []byte, lease uint64) uint64 {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
	s.wake()
	return s.revision
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) keys(prefix, after string) []string {
	var out []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// expire removes the keys of leases that have ended.
func (s *Store) expire() {
	for lease, end := range s.leases {
		if time.Now().Before(end) {
			continue
		}
		delete(s.leases, lease)
		for _, key := range s.keys("", "") {
			if s.items[key].Lease == lease {
				s.remove(key)
			}
		}
	}
}

// Handler returns the HTTP interface.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	for pattern, h := range map[string]http.HandlerFunc{
		"GET /monsoonthread/kv-range": s.list, "GET /monsoonthread/kv-watch": s.watch,
		"POST /monsoonthread/kv-txn": s.transact, "POST /monsoonthread/kv-lease": s.grant,
		"POST /monsoonthread/kv-keep/{id}": s.keep,
	} {
		mux.HandleFunc(pattern, s.faulty(h))
	}
	return mux
}

// faulty treats a call as the fault in force says.
func (s *Store) faulty(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[strings.Split(strings.TrimPrefix(r.URL.Path, "/monsoonthread/"), "/")[0]]++
		s.expire()
		fault := s.fault
		s.mu.Unlock()
		switch {
		case fault == Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case fault == Many:
			w.WriteHeader(http.StatusTooManyRequests)
		case fault == Silent:
			untilCallerLeaves(r)
		case fault == LostAnswer && r.Method != http.MethodGet:
			h(discard{http.Header{}}, r)
			untilCallerLeaves(r)
		default:
			h(w, r)
		}
	}
}

// untilCallerLeaves reads the rest of the body first, because the end of a connection is
// noticed only after it.
func untilCallerLeaves(r *http.Request) {
	io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// discard drops an answer.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale != nil && r.URL.Query().Get("allowStale") == "1" {
		s = s.stale
	}
	keys := s.keys(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	page := struct {
		Items []item `json:"items"`
		More  bool   `json:"morePages"`
		AsOf  uint64 `json:"asOf"`
	}{Items: []item{}, More: len(keys) > pageSize, AsOf: s.revision}
	for _, key := range keys[:min(pageSize, len(keys))] {
		page.Items = append(page.Items, s.items[key])
	}
	answer(w, page)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, gone, changed, asOf := s.since(q.Get("prefix"), after), after < s.dropped, s.changed, s.revision
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline:
				expired = true
			}
		}
		if len(events) > 0 || expired {
			answer(w, struct {
				Events []item `json:"events"`
				AsOf   uint64 `json:"asOf"`
			}{events, asOf})
			return
		}
	}
}

func (s *Store) since(prefix string, after uint64) []item {
	events := []item{}
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events
}

type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expectedRev"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, p := range t.Writes {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range t.Writes {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	answer(w, map[string]uint64{"revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.TTL < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = time.Now().Add(time.Duration(in.TTL) * time.Millisecond)
	answer(w, map[string]any{"lease": s.revision, "ttlMs": in.TTL})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	s.withLease(w, r, func(lease uint64) {
		s.leases[lease] = time.Now().Add(time.Minute)
		answer(w, map[string]int64{"ttlMs": time.Minute.Milliseconds()})
	})
}

func (s *Store) withLease(w http.ResponseWriter, r *http.Request, f func(uint64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if _, ok := s.leases[lease]; err != nil || !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	f(lease)
}
