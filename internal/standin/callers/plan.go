// Package callers is a stand-in for the callers of a deployment: an open-loop load
// generator, stream watchers and archive readers that check every answer. It uses
// package caller as a program of a team would.
package callers

import (
	"errors"
	"fmt"
	"net/netip"
)

const (
	defaultClients    = 32
	defaultDeadline   = 2000
	defaultBroken     = 5000
	defaultStreamTick = 1000
)

// Plan is what the callers do from start to end.
type Plan struct {
	Seed       uint64        `json:"seed"`
	DurationMS int           `json:"duration_ms"`
	Loads      []Load        `json:"loads"`
	Streams    []StreamLoad  `json:"streams"`
	Archives   []ArchiveLoad `json:"archives"`
}

// Load is an open-loop stream of requests of one kind with Poisson arrivals: a slow
// answer does not delay the next request.
type Load struct {
	Name    string         `json:"name"`
	Service string         `json:"service"`
	Class   string         `json:"class"`
	Address netip.AddrPort `json:"address"`
	Method  string         `json:"method"`
	Path    string         `json:"path"`
	// Rate is in requests per second, except during a phase.
	Rate   float64 `json:"rate"`
	Phases []Phase `json:"phases"`
	// Clients is the number of flows that the requests are spread over.
	Clients int `json:"clients"`
	// RequestsPerFlow replaces a flow by a new one after so many requests; 0 keeps it.
	RequestsPerFlow int `json:"requests_per_flow"`
	DeadlineMS      int `json:"deadline_ms"`
	// AckTimeoutMS is the time to the first retransmission; 0 takes the value of RFC 7252,
	// 2 s, with which a lost datagram is never repeated within a deadline of 2 s.
	AckTimeoutMS int `json:"ack_timeout_ms"`
	// UniquePayload gives each request a payload ID, whose outcome is recorded.
	UniquePayload bool `json:"unique_payload"`
	PayloadBytes  int  `json:"payload_bytes"`
}

// Phase replaces the rate of a load for a time.
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

// StreamLoad is a number of streams, each a flow of its own.
type StreamLoad struct {
	Service string         `json:"service"`
	Address netip.AddrPort `json:"address"`
	// Path is the common prefix; each stream appends its number.
	Path  string `json:"path"`
	Count int    `json:"count"`
	// TickMS is the interval of the servers' counter.
	TickMS int `json:"tick_ms"`
	// BrokenAfterMS is the silence after which a stream counts as broken.
	BrokenAfterMS int `json:"broken_after_ms"`
	// RampMS spreads the registrations.
	RampMS int `json:"ramp_ms"`
}

// ArchiveLoad is a number of readers that fetch archives one after another.
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
		setDefault(&l.DeadlineMS, defaultDeadline)
	}
	for i := range p.Streams {
		s := &p.Streams[i]
		check("streams", s.Path, s.Address)
		setDefault(&s.TickMS, defaultStreamTick)
		setDefault(&s.BrokenAfterMS, defaultBroken)
	}
	for i := range p.Archives {
		a := &p.Archives[i]
		check("archives", a.Path, a.Address)
		setDefault(&a.Readers, 1)
		if len(a.Names) == 0 {
			errs = append(errs, fmt.Errorf("archives %q have no names", a.Path))
		}
	}
	return errors.Join(errs...)
}

func setDefault(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes of a request.
const (
	Done    Outcome = "done"    // success within the deadline
	Late    Outcome = "late"    // success after the deadline
	Refused Outcome = "refused" // a code that certifies "not run"
	Unknown Outcome = "unknown" // outcome unknown, or no answer
	Failed  Outcome = "failed"  // any other answer or error
)

// Order is the outcome of a request with a payload ID.
type Order struct {
	PayloadID string  `json:"payload_id"`
	Service   string  `json:"service"`
	Outcome   Outcome `json:"outcome"`
	Detail    string  `json:"detail,omitempty"`
}

// Report is what the callers saw in a window of time.
type Report struct {
	FromMS   int             `json:"from_ms"`
	ToMS     int             `json:"to_ms"`
	Loads    []LoadReport    `json:"loads"`
	Streams  []StreamReport  `json:"streams"`
	Archives []ArchiveReport `json:"archives"`
}

// LoadReport summarizes one load in the window. Requests count at their intended send
// time, from which latencies are measured too.
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
	Details map[string]uint64 `json:"details"` // all but done, by code
	// Goodput is in requests per second that were done within their deadline.
	Goodput float64 `json:"goodput"`
	P50US   int64   `json:"p50_us"`
	P99US   int64   `json:"p99_us"`
	MaxUS   int64   `json:"max_us"`
	// SendLateP99US is how late the generator itself sent.
	SendLateP99US int64 `json:"send_late_p99_us"`
}

// StreamReport summarizes the streams of one load since the start.
type StreamReport struct {
	Service     string `json:"service"`
	Path        string `json:"path"`
	Count       int    `json:"count"`
	Established int    `json:"established"`
	// Broken counts streams that ended, or were silent for longer than allowed.
	Broken           int       `json:"broken"`
	Ended            int       `json:"ended"`
	LongestSilenceMS int64     `json:"longest_silence_ms"`
	MissedTicks      uint64    `json:"missed_ticks"`
	StepsBack        uint64    `json:"steps_back"`
	WrongPath        uint64    `json:"wrong_path"`
	Notifications    uint64    `json:"notifications"`
	Stale            uint64    `json:"stale"`
	Refreshes        uint64    `json:"refreshes"`
	Silences         uint64    `json:"silences"`
	FailedAttempts   uint64    `json:"failed_attempts"` // refused or unanswered registrations
	Pauses           []Silence `json:"pauses"`          // silences above two ticks
	Errors           []string  `json:"errors"`
}

// Silence is a time without a notification on an established stream.
type Silence struct {
	Path    string `json:"path"`
	FromMS  int64  `json:"from_ms"` // since the start of the plan
	MS      int64  `json:"ms"`
	Missed  int64  `json:"missed"`
	Pending bool   `json:"pending,omitempty"` // not over at the time of the report
}

// ArchiveReport summarizes the archives of one load since the start.
type ArchiveReport struct {
	Service    string   `json:"service"`
	Path       string   `json:"path"`
	Started    int      `json:"started"`
	Complete   int      `json:"complete"`
	Incomplete int      `json:"incomplete"` // ended with an error
	Wrong      int      `json:"wrong"`      // other content than the servers have
	Bytes      int64    `json:"bytes"`
	Errors     []string `json:"errors"`
}
