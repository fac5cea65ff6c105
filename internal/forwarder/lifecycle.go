package forwarder

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/qmuntal/stateless"
	"github.com/rs/zerolog"

	"github.com/monsoonthread/monsoonthread/internal/forwarder/view"
	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/platform/wire"
	"github.com/monsoonthread/monsoonthread/result"
)

// States of an instance and the triggers of transitions.
const (
	stateStarting = "starting" // configuration and servers are not loaded or not current
	stateReady    = "ready"
	stateLeaving  = "leaving" // shutting down; forwards until the routers stop sending

	triggerCaughtUp   = "caught_up"
	triggerFellBehind = "fell_behind"
	triggerStop       = "stop"
)

const (
	// routerDetectionTime is the time in which the routers detect that readiness returns 503:
	// they probe twice a second and need two failures.
	routerDetectionTime = 1500 * time.Millisecond
	// quietPeriod is the time without a packet after which no router sends to this instance.
	quietPeriod = 700 * time.Millisecond
	// exitMargin is the time reserved before SIGKILL so that the process exits by itself.
	exitMargin = time.Second
)

// lifecycle is the state machine of an instance. isReady and leaving mirror its
// state; every readiness probe reads isReady.
type lifecycle struct {
	machine *stateless.StateMachine
	log     zerolog.Logger
	isReady atomic.Bool
	leaving atomic.Bool
}

func newLifecycle(log zerolog.Logger) *lifecycle {
	l := &lifecycle{machine: stateless.NewStateMachine(stateStarting), log: log}
	l.machine.Configure(stateStarting).Permit(triggerCaughtUp, stateReady).Permit(triggerStop, stateLeaving).Ignore(triggerFellBehind)
	l.machine.Configure(stateReady).Permit(triggerStop, stateLeaving).Permit(triggerFellBehind, stateStarting).Ignore(triggerCaughtUp)
	l.machine.Configure(stateLeaving).Ignore(triggerCaughtUp).Ignore(triggerStop).Ignore(triggerFellBehind)
	l.machine.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		l.isReady.Store(t.Destination == stateReady)
		l.leaving.Store(t.Destination == stateLeaving)
		log.Info().Interface(logging.State, t.Destination).Interface(logging.Reason, t.Trigger).Msg("lifecycle")
	})
	return l
}

// state returns the name of the current state.
func (l *lifecycle) state() string { return l.machine.MustState().(string) }

func (l *lifecycle) fire(trigger string) {
	if err := l.machine.Fire(trigger); err != nil {
		l.log.Error().Uint16(logging.Code, uint16(result.InternalInvariant)).Err(err).Msg("lifecycle")
	}
}

// settingsPollInterval is the time between reloads of the settings, because the settings file
// may change without a signal.
const settingsPollInterval = 10 * time.Second

// reloadOnSignal reloads the settings on SIGHUP.
func (f *Forwarder) reloadOnSignal(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			f.applySettings()
		}
	}
}

// pollSettings reloads the settings at a fixed interval.
func (f *Forwarder) pollSettings(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, settingsPollInterval)
		f.applySettings()
	}
}

// applySettings reloads the settings. If they are invalid, the previous ones stay in force.
// Listen addresses change only with a restart.
func (f *Forwarder) applySettings() {
	s, err := f.reload()
	if err != nil {
		f.log.Error().Uint16(logging.Code, errorCode(err)).Err(err).Msg("settings_rejected")
		return
	}
	if old := f.settings.Swap(&s); *old != s {
		f.log.Info().Msg("settings_changed")
	}
}

// serveHTTP serves readiness, metrics and the status for monsoonctl.
func (f *Forwarder) serveHTTP() (*http.Server, error) {
	listener, err := net.Listen("tcp4", f.settings.Load().ReadyAddress)
	if err != nil {
		return nil, result.Errorf(result.SettingsInvalid, "--ready-address: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !f.lifecycle.isReady.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", f.handleMetrics)
	mux.HandleFunc("GET "+view.StatusPath, f.handleStatus)
	mux.HandleFunc("GET "+view.FlowPath, f.handleFlow)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, MaxHeaderBytes: 4096}
	go server.Serve(listener)
	f.serveMetrics(server)
	return server, nil
}

// serveMetrics also serves on the metrics address, if one is set. A failure to listen is not
// fatal: the address may be in use, because the platform assigns the other addresses
// independently of it.
func (f *Forwarder) serveMetrics(server *http.Server) {
	address := f.settings.Load().MetricsAddress
	if address == "" {
		return
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		f.log.Warn().Uint16(logging.Code, uint16(result.SettingsInvalid)).Err(err).Msg("metrics_not_served")
		return
	}
	go server.Serve(listener)
}

// leave keeps forwarding until the routers send no more packets or the grace period is
// nearly over. After that, any other instance can forward the flows by their cookies.
func (f *Forwarder) leave() {
	f.lifecycle.fire(triggerStop)
	deadline := time.Now().Add(f.settings.Load().GracePeriod - exitMargin)
	time.Sleep(min(routerDetectionTime, time.Until(deadline)))
	for time.Now().Before(deadline) && f.now()-f.lastPacket() < quietPeriod {
		time.Sleep(tickInterval)
	}
	f.log.Info().Msg("stopped")
}
