package daemon

import (
	"fmt"
	"net/netip"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/membership"
	"github.com/monsoonthread/monsoonthread/placement"
)

// routing is an immutable snapshot of the configuration and the membership view, for
// lock-free lookups.
type routing struct {
	config    *config.Config
	view      *membership.View
	byAddress map[netip.AddrPort]*service
	byID      map[uint32]*service
	servers   map[string]*config.BackendServer
}

// dispatchGroupSize is the approximate number of backend servers of a service and
// failure domain that share a dispatcher. A dispatcher with several servers gives a
// waiting request the slot that becomes free first, so the servers are used more evenly
// than with one dispatcher each.
const dispatchGroupSize = 8

// service is a configured service with data derived from its configuration.
type service struct {
	*config.Service
	groups  map[string]string  // dispatch group of each backend server
	members []placement.Member // backend servers with their weights, in configuration order
}

func newRouting(c *config.Config, v *membership.View, previous *routing) *routing {
	r := &routing{config: c, view: v}
	if previous != nil && previous.config == c {
		r.byAddress, r.byID, r.servers = previous.byAddress, previous.byID, previous.servers
		return r
	}
	r.byAddress = map[netip.AddrPort]*service{}
	r.byID = map[uint32]*service{}
	r.servers = map[string]*config.BackendServer{}
	for i := range c.Services {
		svc := newService(&c.Services[i])
		r.byAddress[svc.Address] = svc
		r.byID[svc.ID] = svc
		for j := range svc.BackendServers {
			r.servers[svc.BackendServers[j].Name] = &svc.BackendServers[j]
		}
	}
	return r
}

func newService(c *config.Service) *service {
	s := &service{Service: c, groups: dispatchGroups(c), members: make([]placement.Member, 0, len(c.BackendServers))}
	for i := range c.BackendServers {
		b := &c.BackendServers[i]
		s.members = append(s.members, placement.NewMember(b.Name, b.Weight))
	}
	return s
}

// dispatchGroups assigns each backend server to a group; all servers of a group have
// the same dispatcher.
func dispatchGroups(c *config.Service) map[string]string {
	perDomain := map[string]int{}
	for i := range c.BackendServers {
		perDomain[c.BackendServers[i].Domain]++
	}
	groups := make(map[string]string, len(c.BackendServers))
	for i := range c.BackendServers {
		b := &c.BackendServers[i]
		n := uint64(perDomain[b.Domain]+dispatchGroupSize-1) / dispatchGroupSize
		groups[b.Name] = fmt.Sprintf("%s/%s/%d", c.Name, b.Domain, placement.Key(b.Name)%n)
	}
	return groups
}

// dispatcher returns the instance that dispatches a backend server.
func (r *routing) dispatcher(s *service, b *config.BackendServer) (membership.Entry, bool) {
	return r.view.Dispatcher(b.Domain, s.groups[b.Name])
}

// liveInstances returns the live instances with a non-zero weight, which own flows.
func (r *routing) liveInstances() (ids []string) {
	for i := range r.view.Domains {
		for _, e := range r.view.Domains[i].Members {
			if e.Weight > 0 && (e.State == membership.Alive || e.State == membership.Suspect) {
				ids = append(ids, e.ID)
			}
		}
	}
	return ids
}
