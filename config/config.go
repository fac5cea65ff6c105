// Package config defines the configuration of a deployment, which is generated from a
// questionnaire, its digest, the protocol that commits it to the key-value service and the
// rules by which an instance adopts a version. An instance only adopts higher versions and
// never rolls back.
package config

import (
	"net/netip"
	"time"
)

// Class is an urgency class of requests. Lower values are more urgent.
type Class uint8

// The urgency classes.
const (
	Urgent Class = iota
	Normal
	Bulk
	NumClasses
)

// String returns the name used in questionnaires and logs.
func (c Class) String() string {
	switch c {
	case Urgent:
		return "urgent"
	case Normal:
		return "normal"
	case Bulk:
		return "bulk"
	}
	return "invalid"
}

// Config is one version of the whole configuration. It is immutable once built.
type Config struct {
	Version uint64 `json:"version"`
	// NextServiceID is greater than every service ID ever used, so that the ID of a
	// removed service is never reused.
	NextServiceID uint32    `json:"next_service_id"`
	Domains       []Domain  `json:"domains"`
	Services      []Service `json:"services"` // sorted by name
}

// Domain is a failure domain and its weight in flow placement.
type Domain struct {
	Name   string `json:"name"`
	Weight uint32 `json:"weight"`
}

// Service is a service that callers reach at one address.
type Service struct {
	ID              uint32             `json:"id"` // stable across versions, never reused
	Name            string             `json:"name"`
	Address         netip.AddrPort     `json:"address"`
	BackendServers  []BackendServer    `json:"backend_servers"`
	Routes          []Route            `json:"routes"`
	MinShares       [NumClasses]uint32 `json:"min_shares_percent"` // minimum shares of the servers' slot time
	DefaultDeadline Milliseconds       `json:"default_deadline_ms"`
	MaxDeadline     Milliseconds       `json:"max_deadline_ms"`
	MaxRequestBytes int                `json:"max_request_bytes"`
}

// BackendServer is a host that executes requests of one service.
type BackendServer struct {
	Name        string         `json:"name"` // unique in the configuration
	Domain      string         `json:"domain"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`       // maximum number of concurrent requests
	Connections int            `json:"connections"` // maximum number of open flows
	Weight      uint32         `json:"weight"`      // relative speed, 100 = reference
	WarmUp      Milliseconds   `json:"warm_up_ms"`
	Leaving     bool           `json:"leaving"` // gets no new requests
	// HealthPath and LoadPath are empty if the server has no such endpoint. Their
	// responses are advisory.
	HealthPath string `json:"health_path"`
	LoadPath   string `json:"load_path"`
}

// Route sets the class and properties of requests with one method and path prefix. The
// longest matching prefix applies.
type Route struct {
	Method     string `json:"method"` // GET, POST, PUT, DELETE, FETCH, PATCH, iPATCH or *
	PathPrefix string `json:"path_prefix"`
	Class      Class  `json:"class"`
	Idempotent bool   `json:"idempotent"`
	Stream     bool   `json:"stream"`
}

// Milliseconds is a duration that is serialized as a number of milliseconds.
type Milliseconds int64

// Duration converts to time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }
