package config

import (
	"time"

	"github.com/monsoonthread/monsoonthread/result"
)

// BootstrapConfig bounds how long an instance that starts waits for answers.
type BootstrapConfig struct {
	// PeerWait is how long an instance that has the store's answer waits for peers,
	// which can have a higher version; default 1 s.
	PeerWait time.Duration
	// StoreWait is how long an instance that has a peer's answer waits for the store;
	// default 2 s.
	StoreWait time.Duration
	// ReportAfter is how long it waits for any configuration before it reports; default 5 s.
	ReportAfter time.Duration
}

// DecisionKind is what an instance that starts does.
type DecisionKind uint8

// The decisions.
const (
	Wait   DecisionKind = iota
	Serve               // with Decision.Config
	Report              // does not serve and reports Decision.Err; asking goes on
)

// Decision is the state of a Bootstrap.
type Decision struct {
	Kind   DecisionKind
	Config *Config
	Err    error
}

// Bootstrap decides whether an instance that starts may serve: only with a
// configuration from the store or from a peer, and the highest version wins. It makes
// no calls and is not safe for concurrent use.
type Bootstrap struct {
	cfg     BootstrapConfig
	started time.Time
	best    *Config

	storeAnswered bool // with a configuration or with the answer that there is none
	storeErr      error
	peersAsked    map[string]bool // value: answered
	peerErr       error
}

// NewBootstrap starts the decision. The peers are those that the instance will ask;
// more can be added by their answers.
func NewBootstrap(cfg BootstrapConfig, now time.Time, peers []string) *Bootstrap {
	def := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	def(&cfg.PeerWait, time.Second)
	def(&cfg.StoreWait, 2*time.Second)
	def(&cfg.ReportAfter, 5*time.Second)
	b := &Bootstrap{cfg: cfg, started: now, peersAsked: make(map[string]bool)}
	for _, p := range peers {
		b.peersAsked[p] = false
	}
	return b
}

// Store tells the outcome of Load. A later outcome replaces an earlier failure.
func (b *Bootstrap) Store(c *Config, err error) {
	switch {
	case err == nil:
		b.storeAnswered, b.storeErr = true, nil
		b.offer(c)
	case result.CodeOf(err) == result.StoreNotFound && b.best == nil:
		b.storeAnswered, b.storeErr = true, err
	case !b.storeAnswered:
		b.storeErr = err
	}
}

// Peer tells the answer of a peer; the configuration is nil if the peer has none.
func (b *Bootstrap) Peer(id string, c *Config, err error) {
	if err != nil {
		b.peerErr = err
		return
	}
	b.peersAsked[id] = true
	b.offer(c)
}

func (b *Bootstrap) offer(c *Config) {
	if c != nil && (b.best == nil || c.Version > b.best.Version) {
		b.best = c
	}
}

// Decide returns what to do now.
func (b *Bootstrap) Decide(now time.Time) Decision {
	waited := now.Sub(b.started)
	if b.best != nil {
		if (b.storeAnswered || waited >= b.cfg.StoreWait) && b.peersHeard(now) {
			return Decision{Kind: Serve, Config: b.best}
		}
		return Decision{Kind: Wait}
	}
	if waited < b.cfg.ReportAfter && !(b.storeAnswered && b.peersHeard(now)) {
		return Decision{Kind: Wait}
	}
	if b.storeAnswered {
		return Decision{Kind: Report, Err: result.Errorf(result.NoConfiguration, "no configuration was accepted yet")}
	}
	return Decision{Kind: Report, Err: result.Errorf(result.InstanceNotReady,
		"no configuration from the store (%v) or a peer (%v)", orNoAnswer(b.storeErr), orNoAnswer(b.peerErr))}
}

// peersHeard reports whether every peer has answered or their time is up.
func (b *Bootstrap) peersHeard(now time.Time) bool {
	if now.Sub(b.started) >= b.cfg.PeerWait {
		return true
	}
	for _, answered := range b.peersAsked {
		if !answered {
			return false
		}
	}
	return true
}

func orNoAnswer(err error) any {
	if err == nil {
		return "no answer"
	}
	return err
}
