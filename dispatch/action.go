package dispatch

import (
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/result"
)

// Request is a request for a slot of one of the service's backend servers.
type Request struct {
	admission.Item
	Idempotent bool
}

// Assignment names a backend server for which the membership view selects this instance
// as dispatcher.
type Assignment struct {
	Server config.BackendServer
	// Previous is the instance that dispatched the server before, or would dispatch it
	// if this instance were absent. It is empty if there is none.
	Previous string
}

// Action is an operation that the user of a Scheduler must carry out.
type Action interface{ action() }

// Run sends the request to the server. Finish must be called exactly once for it.
type Run struct {
	GrantID uint64
	Server  config.BackendServer
	Request Request
}

// Refuse answers the request with an error. The request did not run.
type Refuse struct {
	ID         uint64
	Err        *result.Error
	RetryAfter time.Duration
	Payload    any
}

// SendHandoverRequest requests the handover of servers from an instance.
type SendHandoverRequest struct {
	To      string
	Servers []string
}

// SendHandoverDone tells the new dispatcher that requests counted in the handover
// have ended.
type SendHandoverDone struct {
	To, Server string
	Ended      uint32
}

// CancelRun cancels a running request. Finish must still be called for it, and its
// slot stays busy until the server has answered or the deadline has passed.
type CancelRun struct{ GrantID uint64 }

// Event is an entry for the event timeline.
type Event struct {
	Name, Server string
	Fields       []string // key=value
}

func (Run) action()                 {}
func (Refuse) action()              {}
func (SendHandoverRequest) action() {}
func (SendHandoverDone) action()    {}
func (CancelRun) action()           {}
func (Event) action()               {}
