package forwarder

import (
	"net/netip"
	"sync/atomic"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/monsoonthread/monsoonthread/forwarding"
	"github.com/monsoonthread/monsoonthread/internal/logging"
)

const (
	// eventsPerSecond and eventBurst limit the rate of log lines about single flows, which
	// grows with load. A line takes about 10 µs, so that they use at most 0.1% of a core.
	eventsPerSecond = 100
	eventBurst      = 200
)

// eventLog writes rate-limited log lines about forwarding decisions.
type eventLog struct {
	log     zerolog.Logger
	limiter *rate.Limiter
	skipped atomic.Uint64 // lines dropped since the last one that was written
}

func newEventLog(log zerolog.Logger) *eventLog {
	return &eventLog{log: log, limiter: rate.NewLimiter(eventsPerSecond, eventBurst)}
}

// newEvent returns a new log event, or nil if the rate limit is exceeded. The methods of a nil
// event do nothing.
func (l *eventLog) newEvent(level zerolog.Level) *zerolog.Event {
	if !l.limiter.Allow() {
		l.skipped.Add(1)
		return nil
	}
	e := l.log.WithLevel(level)
	if n := l.skipped.Swap(0); n > 0 {
		e.Uint64("skipped_lines", n)
	}
	return e
}

func (l *eventLog) logDecision(p forwarding.Packet, d forwarding.Decision, version uint64, refusal forwarding.FlowRefusal) {
	if d.Verdict == forwarding.Forward && !p.Open {
		return
	}
	level := zerolog.InfoLevel
	if d.Verdict == forwarding.Forward {
		level = zerolog.DebugLevel
	}
	if l.log.GetLevel() > level {
		return
	}
	e := l.newEvent(level)
	if e == nil {
		return
	}
	e.Stringer("flow", p.Flow).Stringer(logging.Reason, d.Reason).Uint32("cookie", p.Cookie).Uint64("config", version)
	if d.Target.ID != 0 {
		e.Uint64(logging.Server, d.Target.ID).Stringer(logging.Address, d.Target.Address)
	}
	if d.Reason == forwarding.Overloaded || d.Reason == forwarding.DeadlineUnmet {
		e.Str(logging.Service, refusal.Service).Str("best_server", refusal.Server).Int("priority", refusal.Priority).Float64("utilization", refusal.Utilization).
			Float64("limit", refusal.Limit).Float64("server_utilization", refusal.ServerUtilization).Dur("wait", refusal.Wait).Dur("timeout", refusal.Timeout)
	}
	e.Bool("open", p.Open).Uint32("repeat", p.Acknowledgement).Msg(verdictEvents[d.Verdict])
}

// logReplaced logs that a packet took the place of an outdated entry of the flow table.
func (l *eventLog) logReplaced(p forwarding.Packet, d forwarding.Decision) {
	e := l.newEvent(zerolog.InfoLevel)
	if e == nil {
		return
	}
	e.Stringer("flow", p.Flow).Uint64("former_server", d.ReplacedServer).Dur("idle", d.ReplacedIdle).Uint32("cookie", p.Cookie).
		Uint64(logging.Server, d.Target.ID).Msg("flow_entry_replaced")
}

var verdictEvents = [...]string{"packet_dropped", "flow_assigned", "flow_reset"}

func (l *eventLog) logAction(a forwarding.Action) {
	e := l.newEvent(zerolog.InfoLevel)
	if e == nil {
		return
	}
	e.Str(logging.Server, a.Server)
	if a.Kind == forwarding.ReportFailing || a.Kind == forwarding.ReportRecovered {
		e.Float64("failures", a.Failures)
	}
	switch a.Kind {
	case forwarding.ReportCold:
		e.Str(logging.Reason, a.Cause).Dur("cold_left", a.Left)
	case forwarding.ReportWarm:
		e.Str(logging.Reason, a.Cause)
	case forwarding.ReportFull, forwarding.ReportNotFull:
		e.Int("flows", a.Flows).Int("limit", a.MaxFlows)
	}
	if a.Kind < forwarding.ReportToPeers {
		e.Stringer("flow", a.Flow).Stringer(logging.Reason, a.Reason)
	}
	e.Msg(actionEvents[a.Kind])
}

var actionEvents = [...]string{"flow_reset", "opening_packet_moved", "peers_told", "server_suspected", "server_disfavoured", "server_favoured", "settlers_asked", "askers_told_alive", "peers_told_of_resets", "askers_told_down", "server_cold", "server_warm", "server_full", "server_below_limit"}

func (l *eventLog) logProbe(server string, r forwarding.ProbeResult, err error) {
	e := l.newEvent(zerolog.InfoLevel)
	if e == nil {
		return
	}
	e.Str(logging.Server, server).Str("outcome", outcomeNames[r.Outcome]).Str("control", referenceOutcomeNames[r.Reference]).Bool("stalled", r.Stalled).
		Dur(logging.Duration, r.Elapsed).Err(err).Msg("server_probed")
}

var outcomeNames = [...]string{"answered", "refused", "silent", "mute", "other_server"}

var referenceOutcomeNames = [...]string{"none", "answered", "late"}

func (l *eventLog) logMalformed(from netip.AddrPort, err error) {
	if e := l.newEvent(zerolog.WarnLevel); e != nil {
		e.Stringer(logging.Caller, from).Uint16(logging.Code, errorCode(err)).Err(err).Msg("packet_malformed")
	}
}
