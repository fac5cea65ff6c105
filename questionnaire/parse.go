package questionnaire

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"

	"github.com/monsoonthread/monsoonthread/config"
)

// Defaults of optional fields.
const (
	DefaultSlots           = 2
	DefaultConnections     = 2000
	DefaultMaxRequestBytes = 1152 // message size that RFC 7252 (4.6) assumes if nothing is known about the path MTU
	DefaultHealthPath      = "/health"
	DefaultLoadPath        = "/load"
	DefaultDomainWeight    = 100

	// referenceWeight is the weight of a server with relative speed 1.
	referenceWeight = 100
	// noPath is the answer for a host without a health or load path.
	noPath = "none"
	// maxInputBytes is several times the size of a questionnaire with 12,000 hosts.
	maxInputBytes = 16 << 20
)

var urgencyNames = []string{config.Urgent.String(), config.Normal.String(), config.Bulk.String()}

// Parse decodes and validates a questionnaire. The error is *Errors and lists all
// mistakes.
func Parse(b []byte) (*Answers, error) {
	r := &documentReader{}
	a := r.parseDocument(b)
	if len(r.fieldErrors) > 0 {
		slices.SortStableFunc(r.fieldErrors, func(a, b FieldError) int { return cmp.Compare(a.Line, b.Line) })
		return nil, &Errors{List: r.fieldErrors}
	}
	return a, nil
}

var yamlErrorLine = regexp.MustCompile(`line (\d+): `)

func (r *documentReader) parseDocument(b []byte) *Answers {
	if len(b) > maxInputBytes {
		r.addf(1, "questionnaire", "", "it has %d bytes, more than %d", len(b), maxInputBytes)
		return nil
	}
	var doc yaml.Node
	decoder := yaml.NewDecoder(bytes.NewReader(b))
	if err := decoder.Decode(&doc); err != nil {
		if errors.Is(err, io.EOF) {
			r.addf(1, "questionnaire", "", "it is empty")
			return nil
		}
		line, text := 1, strings.TrimPrefix(err.Error(), "yaml: ")
		if m := yamlErrorLine.FindStringSubmatch(text); m != nil {
			line, _ = strconv.Atoi(m[1])
			text = strings.Replace(text, m[0], "", 1)
		}
		r.addf(line, "questionnaire", "", "it is not YAML: %s", text)
		return nil
	}
	if len(doc.Content) != 1 {
		r.addf(1, "questionnaire", "", "it is empty")
		return nil
	}
	if err := decoder.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		r.addf(doc.Content[0].Line, "questionnaire", "one YAML document", "more follows after the document")
	}
	return r.parseRoot(doc.Content[0])
}

func (r *documentReader) parseRoot(n *yaml.Node) *Answers {
	o := r.object("", n, "deployment", "failure_domains", "services")
	a := &Answers{Deployment: o.name("deployment")}
	sr := &serviceReader{documentReader: r, domains: uniqueNames{}, services: uniqueNames{}, hosts: uniqueNames{}, addresses: map[netip.AddrPort]location{}}
	for i, n := range o.list("failure_domains", "list of at least one failure domain") {
		d := r.object(o.elementPath("failure_domains", i), n, "name", "weight")
		domain := config.Domain{Name: d.name("name"), Weight: uint32(d.integer("weight", DefaultDomainWeight, 0, config.MaxWeight, false))}
		sr.domains.add(d, domain.Name)
		a.Domains = append(a.Domains, domain)
	}
	hasWeight := func(d config.Domain) bool { return d.Weight > 0 }
	if len(a.Domains) > 0 && !slices.ContainsFunc(a.Domains, hasWeight) {
		o.reportInvalid("failure_domains", "at least one weight above 0", "no failure domain has weight")
	}
	for i, n := range o.list("services", "list of at least one service") {
		a.Services = append(a.Services, sr.readService(o.elementPath("services", i), n))
	}
	return a
}

// location is the field and line of a value's first occurrence.
type location struct {
	field string
	line  int
}

// uniqueNames maps the names read so far to their first occurrence.
type uniqueNames map[string]location

// add records a name and reports a duplicate.
func (u uniqueNames) add(o *object, name string) {
	if name == "" {
		return
	}
	if first, ok := u[name]; ok {
		o.reportInvalid("name", "a name that is not in use", "%q is already the name of %s on line %d", name, first.field, first.line)
		return
	}
	u[name] = location{o.path, o.lineOf("name")}
}

// serviceReader reads services and checks names and addresses that must be unique across
// the questionnaire.
type serviceReader struct {
	*documentReader
	domains, services, hosts uniqueNames
	addresses                map[netip.AddrPort]location
}

func (sr *serviceReader) readUniqueAddress(o *object) netip.AddrPort {
	a := o.address("address")
	if !a.IsValid() {
		return a
	}
	if first, ok := sr.addresses[a]; ok {
		o.reportInvalid("address", "an address that is not in use", "%s is already the address of %s on line %d", a, first.field, first.line)
		return a
	}
	sr.addresses[a] = location{o.path, o.lineOf("address")}
	return a
}

func (sr *serviceReader) readService(path string, n *yaml.Node) config.Service {
	o := sr.object(path, n, "name", "address", "default_deadline", "max_deadline", "max_request_bytes", "min_shares", "requests", "hosts")
	s := config.Service{
		Name:            o.name("name"),
		Address:         sr.readUniqueAddress(o),
		DefaultDeadline: o.duration("default_deadline", 0, 1, config.MaxDeadline, true),
		MaxDeadline:     o.duration("max_deadline", 0, 1, config.MaxDeadline, true),
		MaxRequestBytes: o.integer("max_request_bytes", DefaultMaxRequestBytes, 1, config.MaxRequestLimit, false),
	}
	sr.services.add(o, s.Name)
	if s.MaxDeadline > 0 && s.DefaultDeadline > s.MaxDeadline {
		o.reportInvalid("default_deadline", "at most max_deadline", "%s is above max_deadline %s", formatDuration(s.DefaultDeadline), formatDuration(s.MaxDeadline))
	}
	sr.readShares(o, &s)
	sr.readRequests(o, &s)
	for i, n := range o.list("hosts", "list of at least one host") {
		s.BackendServers = append(s.BackendServers, sr.readHost(o.elementPath("hosts", i), n))
	}
	return s
}

func (sr *serviceReader) readShares(o *object, s *config.Service) {
	n := o.values["min_shares"]
	if n == nil {
		return
	}
	shares := sr.object(o.fieldPath("min_shares"), n, urgencyNames...)
	total := 0
	for class, name := range urgencyNames {
		share := shares.integer(name, 0, 0, 100, false)
		s.MinShares[class] = uint32(share)
		total += share
	}
	if total > 100 {
		o.reportInvalid("min_shares", "a sum of at most 100", "shares add up to %d percent", total)
	}
}

func (sr *serviceReader) readRequests(o *object, s *config.Service) {
	type requestKey struct{ method, path string }
	seen := make(map[requestKey]int)
	for i, n := range o.list("requests", "list of at least one request kind") {
		q := sr.object(o.elementPath("requests", i), n, "method", "path", "urgency", "idempotent", "stream")
		r := config.Route{
			Method:     q.choice("method", config.Methods),
			PathPrefix: q.pathValue("path", "", true),
			Class:      config.Class(max(0, slices.Index(urgencyNames, q.choice("urgency", urgencyNames)))),
			Idempotent: q.boolean("idempotent", true),
			Stream:     q.boolean("stream", false),
		}
		if r.Stream && r.Method != "" && !config.StreamMethod(r.Method) {
			q.reportInvalid("stream", "true only with method GET or FETCH", "method %s cannot be a stream", r.Method)
		}
		if r.Stream && q.values["idempotent"] != nil && !r.Idempotent {
			q.reportInvalid("idempotent", "true for a stream", "a stream registration must be idempotent")
		}
		k := requestKey{r.Method, r.PathPrefix}
		if first, ok := seen[k]; ok && r.Method != "" && r.PathPrefix != "" {
			q.reportInvalid("path", "one entry for each method and path", "%s %s already appears on line %d", r.Method, r.PathPrefix, first)
		} else {
			seen[k] = q.line
		}
		s.Routes = append(s.Routes, r)
	}
}

func (sr *serviceReader) readHost(path string, n *yaml.Node) config.BackendServer {
	o := sr.object(path, n, "name", "failure_domain", "address", "slots", "connections", "relative_speed",
		"warm_up", "health_path", "load_path", "leaving")
	b := config.BackendServer{
		Name:        o.name("name"),
		Domain:      sr.readDomain(o),
		Address:     sr.readUniqueAddress(o),
		Slots:       o.integer("slots", DefaultSlots, 1, config.MaxSlots, false),
		Connections: o.integer("connections", DefaultConnections, 1, config.MaxConnections, false),
		Weight:      o.speed("relative_speed"),
		WarmUp:      o.duration("warm_up", 0, 0, config.MaxWarmUp, false),
		HealthPath:  o.pathValue("health_path", DefaultHealthPath, false),
		LoadPath:    o.pathValue("load_path", DefaultLoadPath, false),
		Leaving:     o.boolean("leaving", false),
	}
	sr.hosts.add(o, b.Name)
	return b
}

func (sr *serviceReader) readDomain(o *object) string {
	names := make([]string, 0, len(sr.domains))
	for name := range sr.domains {
		names = append(names, name)
	}
	slices.Sort(names)
	if len(names) == 0 {
		names = []string{"a name listed in failure_domains"}
	}
	return o.choice("failure_domain", names)
}
