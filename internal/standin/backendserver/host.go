package backendserver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxLogEntries bounds the execution log of a process to about 300 MB.
const maxLogEntries = 2 << 20

// Log is the execution log of a process. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	entries []Execution
	dropped uint64
}

func (l *Log) append(e Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) >= maxLogEntries {
		l.dropped++
		return
	}
	e.Seq = uint64(len(l.entries)) + 1
	l.entries = append(l.entries, e)
}

// After returns the entries above a sequence number, and the number of entries that were
// dropped because the log was full.
func (l *Log) After(seq uint64) ([]Execution, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.entries[min(seq, uint64(len(l.entries))):]), l.dropped
}

// Host runs backend servers in one process. It is safe for concurrent use.
type Host struct {
	log      Log
	archives archiveStore

	mu      sync.Mutex // protects the fields below
	servers map[string]*Server
	specs   map[string]Spec
}

// NewHost returns a host with no servers.
func NewHost() *Host { return &Host{servers: map[string]*Server{}, specs: map[string]Spec{}} }

// Start starts a server. It replaces a running server with the same name.
func (h *Host) Start(spec Spec) (*Server, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old, ok := h.servers[spec.Name]; ok {
		old.Close()
	}
	s, err := newServer(spec, &h.log, &h.archives)
	if err != nil {
		return nil, err
	}
	spec.Address = s.Address()
	h.servers[spec.Name], h.specs[spec.Name] = s, spec
	return s, nil
}

// Server returns a server by name.
func (h *Host) Server(name string) (*Server, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.servers[name]
	return s, ok
}

// Restart replaces a server by a new one at the same address. The new server starts with
// an empty deduplication table.
func (h *Host) Restart(name string) error {
	h.mu.Lock()
	spec, ok := h.specs[name]
	h.mu.Unlock()
	if !ok {
		return fmt.Errorf("backend server %q does not exist", name)
	}
	_, err := h.Start(spec)
	return err
}

// Statuses returns the status of every server, sorted by name.
func (h *Host) Statuses() []Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]Status, 0, len(h.servers))
	for _, s := range h.servers {
		all = append(all, s.Status())
	}
	slices.SortFunc(all, func(a, b Status) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Log returns the execution log.
func (h *Host) Log() *Log { return &h.log }

// Close stops all servers.
func (h *Host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.servers {
		s.Close()
	}
}

// LogReply is the response body of the log endpoint.
type LogReply struct {
	Entries []Execution `json:"entries"`
	Dropped uint64      `json:"dropped"`
}

// Handler returns the HTTP handler of the control API:
//
//	GET    /healthz
//	GET    /servers                         []Status
//	POST   /servers                         Spec; starts the server
//	GET    /log?after=seq                   LogReply
//	POST   /servers/{name}/drain?ms=n       drains for n ms; a negative n cancels the drain
//	POST   /servers/{name}/kill?silent=bool see Server.Kill
//	POST   /servers/{name}/restart
//	PUT    /servers/{name}/behaviour        Behaviour
func (h *Host) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /servers", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.Statuses()) })
	mux.HandleFunc("GET /log", func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if r.URL.Query().Has("after") && err != nil {
			http.Error(w, "after is not a sequence number", http.StatusBadRequest)
			return
		}
		entries, dropped := h.log.After(after)
		writeJSON(w, LogReply{Entries: entries, Dropped: dropped})
	})
	mux.HandleFunc("POST /servers", func(w http.ResponseWriter, r *http.Request) {
		var spec Spec
		if err := json.NewDecoder(r.Body).Decode(&spec); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if _, err := h.Start(spec); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
		}
	})
	mux.HandleFunc("POST /servers/{name}/drain", h.withServer(func(s *Server, w http.ResponseWriter, r *http.Request) {
		ms, err := strconv.ParseInt(r.URL.Query().Get("ms"), 10, 64)
		if err != nil {
			http.Error(w, "ms is not a number", http.StatusBadRequest)
			return
		}
		s.Drain(time.Duration(ms) * time.Millisecond)
	}))
	mux.HandleFunc("POST /servers/{name}/kill", h.withServer(func(s *Server, _ http.ResponseWriter, r *http.Request) {
		s.Kill(r.URL.Query().Get("silent") == "true")
	}))
	mux.HandleFunc("POST /servers/{name}/restart", h.withServer(func(_ *Server, w http.ResponseWriter, r *http.Request) {
		if err := h.Restart(r.PathValue("name")); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
		}
	}))
	mux.HandleFunc("PUT /servers/{name}/behaviour", h.withServer(func(s *Server, w http.ResponseWriter, r *http.Request) {
		var b Behaviour
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetBehaviour(b)
	}))
	return mux
}

// withServer passes the server named in the request path to f, or responds with 404.
func (h *Host) withServer(f func(*Server, http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s, ok := h.Server(r.PathValue("name"))
		if !ok {
			http.Error(w, fmt.Sprintf("backend server %q does not exist", r.PathValue("name")), http.StatusNotFound)
			return
		}
		f(s, w, r)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a write error cannot be reported to the client
}
