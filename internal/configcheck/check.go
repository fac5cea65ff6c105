// Package configcheck examines a configuration of the users' platform before operators send it: fields that
// cannot be decoded, entries that never take effect, limits that contradict each other, and differences
// to another version. It performs no I/O.
package configcheck

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/monsoonthread/monsoonthread/forwarding"
	"github.com/monsoonthread/monsoonthread/platform/wire"
	"github.com/monsoonthread/monsoonthread/result"
)

// Finding is a mistake or a doubtful entry of a configuration.
type Finding struct {
	Code   result.Code `json:"code"`            // StoreMalformed: instances reject the configuration; ConfigMalformed: it is doubtful
	Entry  string      `json:"entry,omitempty"` // route or service
	Field  string      `json:"field,omitempty"`
	Reason string      `json:"reason"`
}

// String formats the finding as one line.
func (f Finding) String() string {
	text := fmt.Sprintf("[%d] ", f.Code)
	if f.Entry != "" {
		text += f.Entry + ": "
	}
	if f.Field != "" {
		text += f.Field + " "
	}
	return text + f.Reason
}

// Servers describes the backend servers, which the configuration does not. Fields are 0 if unknown.
type Servers struct {
	Slots       int           // requests that a server runs at the same time
	ServiceTime time.Duration // mean time that a request takes
}

// Configuration is a decoded configuration with the names of its entries.
type Configuration struct {
	*forwarding.Configuration
	names wire.Names
}

// Decode decodes a configuration. The findings are the errors for which instances reject it; the
// configuration is nil if there is one.
func Decode(value []byte) (*Configuration, []Finding) {
	c, err := wire.DecodeConfiguration(value)
	if err != nil {
		return nil, decodeFindings(err)
	}
	names, err := wire.DecodeNames(value)
	if err != nil {
		return nil, decodeFindings(err)
	}
	return &Configuration{c, names}, nil
}

func decodeFindings(err error) []Finding {
	code := result.CodeOf(err)
	if list := fieldFindings(code, err); len(list) > 0 {
		return list
	}
	return []Finding{{Code: code, Reason: strings.TrimPrefix(err.Error(), fmt.Sprintf("[%d] ", code))}}
}

// fieldFindings returns the field errors that err wraps, and other errors joined with them.
func fieldFindings(code result.Code, err error) []Finding {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var list []Finding
		for _, e := range joined.Unwrap() {
			found := fieldFindings(code, e)
			if len(found) == 0 {
				found = []Finding{{Code: code, Reason: e.Error()}}
			}
			list = append(list, found...)
		}
		return list
	}
	if field, ok := err.(*wire.FieldError); ok {
		return []Finding{{Code: code, Entry: field.Entry, Field: field.Field, Reason: field.Reason}}
	}
	if err = errors.Unwrap(err); err != nil {
		return fieldFindings(code, err)
	}
	return nil
}

// checker collects the findings of a configuration.
type checker struct {
	*Configuration
	servers  Servers
	last     map[netip.AddrPort]int // the route that takes effect, by address and port
	findings []Finding
}

// Check returns the doubtful entries of a configuration: those that never take effect and limits that
// contradict each other. The version must be above that of the configuration in force, which may be nil.
func Check(c, inForce *Configuration, servers Servers) []Finding {
	k := checker{Configuration: c, servers: servers, last: make(map[netip.AddrPort]int, len(c.Routes))}
	for i := range c.Routes {
		k.last[c.Routes[i].Endpoint()] = i
	}
	if inForce != nil && c.Version <= inForce.Version {
		k.add("", "version", "%d is not above %d, which is in force, so that no instance uses it", c.Version, inForce.Version)
	}
	for i := range c.Routes {
		k.checkRoute(i)
	}
	k.checkServices()
	return k.findings
}

func (k *checker) add(entry, field, format string, args ...any) {
	k.findings = append(k.findings, Finding{Code: result.ConfigMalformed, Entry: entry, Field: field, Reason: fmt.Sprintf(format, args...)})
}

func (k *checker) checkRoute(i int) {
	r, entry := &k.Routes[i], k.routeEntry(i)
	if last := k.last[r.Endpoint()]; last != i {
		k.add(entry, "", "never matches: %s has the same address and port, and the last one counts", k.routeEntry(last))
	}
	k.checkServicesOfRoute(entry, r)
	if r.Timeout > 0 && r.Objective > r.Timeout {
		k.add(entry, "targetLatencyMs", "%v is above timeoutMs %v", r.Objective, r.Timeout)
	}
	if k.IdleTimeout > 0 && r.Timeout > k.IdleTimeout {
		k.add(entry, "timeoutMs", "%v is above limits.idleTimeoutMs %v, after which a waiting flow is forgotten", r.Timeout, k.IdleTimeout)
	}
}

func (k *checker) checkServicesOfRoute(entry string, r *forwarding.Route) {
	if len(r.Services) == 0 {
		k.add(entry, "service", "is missing, and so is trafficSplit: no flow is accepted")
		return
	}
	chosen := slices.ContainsFunc(r.Services, func(w forwarding.ServiceWeight) bool { return w.Weight > 0 })
	if !chosen {
		k.add(entry, "trafficSplit", "has no weight above 0: no flow is accepted")
	}
	for _, w := range r.Services {
		switch _, listed := k.HealthPaths[w.Service]; {
		case w.Service == "":
			k.add(entry, "trafficSplit", "has an entry without a service")
		case !listed:
			k.add(entry, "service", "%q is not in services", w.Service)
		}
		if chosen && w.Weight == 0 {
			k.add(entry, "trafficSplit", "gives service %q no flows: its weight is 0", w.Service)
		}
	}
}

func (k *checker) checkServices() {
	seen := make(map[string]bool)
	routed := make(map[string]bool)
	for _, r := range k.Routes {
		for _, w := range r.Services {
			routed[w.Service] = true
		}
	}
	for _, name := range k.names.Services {
		entry := serviceEntry(name)
		if seen[name] {
			k.add(entry, "name", "appears more than once")
			continue
		}
		seen[name] = true
		if !routed[name] {
			k.add(entry, "", "has no route")
		}
		k.checkLimits(entry, k.Limits[name])
	}
}

func (k *checker) checkLimits(entry string, l forwarding.ServiceLimits) {
	if l.ColdRate > 0 && l.ColdStart == 0 {
		k.add(entry, "coldPerS", "%v has no effect without coldStartS", l.ColdRate)
	}
	if opened := l.ColdRate * l.ColdStart.Seconds(); l.MaxFlows > 0 && opened > float64(l.MaxFlows) {
		k.add(entry, "coldPerS", "%v opens up to %v flows in coldStartS %v, more than maxConns %d", l.ColdRate, opened, l.ColdStart.Seconds(), l.MaxFlows)
	}
	if s := k.servers; s.Slots > 0 && s.ServiceTime > 0 {
		if most := float64(s.Slots) / s.ServiceTime.Seconds(); l.ColdRate > most {
			k.add(entry, "coldPerS", "%v is above %v, which %d slots sustain at %v a request", l.ColdRate, most, s.Slots, s.ServiceTime)
		}
	}
	if k.servers.Slots > l.MaxFlows && l.MaxFlows > 0 {
		k.add(entry, "maxConns", "%d is below the %d slots of a server", l.MaxFlows, k.servers.Slots)
	}
}

// routeEntry names a route by its position and address, and by its name if it has one.
func (c *Configuration) routeEntry(i int) string {
	text := fmt.Sprintf("route %d %s", i, c.Routes[i].Endpoint())
	if name := c.names.Routes[i]; name != "" {
		text += fmt.Sprintf(" %q", name)
	}
	return text
}

func serviceEntry(name string) string { return fmt.Sprintf("service %q", name) }
