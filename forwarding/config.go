package forwarding

import (
	"net/netip"
	"time"

	"github.com/monsoonthread/monsoonthread/serverload"
)

// RouteKind tells whether requests of a route may be repeated.
type RouteKind uint8

// The kinds of routes.
const (
	Idempotent RouteKind = iota
	NonIdempotent
	Download
)

// ServiceWeight is the relative share of a route's new flows that a service gets.
type ServiceWeight struct {
	Service string
	Weight  uint64
}

// Route distributes the flows to one service address and port over services.
type Route struct {
	Address  uint32
	Port     uint16
	Kind     RouteKind
	Services []ServiceWeight

	Priority  int           // 0 is the most urgent; meaningful only if Prioritised
	Objective time.Duration // response time that callers need; 0 if unknown
	Timeout   time.Duration // after which callers give up; 0 if unknown
	// Prioritised reports whether the configuration gives the route a priority.
	Prioritised bool
}

// Endpoint returns the service address and port of the route.
func (r *Route) Endpoint() netip.AddrPort { return endpoint(r.Address, r.Port) }

// ServiceLimits are the limits of each backend server of a service.
type ServiceLimits struct {
	MaxFlows  int           // open flows; 0 for no limit
	ColdStart time.Duration // how long a server is cold after its process has started; 0 if unknown
	ColdRate  float64       // requests per second that a cold server bears
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version     uint64
	Routes      []Route
	HealthPaths map[string]string        // health check paths by service
	Limits      map[string]ServiceLimits // limits of services that have any
	IdleTimeout time.Duration            // after which an idle flow is forgotten; 0 for the default
}

type routeKey struct {
	address uint32
	port    uint16
}

type weightedService struct {
	service *service
	weight  uint64
}

type route struct {
	kind        RouteKind
	class       flowClass
	classIndex  uint8 // of the class; 0 if its flows are never refused
	services    []weightedService
	totalWeight uint64
	answers     *serverload.Answers // kept across versions
	// pastServices holds every service that the route has used in a version known to this
	// instance. Flows opened under an older version keep their server.
	pastServices []*service
}

// allows reports whether the route has used the service in a known version.
func (r *route) allows(s *service) bool {
	for _, e := range r.pastServices {
		if e == s {
			return true
		}
	}
	return false
}

// uses reports whether new flows of the route may go to the service.
func (r *route) uses(s *service) bool {
	for _, w := range r.services {
		if w.service == s && w.weight > 0 {
			return true
		}
	}
	return false
}

// Configure applies a configuration. A version older than the one in force is ignored,
// because a configuration must never be rolled back. It reports whether the version is now in
// force.
func (e *Engine) Configure(now time.Duration, c *Configuration) bool {
	if e.configured && c.Version <= e.version {
		return c.Version == e.version
	}
	e.clearClasses()
	routes := make(map[routeKey]*route, len(c.Routes))
	for i := range c.Routes {
		k := routeKey{c.Routes[i].Address, c.Routes[i].Port}
		routes[k] = e.newRoute(&c.Routes[i], e.routes[k], e.retired[k])
	}
	for k, r := range e.routes {
		if routes[k] == nil {
			e.retired[k] = r
		}
	}
	for k := range routes {
		delete(e.retired, k)
	}
	if !e.configured {
		e.configuredAt = now
	}
	e.routes, e.version, e.configured = routes, c.Version, true
	for name, path := range c.HealthPaths {
		s := e.service(name)
		s.named, s.healthPath, s.limits = true, path, c.Limits[name]
		e.applyColdLimits(s)
	}
	e.idleTimeout = defaultIdleTimeout
	if c.IdleTimeout > 0 {
		// A flow that is idle for longer is older than the lifetime of flows. Keeping it would let
		// abandoned flows fill the table.
		e.idleTimeout = min(c.IdleTimeout, e.cfg.CookieLifetime)
	}
	return true
}

func (e *Engine) newRoute(in *Route, previous ...*route) *route {
	r := &route{kind: in.Kind, class: newFlowClass(in), answers: new(serverload.Answers)}
	for _, w := range in.Services {
		s := e.service(w.Service)
		s.named = true
		r.services = append(r.services, weightedService{s, w.Weight})
		r.totalWeight += w.Weight
		r.pastServices = append(r.pastServices, s)
	}
	e.enableAdmission(r)
	for _, b := range previous {
		if b == nil {
			continue
		}
		r.answers = b.answers
		for _, s := range b.pastServices {
			if !r.allows(s) {
				r.pastServices = append(r.pastServices, s)
			}
		}
	}
	return r
}

// Version returns the version in force, and false before the first one.
func (e *Engine) Version() (uint64, bool) { return e.version, e.configured }
