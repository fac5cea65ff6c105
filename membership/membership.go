// Package membership detects failed instances of one failure domain by heartbeats and
// maintains a view of all domains. A Machine does no I/O: it takes events with the current
// time and returns actions. A Machine is not safe for concurrent use; a View is.
package membership

import (
	"time"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

// DomainConfig is a configured failure domain.
type DomainConfig struct {
	Name   string
	Weight uint32
}

// Config holds the settings of a Machine. Zero durations and counts select the defaults.
type Config struct {
	// Self.Incarnation is raised to the wall clock in milliseconds if it is lower.
	Self             Instance
	Domains          []DomainConfig
	ProbeInterval    time.Duration
	ProbeTimeout     time.Duration
	IndirectProbes   int
	SuspicionTimeout time.Duration
	DomainInterval   time.Duration
	DeadRetention    time.Duration
	// TakeoverDelay is how long a domain must appear vacant before other domains
	// dispatch its backend servers. It must exceed the delay of the instance list.
	TakeoverDelay time.Duration
}

const (
	defaultProbeInterval    = 200 * time.Millisecond
	defaultProbeTimeout     = 300 * time.Millisecond
	defaultIndirectProbes   = 2
	defaultSuspicionTimeout = 1200 * time.Millisecond
	defaultDomainInterval   = 500 * time.Millisecond
	defaultDeadRetention    = 60 * time.Second
	defaultTakeoverDelay    = 10 * time.Second
)

func (c *Config) setDefaults() {
	def := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	def(&c.ProbeInterval, defaultProbeInterval)
	def(&c.ProbeTimeout, defaultProbeTimeout)
	def(&c.SuspicionTimeout, defaultSuspicionTimeout)
	def(&c.DomainInterval, defaultDomainInterval)
	def(&c.DeadRetention, defaultDeadRetention)
	def(&c.TakeoverDelay, defaultTakeoverDelay)
	if c.IndirectProbes <= 0 {
		c.IndirectProbes = defaultIndirectProbes
	}
}

// ListEntry is an instance in the platform's instance list, which may be out of date.
type ListEntry struct {
	Instance
	Leaving bool
}

// Action is an operation that the code using a Machine must perform.
type Action interface{ action() }

// Send requests that Message is sent to instance To. To.Incarnation may be 0, and To.ID
// may be the machine's own ID with another address (see Machine.Fenced).
type Send struct {
	To      Instance
	Message *peerpb.Membership
}

// ViewChanged reports a new view.
type ViewChanged struct{ View *View }

// Rejoined reports that the instance is a member again with a new incarnation after
// it was fenced or declared dead. It no longer owns what it owned before.
type Rejoined struct{ Incarnation uint64 }

// HigherConfig reports that instance From has a higher configuration version. It is
// repeated until SetConfigVersion has set that version.
type HigherConfig struct {
	From    string
	Version uint64
}

// Field is one key and value of a Diagnostic.
type Field struct{ Key, Value string }

// Diagnostic is an event for logs and the event timeline.
type Diagnostic struct {
	Name   string
	Fields []Field
}

func (Send) action()         {}
func (ViewChanged) action()  {}
func (Rejoined) action()     {}
func (HigherConfig) action() {}
func (Diagnostic) action()   {}
