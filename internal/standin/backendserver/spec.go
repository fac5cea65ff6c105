// Package backendserver is a stand-in for the backend servers of a deployment. A Host runs
// any number of servers in one process. Each server has its own UDP address, slots and
// connections, implements the protocol of docs/design.md, section 4.6, and records executed
// requests in a log.
//
// The first path segment of a request is the name of the service; a request for another
// service is counted as misdelivered. Below it, "watch" can be observed, "archive" is
// transferred in blocks (Block2), "probe" is work of the same duration on every server, and
// any other path is work whose duration depends on the speed. Probes, archives and work
// occupy a slot. "/health" and "/load" occupy none.
package backendserver

import (
	"fmt"
	"net/netip"
	"time"
)

const (
	// DeadlineOption is the number of the elective CoAP option that carries the deadline in
	// milliseconds.
	DeadlineOption = 65002
	// ExchangeLifetime is how long a message ID is remembered (RFC 7252, section 4.8.2).
	ExchangeLifetime = 247 * time.Second

	defaultSlots         = 2
	defaultConnections   = 2000
	defaultMeanWorkMS    = 20.0
	defaultSigma         = 0.5
	defaultBlockWorkMS   = 0.3
	defaultProbeWorkMS   = 1.0
	defaultTickMS        = 1000
	defaultArchiveBytes  = 8 << 20
	defaultMaxAgeSeconds = 30
	defaultColdFactor    = 0.2
	shedMaxAgeSeconds    = 1
)

// Spec configures one backend server. Zero values select the defaults.
type Spec struct {
	Name        string         `json:"name"`
	Service     string         `json:"service"`
	Domain      string         `json:"domain"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	// Speed is the factor by which the duration of work is divided.
	Speed float64 `json:"speed"`
	// MeanWorkMS is the mean duration of a request at speed 1; durations are log-normal
	// with Sigma.
	MeanWorkMS float64 `json:"mean_work_ms"`
	Sigma      float64 `json:"sigma"`
	// BlockWorkMS is the mean duration of serving one archive block at speed 1.
	BlockWorkMS float64 `json:"block_work_ms"`
	// ProbeWorkMS is the duration of a probe, regardless of the speed.
	ProbeWorkMS float64 `json:"probe_work_ms"`
	// TickMS is the interval at which the stream counter increases. The counter is derived
	// from the wall clock.
	TickMS int `json:"tick_ms"`
	// ArchiveSeed and ArchiveBytes determine the content of archives. Servers of one
	// service must have the same values.
	ArchiveSeed  uint64 `json:"archive_seed"`
	ArchiveBytes int    `json:"archive_bytes"`
	// MaxAge is the Max-Age of notifications in seconds.
	MaxAge uint32 `json:"max_age"`
	// ColdStartMS is the time after a start during which the speed rises linearly from
	// ColdFactor times its final value to that value.
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
	setDefault(&s.MeanWorkMS, defaultMeanWorkMS)
	setDefault(&s.Sigma, defaultSigma)
	setDefault(&s.BlockWorkMS, defaultBlockWorkMS)
	setDefault(&s.ProbeWorkMS, defaultProbeWorkMS)
	setDefault(&s.TickMS, defaultTickMS)
	setDefault(&s.ArchiveBytes, defaultArchiveBytes)
	setDefault(&s.MaxAge, defaultMaxAgeSeconds)
	setDefault(&s.ColdFactor, defaultColdFactor)
	return s, nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// EndpointMode selects the response of the health or load endpoint.
type EndpointMode string

// Modes of the health and load endpoints. The empty mode is equivalent to Truth.
const (
	Truth   EndpointMode = "truth"   // the actual state
	OK      EndpointMode = "ok"      // health: always ok; load: always idle
	Failing EndpointMode = "failing" // health: always failing; load: always full
	Silent  EndpointMode = "silent"  // no response
)

// Behaviour holds the settings of a server that can be changed while it runs.
type Behaviour struct {
	Health EndpointMode `json:"health"`
	Load   EndpointMode `json:"load"`
	// LagMS is the age of the state that the health and load endpoints report.
	LagMS int `json:"lag_ms"`
	// Speed overrides Spec.Speed if it is not zero.
	Speed float64 `json:"speed"`
	// ShedAll sheds every request as if all slots were busy.
	ShedAll bool `json:"shed_all"`
}

// Execution is the log entry of a request that a server started to run, or shed.
type Execution struct {
	Seq       uint64 `json:"seq"` // sequence number in the log of the process, starting at 1
	Server    string `json:"server"`
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	PayloadID string `json:"payload_id,omitempty"`
	StartUS   int64  `json:"start_us"` // Unix time in microseconds
	EndUS     int64  `json:"end_us"`
	Slots     int    `json:"slots"` // busy slots, including that of this request
	Abandoned bool   `json:"abandoned,omitempty"`
	// Shed marks a request that arrived but did not run. Shed requests are logged only if
	// they have a payload ID, so that all attempts of a non-idempotent request can be traced.
	Shed      bool           `json:"shed,omitempty"`
	Remote    netip.AddrPort `json:"remote"`
	MessageID uint16         `json:"message_id"`
}

// Status holds the state and the counters of a server.
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
	BusyUS        int64          `json:"busy_us"` // total time that requests occupied slots
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
	// draining; LastWorkAfterDrainMS is the time from the start of the drain to the last of
	// them.
	WorkWhileDraining    uint64 `json:"work_while_draining"`
	LastWorkAfterDrainMS int64  `json:"last_work_after_drain_ms"`
	// StreamsEndedByDrain counts the streams that were still registered when the drain
	// period ended.
	StreamsEndedByDrain uint64 `json:"streams_ended_by_drain"`
	HealthChecks        uint64 `json:"health_checks"`
	Malformed           uint64 `json:"malformed"`
}
