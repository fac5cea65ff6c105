package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two configurations.
type Change struct {
	Kind    ChangeKind `json:"kind"`
	Domain  string     `json:"domain,omitempty"`
	Service string     `json:"service,omitempty"`
	Server  string     `json:"backend_server,omitempty"`
	Route   string     `json:"route,omitempty"` // method and path prefix
	Field   string     `json:"field,omitempty"` // empty if the entire item was added or removed
	Old     string     `json:"old,omitempty"`
	New     string     `json:"new,omitempty"`
}

// ChangeKind is the kind of a change to an item.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// String formats the change as one line.
func (c Change) String() string {
	var b strings.Builder
	b.WriteString(map[ChangeKind]string{Added: "+", Removed: "-", Changed: "~"}[c.Kind])
	for _, part := range []struct{ name, value string }{
		{"failure domain", c.Domain}, {"service", c.Service}, {"backend server", c.Server}, {"route", c.Route},
	} {
		if part.value != "" {
			fmt.Fprintf(&b, " %s %s", part.name, part.value)
		}
	}
	if c.Field != "" {
		fmt.Fprintf(&b, ": %s", c.Field)
	}
	switch c.Kind {
	case Changed:
		fmt.Fprintf(&b, " %s -> %s", c.Old, c.New)
	case Added:
		if c.New != "" {
			fmt.Fprintf(&b, " (%s)", c.New)
		}
	case Removed:
		if c.Old != "" {
			fmt.Fprintf(&b, " (%s)", c.Old)
		}
	}
	return b.String()
}

// Diff returns the changes from old to new, ordered by failure domain, service, backend
// server and route. Either may be nil. Versions are not compared.
func Diff(old, new *Config) []Change {
	if old == nil {
		old = &Config{}
	}
	if new == nil {
		new = &Config{}
	}
	d := &differ{}
	diffItems(d, old.Domains, new.Domains, func(v Domain) string { return v.Name },
		func(name string) Change { return Change{Domain: name} }, domainFields)
	mergeByKey(old.Services, new.Services, func(s *Service) string { return s.Name }, d.compareService)
	return d.changes
}

type differ struct{ changes []Change }

// field is the name and value of an item's field as shown to operators.
type field struct{ name, value string }

func (d *differ) compareFields(at Change, old, new []field) {
	for i := range old {
		if old[i].value != new[i].value {
			c := at
			c.Kind, c.Field, c.Old, c.New = Changed, old[i].name, old[i].value, new[i].value
			d.changes = append(d.changes, c)
		}
	}
}

func (d *differ) compareService(name string, old, new *Service) {
	at := Change{Service: name}
	switch {
	case old == nil:
		at.Kind, at.New = Added, serviceSummary(new)
		d.changes = append(d.changes, at)
	case new == nil:
		at.Kind, at.Old = Removed, serviceSummary(old)
		d.changes = append(d.changes, at)
	case !equalServices(old, new):
		d.compareFields(at, serviceFields(old), serviceFields(new))
		diffItems(d, old.BackendServers, new.BackendServers, func(b BackendServer) string { return b.Name },
			func(key string) Change { return Change{Service: name, Server: key} }, serverFields)
		diffItems(d, old.Routes, new.Routes, func(r Route) string { return r.Method + " " + r.PathPrefix },
			func(key string) Change { return Change{Service: name, Route: key} }, routeFields)
	}
}

func serviceSummary(s *Service) string {
	return fmt.Sprintf("address %s, %d backend servers", s.Address, len(s.BackendServers))
}

// diffItems compares two lists of items by key.
func diffItems[T comparable](d *differ, old, new []T, key func(T) string, at func(key string) Change, fields func(*T) []field) {
	mergeByKey(old, new, func(v *T) string { return key(*v) }, func(k string, o, n *T) {
		c := at(k)
		switch {
		case o == nil:
			c.Kind, c.New = Added, joinFields(fields(n))
			d.changes = append(d.changes, c)
		case n == nil:
			c.Kind, c.Old = Removed, joinFields(fields(o))
			d.changes = append(d.changes, c)
		case *o != *n:
			d.compareFields(c, fields(o), fields(n))
		}
	})
}

// mergeByKey calls visit for each key of the two lists in ascending order, with nil for a
// list that lacks the key.
func mergeByKey[T any](old, new []T, key func(*T) string, visit func(key string, old, new *T)) {
	o, n := sortedPointers(old, key), sortedPointers(new, key)
	for len(o) > 0 || len(n) > 0 {
		order := 0
		switch {
		case len(o) == 0:
			order = 1
		case len(n) == 0:
			order = -1
		default:
			order = cmp.Compare(key(o[0]), key(n[0]))
		}
		switch {
		case order < 0:
			visit(key(o[0]), o[0], nil)
			o = o[1:]
		case order > 0:
			visit(key(n[0]), nil, n[0])
			n = n[1:]
		default:
			visit(key(o[0]), o[0], n[0])
			o, n = o[1:], n[1:]
		}
	}
}

func sortedPointers[T any](list []T, key func(*T) string) []*T {
	p := make([]*T, len(list))
	for i := range list {
		p[i] = &list[i]
	}
	compare := func(a, b *T) int { return cmp.Compare(key(a), key(b)) }
	if !slices.IsSortedFunc(p, compare) {
		slices.SortStableFunc(p, compare)
	}
	return p
}

func joinFields(fields []field) string {
	parts := make([]string, 0, len(fields))
	for _, f := range fields {
		if f.value != "" && f.value != "false" {
			parts = append(parts, f.name+" "+f.value)
		}
	}
	return strings.Join(parts, ", ")
}

func domainFields(d *Domain) []field { return []field{{"weight", fmt.Sprint(d.Weight)}} }

func serviceFields(s *Service) []field {
	list := []field{
		{"id", fmt.Sprint(s.ID)},
		{"address", s.Address.String()},
		{"default deadline", fmt.Sprintf("%d ms", s.DefaultDeadline)},
		{"max deadline", fmt.Sprintf("%d ms", s.MaxDeadline)},
		{"max request", fmt.Sprintf("%d bytes", s.MaxRequestBytes)},
	}
	for class := range NumClasses {
		list = append(list, field{fmt.Sprintf("minimum share of %s", class), fmt.Sprintf("%d%%", s.MinShares[class])})
	}
	return list
}

func serverFields(b *BackendServer) []field {
	return []field{
		{"failure domain", b.Domain},
		{"address", b.Address.String()},
		{"slots", fmt.Sprint(b.Slots)},
		{"connections", fmt.Sprint(b.Connections)},
		{"relative speed", fmt.Sprintf("%d%%", b.Weight)},
		{"warm-up", fmt.Sprintf("%d ms", b.WarmUp)},
		{"health path", b.HealthPath},
		{"load path", b.LoadPath},
		{"leaving", fmt.Sprint(b.Leaving)},
	}
}

func routeFields(r *Route) []field {
	return []field{
		{"urgency", r.Class.String()},
		{"idempotent", fmt.Sprint(r.Idempotent)},
		{"stream", fmt.Sprint(r.Stream)},
	}
}
