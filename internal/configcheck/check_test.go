package configcheck

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Guards against a mistake or a difference that is not reported, reported at another entry or field, or
// reported although there is none. The command "check" examines the configuration in its input, and
// compares it with the one after a line "in force:", if there is one.
func TestFindingsAndDifferences(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if strings.Contains(path, "fuzz") {
			return
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var servers Servers
			for _, arg := range d.CmdArgs {
				switch arg.Key {
				case "slots":
					servers.Slots, _ = strconv.Atoi(arg.Vals[0])
				case "service-time":
					servers.ServiceTime, _ = time.ParseDuration(arg.Vals[0])
				}
			}
			text, before, compare := strings.Cut(d.Input, "in force:\n")
			var inForce *Configuration
			if compare {
				var mistakes []Finding
				if inForce, mistakes = Decode([]byte(before)); mistakes != nil {
					d.Fatalf(t, "in force: %v", mistakes)
				}
			}
			c, findings := Decode([]byte(text))
			var out strings.Builder
			if c != nil {
				findings = Check(c, inForce, servers)
			}
			for _, f := range findings {
				fmt.Fprintln(&out, f)
			}
			if c != nil && compare {
				for _, change := range Diff(inForce, c) {
					fmt.Fprintln(&out, change)
				}
			}
			if out.Len() == 0 {
				return "no findings\n"
			}
			return out.String()
		})
	})
}

// Guards against input that crashes the check, errors without a code or reason, and differences
// between a configuration and itself.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(`{"version":1,"routes":[{"host":"198.18.0.1","prefix":"/1/","service":"a","priority":1}],"services":[{"name":"a","maxConns":5,"coldStartS":2,"coldPerS":1}],"limits":{"idleTimeoutMs":15000}}`))
	f.Add([]byte(`{"version":1,"routes":[{"host":"198.18.0.1","prefix":"/1/","trafficSplit":[{"service":"a","weight":0}],"priority":-1}],"services":[{"name":"a"},{"name":"a"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, findings := Decode(b)
		if c == nil {
			if len(findings) == 0 {
				t.Error("rejected without a finding")
			}
		} else {
			findings = Check(c, c, Servers{Slots: 2, ServiceTime: time.Second})
			if changes := Diff(c, c); len(changes) > 0 {
				t.Errorf("differs from itself: %v", changes)
			}
		}
		for _, f := range findings {
			if f.Code == 0 || f.Reason == "" {
				t.Errorf("%+v", f)
			}
		}
	})
}
