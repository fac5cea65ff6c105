package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/backendserver"
	"github.com/monsoonthread/monsoonthread/internal/standin/callers"
)

// Result is the outcome of one run.
type Result struct {
	Revision   string `json:"revision"` // commit that was built; see cluster.Revision
	Scenario   string `json:"scenario"`
	Baseline   string `json:"baseline,omitempty"`
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	Instances  int    `json:"instances"`
	DurationMS int64  `json:"duration_ms"`

	Events   []Event                 `json:"events"`
	Loads    []callers.LoadReport    `json:"loads"` // whole run
	Before   []callers.LoadReport    `json:"before,omitempty"`
	During   []callers.LoadReport    `json:"during,omitempty"`
	Retained []RetainedGoodput       `json:"kept,omitempty"`
	Streams  []callers.StreamReport  `json:"streams"`
	Archives []callers.ArchiveReport `json:"archives"`
	Services []ServiceResult         `json:"services"`
	Latency  LatencyResult           `json:"latency"`
	Cost     CostResult              `json:"cost"`
	Series   []SeriesPoint           `json:"series"`
	Checks   Checks                  `json:"checks"`

	// Contradictions are examples of orders whose outcome contradicts the execution logs.
	Contradictions []Contradiction `json:"contradictions,omitempty"`
	// ControlByKind is the control traffic per instance by kind of envelope, in bytes per
	// second, both directions, averaged over the instances.
	ControlByKind map[string]float64 `json:"control_by_kind"`

	// Violations are the requirements that the run violated.
	Violations []string `json:"violations"`
	// Findings are the targets that the run missed, and counts above zero that the
	// requirements allow in this scenario.
	Findings []string `json:"findings"`
}

// Event is a step of the scenario.
type Event struct {
	AtMS int64  `json:"at_ms"` // since the start of the callers
	Text string `json:"text"`
}

// RetainedGoodput compares the goodput of a load before and during the main event of a
// scenario, such as a flood of another class.
type RetainedGoodput struct {
	Load   string  `json:"load"`
	Before float64 `json:"before"`
	During float64 `json:"during"`
	// Share is During divided by Before, or in a flood by the smaller of Before and the
	// guaranteed goodput.
	Share float64 `json:"share"`
}

// Contradiction is an order whose outcome contradicts the execution logs, with its arrivals
// at backend servers.
type Contradiction struct {
	callers.Order
	Arrivals []backendserver.Execution `json:"arrivals"`
}

// ServiceResult describes the backend servers of a service in the measured window.
type ServiceResult struct {
	Name            string  `json:"name"`
	Imbalance       float64 `json:"imbalance"`  // maximum divided by mean of the utilization by server
	MeanUtilization float64 `json:"slots_busy"` // mean over the servers, as a share of slot time
	Servers         int     `json:"servers"`
	// UtilizationByServer is the used share of slot time by backend server.
	UtilizationByServer map[string]float64 `json:"busy"`
	// Overruns counts the overruns in the whole run by backend server.
	Overruns map[string]uint64 `json:"overruns,omitempty"`
}

// LatencyResult compares the latency through the instances with that of direct calls.
type LatencyResult struct {
	ThroughP50US int64 `json:"through_p50_us"`
	ThroughP99US int64 `json:"through_p99_us"`
	DirectP50US  int64 `json:"direct_p50_us"`
	DirectP99US  int64 `json:"direct_p99_us"`
	AddedP50US   int64 `json:"added_p50_us"`
	AddedP99US   int64 `json:"added_p99_us"`
}

// CostResult is the resource use of the instances in the measured window.
type CostResult struct {
	ControlBytesMean float64 `json:"control_bytes_per_s_mean"`
	ControlBytesMax  float64 `json:"control_bytes_per_s_max"`
	CPUMean          float64 `json:"cpu_cores_mean"`
	CPUMax           float64 `json:"cpu_cores_max"`
	RSSMaxBytes      int64   `json:"rss_max_bytes"`
}

// SeriesPoint is one point of the time series of a run.
type SeriesPoint struct {
	AtMS                 int64              `json:"at_ms"`
	Goodput              map[string]float64 `json:"goodput"` // by load
	UtilizationByService map[string]float64 `json:"busy"`    // mean used share of slot time, by service
	// Overruns counts the new overruns on all backend servers.
	Overruns uint64 `json:"overruns"`
}

// Checks are the measured values that the requirements limit. Most of them must be zero.
type Checks struct {
	BrokenStreams        int    `json:"broken_streams"`
	LongestSilenceMS     int64  `json:"longest_silence_ms"`
	MissedTicks          uint64 `json:"missed_ticks"`
	StepsBack            uint64 `json:"steps_back"`
	Misdelivered         uint64 `json:"misdelivered"`
	WrongAnswers         uint64 `json:"wrong_answers"`
	RefusedButExecuted   int    `json:"refused_but_executed"`
	ExecutedTwice        int    `json:"executed_twice"`
	DoneNotExecuted      int    `json:"done_not_executed"`
	OrdersUnknown        int    `json:"orders_unknown"`
	Overruns             uint64 `json:"overruns"` // requests that arrived with all slots busy
	IncompleteArchives   int    `json:"incomplete_archives"`
	LastWorkAfterDrainMS int64  `json:"late_work_ms"` // time of the last new work after the start of a drain
	InvariantViolations  uint64 `json:"invariants"`   // reported by the instances
}

// print writes the result as tables.
func (r *Result) print(w io.Writer) {
	fmt.Fprintf(w, "\n%s %s seed=%d %s, %d instances, %.0fs\n", r.Scenario, r.Baseline, r.Seed, r.Deployment, r.Instances, float64(r.DurationMS)/1000)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer func() { _ = t.Flush() }() // write errors of the terminal are ignored
	fmt.Fprintln(t, "load\tclass\tsent\tdone\tlate\trefused\tunknown\tfailed\tgoodput/s\tp50 ms\tp99 ms\tdetails")
	for _, l := range r.Loads {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.2f\t%.2f\t%v\n", l.Name, l.Class, l.Sent, l.Done, l.Late,
			l.Refused, l.Unknown, l.Failed, l.Goodput, float64(l.P50US)/1000, float64(l.P99US)/1000, l.Details)
	}
	fmt.Fprintln(t, "\nstreams\tcount\testablished\tbroken\tlongest silence ms\tmissed ticks\tsteps back\trefreshes\tsilences")
	for _, s := range r.Streams {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", s.Path, s.Count, s.Established, s.Broken, s.LongestSilenceMS,
			s.MissedTicks, s.StepsBack, s.Refreshes, s.Silences)
	}
	fmt.Fprintln(t, "\narchives\tstarted\tcomplete\tincomplete\twrong\tMB")
	for _, a := range r.Archives {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.1f\n", a.Path, a.Started, a.Complete, a.Incomplete, a.Wrong, float64(a.Bytes)/(1<<20))
	}
	fmt.Fprintln(t, "\nservice\tservers\timbalance\tslots busy\toverruns by server")
	for _, s := range r.Services {
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%.1f%%\t%v\n", s.Name, s.Servers, s.Imbalance, 100*s.MeanUtilization, s.Overruns)
	}
	if len(r.Retained) > 0 {
		fmt.Fprintln(t, "\nother work\tbefore/s\tduring/s\tkept")
		for _, g := range r.Retained {
			fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f%%\n", g.Load, g.Before, g.During, 100*g.Share)
		}
	}
	fmt.Fprintln(t, "\nlatency\tp50 ms\tp99 ms")
	ms := func(us int64) float64 { return float64(us) / 1000 }
	fmt.Fprintf(t, "through instances\t%.2f\t%.2f\n", ms(r.Latency.ThroughP50US), ms(r.Latency.ThroughP99US))
	fmt.Fprintf(t, "direct\t%.2f\t%.2f\n", ms(r.Latency.DirectP50US), ms(r.Latency.DirectP99US))
	fmt.Fprintf(t, "added\t%.2f\t%.2f\n", ms(r.Latency.AddedP50US), ms(r.Latency.AddedP99US))
	fmt.Fprintln(t, "\nper instance\tmean\tmax")
	fmt.Fprintf(t, "control bytes/s\t%.0f\t%.0f\n", r.Cost.ControlBytesMean, r.Cost.ControlBytesMax)
	fmt.Fprintf(t, "CPU cores\t%.3f\t%.3f\n", r.Cost.CPUMean, r.Cost.CPUMax)
	fmt.Fprintf(t, "memory MB\t\t%.1f\n", float64(r.Cost.RSSMaxBytes)/(1<<20))
	fmt.Fprintln(t, "\ncheck\tcount")
	c := r.Checks
	for _, row := range []struct {
		name  string
		value any
	}{
		{"broken streams", c.BrokenStreams}, {"longest silence ms", c.LongestSilenceMS}, {"misdelivered", c.Misdelivered},
		{"wrong answers", c.WrongAnswers}, {"refused but executed", c.RefusedButExecuted}, {"executed twice", c.ExecutedTwice},
		{"done but not executed", c.DoneNotExecuted}, {"orders with unknown outcome", c.OrdersUnknown}, {"overruns", c.Overruns},
		{"incomplete archives", c.IncompleteArchives}, {"last work after drain ms", c.LastWorkAfterDrainMS}, {"invariants violated", c.InvariantViolations},
	} {
		fmt.Fprintf(t, "%s\t%v\n", row.name, row.value)
	}
	for _, e := range r.Events {
		fmt.Fprintf(t, "event\t%.1fs\t%s\n", float64(e.AtMS)/1000, e.Text)
	}
	for _, contradiction := range r.Contradictions {
		fmt.Fprintf(t, "order\t%s %s %s\n", contradiction.PayloadID, contradiction.Outcome, contradiction.Detail)
		for _, e := range contradiction.Arrivals {
			fmt.Fprintf(t, "\tat %s on %s from %v message %d: shed=%v abandoned=%v after %d ms\n",
				time.UnixMicro(e.StartUS).Format("15:04:05.0000"), e.Server, e.Remote, e.MessageID, e.Shed, e.Abandoned, (e.EndUS-e.StartUS)/1000)
		}
	}
	for _, f := range r.Findings {
		fmt.Fprintf(t, "finding\t%s\n", f)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(t, "VIOLATION\t%s\n", v)
	}
}
