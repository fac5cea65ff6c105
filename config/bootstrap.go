package config

import (
	"time"

	"github.com/monsoonthread/monsoonthread/result"
)

// BootstrapConfig limits how long a starting instance waits for responses.
type BootstrapConfig struct {
	// PeerWait is how long after its start an instance that has the store's response waits
	// for peers, which can have a higher version; default 1 s.
	PeerWait time.Duration
	// StoreWait is how long after its start an instance that has a peer's response waits
	// for the store; default 2 s.
	StoreWait time.Duration
	// ReportAfter is how long after its start an instance without any configuration
	// reports an error; default 5 s.
	ReportAfter time.Duration
}

// DecisionKind is the next step of a starting instance.
type DecisionKind uint8

// Kinds of decisions.
const (
	DecisionWait   DecisionKind = iota
	DecisionServe               // serve with BootstrapDecision.Config
	DecisionReport              // do not serve, report BootstrapDecision.Err and keep querying
)

// BootstrapDecision is the result of Bootstrap.Decide.
type BootstrapDecision struct {
	Kind   DecisionKind
	Config *Config
	Err    error
}

// Bootstrap decides whether a starting instance may serve. It needs a configuration from
// the store or a peer and selects the highest version. It performs no I/O and is not safe
// for concurrent use.
type Bootstrap struct {
	cfg     BootstrapConfig
	started time.Time
	best    *Config

	storeAnswered bool // with a configuration or result.StoreNotFound (none accepted)
	storeErr      error
	peerAnswered  map[string]bool // by peer ID
	peerErr       error
}

// NewBootstrap returns a Bootstrap that started at now and expects responses from peers.
// Responses of other peers are accepted as well.
func NewBootstrap(cfg BootstrapConfig, now time.Time, peers []string) *Bootstrap {
	setDefault := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	setDefault(&cfg.PeerWait, time.Second)
	setDefault(&cfg.StoreWait, 2*time.Second)
	setDefault(&cfg.ReportAfter, 5*time.Second)
	b := &Bootstrap{cfg: cfg, started: now, peerAnswered: make(map[string]bool)}
	for _, p := range peers {
		b.peerAnswered[p] = false
	}
	return b
}

// StoreResult records the outcome of Load. A later outcome replaces an earlier failure.
func (b *Bootstrap) StoreResult(c *Config, err error) {
	switch {
	case err == nil:
		b.storeAnswered, b.storeErr = true, nil
		b.updateBest(c)
	case result.CodeOf(err) == result.StoreNotFound && b.best == nil:
		b.storeAnswered, b.storeErr = true, err
	case !b.storeAnswered:
		b.storeErr = err
	}
}

// PeerResult records the response of a peer; c is nil if the peer has no configuration.
func (b *Bootstrap) PeerResult(id string, c *Config, err error) {
	if err != nil {
		b.peerErr = err
		return
	}
	b.peerAnswered[id] = true
	b.updateBest(c)
}

func (b *Bootstrap) updateBest(c *Config) {
	if c != nil && (b.best == nil || c.Version > b.best.Version) {
		b.best = c
	}
}

// Decide returns the next step at time now.
func (b *Bootstrap) Decide(now time.Time) BootstrapDecision {
	waited := now.Sub(b.started)
	if b.best != nil {
		if (b.storeAnswered || waited >= b.cfg.StoreWait) && b.peersDone(now) {
			return BootstrapDecision{Kind: DecisionServe, Config: b.best}
		}
		return BootstrapDecision{Kind: DecisionWait}
	}
	if waited < b.cfg.ReportAfter && !(b.storeAnswered && b.peersDone(now)) {
		return BootstrapDecision{Kind: DecisionWait}
	}
	if b.storeAnswered {
		return BootstrapDecision{Kind: DecisionReport, Err: result.Errorf(result.NoConfiguration, "no configuration has been accepted yet")}
	}
	return BootstrapDecision{Kind: DecisionReport, Err: result.Errorf(result.InstanceNotReady,
		"no configuration from the store (%v) or a peer (%v)", errorOrNoAnswer(b.storeErr), errorOrNoAnswer(b.peerErr))}
}

// peersDone reports whether every peer has responded or PeerWait has expired.
func (b *Bootstrap) peersDone(now time.Time) bool {
	if now.Sub(b.started) >= b.cfg.PeerWait {
		return true
	}
	for _, answered := range b.peerAnswered {
		if !answered {
			return false
		}
	}
	return true
}

func errorOrNoAnswer(err error) any {
	if err == nil {
		return "no answer"
	}
	return err
}
