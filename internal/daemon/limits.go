package daemon

import (
	"net/netip"
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/dispatch"
	"github.com/monsoonthread/monsoonthread/internal/settings"
)

// prefixLimiter makes a PrefixLimiter safe for concurrent use.
type prefixLimiter struct {
	mu      sync.Mutex
	limiter *admission.PrefixLimiter
}

// newPrefixLimiter allows perSecond new flows from each source prefix, and a burst of
// one second's worth.
func newPrefixLimiter(perSecond int, seed uint64, now time.Time) *prefixLimiter {
	return &prefixLimiter{limiter: admission.NewPrefixLimiter(float64(perSecond), perSecond, 0, seed, now)}
}

// Allow implements flow.NewFlowLimiter.
func (l *prefixLimiter) Allow(now time.Time, caller netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok, _ := l.limiter.Allow(now, caller)
	return ok
}

// policyOf returns the policy of --dispatch-policy.
func policyOf(name string) dispatch.Policy {
	for i, n := range settings.DispatchPolicies {
		if n == name {
			return [...]dispatch.Policy{dispatch.PolicySummaries, dispatch.PolicyNoSummary, dispatch.PolicyRoundRobin, dispatch.PolicyRandom}[i]
		}
	}
	return dispatch.PolicySummaries
}
