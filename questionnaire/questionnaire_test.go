package questionnaire

import (
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/monsoonthread/monsoonthread/config"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Guards against templates that Parse or Generate rejects, and against a template with a
// wrong number of hosts.
func TestTemplatesGenerateConfigurations(t *testing.T) {
	for _, name := range Templates {
		a, err := Parse(Template(name))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		c, err := Generate(a, nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		sizes := []int{len(a.Services[0].BackendServers), len(a.Services[1].BackendServers)}
		if diff := cmp.Diff([]int{15, 4}, sizes); diff != "" {
			t.Fatalf("%s: host counts: %s", name, diff)
		}
		b, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := config.Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		if changes := config.Diff(c, decoded); len(changes) > 0 {
			t.Fatalf("%s: decoding changed %v", name, changes)
		}
		t.Logf("%s: %d bytes", name, len(b))
	}
}

// drawAnswers draws a valid questionnaire.
func drawAnswers(t *rapid.T) *Answers {
	a := &Answers{Deployment: "d"}
	for i := range rapid.IntRange(1, 4).Draw(t, "domains") {
		a.Domains = append(a.Domains, config.Domain{Name: fmt.Sprint("domain", i), Weight: uint32(rapid.IntRange(1, 300).Draw(t, "weight"))})
	}
	port := uint16(0)
	address := func() netip.AddrPort {
		port++
		return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	}
	milliseconds := rapid.Map(rapid.Int64Range(1, int64(config.MaxWarmUp)), func(m int64) config.Milliseconds { return config.Milliseconds(m) })
	path := rapid.SampledFrom([]string{"", "/health", "/a/b"})
	for i := range rapid.IntRange(1, 4).Draw(t, "services") {
		s := config.Service{Name: fmt.Sprint("service", i), Address: address(), MaxRequestBytes: rapid.IntRange(1, 2000).Draw(t, "bytes")}
		s.DefaultDeadline = milliseconds.Draw(t, "default")
		s.MaxDeadline = max(s.DefaultDeadline, milliseconds.Draw(t, "max"))
		for j := range rapid.IntRange(1, 3).Draw(t, "requests") {
			s.Routes = append(s.Routes, config.Route{
				Method: "GET", PathPrefix: fmt.Sprint("/p", j), Class: config.Class(rapid.IntRange(0, 2).Draw(t, "class")),
				Idempotent: true, Stream: rapid.Bool().Draw(t, "stream"),
			})
		}
		for j := range rapid.IntRange(1, 5).Draw(t, "hosts") {
			s.BackendServers = append(s.BackendServers, config.BackendServer{
				Name: fmt.Sprintf("host%d-%d", i, j), Domain: a.Domains[j%len(a.Domains)].Name, Address: address(),
				Slots: rapid.IntRange(1, 10).Draw(t, "slots"), Connections: rapid.IntRange(1, 5000).Draw(t, "connections"),
				Weight: uint32(rapid.IntRange(1, config.MaxWeight).Draw(t, "speed")), WarmUp: milliseconds.Draw(t, "warm-up"),
				HealthPath: path.Draw(t, "health"), LoadPath: path.Draw(t, "load"), Leaving: rapid.Bool().Draw(t, "leaving"),
			})
		}
		a.Services = append(a.Services, s)
	}
	return a
}

// Guards against answers that change in a round trip through Format and Parse, for example
// a speed of 0.29 that becomes 28%.
func TestFormatParseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := drawAnswers(t)
		b, err := Format(a)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Parse(b)
		if err != nil {
			t.Fatalf("%v\n%s", err, b)
		}
		if diff := cmp.Diff(a, decoded, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Guards against service IDs that are reassigned when services are added, removed or
// reordered: packets of a flow would reach another service.
func TestServiceIDsAreStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nameByID := map[uint32]string{}
		removed := map[uint32]bool{}
		var previous *config.Config
		for range 6 {
			a := drawAnswers(t)
			a.Services = rapid.Permutation(a.Services).Draw(t, "order")
			c, err := Generate(a, previous)
			if err != nil {
				t.Fatal(err)
			}
			present := map[uint32]bool{}
			for _, s := range c.Services {
				if name, ok := nameByID[s.ID]; ok && (name != s.Name || removed[s.ID]) {
					t.Fatalf("ID %d of service %s was reused for service %s", s.ID, name, s.Name)
				}
				nameByID[s.ID], present[s.ID] = s.Name, true
			}
			for id := range nameByID {
				removed[id] = removed[id] || !present[id]
			}
			previous = c
		}
	})
}

// Guards against a documented example that Parse rejects, and against an undocumented
// field.
func TestDocumentationIsComplete(t *testing.T) {
	b, err := os.ReadFile("../docs/QUESTIONNAIRE.md")
	if err != nil {
		t.Fatal(err)
	}
	text := string(b)
	_, example, _ := strings.Cut(text, "```yaml\n")
	example, _, _ = strings.Cut(example, "```")
	if _, err := Parse([]byte(example)); err != nil {
		t.Error(err)
	}
	// Unknown-field mistakes list the allowed fields, so these entries yield every field.
	_, err = Parse([]byte("x: 1\nfailure_domains: [{x: 1}]\nservices: [{x: 1, min_shares: {x: 1}, requests: [{x: 1}], hosts: [{x: 1}]}]"))
	var mistakes *Errors
	if !errors.As(err, &mistakes) {
		t.Fatal(err)
	}
	fields := 0
	for _, m := range mistakes.List {
		if m.Problem != "unknown field" {
			continue
		}
		for _, field := range strings.Split(m.Allowed, ", ") {
			fields++
			if !strings.Contains(text, "`"+field+"`") {
				t.Errorf("field %s is not documented", field)
			}
		}
	}
	if fields != 31 {
		t.Errorf("found %d fields, want 31", fields)
	}
}
