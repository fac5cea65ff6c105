package backend

import (
	"context"

	"github.com/qmuntal/stateless"
)

// trigger is an event that can change the lifecycle state.
type trigger uint8

const (
	triggerSuccess   trigger = iota // a request succeeded
	triggerWarmUpEnd                // the slow start has ended
	triggerSuspect                  // failures or an endpoint make the server suspect
	triggerEject                    // a suspect server keeps failing
	triggerDrain                    // notice that the server leaves
	triggerReinstate                // the server is put back into service
)

// lifecycle is the state machine of one server. Triggers without a transition in the
// current state are ignored.
type lifecycle struct{ machine *stateless.StateMachine }

func newLifecycle(state *State) lifecycle {
	m := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return *state, nil },
		func(_ context.Context, s stateless.State) error { *state = s.(State); return nil },
		stateless.FiringImmediate)
	m.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error { return nil })
	m.Configure(Cold).Permit(triggerSuccess, Warming).Permit(triggerSuspect, Suspect).Permit(triggerDrain, Draining)
	m.Configure(Warming).Permit(triggerWarmUpEnd, Active).Permit(triggerSuspect, Suspect).Permit(triggerDrain, Draining)
	m.Configure(Active).Permit(triggerSuspect, Suspect).Permit(triggerDrain, Draining)
	m.Configure(Suspect).Permit(triggerSuccess, Active).Permit(triggerEject, Ejected).Permit(triggerDrain, Draining)
	m.Configure(Ejected).Permit(triggerSuccess, Warming).Permit(triggerDrain, Draining)
	m.Configure(Draining).Permit(triggerReinstate, Cold)
	return lifecycle{m}
}

// fire applies the trigger. The unhandled-trigger action returns nil and no
// transition has an action, so Fire cannot fail.
func (l lifecycle) fire(t trigger) { _ = l.machine.Fire(t) }
