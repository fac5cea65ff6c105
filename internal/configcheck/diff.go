package configcheck

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/forwarding"
)

// Change is one difference between two configurations.
type Change struct {
	Kind  config.ChangeKind `json:"kind"`
	Entry string            `json:"entry"`           // route with its address and port, service, or limits
	Field string            `json:"field,omitempty"` // empty if the entire entry was added or removed
	Old   string            `json:"old,omitempty"`
	New   string            `json:"new,omitempty"`
}

// String formats the change as one line.
func (c Change) String() string {
	switch c.Kind {
	case config.Added:
		return "+ " + c.Entry + inParentheses(c.New)
	case config.Removed:
		return "- " + c.Entry + inParentheses(c.Old)
	}
	return fmt.Sprintf("~ %s: %s %s -> %s", c.Entry, c.Field, c.Old, c.New)
}

func inParentheses(fields string) string {
	if fields == "" {
		return ""
	}
	return " (" + fields + ")"
}

// field is a field of an entry as shown to operators; the value is empty if it has none.
type field struct{ name, value string }

// Diff returns the changes from one configuration to another: first those of routes by address and
// port, then those of services by name, then limits. Versions and names of routes are not compared.
func Diff(old, new *Configuration) []Change {
	o, n := routesByKey(old), routesByKey(new)
	var changes []Change
	for _, k := range sortedKeys(o, n, netip.AddrPort.Compare) {
		changes = appendChanges(changes, "route "+k.String(), o[k], n[k])
	}
	so, sn := servicesByName(old), servicesByName(new)
	for _, name := range sortedKeys(so, sn, strings.Compare) {
		changes = appendChanges(changes, serviceEntry(name), so[name], sn[name])
	}
	return appendChanges(changes, "limits", limitFields(old), limitFields(new))
}

// appendChanges appends the changes of an entry, whose fields are nil in a configuration without it.
func appendChanges(changes []Change, entry string, old, new []field) []Change {
	switch {
	case old == nil:
		return append(changes, Change{Kind: config.Added, Entry: entry, New: joinFields(new)})
	case new == nil:
		return append(changes, Change{Kind: config.Removed, Entry: entry, Old: joinFields(old)})
	}
	for i := range old {
		if old[i] != new[i] {
			changes = append(changes, Change{Kind: config.Changed, Entry: entry, Field: old[i].name, Old: orNone(old[i].value), New: orNone(new[i].value)})
		}
	}
	return changes
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}

func joinFields(fields []field) string {
	var parts []string
	for _, f := range fields {
		if f.value != "" {
			parts = append(parts, f.name+" "+f.value)
		}
	}
	return strings.Join(parts, ", ")
}

// routesByKey returns the fields of the routes that take effect: of several with one address and port, the last.
func routesByKey(c *Configuration) map[netip.AddrPort][]field {
	out := make(map[netip.AddrPort][]field, len(c.Routes))
	for i := range c.Routes {
		out[c.Routes[i].Endpoint()] = routeFields(&c.Routes[i])
	}
	return out
}

func routeFields(r *forwarding.Route) []field {
	var services []string
	for _, w := range r.Services {
		services = append(services, fmt.Sprintf("%q weight %v", w.Service, float64(w.Weight)/1000))
	}
	priority := ""
	if r.Prioritised {
		priority = fmt.Sprint(r.Priority)
	}
	return []field{
		{"kind", map[forwarding.RouteKind]string{forwarding.Idempotent: "idempotent", forwarding.NonIdempotent: "not idempotent", forwarding.Download: "download"}[r.Kind]},
		{"services", strings.Join(services, ", ")},
		{"priority", priority},
		{"targetLatencyMs", milliseconds(r.Objective)},
		{"timeoutMs", milliseconds(r.Timeout)},
	}
}

func servicesByName(c *Configuration) map[string][]field {
	out := make(map[string][]field, len(c.HealthPaths))
	for name, path := range c.HealthPaths {
		l := c.Limits[name]
		out[name] = []field{{"healthPath", path}, {"maxConns", numberOrEmpty(float64(l.MaxFlows))}, {"coldStartS", numberOrEmpty(l.ColdStart.Seconds())}, {"coldPerS", numberOrEmpty(l.ColdRate)}}
	}
	return out
}

func limitFields(c *Configuration) []field {
	return []field{{"idleTimeoutMs", milliseconds(c.IdleTimeout)}}
}

func milliseconds(d time.Duration) string {
	return numberOrEmpty(float64(d) / float64(time.Millisecond))
}

func numberOrEmpty(v float64) string {
	if v == 0 {
		return ""
	}
	return fmt.Sprint(v)
}

func sortedKeys[K comparable, V any](a, b map[K]V, compare func(K, K) int) []K {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return slices.SortedFunc(maps.Keys(all), compare)
}
