package daemon

import (
	"net/netip"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/membership"
	"github.com/monsoonthread/monsoonthread/placement"
)

// routing is an immutable snapshot of configuration and view, for lock-free lookups.
type routing struct {
	config    *config.Config
	view      *membership.View
	byAddress map[netip.AddrPort]*service
	byID      map[uint32]*service
	servers   map[string]*config.BackendServer
}

// service is one service of the configuration with what is computed from it.
type service struct {
	*config.Service
	members []placement.Member
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
	s := &service{Service: c, members: make([]placement.Member, 0, len(c.BackendServers))}
	for i := range c.BackendServers {
		b := &c.BackendServers[i]
		s.members = append(s.members, placement.NewMember(b.Name, b.Weight))
	}
	return s
}
