// Package backendserver is a stand-in for the backend servers of a deployment. A Host
// runs any number of servers in one process; each has its own UDP address, slots and
// connections, speaks the protocol of docs/design.md, section 4.6, and writes what it
// executed to a log.
//
// The first path segment of a request is the name of the service; a request for another
// service counts as misdelivered. Below it, "watch" can be observed, "archive" is served
// by Block2, "probe" is work of the same duration on every server, and everything else
// is work whose duration depends on the speed. Probes, archives and work occupy a slot. "/health" and "/load"
// occupy none.
package backendserver

import (
	"fmt"
	"net/netip"
	"time"
)

const (
	// DeadlineOption is the elective option with the deadline in milliseconds.
	DeadlineOption = 65002
	// ExchangeLifetime is how long a message ID is remembered (RFC 7252, section 4.8.2).
	ExchangeLifetime = 247 * time.Second

	defaultSlots        = 2
	defaultConnections  = 2000
	defaultMeanWork     = 20.0
	defaultSigma        = 0.5
	defaultBlockWork    = 0.3
	defaultProbeWork    = 1.0
	defaultTick         = 1000
	defaultArchiveBytes = 8 << 20
	defaultMaxAge       = 30
	defaultColdFactor   = 0.2
	defaultShedMaxAge   = 1
)

// Spec describes one backend server. Zero values mean the defaults.
type Spec struct {
	Name        string         `json:"name"`
	Service     string         `json:"service"`
	Domain      string         `json:"domain"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	// Speed divides the duration of work.
	Speed float64 `json:"speed"`
	// MeanWorkMS is the mean duration of a request at speed 1; durations are log-normal
	// with Sigma.
	MeanWorkMS float64 `json:"mean_work_ms"`
	Sigma      float64 `json:"sigma"`
	// BlockWorkMS is the mean duration of one archive block at speed 1.
	BlockWorkMS float64 `json:"block_work_ms"`
	// ProbeWorkMS is the duration of a probe at any speed.
	ProbeWorkMS float64 `json:"probe_work_ms"`
	// TickMS is the interval of the stream counter, derived from the wall clock.
	TickMS int `json:"tick_ms"`
	// ArchiveSeed and ArchiveBytes determine the content of archives. Servers of one
	// service must have the same values.
	ArchiveSeed  uint64 `json:"archive_seed"`
	ArchiveBytes int    `json:"archive_bytes"`
	// MaxAge is the Max-Age of notifications in seconds.
	MaxAge uint32 `json:"max_age"`
	// ColdStartMS is the time in which the speed rises linearly from ColdFactor of its
	// final value after a start.
	ColdStartMS int     `json:"cold_start_ms"`
	ColdFactor  float64 `json:"cold_factor"`
	Seed        uint64  `json:"seed"`
}

// withDefaults returns the spec with zero values replaced.
func (s Spec) withDefaults() (Spec, error) {
	if s.Name == "" || s.Service == "" {
		return s, fmt.Errorf("backend server %q has no name or no service", s.Name)
	}
	setDefault(&s.Slots, defaultSlots)
	setDefault(&s.Connections, defaultConnections)
	setDefault(&s.Speed, 1)
	setDefault(&s.MeanWorkMS, defaultMeanWork)
	setDefault(&s.Sigma, defaultSigma)
	setDefault(&s.BlockWorkMS, defaultBlockWork)
	setDefault(&s.ProbeWorkMS, defaultProbeWork)
	setDefault(&s.TickMS, defaultTick)
	setDefault(&s.ArchiveBytes, defaultArchiveBytes)
	setDefault(&s.MaxAge, defaultMaxAge)
	setDefault(&s.ColdFactor, defaultColdFactor)
	return s, nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// EndpointMode says how the health or load endpoint answers.
type EndpointMode string

// Modes of the health and load endpoints. An empty mode is the truth.
const (
	Truth   EndpointMode = "truth"
	OK      EndpointMode = "ok"      // health: always ok; load: always idle
	Failing EndpointMode = "failing" // health: always failing; load: always full
	Silent  EndpointMode = "silent"  // no answer
)

// Behaviour holds the settings of a server that change while it runs.
type Behaviour struct {
	Health EndpointMode `json:"health"`
	Load   EndpointMode `json:"load"`
	// LagMS is the age of the state that the health and load endpoints answer with.
	LagMS int `json:"lag_ms"`
	// Speed replaces the speed of the Spec when it is not zero.
	Speed float64 `json:"speed"`
	// ShedAll refuses every request as if all slots were busy.
	ShedAll bool `json:"shed_all"`
}

// Execution is one request that a server started to run, unless it is marked as shed.
type Execution struct {
	Seq       uint64 `json:"seq"` // position in the log of the process
	Server    string `json:"server"`
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	PayloadID string `json:"payload_id,omitempty"`
	StartUS   int64  `json:"start_us"` // Unix time
	EndUS     int64  `json:"end_us"`
	Slots     int    `json:"slots"` // busy slots including this request's
	Abandoned bool   `json:"abandoned,omitempty"`
	// Shed marks a request that arrived but did not run. It is only logged with a payload
	// ID, so that the attempts of a non-idempotent request can be followed.
	Shed      bool           `json:"shed,omitempty"`
	Remote    netip.AddrPort `json:"remote"`
	MessageID uint16         `json:"message_id"`
}

// Status is the state and the counters of a server.
type Status struct {
	Name          string         `json:"name"`
	Service       string         `json:"service"`
	Domain        string         `json:"domain"`
	Address       netip.AddrPort `json:"address"`
	Alive         bool           `json:"alive"`
	Draining      bool           `json:"draining"`
	Speed         float64        `json:"speed"`
	Slots         int            `json:"slots"`
	Running       int            `json:"running"`
	Streams       int            `json:"streams"`
	Executed      uint64         `json:"executed"`
	Abandoned     uint64         `json:"abandoned"`
	BusyUS        int64          `json:"busy_us"` // slot time used
	Shed          uint64         `json:"shed"`
	Overruns      uint64         `json:"overruns"` // requests that arrived with all slots busy
	StreamsShed   uint64         `json:"streams_shed"`
	Misdelivered  uint64         `json:"misdelivered"`
	Deduplicated  uint64         `json:"deduplicated"`
	Cancelled     uint64         `json:"cancelled"`
	Registrations uint64         `json:"registrations"`
	Notifications uint64         `json:"notifications"`
	LostObservers uint64         `json:"lost_observers"`
	// WorkWhileDraining counts requests and new registrations that arrived while
	// draining; LastWorkAfterDrainMS is when the last of them arrived after the start.
	WorkWhileDraining    uint64 `json:"work_while_draining"`
	LastWorkAfterDrainMS int64  `json:"last_work_after_drain_ms"`
	// StreamsEndedByDrain counts the streams still registered when the drain ended.
	StreamsEndedByDrain uint64 `json:"streams_ended_by_drain"`
	HealthChecks        uint64 `json:"health_checks"`
	Malformed           uint64 `json:"malformed"`
}
