package daemon

import (
	"fmt"
	"io"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/monsoonthread/monsoonthread/dispatch"
	"github.com/monsoonthread/monsoonthread/peer"
	"github.com/monsoonthread/monsoonthread/result"
)

// metrics holds the metrics of one instance; their names start with monsoonthread_.
type metrics struct {
	daemon *Daemon
	set    *vm.Set

	datagrams, relayed, answered, duplicates, permits, retries, lateAnswers  *vm.Counter
	backendSent, backendResent, sendErrors, notifications                    *vm.Counter
	streamMoves, streamsBroken, callersGone, handoverTimeouts, configFetched *vm.Counter
	storeErrors, listErrors, violations                                      *vm.Counter
}

func newMetrics(d *Daemon) *metrics {
	set := vm.NewSet()
	counter := func(name string) *vm.Counter { return set.NewCounter("monsoonthread_" + name) }
	m := &metrics{daemon: d, set: set,
		datagrams: counter("fabric_datagrams_total"), relayed: counter("packets_relayed_total"),
		answered: counter("requests_answered_total"), duplicates: counter("requests_duplicate_total"),
		permits: counter("permits_issued_total"), retries: counter("dispatch_retries_total"),
		lateAnswers: counter("late_answers_total"), backendSent: counter("backend_messages_total"),
		backendResent: counter("backend_retransmissions_total"), sendErrors: counter("send_errors_total"),
		notifications: counter("notifications_total"), streamMoves: counter("stream_moves_total"),
		streamsBroken: counter("streams_broken_total"), callersGone: counter("stream_callers_gone_total"),
		handoverTimeouts: counter("stream_handover_timeouts_total"), configFetched: counter("config_fetched_bytes_total"),
		storeErrors: counter("store_errors_total"), listErrors: counter("list_errors_total"),
		violations: counter("invariant_violations_total"),
	}
	set.NewGauge("monsoonthread_flows", func() float64 { n, _, _ := d.flows.Len(); return float64(n) })
	set.NewGauge("monsoonthread_streams", func() float64 { return float64(d.streams.active()) })
	set.NewGauge("monsoonthread_stream_copies", func() float64 { _, _, n := d.flows.Len(); return float64(n) })
	set.NewGauge("monsoonthread_pending_requests", func() float64 { return float64(d.pending.len()) })
	set.NewGauge("monsoonthread_running_requests", func() float64 { return float64(d.runningRequests()) })
	set.NewGauge("monsoonthread_config_version", func() float64 { return float64(d.current.Version()) })
	set.NewGauge("monsoonthread_dispatch_violations", func() float64 { return float64(dispatch.Violations.Count()) })
	return m
}

// refused counts a refused request by result code.
func (m *metrics) refused(code result.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`monsoonthread_refused_total{code="%d"}`, code)).Inc()
}

// dropped counts a datagram or packet that was dropped, by result code.
func (m *metrics) dropped(code result.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`monsoonthread_dropped_total{code="%d"}`, code)).Inc()
}

func (m *metrics) write(w io.Writer) {
	m.set.WritePrometheus(w)
	m.daemon.writeLoad(w)
	counters := m.daemon.peers.Counters()
	for _, kind := range peer.Kinds {
		k := counters.Kind(kind)
		fmt.Fprintf(w, "monsoonthread_peer_sent_bytes_total{kind=%q} %d\n", kind, k.SentBytes.Load())
		fmt.Fprintf(w, "monsoonthread_peer_sent_messages_total{kind=%q} %d\n", kind, k.SentMessages.Load())
		fmt.Fprintf(w, "monsoonthread_peer_received_bytes_total{kind=%q} %d\n", kind, k.ReceivedBytes.Load())
	}
	for _, c := range append(m.daemon.store.Counts(), m.daemon.instanceList.Counts()...) {
		fmt.Fprintf(w, "monsoonthread_platform_calls_total{kind=%q} %d\n", c.Kind, c.Calls)
	}
	vm.WriteProcessMetrics(w)
}

// snapshot returns the main counters for the Status call.
func (m *metrics) snapshot() map[string]float64 {
	return map[string]float64{
		"answered": float64(m.answered.Get()), "relayed": float64(m.relayed.Get()), "retries": float64(m.retries.Get()),
		"duplicates": float64(m.duplicates.Get()), "stream_moves": float64(m.streamMoves.Get()),
		"streams_broken": float64(m.streamsBroken.Get()), "notifications": float64(m.notifications.Get()),
		"violations": float64(m.violations.Get()) + float64(dispatch.Violations.Count()),
	}
}

// writeLoad writes the load of each service that this instance dispatches, as in its
// summaries.
func (d *Daemon) writeLoad(w io.Writer) {
	now := time.Now()
	for _, sch := range d.schedulers.all() {
		sch.mu.Lock()
		name, s := sch.service.Name, sch.scheduler.Summary(now)
		sch.mu.Unlock()
		fmt.Fprintf(w, "monsoonthread_dispatch_service_rate{service=%q} %g\n", name, float64(s.ServiceRateMilli)/1000)
		fmt.Fprintf(w, "monsoonthread_dispatch_free_slots{service=%q} %d\n", name, s.FreeSlots)
		fmt.Fprintf(w, "monsoonthread_dispatch_queued{service=%q} %d\n", name, s.Queued)
	}
}
