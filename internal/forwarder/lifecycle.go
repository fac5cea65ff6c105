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

// States of an instance and the triggers between them.
const (
	starting = "starting" // has not read configuration and servers
	ready    = "ready"
	leaving  = "leaving" // stops; forwards until the routers have left

	caughtUp    = "caught_up"
	fellBehind  = "fell_behind"
	stopRequest = "stop"
)

const (
	// routersLeave is the time after which the routers have noticed readiness 503: two
	// misses of probes that come twice a second.
	routersLeave = 1500 * time.Millisecond
	// quietTime without a packet shows that no router sends any more.
	quietTime = 700 * time.Millisecond
	// exitMargin keeps the exit before SIGKILL.
	exitMargin = time.Second
)

// lifecycle is the state machine of an instance. isReady is read by every probe.
type lifecycle struct {
	machine *stateless.StateMachine
	log     zerolog.Logger
	isReady atomic.Bool
	leaving atomic.Bool
}

func newLifecycle(log zerolog.Logger) *lifecycle {
	l := &lifecycle{machine: stateless.NewStateMachine(starting), log: log}
	l.machine.Configure(starting).Permit(caughtUp, ready).Permit(stopRequest, leaving).Ignore(fellBehind)
	l.machine.Configure(ready).Permit(stopRequest, leaving).Permit(fellBehind, starting).Ignore(caughtUp)
	l.machine.Configure(leaving).Ignore(caughtUp).Ignore(stopRequest).Ignore(fellBehind)
	l.machine.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		l.isReady.Store(t.Destination == ready)
		l.leaving.Store(t.Destination == leaving)
		log.Info().Interface(logging.State, t.Destination).Interface(logging.Reason, t.Trigger).Msg("lifecycle")
	})
	return l
}

// state returns the name of the present state.
func (l *lifecycle) state() string { return l.machine.MustState().(string) }

func (l *lifecycle) fire(trigger string) {
	if err := l.machine.Fire(trigger); err != nil {
		l.log.Error().Uint16(logging.Code, uint16(result.InternalInvariant)).Err(err).Msg("lifecycle")
	}
}

// settingsInterval is the time between looks at the settings, which may change without
// a signal.
const settingsInterval = 10 * time.Second

// reloadOnSignal applies the settings that may change while the process runs.
func (f *Forwarder) reloadOnSignal(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			f.applySettings()
		}
	}
}

// pollSettings looks at the settings from time to time.
func (f *Forwarder) pollSettings(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, settingsInterval)
		f.applySettings()
	}
}

// applySettings takes over changed settings. Rejected ones leave those in force. The
// addresses that the process listens at change only with a restart.
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

// serveHTTP answers readiness, metrics and the operators' tool.
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
	mux.HandleFunc("GET /metrics", f.writeMetrics)
	mux.HandleFunc("GET "+view.StatusPath, f.writeStatus)
	mux.HandleFunc("GET "+view.FlowPath, f.writeFlow)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, MaxHeaderBytes: 4096}
	go server.Serve(listener)
	f.serveMetrics(server)
	return server, nil
}

// serveMetrics serves at the metrics address as well, if there is one. An instance does its
// work without it: the address may be taken, because the platform draws the others.
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

// leave keeps forwarding until the routers send no more packets or the grace period
// nears its end. Any other instance forwards the flows by their cookies.
func (f *Forwarder) leave() {
	f.lifecycle.fire(stopRequest)
	deadline := time.Now().Add(f.settings.Load().GracePeriod - exitMargin)
	time.Sleep(min(routersLeave, time.Until(deadline)))
	for time.Now().Before(deadline) && f.now()-f.lastPacket() < quietTime {
		time.Sleep(tickInterval)
	}
	f.log.Info().Msg("stopped")
}
