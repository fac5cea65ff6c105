// Package instancelist is a stand-in for the platform's list of live and leaving entry
// instances and backend servers. Its responses can lag behind the actual state.
package instancelist

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// domainHeader is the request header with the failure domain of the client.
const domainHeader = "X-Failure-Domain"

// cutRequestTimeout bounds how long a request from a cut failure domain is kept open.
const cutRequestTimeout = time.Minute

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

// Contents is the body of a list response.
type Contents struct {
	Instances      []Instance      `json:"instances"`
	BackendServers []BackendServer `json:"backend_servers"`
}

// Faults configures simulated faults. The zero value disables all of them.
type Faults struct {
	// LagMS is the age of the contents that the list returns.
	LagMS int `json:"lag_ms"`
	// Outage makes every call fail with status 503.
	Outage bool `json:"outage"`
	// CutDomains lists the failure domains whose clients get no response.
	CutDomains []string `json:"cut_domains"`
}

// snapshot holds the contents that are valid from a point in time.
type snapshot struct {
	since    time.Time
	contents Contents
}

// List is an in-memory instance list. It is safe for concurrent use.
type List struct {
	now func() time.Time

	mu      sync.Mutex // protects the fields below
	history []snapshot // oldest first, never empty
	faults  Faults
	calls   uint64
}

// New returns an empty list.
func New(now func() time.Time) *List {
	return &List{now: now, history: []snapshot{{contents: Contents{Instances: []Instance{}, BackendServers: []BackendServer{}}}}}
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

// SetInstanceLeaving sets or clears the leaving flag of an instance and reports whether the
// instance is listed.
func (l *List) SetInstanceLeaving(id string, leaving bool) (found bool) {
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

// update applies a change to a copy of the last contents and appends the result to the
// history. Snapshots are immutable once appended.
func (l *List) update(change func(*Contents)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.history[len(l.history)-1].contents
	next := Contents{Instances: slices.Clone(last.Instances), BackendServers: slices.Clone(last.BackendServers)}
	change(&next)
	l.history = append(l.history, snapshot{since: l.now(), contents: next})
}

// Contents returns the contents that the list currently serves, LagMS old.
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

// Handler returns the HTTP handler of the list and its control API:
//
//	GET    /v1/instances                   see docs/design.md, section 4.5
//	GET    /healthz                        returns 200, also in an outage
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
		if !l.SetInstanceLeaving(r.PathValue("id"), true) {
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
		writeJSON(w, n)
	})
	return mux
}

func (l *List) serveList(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.calls++
	faults := l.faults
	l.mu.Unlock()
	if slices.Contains(faults.CutDomains, r.Header.Get(domainHeader)) {
		t := time.NewTimer(cutRequestTimeout)
		defer t.Stop()
		select {
		case <-r.Context().Done():
		case <-t.C:
		}
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	if faults.Outage {
		http.Error(w, "list is down", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, l.Contents())
}

func decode[T any](w http.ResponseWriter, r *http.Request, apply func(T)) {
	var v T
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	apply(v)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a write error cannot be reported to the client
}
