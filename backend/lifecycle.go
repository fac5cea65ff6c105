package backend

import (
	"context"

	"github.com/qmuntal/stateless"
)

// trigger is an event that can change the lifecycle state.
type trigger uint8

const (
	succeed  trigger = iota // an own request succeeded
	warmed                  // the slow start has ended
	doubt                   // failures or an endpoint raise suspicion
	eject                   // own failures continue
	leave                   // notice that the server leaves
	comeBack                // explicit return
)

// lifecycle drives the state of one server; triggers without a transition in the
// present state are ignored.
type lifecycle struct{ machine *stateless.StateMachine }

func newLifecycle(state *State) lifecycle {
	m := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return *state, nil },
		func(_ context.Context, s stateless.State) error { *state = s.(State); return nil },
		stateless.FiringImmediate)
	m.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error { return nil })
	m.Configure(Cold).Permit(succeed, Warming).Permit(doubt, Suspect).Permit(leave, Draining)
	m.Configure(Warming).Permit(warmed, Active).Permit(doubt, Suspect).Permit(leave, Draining)
	m.Configure(Active).Permit(doubt, Suspect).Permit(leave, Draining)
	m.Configure(Suspect).Permit(succeed, Active).Permit(eject, Out).Permit(leave, Draining)
	m.Configure(Out).Permit(succeed, Warming).Permit(leave, Draining)
	m.Configure(Draining).Permit(comeBack, Cold)
	return lifecycle{m}
}

// fire applies the trigger. The unhandled-trigger action returns nil and no
// transition has an action, so Fire cannot fail.
func (l lifecycle) fire(t trigger) { _ = l.machine.Fire(t) }
