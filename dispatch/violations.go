package dispatch

import "sync/atomic"

// Violations counts invariant violations of all schedulers in the process. Each one is
// a bug: the daemon exports the count, and tests fail on any violation.
var Violations ViolationCounter

// ViolationCounter counts violations and calls an optional hook for each. It is safe
// for concurrent use.
type ViolationCounter struct {
	count atomic.Uint64
	hook  atomic.Pointer[func(name, server string)]
}

// Count returns the number of violations since the start of the process.
func (v *ViolationCounter) Count() uint64 { return v.count.Load() }

// SetHook registers f to be called on each violation; nil removes the hook. The user of
// the scheduler holds its lock during the call.
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
