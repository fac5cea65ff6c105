// Package instancelist is a stand-in for the platform's list of live and leaving
// instances and backend servers. Its answers lag behind the actual state.
package instancelist

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// domainHeader names the failure domain of the client.
const domainHeader = "X-Failure-Domain"

// cutHold bounds how long a request that cannot arrive is kept open.
const cutHold = time.Minute

// Instance is an entry instance in the list.
type Instance struct {
	ID          string `json:"id"`
	Domain      string `json:"domain"`
	PeerAddress string `json:"peer_address"`
	Weight      uint32 `json:"weight"`
	Leaving     bool   `json:"leaving"`
}

// BackendServer is a backend server in the list.
type BackendServer struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// Contents is the answer of the list.
type Contents struct {
	Instances      []Instance      `json:"instances"`
	BackendServers []BackendServer `json:"backend_servers"`
}

// Faults describes how the list misbehaves.
type Faults struct {
	// LagMS is the age of the state that the list answers with.
	LagMS int `json:"lag_ms"`
	// Outage answers every call with 503.
	Outage bool `json:"outage"`
	// CutDomains are the failure domains whose clients get no answer at all.
	CutDomains []string `json:"cut_domains"`
}

// version is the contents that became true at a time.
type version struct {
	since    time.Time
	contents Contents
}

// List is the stand-in. It is safe for concurrent use.
type List struct {
	now func() time.Time

	mu      sync.Mutex // protects the fields below
	history []version  // oldest first, never empty
	faults  Faults
	calls   uint64
}

// New returns an empty list.
func New(now func() time.Time) *List {
	return &List{now: now, history: []version{{contents: Contents{Instances: []Instance{}, BackendServers: []BackendServer{}}}}}
}

// SetFaults replaces the faults.
func (l *List) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// SetInstance adds an instance or replaces the one with the same ID.
func (l *List) SetInstance(in Instance) {
	l.update(func(c *Contents) {
		c.Instances = slices.DeleteFunc(c.Instances, func(i Instance) bool { return i.ID == in.ID })
		c.Instances = append(c.Instances, in)
		slices.SortFunc(c.Instances, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	})
}

// MarkInstance sets the leaving mark of an instance and reports whether it is listed.
func (l *List) MarkInstance(id string, leaving bool) (found bool) {
	l.update(func(c *Contents) {
		for i := range c.Instances {
			if c.Instances[i].ID == id {
				c.Instances[i].Leaving = leaving
				found = true
			}
		}
	})
	return found
}

// RemoveInstance removes an instance.
func (l *List) RemoveInstance(id string) {
	l.update(func(c *Contents) {
		c.Instances = slices.DeleteFunc(c.Instances, func(i Instance) bool { return i.ID == id })
	})
}

// SetBackendServer adds a backend server or replaces the one with the same name.
func (l *List) SetBackendServer(b BackendServer) {
	l.update(func(c *Contents) {
		c.BackendServers = slices.DeleteFunc(c.BackendServers, func(s BackendServer) bool { return s.Name == b.Name })
		c.BackendServers = append(c.BackendServers, b)
		slices.SortFunc(c.BackendServers, func(a, b BackendServer) int { return strings.Compare(a.Name, b.Name) })
	})
}

// RemoveBackendServer removes a backend server.
func (l *List) RemoveBackendServer(name string) {
	l.update(func(c *Contents) {
		c.BackendServers = slices.DeleteFunc(c.BackendServers, func(s BackendServer) bool { return s.Name == name })
	})
}

// update appends a version that differs from the last one by the change. Versions are
// immutable once appended.
func (l *List) update(change func(*Contents)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.history[len(l.history)-1].contents
	next := Contents{Instances: slices.Clone(last.Instances), BackendServers: slices.Clone(last.BackendServers)}
	change(&next)
	l.history = append(l.history, version{since: l.now(), contents: next})
}

// Contents returns what the list answers now.
func (l *List) Contents() Contents {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.now().Add(-time.Duration(l.faults.LagMS) * time.Millisecond)
	for i := len(l.history) - 1; i > 0; i-- {
		if !l.history[i].since.After(at) {
			return l.history[i].contents
		}
	}
	return l.history[0].contents
}

// Handler returns the list and its control endpoint:
//
//	GET    /v1/instances                   see docs/design.md, section 4.5
//	GET    /healthz                        answers 200, also in an outage
//	POST   /control/instances              Instance; adds or replaces it
//	POST   /control/instances/{id}/leaving marks it as leaving
//	DELETE /control/instances/{id}
//	POST   /control/servers                BackendServer; adds or replaces it
//	DELETE /control/servers/{name}
//	PUT    /control/faults                 Faults
//	GET    /control/calls                  number of list calls
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", l.serveList)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /control/instances", func(w http.ResponseWriter, r *http.Request) {
		decode(w, r, l.SetInstance)
	})
	mux.HandleFunc("POST /control/instances/{id}/leaving", func(w http.ResponseWriter, r *http.Request) {
		if !l.MarkInstance(r.PathValue("id"), true) {
			http.Error(w, "instance is not listed", http.StatusNotFound)
		}
	})
	mux.HandleFunc("DELETE /control/instances/{id}", func(_ http.ResponseWriter, r *http.Request) {
		l.RemoveInstance(r.PathValue("id"))
	})
	mux.HandleFunc("POST /control/servers", func(w http.ResponseWriter, r *http.Request) {
		decode(w, r, l.SetBackendServer)
	})
	mux.HandleFunc("DELETE /control/servers/{name}", func(_ http.ResponseWriter, r *http.Request) {
		l.RemoveBackendServer(r.PathValue("name"))
	})
	mux.HandleFunc("PUT /control/faults", func(w http.ResponseWriter, r *http.Request) {
		decode(w, r, l.SetFaults)
	})
	mux.HandleFunc("GET /control/calls", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		n := l.calls
		l.mu.Unlock()
		reply(w, n)
	})
	return mux
}

func (l *List) serveList(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.calls++
	faults := l.faults
	l.mu.Unlock()
	if slices.Contains(faults.CutDomains, r.Header.Get(domainHeader)) {
		t := time.NewTimer(cutHold)
		defer t.Stop()
		select {
		case <-r.Context().Done():
		case <-t.C:
		}
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	if faults.Outage {
		http.Error(w, "list is down", http.StatusServiceUnavailable)
		return
	}
	reply(w, l.Contents())
}

func decode[T any](w http.ResponseWriter, r *http.Request, apply func(T)) {
	var v T
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	apply(v)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a lost connection needs no handling here
}
