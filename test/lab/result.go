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
	Revision   string `json:"revision"` // commit that was built
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
	Kept     []Kept                  `json:"kept,omitempty"`
	Streams  []callers.StreamReport  `json:"streams"`
	Archives []callers.ArchiveReport `json:"archives"`
	Services []ServiceResult         `json:"services"`
	Latency  LatencyResult           `json:"latency"`
	Cost     CostResult              `json:"cost"`
	Series   []Second                `json:"series"`
	Checks   Checks                  `json:"checks"`

	// Contradictions are examples of orders whose outcome differs from the execution logs.
	Contradictions []Contradiction `json:"contradictions,omitempty"`
	// ControlByKind is the control traffic of an instance by kind of envelope, in bytes
	// per second, both directions, mean over the instances.
	ControlByKind map[string]float64 `json:"control_by_kind"`

	// Violations are the requirements that the run broke.
	Violations []string `json:"violations"`
	// Findings are measured targets that the run missed, and outcomes that no
	// requirement forbids in this scenario.
	Findings []string `json:"findings"`
}

// Event is something the scenario did.
type Event struct {
	AtMS int64  `json:"at_ms"` // since the start of the callers
	Text string `json:"text"`
}

// Kept is the goodput that a load keeps during a flood of another class.
type Kept struct {
	Load   string  `json:"load"`
	Before float64 `json:"before"`
	During float64 `json:"during"`
	// Share is During over the smaller of Before and the guaranteed share.
	Share float64 `json:"share"`
}

// Contradiction is an order and its arrivals at backend servers.
type Contradiction struct {
	callers.Order
	Arrivals []backendserver.Execution `json:"arrivals"`
}

// ServiceResult describes the backend servers of one service in the measured window.
type ServiceResult struct {
	Name      string  `json:"name"`
	Imbalance float64 `json:"imbalance"`  // max/mean of busy slot time per slot
	SlotsBusy float64 `json:"slots_busy"` // mean share of slot time
	Servers   int     `json:"servers"`
	// Busy is the share of slot time by backend server.
	Busy map[string]float64 `json:"busy"`
	// Overruns are the overruns of the whole run by backend server.
	Overruns map[string]uint64 `json:"overruns,omitempty"`
}

// LatencyResult compares calls through the instances with direct calls.
type LatencyResult struct {
	ThroughP50US int64 `json:"through_p50_us"`
	ThroughP99US int64 `json:"through_p99_us"`
	DirectP50US  int64 `json:"direct_p50_us"`
	DirectP99US  int64 `json:"direct_p99_us"`
	AddedP50US   int64 `json:"added_p50_us"`
	AddedP99US   int64 `json:"added_p99_us"`
}

// CostResult is what an instance uses in the measured window.
type CostResult struct {
	ControlBytesMean float64 `json:"control_bytes_per_s_mean"`
	ControlBytesMax  float64 `json:"control_bytes_per_s_max"`
	CPUMean          float64 `json:"cpu_cores_mean"`
	CPUMax           float64 `json:"cpu_cores_max"`
	RSSMaxBytes      int64   `json:"rss_max_bytes"`
}

// Second is one second of the run.
type Second struct {
	AtMS    int64              `json:"at_ms"`
	Goodput map[string]float64 `json:"goodput"` // by load
	Busy    map[string]float64 `json:"busy"`    // share of slot time by service
	// Overruns counts the overruns on all backend servers.
	Overruns uint64 `json:"overruns"`
}

// Checks are the counts that a requirement limits to zero.
type Checks struct {
	BrokenStreams      int    `json:"broken_streams"`
	LongestSilenceMS   int64  `json:"longest_silence_ms"`
	MissedTicks        uint64 `json:"missed_ticks"`
	StepsBack          uint64 `json:"steps_back"`
	Misdelivered       uint64 `json:"misdelivered"`
	WrongAnswers       uint64 `json:"wrong_answers"`
	RefusedButExecuted int    `json:"refused_but_executed"`
	ExecutedTwice      int    `json:"executed_twice"`
	DoneNotExecuted    int    `json:"done_not_executed"`
	OrdersUnknown      int    `json:"orders_unknown"`
	Overruns           uint64 `json:"overruns"`
	IncompleteArchives int    `json:"incomplete_archives"`
	LateWorkMS         int64  `json:"late_work_ms"` // last work after a drain began
	Invariants         uint64 `json:"invariants"`   // counted by the instances
}

// print writes the result as tables.
func (r *Result) print(w io.Writer) {
	fmt.Fprintf(w, "\n%s %s seed=%d %s, %d instances, %.0fs\n", r.Scenario, r.Baseline, r.Seed, r.Deployment, r.Instances, float64(r.DurationMS)/1000)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer func() { _ = t.Flush() }() // a lost terminal needs no handling
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
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%.1f%%\t%v\n", s.Name, s.Servers, s.Imbalance, 100*s.SlotsBusy, s.Overruns)
	}
	if len(r.Kept) > 0 {
		fmt.Fprintln(t, "\nother work\tbefore/s\tduring/s\tkept")
		for _, k := range r.Kept {
			fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f%%\n", k.Load, k.Before, k.During, 100*k.Share)
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
		{"incomplete archives", c.IncompleteArchives}, {"last work after drain ms", c.LateWorkMS}, {"invariants violated", c.Invariants},
	} {
		fmt.Fprintf(t, "%s\t%v\n", row.name, row.value)
	}
	for _, e := range r.Events {
		fmt.Fprintf(t, "event\t%.1fs\t%s\n", float64(e.AtMS)/1000, e.Text)
	}
	for _, x := range r.Contradictions {
		fmt.Fprintf(t, "order\t%s %s %s\n", x.PayloadID, x.Outcome, x.Detail)
		for _, e := range x.Arrivals {
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
