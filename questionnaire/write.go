package questionnaire

import (
	"bytes"
	"fmt"
	"net/netip"

	"gopkg.in/yaml.v3"

	"github.com/monsoonthread/monsoonthread/config"
)

// Types for encoding a questionnaire. Parse reads YAML nodes instead, so that mistakes can
// refer to lines.
type (
	document struct {
		Deployment string         `yaml:"deployment"`
		Domains    []domainEntry  `yaml:"failure_domains"`
		Services   []serviceEntry `yaml:"services"`
	}
	domainEntry struct {
		Name   string `yaml:"name"`
		Weight uint32 `yaml:"weight"`
	}
	serviceEntry struct {
		Name            string         `yaml:"name"`
		Address         string         `yaml:"address"`
		DefaultDeadline string         `yaml:"default_deadline"`
		MaxDeadline     string         `yaml:"max_deadline"`
		MaxRequestBytes int            `yaml:"max_request_bytes"`
		MinShares       sharesEntry    `yaml:"min_shares,flow"`
		Requests        []requestEntry `yaml:"requests"`
		Hosts           []hostEntry    `yaml:"hosts"`
	}
	sharesEntry struct {
		Urgent uint32 `yaml:"urgent"`
		Normal uint32 `yaml:"normal"`
		Bulk   uint32 `yaml:"bulk"`
	}
	requestEntry struct {
		Method     string `yaml:"method"`
		Path       string `yaml:"path"`
		Urgency    string `yaml:"urgency"`
		Idempotent bool   `yaml:"idempotent"`
		Stream     bool   `yaml:"stream,omitempty"`
	}
	hostEntry struct {
		Name        string   `yaml:"name"`
		Domain      string   `yaml:"failure_domain"`
		Address     string   `yaml:"address"`
		Slots       int      `yaml:"slots"`
		Connections int      `yaml:"connections"`
		Speed       rawFloat `yaml:"relative_speed"`
		WarmUp      string   `yaml:"warm_up"`
		HealthPath  string   `yaml:"health_path"`
		LoadPath    string   `yaml:"load_path"`
		Leaving     bool     `yaml:"leaving,omitempty"`
	}
)

// rawFloat is a formatted number, which is encoded without quotes and exponent.
type rawFloat string

// MarshalYAML implements yaml.Marshaler.
func (f rawFloat) MarshalYAML() (any, error) {
	return &yaml.Node{Kind: yaml.ScalarNode, Value: string(f)}, nil
}

// Format encodes answers as a questionnaire for Parse.
func Format(a *Answers) ([]byte, error) {
	d := document{Deployment: a.Deployment}
	for _, domain := range a.Domains {
		d.Domains = append(d.Domains, domainEntry(domain))
	}
	for i := range a.Services {
		d.Services = append(d.Services, newServiceEntry(&a.Services[i]))
	}
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(2)
	if err := encoder.Encode(&d); err != nil {
		return nil, fmt.Errorf("encode questionnaire: %w", err)
	}
	return out.Bytes(), encoder.Close()
}

func newServiceEntry(s *config.Service) serviceEntry {
	e := serviceEntry{
		Name: s.Name, Address: s.Address.String(),
		DefaultDeadline: formatDuration(s.DefaultDeadline), MaxDeadline: formatDuration(s.MaxDeadline),
		MaxRequestBytes: s.MaxRequestBytes,
		MinShares:       sharesEntry{s.MinShares[config.Urgent], s.MinShares[config.Normal], s.MinShares[config.Bulk]},
	}
	for _, r := range s.Routes {
		e.Requests = append(e.Requests, requestEntry{r.Method, r.PathPrefix, r.Class.String(), r.Idempotent, r.Stream})
	}
	for _, b := range s.BackendServers {
		e.Hosts = append(e.Hosts, hostEntry{
			Name: b.Name, Domain: b.Domain, Address: b.Address.String(), Slots: b.Slots, Connections: b.Connections,
			Speed: rawFloat(formatSpeed(b.Weight)), WarmUp: formatDuration(b.WarmUp),
			HealthPath: orDefault(b.HealthPath, noPath), LoadPath: orDefault(b.LoadPath, noPath), Leaving: b.Leaving,
		})
	}
	return e
}

// Templates lists the deployments that have a template.
var Templates = []string{"bellefleur", "hearthwhisker"}

// Template returns a complete example questionnaire on loopback addresses, or nil
// for an unknown deployment.
func Template(deployment string) []byte {
	var a *Answers
	switch deployment {
	case "bellefleur":
		a = bellefleur()
	case "hearthwhisker":
		a = hearthwhisker()
	default:
		return nil
	}
	b, err := Format(a)
	if err != nil { // the templates are fixed, so encoding cannot fail
		panic(err)
	}
	header := fmt.Sprintf("# Questionnaire of %s. docs/QUESTIONNAIRE.md describes every field.\n", deployment)
	return append([]byte(header), b...)
}

// templateSpeeds are the relative speeds of the example hosts in percent, from 1x to 8x.
var templateSpeeds = []uint32{100, 200, 400, 800, 150, 300, 600, 100, 250}

func bellefleur() *Answers {
	domains := []string{"laval", "levis", "sherbrooke"}
	return &Answers{
		Deployment: "bellefleur",
		Domains:    templateDomains(domains),
		Services: []config.Service{
			templateService("orders", 5701, 6101, 15, domains, []config.Route{
				{Method: "PUT", PathPrefix: "/stock", Class: config.Urgent, Idempotent: true},
				{Method: "GET", PathPrefix: "/stock", Class: config.Urgent, Idempotent: true, Stream: true},
				{Method: "POST", PathPrefix: "/orders", Class: config.Urgent},
				{Method: "GET", PathPrefix: "/orders", Class: config.Normal, Idempotent: true},
				{Method: "GET", PathPrefix: "/reports", Class: config.Bulk, Idempotent: true},
			}),
			templateService("catalogue", 5702, 6201, 4, domains, []config.Route{
				{Method: "GET", PathPrefix: "/", Class: config.Normal, Idempotent: true},
				{Method: "GET", PathPrefix: "/images", Class: config.Bulk, Idempotent: true},
				{Method: "PUT", PathPrefix: "/items", Class: config.Normal, Idempotent: true},
			}),
		},
	}
}

func hearthwhisker() *Answers {
	domains := []string{"austin", "waco", "temple", "round-rock"}
	return &Answers{
		Deployment: "hearthwhisker",
		Domains:    templateDomains(domains),
		Services: []config.Service{
			templateService("suite-watch", 5711, 6301, 15, domains, []config.Route{
				{Method: "GET", PathPrefix: "/temperature", Class: config.Urgent, Idempotent: true, Stream: true},
				{Method: "PUT", PathPrefix: "/temperature", Class: config.Urgent, Idempotent: true},
				{Method: "POST", PathPrefix: "/heater", Class: config.Urgent},
				{Method: "GET", PathPrefix: "/suites", Class: config.Normal, Idempotent: true},
			}),
			templateService("ledger-vault", 5712, 6401, 4, domains, []config.Route{
				{Method: "GET", PathPrefix: "/archive", Class: config.Bulk, Idempotent: true},
				{Method: "POST", PathPrefix: "/entries", Class: config.Normal},
			}),
		},
	}
}

func templateDomains(names []string) []config.Domain {
	list := make([]config.Domain, len(names))
	for i, name := range names {
		list[i] = config.Domain{Name: name, Weight: DefaultDomainWeight}
	}
	return list
}

func templateService(name string, port, firstHostPort uint16, hosts int, domains []string, routes []config.Route) config.Service {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	s := config.Service{
		Name: name, Address: netip.AddrPortFrom(loopback, port),
		DefaultDeadline: 2000, MaxDeadline: 10_000, MaxRequestBytes: DefaultMaxRequestBytes,
		MinShares: [config.NumClasses]uint32{20, 10, 5}, Routes: routes,
	}
	for i := range hosts {
		s.BackendServers = append(s.BackendServers, config.BackendServer{
			Name:    fmt.Sprintf("%s-%02d", name, i+1),
			Domain:  domains[i%len(domains)],
			Address: netip.AddrPortFrom(loopback, firstHostPort+uint16(i)),
			Slots:   DefaultSlots, Connections: DefaultConnections,
			Weight: templateSpeeds[i%len(templateSpeeds)], WarmUp: 10_000,
			HealthPath: DefaultHealthPath, LoadPath: DefaultLoadPath,
		})
	}
	return s
}
