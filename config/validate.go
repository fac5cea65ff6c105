package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/monsoonthread/monsoonthread/result"
)

// Limits of a configuration. The questionnaire reports them as the allowed ranges.
const (
	MaxNameBytes    = 63
	MaxPathBytes    = 255
	MaxWeight       = 10_000
	MaxSlots        = 1024
	MaxConnections  = 1_000_000
	MaxRequestLimit = 60_000 // bytes; fits into one UDP datagram with headers

	MaxWarmUp   = Milliseconds(3_600_000)
	MaxDeadline = Milliseconds(3_600_000)

	// maxProblems limits the number of problems listed in a validation error.
	maxProblems = 10
)

// Methods lists the allowed values of Route.Method.
var Methods = []string{"GET", "POST", "PUT", "DELETE", "FETCH", "PATCH", "iPATCH", "*"}

// ValidName reports whether s is a valid name of a service, backend server or failure
// domain: 1 to MaxNameBytes lower-case letters, digits, dots and hyphens, beginning and
// ending with a letter or digit.
func ValidName(s string) bool {
	if len(s) == 0 || len(s) > MaxNameBytes {
		return false
	}
	for i := range len(s) {
		c := s[i]
		alnum := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !alnum && (c != '-' && c != '.' || i == 0 || i == len(s)-1) {
			return false
		}
	}
	return true
}

// ValidAddress reports whether a is a unicast address with a port and without a zone.
func ValidAddress(a netip.AddrPort) bool {
	ip := a.Addr()
	return a.IsValid() && a.Port() != 0 && ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast()
}

// ValidPath reports whether p is an absolute path without spaces or control characters.
func ValidPath(p string) bool {
	if !strings.HasPrefix(p, "/") || len(p) > MaxPathBytes {
		return false
	}
	for i := range len(p) {
		if p[i] <= ' ' || p[i] >= 0x7f {
			return false
		}
	}
	return true
}

// problems collects validation errors.
type problems struct {
	list    []string
	omitted int
}

func (p *problems) addf(format string, args ...any) {
	if len(p.list) == maxProblems {
		p.omitted++
		return
	}
	p.list = append(p.list, fmt.Sprintf(format, args...))
}

func (p *problems) require(ok bool, format string, args ...any) {
	if !ok {
		p.addf(format, args...)
	}
}

func (p *problems) err(code result.Code) error {
	if len(p.list) == 0 {
		return nil
	}
	text := strings.Join(p.list, "; ")
	if p.omitted > 0 {
		text += fmt.Sprintf("; and %d more", p.omitted)
	}
	return result.Errorf(code, "invalid configuration: %s", text)
}

// Validate checks the whole configuration. The error has code result.ConfigMalformed and
// lists up to maxProblems problems.
func (c *Config) Validate() error {
	var p problems
	domains := validateDomains(&p, c.Domains)
	servers := 0
	for i := range c.Services {
		servers += len(c.Services[i].BackendServers)
	}
	v := validator{
		problems: &p, domains: domains, nextServiceID: c.NextServiceID,
		ids: make(map[uint32]string, len(c.Services)), names: make(map[string]bool, len(c.Services)),
		servers: make(map[string]string, servers), addresses: make(map[netip.AddrPort]string, servers+len(c.Services)),
	}
	for i := range c.Services {
		v.validateService(&c.Services[i])
	}
	p.require(slices.IsSortedFunc(c.Services, compareServiceNames), "services are not sorted by name")
	return p.err(result.ConfigMalformed)
}

func compareServiceNames(a, b Service) int { return strings.Compare(a.Name, b.Name) }

func validateDomains(p *problems, domains []Domain) map[string]bool {
	names := make(map[string]bool, len(domains))
	total := 0
	for _, d := range domains {
		p.require(ValidName(d.Name), "failure domain name %q is not valid", d.Name)
		p.require(!names[d.Name], "failure domain %q appears twice", d.Name)
		p.require(d.Weight <= MaxWeight, "weight %d of failure domain %q is above %d", d.Weight, d.Name, MaxWeight)
		names[d.Name] = true
		total += int(d.Weight)
	}
	p.require(total > 0, "no failure domain has weight")
	return names
}

// validator checks services one by one and tracks values that must be unique. Its methods
// build message arguments only for an actual problem, because they run for each backend
// server of each version.
type validator struct {
	*problems
	domains       map[string]bool
	nextServiceID uint32
	ids           map[uint32]string
	names         map[string]bool
	servers       map[string]string // backend server name to service
	addresses     map[netip.AddrPort]string
}

func (v *validator) validateService(s *Service) {
	if !ValidName(s.Name) {
		v.addf("service name %q is not valid", s.Name)
	}
	if v.names[s.Name] {
		v.addf("service %q appears twice", s.Name)
	}
	v.names[s.Name] = true
	if s.ID == 0 || s.ID >= v.nextServiceID {
		v.addf("service %q has ID %d, outside 1 to %d", s.Name, s.ID, int64(v.nextServiceID)-1)
	}
	if other, ok := v.ids[s.ID]; ok {
		v.addf("services %q and %q both have ID %d", other, s.Name, s.ID)
	}
	v.ids[s.ID] = s.Name
	v.validateAddress(s.Address, s.Name)

	shares := uint64(0)
	for _, share := range s.MinShares {
		shares += uint64(share)
	}
	if shares > 100 {
		v.addf("minimum shares of service %q add up to %d%%", s.Name, shares)
	}
	if s.DefaultDeadline <= 0 || s.DefaultDeadline > s.MaxDeadline || s.MaxDeadline > MaxDeadline {
		v.addf("deadlines of service %q are %d and %d ms; need 0 < default <= max <= %d", s.Name, s.DefaultDeadline, s.MaxDeadline, MaxDeadline)
	}
	if s.MaxRequestBytes <= 0 || s.MaxRequestBytes > MaxRequestLimit {
		v.addf("max_request_bytes of service %q is %d, outside 1 to %d", s.Name, s.MaxRequestBytes, MaxRequestLimit)
	}
	v.validateRoutes(s)
	for i := range s.BackendServers {
		v.validateServer(s.Name, &s.BackendServers[i])
	}
}

func (v *validator) validateAddress(a netip.AddrPort, owner string) {
	if !ValidAddress(a) {
		v.addf("address %q of %q is not a unicast address with a port", a, owner)
		return
	}
	if other, ok := v.addresses[a]; ok {
		v.addf("%q and %q share the address %s", other, owner, a)
	}
	v.addresses[a] = owner
}

func (v *validator) validateRoutes(s *Service) {
	type key struct{ method, prefix string }
	seen := make(map[key]bool, len(s.Routes))
	for i := range s.Routes {
		r := &s.Routes[i]
		if !slices.Contains(Methods, r.Method) {
			v.addf("method %q of service %q is unknown", r.Method, s.Name)
		}
		if !ValidPath(r.PathPrefix) {
			v.addf("path prefix %q of service %q is not valid", r.PathPrefix, s.Name)
		}
		if r.Class >= NumClasses {
			v.addf("class %d of service %q is unknown", r.Class, s.Name)
		}
		if r.Stream && !StreamMethod(r.Method) {
			v.addf("service %q: %s %s cannot be a stream", s.Name, r.Method, r.PathPrefix)
		}
		if r.Stream && !r.Idempotent {
			v.addf("service %q: stream %s %s must be idempotent", s.Name, r.Method, r.PathPrefix)
		}
		k := key{r.Method, r.PathPrefix}
		if seen[k] {
			v.addf("service %q has the route %s %s twice", s.Name, r.Method, r.PathPrefix)
		}
		seen[k] = true
	}
}

// StreamMethod reports whether requests with this method can carry Observe (RFC
// 7641 and RFC 8132: GET and FETCH).
func StreamMethod(method string) bool { return method == "GET" || method == "FETCH" }

func (v *validator) validateServer(service string, b *BackendServer) {
	if !ValidName(b.Name) {
		v.addf("backend server name %q of service %q is not valid", b.Name, service)
	}
	if other, ok := v.servers[b.Name]; ok {
		v.addf("backend server %q appears in %q and %q", b.Name, other, service)
	}
	v.servers[b.Name] = service
	if !v.domains[b.Domain] {
		v.addf("backend server %q is in unknown failure domain %q", b.Name, b.Domain)
	}
	v.validateAddress(b.Address, b.Name)
	if b.Slots <= 0 || b.Slots > MaxSlots {
		v.addf("slots of %q is %d, outside 1 to %d", b.Name, b.Slots, MaxSlots)
	}
	if b.Connections <= 0 || b.Connections > MaxConnections {
		v.addf("connections of %q is %d, outside 1 to %d", b.Name, b.Connections, MaxConnections)
	}
	if b.Weight == 0 || b.Weight > MaxWeight {
		v.addf("weight of %q is %d, outside 1 to %d", b.Name, b.Weight, MaxWeight)
	}
	if b.WarmUp < 0 || b.WarmUp > MaxWarmUp {
		v.addf("warm_up_ms of %q is %d, outside 0 to %d", b.Name, b.WarmUp, MaxWarmUp)
	}
	if b.HealthPath != "" && !ValidPath(b.HealthPath) {
		v.addf("health path %q of %q is not valid", b.HealthPath, b.Name)
	}
	if b.LoadPath != "" && !ValidPath(b.LoadPath) {
		v.addf("load path %q of %q is not valid", b.LoadPath, b.Name)
	}
}
