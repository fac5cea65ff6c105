package daemon

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/qmuntal/stateless"

	"github.com/monsoonthread/monsoonthread/dispatch"
	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/internal/timeline"
	"github.com/monsoonthread/monsoonthread/membership"
)

// instanceState is a state of an entry instance's lifecycle.
type instanceState string

const (
	stateStarting instanceState = "starting" // no configuration or not joined; does not serve
	stateServing  instanceState = "serving"
	stateLeaving  instanceState = "leaving" // graceful stop
	stateStopped  instanceState = "stopped"
)

type trigger string

const (
	triggerConfigured trigger = "configured"
	triggerLeave      trigger = "leave"
	triggerStopped    trigger = "stopped"
)

const (
	stopPollInterval = 20 * time.Millisecond
	// minStopTime keeps the sockets open until the other instances have learned of the
	// stop: the instance list may lag and the fabric may still deliver packets.
	minStopTime = 2 * time.Second
)

// lifecycle is the state machine of an entry instance.
type lifecycle struct {
	daemon  *Daemon
	machine *stateless.StateMachine
	state   atomic.Value
}

func newLifecycle(d *Daemon) *lifecycle {
	l := &lifecycle{daemon: d}
	l.state.Store(stateStarting)
	l.machine = stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return l.state.Load(), nil },
		func(_ context.Context, s stateless.State) error { l.state.Store(s); return nil },
		stateless.FiringImmediate)
	l.machine.Configure(stateStarting).Permit(triggerConfigured, stateServing).
		Permit(triggerLeave, stateLeaving).Permit(triggerStopped, stateStopped)
	l.machine.Configure(stateServing).Ignore(triggerConfigured).Permit(triggerLeave, stateLeaving).
		Permit(triggerStopped, stateStopped)
	l.machine.Configure(stateLeaving).Ignore(triggerConfigured).Ignore(triggerLeave).Permit(triggerStopped, stateStopped)
	l.machine.Configure(stateStopped).Ignore(triggerConfigured).Ignore(triggerLeave).Ignore(triggerStopped)
	l.machine.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		d.event("instance_state", timeline.Field{Key: logging.State, Value: fmt.Sprint(t.Destination)})
	})
	return l
}

func (l *lifecycle) fire(t trigger) {
	if err := l.machine.Fire(t); err != nil {
		l.daemon.violation("instance_lifecycle", err.Error())
	}
}

func (l *lifecycle) current() instanceState { return l.state.Load().(instanceState) }
func (l *lifecycle) leaving() bool          { return l.current() == stateLeaving }
func (l *lifecycle) stopped() bool          { return l.current() == stateStopped }
func (l *lifecycle) serving() bool          { return l.current() == stateServing }

// stop leaves the membership, hands over backend servers and streams, and waits until
// no request depends on this instance.
func (d *Daemon) stop() error {
	started := time.Now()
	configured := d.current.Get() != nil
	d.lifecycle.fire(triggerLeave)
	defer d.lifecycle.fire(triggerStopped)
	if !configured {
		return nil
	}
	d.members.with(func(m *membership.Machine) []membership.Action { return m.Leave(started) })
	d.schedulers.each(func(s *dispatch.Scheduler) []dispatch.Action { return s.Drain(started) })
	d.streams.requestReplan()
	for time.Since(started) < d.settings.StopTimeout {
		if time.Since(started) > minStopTime && d.idle() {
			d.event("instance_left", timeline.Field{Key: logging.Duration, Value: time.Since(started).String()})
			return nil
		}
		time.Sleep(stopPollInterval)
	}
	return fmt.Errorf("graceful stop timed out after %s: %d requests, %d streams, %d running on backend servers",
		d.settings.StopTimeout, d.pending.len(), d.streams.active(), d.runningRequests())
}

// idle reports whether nothing depends on this instance any more: it has no pending or
// running request, no stream that another instance could take, and no permit that is
// still valid.
func (d *Daemon) idle() bool {
	noSuccessor := !d.hasSuccessor()
	return d.pending.len() == 0 && d.runningRequests() == 0 && (noSuccessor || d.streams.active() == 0) &&
		d.issuer.idle(time.Now(), d.settings.PermitLifetime)
}

// hasSuccessor reports whether another instance can take over the streams.
func (d *Daemon) hasSuccessor() bool {
	r := d.routes.Load()
	if r == nil {
		return false
	}
	owner, ok := r.view.Owner(0)
	return ok && owner.ID != d.settings.InstanceID
}

func (d *Daemon) runningRequests() (n int) {
	for _, sch := range d.schedulers.all() {
		sch.mu.Lock()
		n += sch.scheduler.Running()
		sch.mu.Unlock()
	}
	return n
}
