package dispatch

import "sync/atomic"

// Violations counts broken invariants of all schedulers in the process. They are
// faults of the program: the daemon exports the count, tests fail on any.
var Violations ViolationCounter

// ViolationCounter is a counter with an optional hook. It is safe for concurrent use.
type ViolationCounter struct {
	count atomic.Uint64
	hook  atomic.Pointer[func(name, server string)]
}

// Count returns the number of violations so far.
func (v *ViolationCounter) Count() uint64 { return v.count.Load() }

// SetHook calls f on each further violation; nil removes the hook. The scheduler's
// caller holds its lock during the call.
func (v *ViolationCounter) SetHook(f func(name, server string)) {
	if f == nil {
		v.hook.Store(nil)
		return
	}
	v.hook.Store(&f)
}

func (v *ViolationCounter) report(name, server string) {
	v.count.Add(1)
	if f := v.hook.Load(); f != nil {
		(*f)(name, server)
	}
}

// Names of the invariants.
const (
	ViolationOverrun    = "running_exceeds_slots"
	ViolationNotOwner   = "grant_without_ownership"
	ViolationLeaving    = "grant_to_leaving_server"
	ViolationAccounting = "accounting_mismatch"
	ViolationUnfinished = "grant_not_finished"
)
