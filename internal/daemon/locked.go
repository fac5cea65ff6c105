package daemon

import (
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/dispatch"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
	"github.com/monsoonthread/monsoonthread/permit"
	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// retryRatio limits retries to 10% of first attempts; minRetriesPerSecond lets
	// services with few requests retry.
	retryRatio          = 0.1
	minRetriesPerSecond = 1
)

// lockedChooser is a dispatch.Chooser that is safe for concurrent use.
type lockedChooser struct {
	mu         sync.Mutex
	chooser    *dispatch.Chooser
	candidates map[uint32][]string
}

func (c *lockedChooser) setChooserCount(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chooser.SetChooserCount(n)
}

func (c *lockedChooser) setCandidates(service uint32, instances []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.candidates == nil {
		c.candidates = map[uint32][]string{}
	}
	c.candidates[service] = instances
	c.chooser.SetCandidates(service, instances)
}

// choose returns preferred if it is a candidate that is not excluded, otherwise the
// chooser's choice.
func (c *lockedChooser) choose(now time.Time, service uint32, excluded []string, preferred string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if preferred != "" && contains(c.candidates[service], preferred) && !contains(excluded, preferred) {
		return preferred, true
	}
	return c.chooser.Choose(now, service, excluded)
}

func contains(list []string, v string) bool {
	for _, s := range list {
		if s == v {
			return true
		}
	}
	return false
}

func (c *lockedChooser) observe(now time.Time, from string, s *peerpb.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chooser.Observe(now, from, s)
}

func (c *lockedChooser) sent(service uint32, to string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chooser.Sent(service, to)
}

// failed reports to the chooser that an instance cannot dispatch; service 0 means all
// services.
func (c *lockedChooser) failed(now time.Time, service uint32, instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if service != 0 {
		c.chooser.RecordFailure(now, service, instance)
		return
	}
	for id, instances := range c.candidates {
		if contains(instances, instance) {
			c.chooser.RecordFailure(now, id, instance)
		}
	}
}

// lockedIssuer is a permit.Issuer that is safe for concurrent use.
type lockedIssuer struct {
	mu         sync.Mutex
	issuer     *permit.Issuer
	lastIssued time.Time // time of the last issued permit
}

func (i *lockedIssuer) issue(now time.Time, flow uint64, service uint32) ([]byte, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	b := i.issuer.Issue(now, flow, service)
	if b == nil {
		return nil, result.Errorf(result.TableFull, "the table of permitted requests is full")
	}
	i.lastIssued = now
	return b, nil
}

func (i *lockedIssuer) begin(now time.Time, echo []byte, p *packet, identity uint64) (permit.Decision, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.issuer.Begin(now, echo, p.hash, p.service.ID, identity, p)
}

func (i *lockedIssuer) complete(now time.Time, nonce uint64, a permit.Answer) []any {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.issuer.Complete(now, nonce, a)
}

// idle reports whether every permit of this instance has expired.
func (i *lockedIssuer) idle(now time.Time, lifetime time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return now.Sub(i.lastIssued) > lifetime
}

// expire removes the records of expired permits.
func (i *lockedIssuer) expire(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.issuer.Expire(now)
}

// lockedBudget holds the retry budget of each service.
type lockedBudget struct {
	mu      sync.Mutex
	budgets map[uint32]*admission.RetryBudget
}

func (b *lockedBudget) budget(service uint32, now time.Time) *admission.RetryBudget {
	r := b.budgets[service]
	if r == nil {
		r = admission.NewRetryBudget(retryRatio, minRetriesPerSecond, now)
		b.budgets[service] = r
	}
	return r
}

func (b *lockedBudget) countFirstAttempt(service uint32, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service, now).RecordFirstAttempt()
}

func (b *lockedBudget) allowRetry(service uint32, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service, now).AllowRetry(now)
}
