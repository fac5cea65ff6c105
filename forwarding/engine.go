package forwarding

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
)

const (
	// defaultIdleTimeout applies until a configuration states another one.
	defaultIdleTimeout = 15 * time.Second
	// pendingLifetime is how long a client waits for the answer to its opening packets.
	pendingLifetime = 1400 * time.Millisecond
	// closingLifetime keeps a finished flow's server for repeated packets.
	closingLifetime = 2 * time.Second
	// expiryBatch bounds the flows looked at per tick, so that a tick stays short with
	// a full table.
	expiryBatch = 2000
	// prefixBurst is the number of seconds for which a source prefix may save up new flows:
	// after a failure all of its clients open flows again at once.
	prefixBurst = 2
	// prefixEntries bounds the table of source prefixes to 32 KB.
	prefixEntries = 2048
	// forgetInterval is the time between passes over servers that left.
	forgetInterval = 10 * time.Second
)

// Config describes an engine.
type Config struct {
	Domain         string        // own failure domain
	CookieLifetime time.Duration // how long a server that left stays known
	MaxFlows       int           // flows beyond this number are forwarded without evidence
	// NewFlowsPerPrefix limits the new flows per second from one source prefix, with a burst
	// of twice as many; 0 for no limit.
	NewFlowsPerPrefix int
	Seed              uint64
}

// Engine holds the state of one instance.
type Engine struct {
	cfg          Config
	rng          *rand.Rand
	version      uint64
	configured   bool
	configuredAt time.Duration // of the first configuration
	idleTimeout  time.Duration
	routes       map[routeKey]*route
	retired      map[routeKey]*route // routes of earlier versions, for their open flows
	services     map[string]*service
	servers      map[string]*server
	byCookie     map[uint32][]*server
	flows        map[FlowKey]*flow
	free         []*flow
	pending      []pendingOpen // in the order of their times
	nextForget   time.Duration
	busy         map[*server]struct{} // servers with requests under way
	doubted      map[*server]struct{} // servers that are not trusted
	active       map[*server]struct{} // servers with a rate of requests
	failed       map[*server]struct{} // servers at which requests failed lately
	unsent       []uint32             // cookies of failures that peers do not know yet
	tickedAt     time.Duration
	runningSince time.Duration // since when no pause between two ticks was long
	byAddress    map[netip.AddrPort][]*server

	peerLoads map[string]peerLoads
	handshake float64 // usual time of a handshake in nanoseconds
	nextRates time.Duration

	prefixes *admission.PrefixLimiter // nil without a limit

	lastQuick   time.Duration // last quick answer of any server
	quickServer *server
	otherQuick  time.Duration // last quick answer of a server other than quickServer
}

// pendingOpen keeps an opening packet until its flow is open.
type pendingOpen struct {
	flow   *flow
	key    FlowKey
	packet []byte
	at     time.Duration
}

// New returns an engine without configuration.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		idleTimeout: defaultIdleTimeout,
		routes:      make(map[routeKey]*route),
		retired:     make(map[routeKey]*route),
		services:    make(map[string]*service),
		servers:     make(map[string]*server),
		byCookie:    make(map[uint32][]*server),
		flows:       make(map[FlowKey]*flow),
		busy:        make(map[*server]struct{}),
		doubted:     make(map[*server]struct{}),
		active:      make(map[*server]struct{}),
		failed:      make(map[*server]struct{}),
		byAddress:   make(map[netip.AddrPort][]*server),
		peerLoads:   make(map[string]peerLoads),
		handshake:   float64(priorHandshake),
	}
	if n := cfg.NewFlowsPerPrefix; n > 0 {
		e.prefixes = admission.NewPrefixLimiter(float64(n), prefixBurst*n, prefixEntries, cfg.Seed, instant(0))
	}
	return e
}

// instant converts an engine's time for packages that use time.Time.
func instant(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

// Packet decides on a client's packet. raw is the packet itself; the engine keeps a copy
// of an opening packet so that it can be sent to another server.
func (e *Engine) Packet(now time.Duration, p Packet, raw []byte) (Decision, []Action) {
	if !e.configured {
		return Decision{Verdict: Drop, Reason: NotServing}, nil
	}
	if p.Open {
		return e.openFlow(now, p, raw)
	}
	return e.continueFlow(now, p)
}

func (e *Engine) openFlow(now time.Duration, p Packet, raw []byte) (Decision, []Action) {
	r := e.routes[routeKey{p.Flow.Service, p.Flow.ServicePort}]
	if r == nil {
		return Decision{Verdict: ResetFlow, Reason: NoRoute}, nil
	}
	f := e.flows[p.Flow]
	if f != nil && f.state == opening && (f.server.evidence.state <= suspected) {
		if !f.server.progressedAfter(f.sentAt) {
			f.server.evidence.repeats++
		}
		return Decision{Verdict: Forward, Reason: ByFlow, Target: f.server.target()}, nil
	}
	if e.prefixes != nil {
		if ok, _ := e.prefixes.Allow(instant(now), p.Flow.ClientAddr()); !ok {
			return Decision{Verdict: ResetFlow, Reason: PrefixLimited}, nil
		}
	}
	actions := e.suspectRefusals(now, p.Flow)
	s := e.choose(now, r)
	if s == nil {
		return Decision{Verdict: ResetFlow, Reason: NoServer}, actions
	}
	if f != nil {
		e.drop(f)
	}
	if len(e.flows) < e.cfg.MaxFlows {
		f = e.track(now, p.Flow, s, r.kind)
		e.expect(s)
		e.pending = append(e.pending, pendingOpen{flow: f, key: f.key, packet: append([]byte(nil), raw...), at: now})
	}
	return Decision{Verdict: Forward, Reason: Chosen, Target: s.target()}, actions
}

func (e *Engine) continueFlow(now time.Duration, p Packet) (Decision, []Action) {
	f := e.flows[p.Flow]
	reason, tracked := ByFlow, false
	var handshake time.Duration
	if f == nil || f.state == opening {
		s, verdict := e.byPacket(now, p)
		if s == nil && f == nil {
			return Decision{Verdict: Drop, Reason: verdict}, nil
		}
		reason = ByCookie
		if f == nil {
			if len(e.flows) >= e.cfg.MaxFlows {
				return Decision{Verdict: Forward, Reason: ByCookie, Target: s.target()}, nil
			}
			f, tracked = e.track(now, p.Flow, s, e.kind(p.Flow)), true
		} else if s != nil {
			// The client answers the server whose cookie it returns.
			e.assign(f, s)
		}
		elapsed := unknownTime
		if f.state == opening && !tracked && p.Acknowledges {
			handshake = now - duration(f.sentAt)
			elapsed = handshake
			e.handshake += (float64(elapsed) - e.handshake) * handshakeGain
		}
		f.state, f.ack, f.seq = open, p.Acknowledgement, p.Sequence
		e.progress(now, f.server, elapsed)
	}
	d := Decision{Verdict: Forward, Reason: reason, Target: f.server.target(), Handshake: handshake}
	var actions []Action
	d.Response, actions = e.observe(now, f, p)
	if e.resettable(now, f) {
		d.Verdict, d.Reason = ResetFlow, ServerDead
		s := f.server
		e.drop(f)
		actions = append(actions, e.resetOthers(now, s)...)
	}
	return d, actions
}

// byPacket returns the server that the packet's cookie names, if a version of the
// configuration let the packet's route use its service. A route that is not known yet
// does not speak against the server, because this instance may lag behind.
func (e *Engine) byPacket(now time.Duration, p Packet) (*server, Reason) {
	same := e.byCookie[p.Cookie]
	if len(same) == 0 || p.Cookie == 0 {
		return nil, UnknownCookie
	}
	k := routeKey{p.Flow.Service, p.Flow.ServicePort}
	r := e.routes[k]
	if r == nil {
		r = e.retired[k]
	}
	// After a start, the services that a route had before are not known.
	historyKnown := now-e.configuredAt >= e.cfg.CookieLifetime
	if r == nil {
		return same[0], ByCookie
	}
	for _, s := range same {
		if !historyKnown || r.allows(s.service) {
			return s, ByCookie
		}
	}
	return nil, OtherService
}

func (e *Engine) kind(k FlowKey) Kind {
	if r := e.routes[routeKey{k.Service, k.ServicePort}]; r != nil {
		return r.kind
	}
	if r := e.retired[routeKey{k.Service, k.ServicePort}]; r != nil {
		return r.kind
	}
	return NonIdempotent // the kind that nothing may be assumed of
}

// Tick does what time alone brings about. It is due about every 50 ms.
func (e *Engine) Tick(now time.Duration) []Action {
	if now-e.tickedAt > runGap {
		e.runningSince = now
	}
	e.tickedAt = now
	actions := append(e.checkPending(now), e.checkSilence(now)...)
	for s := range e.doubted {
		v := &s.evidence
		if s.listed && !v.replaced && !v.probing && now >= v.nextProbe {
			actions = append(actions, e.probe(s)...)
		}
	}
	e.expire(now)
	e.expirePeerLoads(now)
	actions = append(actions, e.measureRates(now)...)
	if now >= e.nextForget {
		e.nextForget = now + forgetInterval
		e.forgetServers(now)
	}
	return actions
}

// checkPending suspects the servers of opening packets that stay without an answer.
func (e *Engine) checkPending(now time.Duration) []Action {
	var actions []Action
	kept := e.pending[:0]
	for _, p := range e.pending {
		f := p.flow
		if f.key != p.key || f.state != opening || now-p.at > pendingLifetime {
			continue
		}
		kept = append(kept, p)
		if now-duration(f.sentAt) >= e.openSuspectAfter() && !f.server.progressedAfter(f.sentAt) {
			actions = append(actions, e.suspect(now, f.server)...)
		}
	}
	clear(e.pending[len(kept):])
	e.pending = kept
	return actions
}

// Stats are figures for metrics.
type Stats struct {
	Flows, Waiting, Listed, Usable, Failing int
	Version                                 uint64
}

// Stats returns the present figures.
func (e *Engine) Stats() Stats {
	out := Stats{Flows: len(e.flows), Version: e.version}
	for _, s := range e.servers {
		out.Waiting += int(s.waiting)
		if s.listed {
			out.Listed++
		}
		if s.usable() {
			out.Usable++
		}
		if s.failures.reported {
			out.Failing++
		}
	}
	return out
}
