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
	// retryRatio and retryFloor: retries are at most 10% of first tries, and at least
	// one a second so that a quiet service can retry at all.
	retryRatio = 0.1
	retryFloor = 1
)

// lockedChooser makes a Chooser safe for concurrent use.
type lockedChooser struct {
	mu      sync.Mutex
	chooser *dispatch.Chooser
	members map[uint32][]string
}

func (c *lockedChooser) setHolders(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chooser.SetChooserCount(n)
}

func (c *lockedChooser) setCandidates(service uint32, instances []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members == nil {
		c.members = map[uint32][]string{}
	}
	c.members[service] = instances
	c.chooser.SetCandidates(service, instances)
}

// choose returns preferred if it is a candidate that did not refuse yet, else the
// chooser's choice.
func (c *lockedChooser) choose(now time.Time, service uint32, excluded []string, preferred string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if preferred != "" && contains(c.members[service], preferred) && !contains(excluded, preferred) {
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

// failed tells the chooser that an instance cannot dispatch; service 0 means all.
func (c *lockedChooser) failed(now time.Time, service uint32, instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if service != 0 {
		c.chooser.RecordFailure(now, service, instance)
		return
	}
	for id, members := range c.members {
		if contains(members, instance) {
			c.chooser.RecordFailure(now, id, instance)
		}
	}
}

// lockedIssuer makes a permit issuer safe for concurrent use.
type lockedIssuer struct {
	mu     sync.Mutex
	issuer *permit.Issuer
	last   time.Time // when a permit was last issued
}

func (i *lockedIssuer) issue(now time.Time, flow uint64, service uint32) ([]byte, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	b := i.issuer.Issue(now, flow, service)
	if b == nil {
		return nil, result.Errorf(result.TableFull, "too many permitted requests are on record")
	}
	i.last = now
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

// idle reports whether no permit of this instance is still valid.
func (i *lockedIssuer) idle(now time.Time, lifetime time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return now.Sub(i.last) > lifetime
}

// expire drops the records of expired permits.
func (i *lockedIssuer) expire(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.issuer.Expire(now)
}

// lockedBudget holds a retry budget for each service.
type lockedBudget struct {
	mu      sync.Mutex
	budgets map[uint32]*admission.RetryBudget
}

func (b *lockedBudget) budget(service uint32, now time.Time) *admission.RetryBudget {
	r := b.budgets[service]
	if r == nil {
		r = admission.NewRetryBudget(retryRatio, retryFloor, now)
		b.budgets[service] = r
	}
	return r
}

func (b *lockedBudget) first(service uint32, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service, now).RecordFirstAttempt()
}

func (b *lockedBudget) retry(service uint32, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service, now).AllowRetry(now)
}
