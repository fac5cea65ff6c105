package forwarder

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/monsoonthread/monsoonthread/forwarding"
)

// counters are the metrics of one instance.
type counters struct {
	set                                                                                               *metrics.Set
	malformedPackets, socketErrors, proactiveResets, openingPacketsMoved, suspectsSent, questionsSent *metrics.Counter
	entriesReplaced                                                                                   *metrics.Counter
	decisions                                                                                         [3][forwarding.NumReasons]*metrics.Counter
	probes                                                                                            [len(outcomeNames)]*metrics.Counter
	handshakes, responses                                                                             *metrics.Histogram
}

func newCounters(f *Forwarder) *counters {
	set := metrics.NewSet()
	c := &counters{
		set:                 set,
		malformedPackets:    set.NewCounter("forwarder_packets_malformed_total"),
		socketErrors:        set.NewCounter("forwarder_socket_errors_total"),
		proactiveResets:     set.NewCounter("forwarder_flows_reset_total"),
		openingPacketsMoved: set.NewCounter("forwarder_opening_packets_moved_total"),
		entriesReplaced:     set.NewCounter("forwarder_flow_entries_replaced_total"),
		suspectsSent:        set.NewCounter("forwarder_suspicions_told_total"),
		questionsSent:       set.NewCounter("forwarder_settlers_asked_total"),
		handshakes:          set.NewHistogram("forwarder_handshake_seconds"),
		responses:           set.NewHistogram("forwarder_response_seconds"),
	}
	for v := range c.decisions {
		for r := range c.decisions[v] {
			c.decisions[v][r] = set.NewCounter(fmt.Sprintf("forwarder_packets_total{verdict=%q,reason=%q}", verdictLabels[v], forwarding.Reason(r)))
		}
	}
	for o := range c.probes {
		c.probes[o] = set.NewCounter(fmt.Sprintf("forwarder_probes_total{outcome=%q}", outcomeNames[o]))
	}
	gauge := func(name string, value func(forwarding.Stats) float64) {
		set.NewGauge(name, func() float64 {
			f.mu.Lock()
			defer f.mu.Unlock()
			return value(f.engine.Stats())
		})
	}
	gauge("forwarder_flows", func(s forwarding.Stats) float64 { return float64(s.Flows) })
	gauge("forwarder_requests_under_way", func(s forwarding.Stats) float64 { return float64(s.PendingRequests) })
	gauge("forwarder_configuration_version", func(s forwarding.Stats) float64 { return float64(s.Version) })
	gauge("forwarder_servers{state=\"usable\"}", func(s forwarding.Stats) float64 { return float64(s.Usable) })
	gauge("forwarder_servers{state=\"listed\"}", func(s forwarding.Stats) float64 { return float64(s.Listed) })
	gauge("forwarder_servers{state=\"failing\"}", func(s forwarding.Stats) float64 { return float64(s.Failing) })
	gauge("forwarder_flows_left_evacuated_domain", func(s forwarding.Stats) float64 { return float64(s.EvacuatedFlows) })
	set.NewGauge("forwarder_evacuated_domains", func() float64 {
		f.mu.Lock()
		defer f.mu.Unlock()
		return float64(f.evacuations.active(f.now()))
	})
	gauge("forwarder_servers{state=\"cold\"}", func(s forwarding.Stats) float64 { return float64(s.Cold) })
	gauge("forwarder_servers{state=\"full\"}", func(s forwarding.Stats) float64 { return float64(s.Full) })
	gauge("forwarder_opening_packets_kept_from_cold_servers_total", func(s forwarding.Stats) float64 { return float64(s.KeptFromCold) })
	loadGauge := func(name string, value func(forwarding.LoadStats) float64) {
		set.NewGauge(name, func() float64 {
			f.mu.Lock()
			defer f.mu.Unlock()
			return value(f.engine.LoadStats(f.now()))
		})
	}
	loadGauge("forwarder_servers_measured", func(s forwarding.LoadStats) float64 { return float64(s.Measured) })
	loadGauge("forwarder_server_speed{bound=\"slowest\"}", func(s forwarding.LoadStats) float64 { return s.Slowest })
	loadGauge("forwarder_server_speed{bound=\"fastest\"}", func(s forwarding.LoadStats) float64 { return s.Fastest })
	loadGauge("forwarder_load_reports", func(s forwarding.LoadStats) float64 { return float64(s.Reports) })
	loadGauge("forwarder_load_report_age_seconds", func(s forwarding.LoadStats) float64 { return s.OldestReport.Seconds() })
	set.NewGauge("forwarder_records_revision", func() float64 {
		f.mu.Lock()
		defer f.mu.Unlock()
		return float64(f.table.AsOf().Revision())
	})
	set.NewGauge("forwarder_records_era", func() float64 {
		f.mu.Lock()
		defer f.mu.Unlock()
		return float64(f.table.AsOf().Era())
	})
	set.NewGauge("forwarder_peers_alive", func() float64 {
		f.mu.Lock()
		defer f.mu.Unlock()
		return float64(f.mesh.Alive(f.now()))
	})
	set.NewGauge("forwarder_store_calls", func() float64 { calls, _ := f.store.Calls(); return float64(calls) })
	set.NewGauge("forwarder_store_calls_failed", func() float64 { _, failed := f.store.Calls(); return float64(failed) })
	set.NewGauge("forwarder_store_history_gone", func() float64 { return float64(f.store.HistoryGone()) })
	set.NewGauge("forwarder_store_era", func() float64 { return float64(f.store.Era()) })
	return c
}

var verdictLabels = [...]string{"drop", "forward", "reset"}

func (c *counters) recordDecision(d forwarding.Decision) {
	c.decisions[d.Verdict][d.Reason].Inc()
	if d.Handshake > 0 {
		c.handshakes.Update(d.Handshake.Seconds())
	}
	if d.Response > 0 {
		c.responses.Update(d.Response.Seconds())
	}
}

// handleMetrics serves the metrics in the Prometheus text format.
func (f *Forwarder) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	f.counters.set.WritePrometheus(w)
	f.mu.Lock()
	admissions := f.engine.Admissions()
	f.mu.Unlock()
	writeAdmissions(w, admissions)
}

// writeAdmissions writes the metrics of admission control. Classes come with the configuration.
func writeAdmissions(w io.Writer, admissions []forwarding.AdmissionView) {
	flows := make(map[string]uint64) // classes may differ only in their objective or timeout
	for _, a := range admissions {
		labels := fmt.Sprintf("service=%q,priority=\"%d\",kind=%q", a.Service, a.Priority, kindNames[a.Kind])
		flows[labels+`,verdict="admitted",reason=""`] += a.Admitted
		flows[labels+fmt.Sprintf(",verdict=\"refused\",reason=%q", forwarding.Overloaded)] += a.Overloaded
		flows[labels+fmt.Sprintf(",verdict=\"refused\",reason=%q", forwarding.DeadlineUnmet)] += a.Unmet
	}
	for _, labels := range slices.Sorted(maps.Keys(flows)) {
		metrics.WriteCounterUint64(w, "forwarder_new_flows_total{"+labels+"}", flows[labels])
	}
	limiting := make(map[string]bool)
	for _, a := range admissions {
		limiting[a.Service] = a.Limiting
	}
	for _, service := range slices.Sorted(maps.Keys(limiting)) {
		value := uint64(0)
		if limiting[service] {
			value = 1
		}
		metrics.WriteGaugeUint64(w, fmt.Sprintf("forwarder_service_limiting{service=%q}", service), value)
	}
}
