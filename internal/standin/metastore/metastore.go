// Package metastore is a stand-in for the platform's metadata store. It serves items with
// revisions, paged listings, watches, transactions and leases over HTTP, and simulates the
// faults of the platform's store.
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

// pageItems is small so that tests read listings of more than one page.
const pageItems = 5

// Fault is a simulated failure mode, applied to every call.
type Fault int

// Failure modes.
const (
	NoFault      Fault = iota
	Unavailable        // responds 503 without executing the call
	RateLimited        // responds 429 without executing the call
	NoResponse         // sends no response until the client disconnects
	LostResponse       // executes writes but sends no response to them
	HistoryLost        // responds 410 to every watch
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// Store is an in-memory metadata store. It is safe for concurrent use.
type Store struct {
	mu              sync.Mutex
	items           map[string]item
	history         []item
	droppedRevision uint64 // highest revision that DropHistory discarded
	revision        uint64
	leases          map[uint64]lease // by ID
	fault           Fault
	calls           map[string]int
	changed         chan struct{}
	staleSnapshot   *Store // contents that stale reads return; nil if they are current
	era             uint64 // number of restores, from 1
}

// Copy is the contents of a store at one moment.
type Copy struct {
	items    map[string]item
	leases   map[uint64]lease
	revision uint64
}

// New returns an empty store.
func New() *Store {
	return &Store{items: make(map[string]item), revision: 1, era: 1, leases: make(map[uint64]lease), calls: make(map[string]int), changed: make(chan struct{})}
}

// SetFault sets the failure mode of subsequent calls.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls by endpoint.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Put writes a key without a lease, as the operator or a server does, and returns the new
// revision.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, value, 0)
}

// Remove removes a key, if it exists.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// FreezeStaleReads makes later stale reads return the contents as of this call.
func (s *Store) FreezeStaleReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleSnapshot = &Store{items: maps.Clone(s.items), revision: s.revision}
}

// DropHistory discards all recorded changes. Watches that start from an earlier revision
// get status 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedRevision = nil, s.revision
	s.notifyWatchers()
}

// Copy returns a copy of the contents.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{items: maps.Clone(s.items), leases: maps.Clone(s.leases), revision: s.revision}
}

// Restore replaces the contents by those of an older copy. Later changes get the revisions that
// were given out since the copy once more, and a new era begins.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.leases, s.revision = maps.Clone(c.items), maps.Clone(c.leases), c.revision
	s.era++
	s.history = slices.DeleteFunc(slices.Clone(s.history), func(it item) bool { return it.Revision > c.revision })
	s.staleSnapshot = nil
	s.notifyWatchers()
}

// ExpireLeases expires all leases and removes their keys, as the platform may do in an outage.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.leases[id] = lease{}
	}
	s.expireLeases()
}

// Value returns the value of a key; nil if it does not exist.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Lease returns the ID of the lease of a key; 0 if there is none.
func (s *Store) Lease(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Lease
}

// Keys returns the keys with a prefix in sorted order.
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
	s.notifyWatchers()
	return s.revision
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
	s.notifyWatchers()
}

func (s *Store) notifyWatchers() {
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

// expireLeases removes expired leases and their keys.
func (s *Store) expireLeases() {
	for id, l := range s.leases {
		if time.Now().Before(l.expiresAt) {
			continue
		}
		delete(s.leases, id)
		for _, key := range s.keys("", "") {
			if s.items[key].Lease == id {
				s.remove(key)
			}
		}
	}
}

// Handler returns the HTTP handler of the store's API.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	for pattern, h := range map[string]http.HandlerFunc{
		"GET /monsoonthread/kv-range": s.list, "GET /monsoonthread/kv-watch": s.watch,
		"POST /monsoonthread/kv-txn": s.transact, "POST /monsoonthread/kv-lease": s.grantLease,
		"POST /monsoonthread/kv-keep/{id}": s.renewLease,
	} {
		mux.HandleFunc(pattern, s.withFault(h))
	}
	return mux
}

// withFault counts a call and applies the current failure mode to it.
func (s *Store) withFault(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[strings.Split(strings.TrimPrefix(r.URL.Path, "/monsoonthread/"), "/")[0]]++
		s.expireLeases()
		fault, era := s.fault, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		switch {
		case fault == Unavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
		case fault == RateLimited:
			w.WriteHeader(http.StatusTooManyRequests)
		case fault == NoResponse:
			waitForDisconnect(r)
		case fault == HistoryLost && strings.HasSuffix(r.URL.Path, "/kv-watch"):
			w.WriteHeader(http.StatusGone)
		case fault == LostResponse && r.Method != http.MethodGet:
			h(discardWriter{http.Header{}}, r)
			waitForDisconnect(r)
		default:
			h(w, r)
		}
	}
}

// waitForDisconnect blocks until the client disconnects. It reads the rest of the body
// first, because the server detects a closed connection only after that.
func waitForDisconnect(r *http.Request) {
	io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.staleSnapshot != nil && r.URL.Query().Get("allowStale") == "1" {
		s = s.staleSnapshot
	}
	keys := s.keys(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	page := struct {
		Items []item `json:"items"`
		More  bool   `json:"morePages"`
		AsOf  uint64 `json:"asOf"`
	}{Items: []item{}, More: len(keys) > pageItems, AsOf: s.revision}
	for _, key := range keys[:min(pageItems, len(keys))] {
		page.Items = append(page.Items, s.items[key])
	}
	writeJSON(w, page)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, changed, asOf := s.changesSince(q.Get("prefix"), after), s.changed, s.revision
		compacted := after < s.droppedRevision || after > s.revision
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		s.mu.Unlock()
		if compacted {
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
			writeJSON(w, struct {
				Events []item `json:"events"`
				AsOf   uint64 `json:"asOf"`
			}{events, asOf})
			return
		}
	}
}

func (s *Store) changesSince(prefix string, after uint64) []item {
	events := []item{}
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
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
	writeJSON(w, map[string]uint64{"revision": s.revision})
}

func (s *Store) grantLease(w http.ResponseWriter, r *http.Request) {
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
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.leases[s.revision] = lease{ttl, time.Now().Add(ttl)}
	writeJSON(w, map[string]any{"lease": s.revision, "ttlMs": in.TTL})
}

func (s *Store) renewLease(w http.ResponseWriter, r *http.Request) {
	s.withLease(w, r, func(id uint64) {
		ttl := s.leases[id].ttl
		s.leases[id] = lease{ttl, time.Now().Add(ttl)}
		writeJSON(w, map[string]int64{"ttlMs": ttl.Milliseconds()})
	})
}

func (s *Store) withLease(w http.ResponseWriter, r *http.Request, f func(uint64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if _, ok := s.leases[id]; err != nil || !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	f(id)
}
