package daemon

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/backend"
	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/dispatch"
	"github.com/monsoonthread/monsoonthread/edge"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// serverNotices holds the availability of backend servers as reported by their
// dispatchers and the instance list. It is used to select servers for streams.
type serverNotices struct {
	mu            sync.RWMutex
	down          map[string]bool // unavailable according to the dispatcher
	draining      map[string]bool
	listedLeaving map[string]bool      // leaving according to the instance list
	lastSummary   map[string]time.Time // when a summary was last sent to each instance
}

func newServerNotices() *serverNotices {
	return &serverNotices{down: map[string]bool{}, draining: map[string]bool{}, listedLeaving: map[string]bool{}, lastSummary: map[string]time.Time{}}
}

func (n *serverNotices) set(notice *peerpb.ServerNotice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	setFlag(n.down, notice.Server, !notice.Available)
	setFlag(n.draining, notice.Server, notice.Draining)
}

func setFlag(set map[string]bool, name string, member bool) {
	if member {
		set[name] = true
		return
	}
	delete(set, name)
}

// setListed records the list's state of a server and reports whether it changed.
func (n *serverNotices) setListed(name string, leaving bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listedLeaving[name] == leaving {
		return false
	}
	setFlag(n.listedLeaving, name, leaving)
	return true
}

// leaving returns the servers that are leaving according to the list.
func (n *serverNotices) leaving() []string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	names := make([]string, 0, len(n.listedLeaving))
	for name := range n.listedLeaving {
		names = append(names, name)
	}
	return names
}

func (n *serverNotices) unavailable(name string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.down[name] || n.listedLeaving[name]
}

// isLeaving reports whether a server is draining or leaving according to its dispatcher
// or the list.
func (n *serverNotices) isLeaving(name string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.draining[name] || n.listedLeaving[name]
}

func (n *serverNotices) summarySent(to string, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastSummary[to] = now
}

// summaryDue reports whether no summary was sent to an instance for summaryInterval.
func (n *serverNotices) summaryDue(to string, now time.Time) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return now.Sub(n.lastSummary[to]) >= summaryInterval
}

// pollHealth checks the health of the servers that this instance dispatches.
func (d *Daemon) pollHealth(ctx context.Context) {
	d.runEvery(ctx, d.settings.HealthInterval, func(now time.Time) {
		for _, sch := range d.schedulers.all() {
			for _, server := range d.ownedServers(sch, now) {
				if server.HealthPath != "" {
					d.queryHealth(sch, server)
				}
			}
		}
	})
}

// ownedServers returns the configuration of the servers that this instance dispatches.
func (d *Daemon) ownedServers(sch *scheduler, now time.Time) []config.BackendServer {
	r := d.routes.Load()
	sch.mu.Lock()
	defer sch.mu.Unlock()
	var servers []config.BackendServer
	for _, st := range sch.scheduler.Status(now) {
		if server := r.servers[st.Name]; server != nil && st.Role == roleOwner {
			servers = append(servers, *server)
		}
	}
	return servers
}

func (d *Daemon) queryHealth(sch *scheduler, server config.BackendServer) {
	d.backends.query(server, server.HealthPath, func(answer *edge.Message) {
		health := healthOf(answer)
		d.schedulers.with(sch, func(s *dispatch.Scheduler) []dispatch.Action {
			return s.RecordHealth(time.Now(), server.Name, health)
		})
	})
}

func healthOf(answer *edge.Message) backend.Health {
	switch {
	case answer == nil || answer.Type == edge.Reset:
		return backend.HealthUnreachable
	case !answer.Code.IsSuccess():
		return backend.HealthFailing
	case strings.HasPrefix(string(answer.Payload), "draining"):
		return backend.HealthDraining
	case strings.HasPrefix(string(answer.Payload), "ok"):
		return backend.HealthOK
	default:
		return backend.HealthFailing
	}
}
