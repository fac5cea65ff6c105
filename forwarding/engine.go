package forwarding

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
)

const (
	// defaultIdleTimeout applies unless the configuration sets a timeout.
	defaultIdleTimeout = 15 * time.Second
	// pendingLifetime is how long a client waits for an answer to its opening packets.
	pendingLifetime = 1400 * time.Millisecond
	// closingLifetime is how long a finished flow is kept for retransmitted packets.
	closingLifetime = 2 * time.Second
	// expiryBatch bounds the flows examined per tick, so that a tick stays short with a full
	// table.
	expiryBatch = 2000
	// prefixBurst is the burst of new flows per source prefix, in seconds of its rate: after
	// a failure, all clients of a prefix reopen their flows at once.
	prefixBurst = 2
	// prefixEntries bounds the table of source prefixes to 32 KB.
	prefixEntries = 2048
	// maxAdvance bounds the distance between the sequence numbers of successive packets of a flow that all
	// pass this instance. A client has at most 16 packets of 1,200 bytes in flight.
	maxAdvance = 1 << 16
	// forgetInterval is the time between passes that delete servers without a record.
	forgetInterval = 10 * time.Second
)

// Config describes an engine.
type Config struct {
	Domain         string        // failure domain of this instance
	CookieLifetime time.Duration // how long a server stays known after its record vanished
	MaxFlows       int           // flows beyond this number are forwarded without tracking
	// NewFlowsPerPrefix limits the new flows per second from one source prefix, with a burst
	// of twice as many; 0 for no limit.
	NewFlowsPerPrefix int
	// Settles reports whether this instance probes the server with the cookie for its failure
	// domain. If nil, the instance probes every server that it suspects.
	Settles func(cookie uint32) bool
	// RecordsCurrent reports whether the records include every change up to less than the bound on
	// draining ago. If nil, they always do.
	RecordsCurrent func() bool
	// ColdStart limits the opening packets to cold servers.
	ColdStart ColdStart
	// OwnsColdStart reports whether this instance sends the opening packets to the server with the
	// cookie while it is cold. If nil, it does.
	OwnsColdStart func(cookie uint32) bool
	Seed          uint64
}

// Engine holds the forwarding state of one instance.
type Engine struct {
	cfg                Config
	rng                *rand.Rand
	version            uint64
	configured         bool
	complete           bool          // the records include all servers and the current configuration
	configuredAt       time.Duration // time of the first configuration
	idleTimeout        time.Duration
	routes             map[routeKey]*route
	retired            map[routeKey]*route // routes that the version in force lacks, for their open flows
	services           map[string]*service
	servers            map[string]*server
	byCookie           map[uint32][]*server
	flows              map[FlowKey]*flow
	free               []*flow
	pending            []pendingOpen // opening packets of flows that are not open yet, ordered by time
	nextForget         time.Duration
	busyServers        map[*server]struct{} // servers with pending requests
	untrustedServers   map[*server]struct{} // servers that are not trusted
	activeServers      map[*server]struct{} // servers with a nonzero request rate
	failedServers      map[*server]struct{} // servers with recent failures
	claimants          map[*server]struct{} // servers with a claim
	coldServers        map[*server]struct{} // servers that are cold, with a limit on cold starts
	outdatedAt         time.Duration        // last time that the records were not known to be current; at first the start
	unreportedFailures []uint32             // cookies of the servers of failures not yet reported to peers
	lastTick           time.Duration
	runningSince       time.Duration // time of the first tick after the last pause of the process
	routingChangedAt   time.Duration // last call of RoutingChanged
	byAddress          map[netip.AddrPort][]*server

	evacuated      map[string]struct{} // failure domains
	evacuatedFlows uint64              // new flows that left the own failure domain because it is evacuated

	passedOverCold bool   // the current choice has passed over a cold server
	keptFromCold   uint64 // opening packets that were kept from cold servers

	flowClasses flowClasses
	lastRefusal FlowRefusal

	peerLoads     map[string]peerLoads
	ackDelay      time.Duration // last known delay of acknowledgements of any service
	ackDelayKnown bool

	handshake float64 // moving average of handshake times, in nanoseconds
	nextRates time.Duration

	prefixes *admission.PrefixLimiter // nil without a limit

	lastQuickAnswer   time.Duration // last quick answer of any server
	quickAnswerServer *server
	otherQuickAnswer  time.Duration // last quick answer of a server other than quickAnswerServer
}

// pendingOpen stores an opening packet until its flow is open.
type pendingOpen struct {
	flow     *flow
	key      FlowKey
	sequence uint32
	packet   []byte
	at       time.Duration
}

// waits reports whether the client still waits for an answer to the packet. Its flow's entry may belong to
// another flow by now, also between the same endpoints. If the routers have sent flows to other instances
// since the packet arrived, a copy may have opened the flow there.
func (e *Engine) waits(now time.Duration, p *pendingOpen) bool {
	f := p.flow
	return f.key == p.key && f.state == opening && f.seq == p.sequence && now-p.at <= pendingLifetime &&
		p.at >= e.routingChangedAt && !e.wasPaused(now)
}

// New returns an engine without a configuration.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:              cfg,
		rng:              rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		idleTimeout:      defaultIdleTimeout,
		routes:           make(map[routeKey]*route),
		retired:          make(map[routeKey]*route),
		services:         make(map[string]*service),
		servers:          make(map[string]*server),
		byCookie:         make(map[uint32][]*server),
		flows:            make(map[FlowKey]*flow),
		busyServers:      make(map[*server]struct{}),
		untrustedServers: make(map[*server]struct{}),
		activeServers:    make(map[*server]struct{}),
		failedServers:    make(map[*server]struct{}),
		claimants:        make(map[*server]struct{}),
		coldServers:      make(map[*server]struct{}),
		byAddress:        make(map[netip.AddrPort][]*server),
		evacuated:        make(map[string]struct{}),
		peerLoads:        make(map[string]peerLoads),
		handshake:        float64(initialHandshake),
		routingChangedAt: -routingSettleTime,
	}
	if n := cfg.NewFlowsPerPrefix; n > 0 {
		e.prefixes = admission.NewPrefixLimiter(float64(n), prefixBurst*n, prefixEntries, cfg.Seed, instant(0))
	}
	return e
}

// instant converts an engine time for packages that use time.Time.
func instant(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

// SetComplete records that all records are known. Until then, the engine forwards what it can
// and drops the rest: a client repeats a packet, but a reset ends its attempt, and a missing
// route or server proves nothing yet.
func (e *Engine) SetComplete() { e.complete = true }

// refuse returns the decision for a new flow that cannot be served.
func (e *Engine) refuse(reason Reason) Decision {
	e.countPassedOver()
	if !e.complete {
		return Decision{Verdict: Drop, Reason: NotServing}
	}
	return Decision{Verdict: ResetFlow, Reason: reason}
}

// Packet makes the decision for a client's packet. raw is the packet itself; the engine
// copies an opening packet so that it can be sent to another server.
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
	if p.Late {
		return Decision{Verdict: Drop, Reason: Late}, nil
	}
	r := e.routes[routeKey{p.Flow.Service, p.Flow.ServicePort}]
	if r == nil {
		return e.refuse(NoRoute), nil
	}
	f := e.flows[p.Flow]
	isCopy := f != nil && f.state == opening && f.seq == p.Sequence
	if isCopy && e.keepsCopies(now, r, f.server) {
		if !f.server.progressedAfter(f.sentAt) {
			f.server.health.retransmissions++
		}
		e.countOpeningPacket(now, f.server)
		return Decision{Verdict: Forward, Reason: ByFlow, Target: f.server.target()}, nil
	}
	if e.prefixes != nil && !isCopy {
		if ok, _ := e.prefixes.Allow(instant(now), p.Flow.ClientAddr()); !ok {
			return Decision{Verdict: ResetFlow, Reason: PrefixLimited}, nil
		}
	}
	actions := e.suspectRefusals(now, p.Flow)
	s := e.choose(now, r)
	if s == nil {
		return e.refuse(e.refusalWithoutServer(r)), actions
	}
	if ok, reason := e.admit(now, r, s); !ok {
		return e.refuse(reason), actions
	}
	e.countOpeningPacket(now, s)
	e.countEvacuated(s)
	if isCopy {
		e.moveOpening(now, f, s, r)
		return Decision{Verdict: Forward, Reason: ChosenAgain, Target: s.target()}, actions
	}
	if f != nil {
		e.removeFlow(f)
	}
	if len(e.flows) < e.cfg.MaxFlows {
		f = e.track(now, p.Flow, s, r.kind)
		f.class = r.classIndex
		f.seq = p.Sequence
		e.addExpectedRate(s, r)
		e.pending = append(e.pending, pendingOpen{flow: f, key: f.key, sequence: f.seq, packet: append([]byte(nil), raw...), at: now})
	}
	return Decision{Verdict: Forward, Reason: Chosen, Target: s.target()}, actions
}

// moveOpening gives a flow that is opening to another server, by the route in force.
func (e *Engine) moveOpening(now time.Duration, f *flow, to *server, r *route) {
	e.assign(f, to)
	f.kind, f.class, f.sentAt = r.kind, r.classIndex, millis(now)
	e.addExpectedRate(to, r)
}

func (e *Engine) continueFlow(now time.Duration, p Packet) (Decision, []Action) {
	d := Decision{Verdict: Forward, Reason: ByFlow}
	f := e.flows[p.Flow]
	if f == nil || f.state == opening || !f.continuedBy(&p) {
		if f = e.flowByCookie(now, f, &p, &d); f == nil {
			return d, nil
		}
	}
	d.Target = f.server.target()
	var actions []Action
	d.Response, actions = e.observe(now, f, p)
	if e.shouldReset(now, f) {
		d.Verdict, d.Reason = ResetFlow, ServerDead
		s := f.server
		e.removeFlow(f)
		return d, append(actions, e.resetRemainingFlows(now, s)...)
	}
	return d, append(actions, e.askAgain(now, f.server)...)
}

// flowByCookie decides by its cookie about a packet whose flow is not known to be open: it has no entry in
// the table, its entry f is of an opening flow, or the packet does not continue the entry's flow. It returns
// the entry from then on, or nil if the decision d is complete.
func (e *Engine) flowByCookie(now time.Duration, f *flow, p *Packet, d *Decision) *flow {
	s, cookieReason := e.serverByCookie(now, *p)
	isOpening := f != nil && f.state == opening
	// A late packet of an earlier flow between the same endpoints must not decide the server of the new one.
	isLate := isOpening && p.Sequence-f.seq > maxAdvance
	switch {
	case s == nil && (!isOpening || isLate || p.Cookie != 0):
		// Also while the flow is opening: the cookie names the server that has accepted it, so the one in the
		// table has not.
		d.Verdict, d.Reason = Drop, cookieReason
		return nil
	case isLate:
		d.Reason, d.Target = ByCookie, s.target()
		return nil
	case f != nil && !isOpening:
		// Other instances have forwarded much of this flow, or its end and the start of another one between
		// the same endpoints. Everything that the entry says is out of date, its server included.
		d.ReplacedServer, d.ReplacedIdle = f.server.ID, now-duration(f.seenAt)
		e.removeFlow(f)
		f = nil
	}
	d.Reason = ByCookie
	elapsed := unknownElapsed
	switch {
	case f == nil && len(e.flows) >= e.cfg.MaxFlows:
		d.Target = s.target()
		return nil
	case f == nil:
		f = e.track(now, p.Flow, s, e.routeKind(p.Flow))
		f.answers = manyAnswers // its earlier answers are unknown
		f.class = e.routeClass(p.Flow)
	default:
		if s != nil {
			e.assign(f, s)
		}
		if p.Acknowledges {
			elapsed = now - duration(f.sentAt)
			d.Handshake = elapsed
			f.handshake = uint16(min(millis(elapsed), maxFlowHandshake))
			e.handshake += (float64(elapsed) - e.handshake) * handshakeGain
		}
	}
	f.state, f.ack, f.seq = open, p.Acknowledgement, p.Sequence
	e.recordProgress(now, f.server, elapsed)
	return f
}

// serverByCookie returns the server with the packet's cookie, provided that the packet's
// route has used the server's service in a known version. If the route is unknown, the server
// is accepted, because this instance's configuration may be out of date.
func (e *Engine) serverByCookie(now time.Duration, p Packet) (*server, Reason) {
	sameCookie := e.byCookie[p.Cookie]
	if len(sameCookie) == 0 || p.Cookie == 0 {
		return nil, UnknownCookie
	}
	k := routeKey{p.Flow.Service, p.Flow.ServicePort}
	r := e.routes[k]
	if r == nil {
		r = e.retired[k]
	}
	// After a start, the services that a route used in earlier versions are unknown.
	historyKnown := now-e.configuredAt >= e.cfg.CookieLifetime
	if r == nil {
		return sameCookie[0], ByCookie
	}
	for _, s := range sameCookie {
		if r.allows(s.service) {
			return s, ByCookie
		}
	}
	if historyKnown {
		return nil, OtherService
	}
	for _, s := range sameCookie {
		if s.service.named {
			return s, ByCookie
		}
	}
	return sameCookie[0], ByCookie
}

// routeClass returns the index of the class of a flow whose opening packet this instance has not seen.
func (e *Engine) routeClass(k FlowKey) uint8 {
	if r := e.routes[routeKey{k.Service, k.ServicePort}]; r != nil {
		return r.classIndex
	}
	return 0
}

func (e *Engine) routeKind(k FlowKey) RouteKind {
	if r := e.routeOf(k); r != nil {
		return r.kind
	}
	return NonIdempotent // the kind with the fewest assumptions
}

// routeOf returns the route of a flow, also one that the version in force lacks; nil if it is
// unknown.
func (e *Engine) routeOf(k FlowKey) *route {
	if r := e.routes[routeKey{k.Service, k.ServicePort}]; r != nil {
		return r
	}
	return e.retired[routeKey{k.Service, k.ServicePort}]
}

// Tick runs the timers. The owner calls it about every 50 ms.
func (e *Engine) Tick(now time.Duration) []Action {
	if now-e.lastTick > maxTickGap {
		e.runningSince = now
	}
	if e.wasPaused(now) {
		e.RoutingChanged(now)
	}
	e.lastTick = now
	if e.cfg.RecordsCurrent != nil && !e.cfg.RecordsCurrent() {
		e.outdatedAt = now
	}
	actions := append(e.checkPending(now), e.checkSilence(now)...)
	for s := range e.untrustedServers {
		actions = append(actions, e.probeAgain(now, s)...)
	}
	actions = append(actions, e.settleClaims(now)...)
	actions = append(actions, e.reportCold(now)...)
	e.expire(now)
	e.expirePeerLoads(now)
	actions = append(actions, e.measureRates(now)...)
	e.updateAdmission(now)
	if now >= e.nextForget {
		e.nextForget = now + forgetInterval
		e.forgetServers(now)
	}
	return actions
}

// checkPending suspects the servers of unanswered opening packets.
func (e *Engine) checkPending(now time.Duration) []Action {
	var actions []Action
	kept := e.pending[:0]
	for _, p := range e.pending {
		f := p.flow
		if !e.waits(now, &p) {
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

// Stats holds values for metrics. Listed, Usable, Failing, Cold and Full are numbers of servers.
type Stats struct {
	Flows, PendingRequests, Listed, Usable, Failing, Cold, Full int
	Version                                                     uint64
	EvacuatedFlows                                              uint64 // new flows that left the own failure domain because it is evacuated
	KeptFromCold                                                uint64 // opening packets that were kept from cold servers
}

// Stats returns the current values.
func (e *Engine) Stats() Stats {
	out := Stats{Flows: len(e.flows), Version: e.version, EvacuatedFlows: e.evacuatedFlows, KeptFromCold: e.keptFromCold}
	for _, s := range e.servers {
		out.PendingRequests += int(s.pendingRequests)
		if s.listed {
			out.Listed++
		}
		if s.usable() && !e.isEvacuated(s) {
			out.Usable++
		}
		if s.failures.reported {
			out.Failing++
		}
		if s.listed && e.isCold(e.lastTick, s) {
			out.Cold++
		}
		if s.listed && s.full() {
			out.Full++
		}
	}
	return out
}
