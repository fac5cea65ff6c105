package forwarding

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// script runs the commands of a testdata file against an engine.
type script struct {
	e   *Engine
	now time.Duration
	rev uint64
	out strings.Builder

	recordsOutdated bool
}

func newScript() *script {
	s := new(script)
	s.e = New(Config{Domain: "a", CookieLifetime: 2 * time.Minute, MaxFlows: 1000, NewFlowsPerPrefix: 500, Seed: 1, RecordsCurrent: func() bool { return !s.recordsOutdated }})
	s.e.SetComplete()
	s.e.outdatedAt = -claimLifetime // the instance has run for a while
	return s
}

// Guards against wrong decisions about single packets, servers and flows. The head of each
// file under testdata names the failure that it reproduces.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScript()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.out.Reset()
			for line := range strings.Lines(d.Input) {
				s.run(t, strings.Fields(line))
			}
			return s.out.String()
		})
	})
}

// run executes one command: a word followed by name=value arguments, or by a time for at and paused_until.
func (s *script) run(t *testing.T, words []string) {
	if len(words) == 0 {
		return
	}
	args := make(map[string]string)
	for _, w := range words[1:] {
		name, value, _ := strings.Cut(w, "=")
		args[name] = value
	}
	switch words[0] {
	case "at":
		s.advance(t, words[1])
	case "paused_until":
		s.now = parseTime(t, words[1])
	case "config":
		s.configure(t, args)
	case "server":
		s.rev++
		s.actions(s.e.PutServer(s.now, s.server(t, args)))
	case "remove":
		s.rev++
		s.actions(s.e.RemoveServer(s.now, s.server(t, args)))
	case "packet":
		s.packet(t, args)
	case "flood":
		s.flood(t, args)
	case "probe_result":
		s.probeResult(t, args)
	case "records":
		s.recordsOutdated = args["outdated"] != ""
	case "suspect":
		s.actions(s.e.Suspect(s.now, uint32(number(t, args["cookie"]))))
	case "least_loaded":
		s.e.SetLeastLoadedServers(s.now, args["domain"], []Load{{Cookie: uint32(number(t, args["cookie"])), Rate: float64(number(t, args["rate"]))}})
	case "load":
		s.e.SetPeerLoads(s.now, "peer", []Load{{Cookie: uint32(number(t, args["cookie"])), Rate: float64(number(t, args["rate"]))}})
	default:
		t.Fatalf("unknown command %s", words[0])
	}
}

func number(t *testing.T, text string) uint64 {
	var n uint64
	if text == "" {
		return 0
	}
	if _, err := fmt.Sscan(text, &n); err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	return n
}

// advance runs the ticks until a time.
func (s *script) advance(t *testing.T, text string) {
	for to := parseTime(t, text); s.now < to; {
		s.now = min(s.now+10*time.Millisecond, to)
		s.actions(s.e.Tick(s.now))
	}
}

func parseTime(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// flood opens flows from client ports 1001 and up and prints the number of decisions by
// reason.
func (s *script) flood(t *testing.T, args map[string]string) {
	counts := make(map[string]int)
	for i := range number(t, args["flows"]) {
		k := FlowKey{Client: uint32(number(t, args["prefix"]))<<8 + uint32(i%200), ClientPort: uint16(1001 + i), Service: 10, ServicePort: 443}
		d, actions := s.e.Packet(s.now, Packet{Flow: k, Open: true}, []byte("raw"))
		counts[d.Reason.String()]++
		s.actions(actions)
	}
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		s.printf("%d %s\n", counts[reason], reason)
	}
}

// configure applies a configuration with up to two routes, each given as
// PORT:KIND:SERVICE[,SERVICE...]. The services of a route have equal weights.
func (s *script) configure(t *testing.T, args map[string]string) {
	c := Configuration{Version: number(t, args["version"]), HealthPaths: map[string]string{"orders": "/health"}}
	kinds := []string{"idempotent", "non_idempotent", "download"}
	for _, name := range []string{"route", "route2"} {
		if args[name] == "" {
			continue
		}
		part := strings.SplitN(args[name], ":", 3)
		r := Route{Address: 10, Port: uint16(number(t, part[0])), Kind: RouteKind(slices.Index(kinds, part[1]))}
		for service := range strings.SplitSeq(part[2], ",") {
			r.Services = append(r.Services, ServiceWeight{Service: service, Weight: 1})
		}
		c.Routes = append(c.Routes, r)
	}
	s.printf("in force: %v\n", s.e.Configure(s.now, &c))
}

func (s *script) server(t *testing.T, args map[string]string) Server {
	domain := args["domain"]
	if domain == "" {
		domain = "a"
	}
	service := args["service"]
	if service == "" {
		service = "orders"
	}
	sequence := s.rev
	if text, ok := args["sequence"]; ok {
		sequence = number(t, text)
	}
	return Server{
		Name: args["id"], ID: number(t, args["id"]), Service: service, Domain: domain, Slots: 2,
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number(t, args["host"]))}), 80),
		Draining: args["draining"] != "", StartedAt: int64(number(t, args["started"])), Sequence: sequence, Revision: s.rev, Unconfirmed: args["unconfirmed"] != "",
	}
}

// address returns the address of the server with a number; the zero address without one.
func (s *script) address(t *testing.T, host string) netip.AddrPort {
	if host == "" {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number(t, host))}), 80)
}

// packet sends a packet from the client port in client to the service port in port (443 by
// default) with the given header fields.
func (s *script) packet(t *testing.T, args map[string]string) {
	port := number(t, args["port"])
	if port == 0 {
		port = 443
	}
	_, syn := args["syn"]
	_, fin := args["fin"]
	p := Packet{
		Flow:   FlowKey{Client: 7, ClientPort: uint16(number(t, args["client"])), Service: 10, ServicePort: uint16(port)},
		Cookie: uint32(number(t, args["cookie"])), Sequence: uint32(number(t, args["seq"])), Acknowledgement: uint32(number(t, args["ack"])),
		Length: uint16(number(t, args["len"])), Open: syn, Acknowledges: !syn, Finish: fin,
	}
	d, actions := s.e.Packet(s.now, p, []byte("raw"))
	s.printf("%s: %s\n", []string{"drop", "forward", "reset"}[d.Verdict], describe(d))
	s.actions(actions)
}

func describe(d Decision) string {
	if d.Verdict == Forward {
		if host := d.Target.Address.Addr().As4()[3]; uint64(host) != d.Target.ID {
			return fmt.Sprintf("%s to %d at %d", d.Reason, d.Target.ID, host)
		}
		return fmt.Sprintf("%s to %d", d.Reason, d.Target.ID)
	}
	return d.Reason.String()
}

func (s *script) probeResult(t *testing.T, args map[string]string) {
	outcomes := []string{"answered", "refused", "silent", "mute", "other"}
	elapsed := 2 * time.Millisecond
	_, stalled := args["stalled"]
	references := []string{"", "answered", "late"}
	s.actions(s.e.ApplyProbeResult(s.now, args["id"], ProbeResult{
		Outcome: ProbeOutcome(slices.Index(outcomes, args["outcome"])), Elapsed: elapsed, Stalled: stalled,
		Reference:   ReferenceOutcome(slices.Index(references, args["reference"])),
		Incarnation: uint32(number(t, args["incarnation"])), Answerer: args["answerer"], Address: s.address(t, args["at"]),
	}))
}

func (s *script) actions(actions []Action) {
	// Flows of a server are reset in map order.
	slices.SortStableFunc(actions, func(a, b Action) int {
		if a.Kind == SendReset && b.Kind == SendReset {
			return int(a.Flow.ClientPort) - int(b.Flow.ClientPort)
		}
		return 0
	})
	for _, a := range actions {
		switch a.Kind {
		case SendReset:
			s.printf("%v reset client %d seq %d\n", s.now, a.Flow.ClientPort, a.Sequence)
		case SendPacket:
			s.printf("%v move client %d to %d\n", s.now, a.Flow.ClientPort, a.Target.ID)
		case ReportToPeers:
			s.printf("%v report %s to peers\n", s.now, a.Server)
		case Probe:
			s.printf("%v probe %s", s.now, a.Server)
			if a.Reference.ID != 0 {
				s.printf(" reference %d", a.Reference.ID)
			}
			s.printf("\n")
		}
	}
}

func (s *script) printf(format string, args ...any) { fmt.Fprintf(&s.out, format, args...) }
