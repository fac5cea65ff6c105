package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/monsoonthread/monsoonthread/internal/standin/kvservice"
	"github.com/monsoonthread/monsoonthread/membership"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
	"github.com/monsoonthread/monsoonthread/questionnaire"
	"github.com/monsoonthread/monsoonthread/result"
)

// fakeInstance implements the Operator service of one entry instance.
type fakeInstance struct {
	peerpb.UnimplementedOperatorServer
	self    *peerpb.Member
	version atomic.Uint64
	domains []*peerpb.DomainSummary
	events  []*peerpb.Event
}

func (i *fakeInstance) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	return &peerpb.StatusReply{Self: i.self, Ready: true, Domains: i.domains, ConfigVersion: i.version.Load(),
		Servers: []*peerpb.ServerStatus{{Name: "orders-01", Service: "orders", State: "active", Role: "dispatcher", Slots: 2}}}, nil
}

func (i *fakeInstance) Timeline(_ context.Context, r *peerpb.TimelineRequest) (*peerpb.TimelineReply, error) {
	reply := &peerpb.TimelineReply{}
	for _, e := range i.events {
		if e.Hlc > r.AfterHlc && len(reply.Events) < int(r.Limit) {
			reply.Events = append(reply.Events, e)
		}
	}
	return reply, nil
}

func startInstance(t *testing.T, id, domain string, version uint64) *fakeInstance {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	i := &fakeInstance{self: &peerpb.Member{Id: id, Domain: domain, PeerAddress: l.Addr().String()}}
	i.version.Store(version)
	s := grpc.NewServer()
	peerpb.RegisterOperatorServer(s, i)
	go s.Serve(l)
	t.Cleanup(s.Stop)
	return i
}

// addKnownMembers adds all given instances to the member list of the first.
func addKnownMembers(instances ...*fakeInstance) {
	for _, i := range instances {
		instances[0].domains = append(instances[0].domains, &peerpb.DomainSummary{Name: i.self.Domain, Members: []*peerpb.Member{i.self}})
	}
}

// cliTest runs commands with one working directory and environment and captures their output.
type cliTest struct {
	t        *testing.T
	dir      string
	env      map[string]string
	out, err bytes.Buffer
}

func newCLITest(t *testing.T) *cliTest {
	return &cliTest{t: t, dir: t.TempDir(), env: map[string]string{"MONSOONTHREAD_CALL_TIMEOUT": "1s"}}
}

func (c *cliTest) path(name string) string { return filepath.Join(c.dir, name) }

// run executes a command and fails the test unless it exits with code and its output or
// error output contains want.
func (c *cliTest) run(code int, want string, args ...string) {
	c.t.Helper()
	c.out.Reset()
	c.err.Reset()
	got := Main(context.Background(), Env{Args: args, In: strings.NewReader(""), Out: &c.out, Err: &c.err,
		Getenv: func(name string) string { return c.env[name] }})
	if got != code || !strings.Contains(c.out.String()+c.err.String(), want) {
		c.t.Fatalf("%v: exit code %d, want %d and %q; output:\n%s%s", args, got, code, want, &c.out, &c.err)
	}
}

func (c *cliTest) withStore() *kvservice.Service {
	store := kvservice.New(1, time.Now)
	server := httptest.NewServer(store.Handler())
	c.t.Cleanup(server.Close)
	c.env["MONSOONTHREAD_STORE_URL"] = server.URL
	return store
}

// proposal generates a proposal file without a store and returns its path.
func (c *cliTest) proposal() string {
	answers, err := questionnaire.Parse(questionnaire.Template("bellefleur"))
	if err != nil {
		c.t.Fatal(err)
	}
	generated, err := questionnaire.Generate(answers, nil)
	if err == nil {
		err = newProposal("bellefleur", 0, generated).write(c.path("proposal"))
	}
	if err != nil {
		c.t.Fatal(err)
	}
	return c.path("proposal")
}

func (c *cliTest) writeQuestionnaire(replacements ...string) {
	b := strings.NewReplacer(replacements...).Replace(string(questionnaire.Template("bellefleur")))
	if err := os.WriteFile(c.path("q.yaml"), []byte(b), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// Guards against steps from questionnaire to accept that do not work together, against a
// conflicting accept that is not reported as a conflict, and against wrong exit codes.
func TestProposalsAreAcceptedOrRejected(t *testing.T) {
	c := newCLITest(t)
	store := c.withStore()
	c.run(ExitOK, "", "questionnaire", "new", "--template", "bellefleur", "--file", c.path("q.yaml"))
	c.run(ExitError, "[601] write questionnaire", "questionnaire", "new", "--template", "bellefleur", "--file", c.path("q.yaml"))
	c.run(ExitOK, "bellefleur: no mistakes (3 failure domains, 2 services)", "questionnaire", "check", c.path("q.yaml"))
	c.run(ExitOK, "proposal for version 1", "questionnaire", "generate", c.path("q.yaml"), "--file", c.path("first"))
	c.run(ExitOK, "+ service orders (address 127.0.0.1:5701, 15 backend servers)", "questionnaire", "diff", c.path("first"))
	store.SetFaults(kvservice.Faults{LoseNextAnswers: 3})
	c.run(ExitOK, "accepted as version 1", "questionnaire", "accept", c.path("first"))
	c.run(ExitOK, "accepted as version 1", "questionnaire", "accept", c.path("first"))
	c.run(ExitError, "[407]", "questionnaire", "reject", c.path("first"))

	c.writeQuestionnaire("relative_speed: 8", "relative_speed: 7.5")
	c.run(ExitOK, "~ service orders backend server orders-04: relative speed 800% -> 750%",
		"questionnaire", "generate", c.path("q.yaml"), "--file", c.path("second"))
	c.writeQuestionnaire("max_deadline: 10s", "max_deadline: 20s")
	c.run(ExitOK, "proposal for version 2", "questionnaire", "generate", c.path("q.yaml"), "--file", c.path("third"))
	c.run(ExitOK, "accepted as version 2", "questionnaire", "accept", c.path("second"))
	c.run(ExitConflict, "~ service catalogue: max deadline 10000 ms -> 20000 ms", "questionnaire", "accept", c.path("third"))
	c.run(ExitConflict, `"code": 402`, "questionnaire", "accept", c.path("third"), "--output", "json")

	c.run(ExitOK, "proposal for version 3", "questionnaire", "generate", c.path("q.yaml"), "--file", c.path("fourth"))
	c.run(ExitOK, "rejected", "questionnaire", "reject", c.path("fourth"))
	if _, err := os.Stat(c.path("fourth")); !os.IsNotExist(err) {
		t.Fatal("the rejected proposal still exists")
	}
	c.run(ExitOK, "proposal for version 3", "questionnaire", "generate", c.path("q.yaml"), "--file", c.path("fifth"))
	store.SetFaults(kvservice.Faults{Outage: true})
	c.run(ExitError, "[501]", "questionnaire", "accept", c.path("fifth"), "--timeout", "300ms")
}

// Guards against errors of a questionnaire that are missing from the text or JSON output.
func TestCheckReportsMistakes(t *testing.T) {
	c := newCLITest(t)
	c.writeQuestionnaire("slots: 2", "slots: two")
	c.run(ExitError, `line 43: services[0].hosts[0].slots: "two" is not allowed; allowed: whole number from 1 to 1024`,
		"questionnaire", "check", c.path("q.yaml"))
	c.run(ExitError, "[401] questionnaire has 19 mistakes", "questionnaire", "check", c.path("q.yaml"))
	c.run(ExitError, "", "questionnaire", "check", c.path("q.yaml"), "-o", "json")
	var report errorOutput
	if err := json.Unmarshal(c.err.Bytes(), &report); err != nil || report.Code != 401 || len(report.Mistakes) != 19 || report.Mistakes[0].Line != 43 {
		t.Fatalf("%v: %+v", err, report)
	}
}

// Guards against invalid command lines that are not rejected as usage errors.
func TestUsageErrors(t *testing.T) {
	c := newCLITest(t)
	for _, args := range [][]string{
		{}, {"bogus"}, {"questionnaire"}, {"questionnaire", "bogus"}, {"status", "extra"}, {"status", "--bogus"}, {"status"},
		{"version", "--output", "xml"}, {"questionnaire", "check"}, {"questionnaire", "generate", os.DevNull, "--call-timeout", "-1s"},
		{"in-force", "--instances", "not-an-address"}, {"questionnaire", "new", "--template", "other"},
	} {
		c.run(ExitUsage, "monsoonctl: [601]", args...)
	}
	// Incomplete TLS files must not lead to connections without TLS.
	c.run(ExitError, "[601] mutual TLS needs", "status", "--instances", "127.0.0.1:1", "--tls-cert", "x")
	c.run(ExitError, "[601] mutual TLS needs", "questionnaire", "diff", c.proposal(), "--store-url", "https://127.0.0.1:1", "--tls-ca", "x")
	c.env["MONSOONTHREAD_OUTPUT"] = "json"
	c.run(ExitOK, `"go": "go`, "version")
	c.run(ExitOK, "monsoonctl ", "version", "--output", "text") // a flag takes precedence over the environment
	c.env["MONSOONTHREAD_CALL_TIMEOUT"] = "soon"
	c.run(ExitUsage, "MONSOONTHREAD_CALL_TIMEOUT", "version")
	delete(c.env, "MONSOONTHREAD_CALL_TIMEOUT")
	c.run(ExitOK, "bash completion", "completion", "bash", "--output", "text")
}

// Guards against a version that is reported as in force although an instance lags, and
// against a wait that is blocked by an unreachable failure domain.
func TestInForce(t *testing.T) {
	c := newCLITest(t)
	a, b, remote := startInstance(t, "a", "laval", 5), startInstance(t, "b", "levis", 4), &fakeInstance{}
	remote.self = &peerpb.Member{Id: "far", Domain: "sherbrooke", PeerAddress: "127.0.0.1:1", ConfigVersion: 4, State: uint32(membership.Alive)}
	dead := &fakeInstance{self: &peerpb.Member{Id: "dead", Domain: "levis", PeerAddress: "127.0.0.1:2", State: uint32(membership.Dead)}}
	addKnownMembers(a, b, remote, dead)
	// The version in a heartbeat can also be higher than the one in the instance's own reply.
	a.domains[1].Members[0].ConfigVersion = 5
	c.env["MONSOONTHREAD_INSTANCES"] = a.self.PeerAddress

	c.run(ExitOK, "version 5 is not in force everywhere", "in-force")
	for _, line := range []string{"laval           5            1          -        -", "levis           4            1          b (4)    -", "sherbrooke      unreachable  1          -        far (4)"} {
		if !strings.Contains(c.out.String(), line) {
			t.Fatalf("no line %q in\n%s", line, &c.out)
		}
	}
	c.run(ExitNotInForce, "[404] version 5 is not in force in time", "in-force", "--wait", "--timeout", "100ms")
	time.AfterFunc(200*time.Millisecond, func() { b.version.Store(5) })
	c.run(ExitOK, "version 5 is in force at every reachable instance", "in-force", "--wait")
	if !strings.Contains(c.err.String(), "version 5: laval 1/1, levis 0/1, sherbrooke 0/1") {
		t.Fatalf("no progress line in\n%s", &c.err)
	}
	c.run(ExitNotInForce, "version 6", "in-force", "--wait", "--timeout", "100ms", "--version", "6")
	c.withStore()
	c.run(ExitOK, `"wanted": 5`, "in-force", "-o", "json")
	c.run(ExitOK, "127.0.0.1:1", "status")
	c.run(ExitOK, "orders   orders-01", "status")
	c.env["MONSOONTHREAD_INSTANCES"] = "127.0.0.1:1"
	c.run(ExitError, "[113]", "in-force")
}

// Guards against an accept under a version that is in force already: the store came back from an
// older copy, and the instances would ignore the change.
func TestAcceptWaitsForTheVersionInForce(t *testing.T) {
	c := newCLITest(t)
	c.withStore()
	a := startInstance(t, "a", "laval", 5)
	addKnownMembers(a)
	path := c.proposal()
	c.env["MONSOONTHREAD_INSTANCES"] = a.self.PeerAddress
	c.run(ExitError, "[404] version 5 is in force, but the store has version 0", "questionnaire", "accept", path)
	c.env["MONSOONTHREAD_INSTANCES"] = "127.0.0.1:1"
	c.run(ExitOK, "cannot compare with the version in force", "questionnaire", "accept", path)
	c.env["MONSOONTHREAD_INSTANCES"] = a.self.PeerAddress
	a.version.Store(1)
	c.run(ExitOK, "accepted as version 1", "questionnaire", "accept", path)
}

// Guards against events out of order, and against an undetected gap in the timeline when
// one instance returns only its first events.
func TestTimelineMergesByClock(t *testing.T) {
	c := newCLITest(t)
	a, b := startInstance(t, "a", "laval", 1), startInstance(t, "b", "levis", 1)
	addKnownMembers(a, b)
	event := func(hlc uint64, instance string) *peerpb.Event {
		return &peerpb.Event{Hlc: hlc << 16, Instance: instance, Name: "config_in_force", Fields: []string{"version=1"}}
	}
	a.events = []*peerpb.Event{event(1000, "a"), event(1003, "a"), event(1006, "a")}
	b.events = []*peerpb.Event{event(1001, "b"), event(1003, "b"), event(1004, "b"), event(1005, "b")}
	c.env["MONSOONTHREAD_INSTANCES"] = a.self.PeerAddress
	for limit, want := range map[string]string{"100": "ababbba", "3": "ababb"} {
		c.run(ExitOK, "1970-01-01T00:00:01.003Z", "timeline", "--limit", limit, "-o", "json")
		var r timelineResult
		if err := json.Unmarshal(c.out.Bytes(), &r); err != nil {
			t.Fatal(err)
		}
		got := ""
		for _, e := range r.Events {
			got += e.Instance
		}
		if got != want {
			t.Errorf("limit %s: %s, want %s", limit, got, want)
		}
	}
	c.run(ExitOK, "", "timeline", "--after", "65798144")
	if got := strings.Count(c.out.String(), "config_in_force version=1"); got != 2 {
		t.Fatalf("%d events after 1004:\n%s", got, &c.out)
	}
}

// Guards against an invalid proposal file that is decoded without an error, and against
// panics of the decoder.
func FuzzProposal(f *testing.F) {
	f.Add([]byte(`{"format":1,"accept_id":"a","config":{"domains":[{"name":"a","weight":1}]}}`))
	f.Add([]byte(`{"format":1,"accept_id":"a","config":null}`))
	f.Add([]byte(`{"format":1,"accept_id":"a","config":{"domains":[]}}`))
	f.Add([]byte(`{"format":2}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := decodeProposal(b)
		if err != nil {
			if result.CodeOf(err) != result.ConfigMalformed {
				t.Fatal(err)
			}
			return
		}
		if err := p.Config.Validate(); err != nil {
			t.Fatal(err)
		}
	})
}
