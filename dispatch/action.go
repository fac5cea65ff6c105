package dispatch

import (
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/result"
)

// Request is a request that waits for a slot of one of the service's servers.
type Request struct {
	admission.Item
	Idempotent bool
}

// Assignment names a backend server whose computed dispatcher is this instance.
type Assignment struct {
	Server config.BackendServer
	// Previous is the instance that was or would be its dispatcher without this one,
	// empty if there is none.
	Previous string
}

// Action is something that the caller of the scheduler must do.
type Action interface{ action() }

// Run sends the request to the server. It ends with exactly one Finish.
type Run struct {
	Grant   uint64
	Server  config.BackendServer
	Request Request
}

// Refuse answers the request, which did not run.
type Refuse struct {
	ID         uint64
	Err        *result.Error
	RetryAfter time.Duration
	Payload    any
}

// AskHandover asks an instance to hand over servers.
type AskHandover struct {
	To      string
	Servers []string
}

// SendHandoverDone tells the new dispatcher that requests counted in the handover
// have ended.
type SendHandoverDone struct {
	To, Server string
	Ended      uint32
}

// CancelRun cancels a running request. Its Finish is still due, and its slot stays
// busy until the server has answered or the deadline has passed.
type CancelRun struct{ Grant uint64 }

// Event is an entry for the timeline.
type Event struct {
	Name, Server string
	Fields       []string // key=value
}

func (Run) action()              {}
func (Refuse) action()           {}
func (AskHandover) action()      {}
func (SendHandoverDone) action() {}
func (CancelRun) action()        {}
func (Event) action()            {}
