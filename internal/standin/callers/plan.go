// Package callers is a stand-in for the callers of a deployment: an open-loop load
// generator, stream watchers and archive readers, which check every response. It uses
// package caller in the same way as production callers.
package callers

import (
	"errors"
	"fmt"
	"net/netip"
)

const (
	defaultClients       = 32
	defaultDeadlineMS    = 2000
	defaultBrokenAfterMS = 5000
	defaultTickMS        = 1000
)

// Plan describes all loads of one run.
type Plan struct {
	Seed       uint64        `json:"seed"`
	DurationMS int           `json:"duration_ms"`
	Loads      []Load        `json:"loads"`
	Streams    []StreamLoad  `json:"streams"`
	Archives   []ArchiveLoad `json:"archives"`
}

// Load is an open-loop load of requests of one kind with Poisson arrivals: a slow response
// does not delay the next request.
type Load struct {
	Name    string         `json:"name"`
	Service string         `json:"service"`
	Class   string         `json:"class"`
	Address netip.AddrPort `json:"address"`
	Method  string         `json:"method"`
	Path    string         `json:"path"`
	// Rate is the number of requests per second outside of Phases.
	Rate   float64 `json:"rate"`
	Phases []Phase `json:"phases"`
	// Clients is the number of flows over which the requests are spread.
	Clients int `json:"clients"`
	// RequestsPerFlow is the number of requests after which a flow is replaced by a new
	// one; 0 keeps flows for the whole run.
	RequestsPerFlow int `json:"requests_per_flow"`
	DeadlineMS      int `json:"deadline_ms"`
	// AckTimeoutMS is the time to the first retransmission; 0 means the 2 s of RFC 7252,
	// with which a lost datagram is never retransmitted within a deadline of 2 s.
	AckTimeoutMS int `json:"ack_timeout_ms"`
	// UniquePayload adds a payload ID to each request and records its outcome as an Order.
	UniquePayload bool `json:"unique_payload"`
	PayloadBytes  int  `json:"payload_bytes"`
}

// Phase replaces the rate of a load between two times since the start.
type Phase struct {
	FromMS int     `json:"from_ms"`
	ToMS   int     `json:"to_ms"`
	Rate   float64 `json:"rate"`
}

// rateAt returns the rate at a time since the start.
func (l *Load) rateAt(ms int) float64 {
	for _, p := range l.Phases {
		if ms >= p.FromMS && ms < p.ToMS {
			return p.Rate
		}
	}
	return l.Rate
}

// StreamLoad is a set of streams, each on its own flow.
type StreamLoad struct {
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	// Path is the common prefix; each stream appends its number.
	Path  string `json:"path"`
	Count int    `json:"count"`
	// TickMS is the interval at which the backend servers increment the stream counter.
	TickMS int `json:"tick_ms"`
	// BrokenAfterMS is the time without notifications after which a stream counts as broken.
	BrokenAfterMS int `json:"broken_after_ms"`
	// RampMS is the time over which the registrations are spread.
	RampMS int `json:"ramp_ms"`
}

// ArchiveLoad is a set of readers, each of which fetches archives one after another.
type ArchiveLoad struct {
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	// Path is the common prefix; the name of the archive is appended.
	Path    string   `json:"path"`
	Names   []string `json:"names"`
	Seed    uint64   `json:"seed"`
	Bytes   int      `json:"bytes"`
	Readers int      `json:"readers"`
	// Fetches is the number of archives per reader; 0 means until the plan ends.
	Fetches int `json:"fetches"`
}

func (p *Plan) withDefaults() error {
	var errs []error
	check := func(kind, name string, a netip.AddrPort) {
		if !a.IsValid() {
			errs = append(errs, fmt.Errorf("%s %q has no valid address", kind, name))
		}
	}
	for i := range p.Loads {
		l := &p.Loads[i]
		check("load", l.Name, l.Address)
		setDefault(&l.Clients, defaultClients)
		setDefault(&l.DeadlineMS, defaultDeadlineMS)
	}
	for i := range p.Streams {
		s := &p.Streams[i]
		check("stream load", s.Path, s.Address)
		setDefault(&s.TickMS, defaultTickMS)
		setDefault(&s.BrokenAfterMS, defaultBrokenAfterMS)
	}
	for i := range p.Archives {
		a := &p.Archives[i]
		check("archive load", a.Path, a.Address)
		setDefault(&a.Readers, 1)
		if len(a.Names) == 0 {
			errs = append(errs, fmt.Errorf("archive load %q has no archive names", a.Path))
		}
	}
	return errors.Join(errs...)
}

func setDefault(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}

// Outcome is the result of a request as its caller sees it.
type Outcome string

// The outcomes of a request.
const (
	Done    Outcome = "done"    // success within the deadline
	Late    Outcome = "late"    // success after the deadline
	Refused Outcome = "refused" // a code that guarantees that the request did not run
	Unknown Outcome = "unknown" // a code for an unknown outcome, or no response
	Failed  Outcome = "failed"  // any other response or error
)

// Order is the outcome of a request with a payload ID.
type Order struct {
	PayloadID string  `json:"payload_id"`
	Service   string  `json:"service"`
	Outcome   Outcome `json:"outcome"`
	Detail    string  `json:"detail,omitempty"`
}

// Report summarizes the results of all loads in a window of time.
type Report struct {
	FromMS   int             `json:"from_ms"`
	ToMS     int             `json:"to_ms"`
	Loads    []LoadReport    `json:"loads"`
	Streams  []StreamReport  `json:"streams"`
	Archives []ArchiveReport `json:"archives"`
}

// LoadReport summarizes one load in the window. Requests are counted at their intended send
// time, and latencies are measured from it.
type LoadReport struct {
	Name    string            `json:"name"`
	Service string            `json:"service"`
	Class   string            `json:"class"`
	Sent    uint64            `json:"sent"`
	Done    uint64            `json:"done"`
	Late    uint64            `json:"late"`
	Refused uint64            `json:"refused"`
	Unknown uint64            `json:"unknown"`
	Failed  uint64            `json:"failed"`
	Details map[string]uint64 `json:"details"` // count of each detail for outcomes other than done
	// Goodput is the number of requests per second with the outcome done.
	Goodput float64 `json:"goodput"`
	P50US   int64   `json:"p50_us"`
	P99US   int64   `json:"p99_us"`
	MaxUS   int64   `json:"max_us"`
	// SendLateP99US is the 99th percentile of the generator's own delay in sending.
	SendLateP99US int64 `json:"send_late_p99_us"`
}

// StreamReport summarizes the streams of one load since the start.
type StreamReport struct {
	Service     string `json:"service"`
	Path        string `json:"path"`
	Count       int    `json:"count"`
	Established int    `json:"established"`
	// Broken counts streams that ended or were silent for longer than BrokenAfterMS.
	Broken           int       `json:"broken"`
	Ended            int       `json:"ended"`
	LongestSilenceMS int64     `json:"longest_silence_ms"`
	MissedTicks      uint64    `json:"missed_ticks"`
	StepsBack        uint64    `json:"steps_back"`
	WrongPath        uint64    `json:"wrong_path"`
	Notifications    uint64    `json:"notifications"`
	Stale            uint64    `json:"stale"`
	Refreshes        uint64    `json:"refreshes"`
	Silences         uint64    `json:"silences"`        // failures after which an established stream registered again
	FailedAttempts   uint64    `json:"failed_attempts"` // registrations that were refused or timed out
	Pauses           []Silence `json:"pauses"`          // silences longer than two ticks
	Errors           []string  `json:"errors"`
}

// Silence is an interval without a notification on an established stream.
type Silence struct {
	Path    string `json:"path"`
	FromMS  int64  `json:"from_ms"` // since the start of the plan
	MS      int64  `json:"ms"`
	Missed  int64  `json:"missed"`
	Pending bool   `json:"pending,omitempty"` // still silent at the time of the report
}

// ArchiveReport summarizes the archives of one load since the start.
type ArchiveReport struct {
	Service    string   `json:"service"`
	Path       string   `json:"path"`
	Started    int      `json:"started"`
	Complete   int      `json:"complete"`
	Incomplete int      `json:"incomplete"` // ended with an error
	Wrong      int      `json:"wrong"`      // content differs from that of the servers
	Bytes      int64    `json:"bytes"`
	Errors     []string `json:"errors"`
}
