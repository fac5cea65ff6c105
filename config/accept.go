package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/monsoonthread/monsoonthread/result"
)

const (
	minAcceptBackoff = 100 * time.Millisecond
	maxAcceptBackoff = 2 * time.Second
	// acceptWritesPerSecond leaves the key-value service (several hundred writes/s) room
	// for others while a large first configuration is written.
	acceptWritesPerSecond = 100
)

// Conflict is the cause of an error with code 402: another configuration is accepted
// than the one the proposal was made from.
type Conflict struct {
	Base     uint64 // version the proposal was made from
	Version  uint64 // version accepted now
	AcceptID string // accept that won
	// Changes lead from the accepted configuration to the proposal; Missing tells why
	// they are not known.
	Changes []Change
	Missing error
}

// Error names the version that was accepted instead.
func (c *Conflict) Error() string {
	text := fmt.Sprintf("version %d was accepted (accept %s) after version %d, from which the proposal was made", c.Version, c.AcceptID, c.Base)
	if c.Version < c.Base {
		text = fmt.Sprintf("version %d is accepted, which is older than version %d, from which the proposal was made", c.Version, c.Base)
	}
	if c.Missing != nil {
		return fmt.Sprintf("%s; the difference could not be read: %v", text, c.Missing)
	}
	return fmt.Sprintf("%s; the proposal differs from it in %d places", text, len(c.Changes))
}

// Acceptor puts accepted proposals into the store.
type Acceptor struct {
	Store Store
	// Resume tells that an earlier call with the same accept ID may have taken effect.
	Resume bool
	// Sleep waits between attempts; nil waits for the time given or the end of ctx.
	Sleep func(ctx context.Context, d time.Duration) error
	// Progress, if set, is called after each written service value.
	Progress func(written, total int)
}

// Accept makes the proposal the next version after base. It retries until the
// outcome is certain or ctx ends. Code 402: not accepted, another accept won; 407: not
// known whether it was accepted, and a call with the same accept ID finds out; every
// other code: not accepted.
func Accept(ctx context.Context, s Store, proposal *Config, base uint64, acceptID string) (version uint64, err error) {
	return (&Acceptor{Store: s}).Accept(ctx, proposal, base, acceptID)
}

// acceptCall is one accept under way.
type acceptCall struct {
	*Acceptor
	proposal *Config
	base     uint64
	id       string
	content  string
	values   map[string][]byte // digest to service value
	digests  map[string]string // service name to digest
	attempts int
}

// Accept is like the function Accept.
func (a *Acceptor) Accept(ctx context.Context, proposal *Config, base uint64, acceptID string) (uint64, error) {
	if !validAcceptID(acceptID) {
		return 0, result.Errorf(result.ConfigMalformed, "accept ID %q is not valid", acceptID)
	}
	n := *proposal
	n.Version = base + 1
	// The size matters to the peers, which exchange the configuration in this form.
	if _, err := n.Encode(); err != nil {
		return 0, err
	}
	c := &acceptCall{
		Acceptor: a, proposal: &n, base: base, id: acceptID, content: contentDigest(&n),
		values: make(map[string][]byte, len(n.Services)), digests: make(map[string]string, len(n.Services)),
	}
	for i := range n.Services {
		value := encodeService(&n.Services[i])
		if len(value) > MaxValueBytes {
			return 0, result.Errorf(result.ConfigTooLarge, "service %q has %d bytes, more than %d", n.Services[i].Name, len(value), MaxValueBytes)
		}
		digest := digestOf(value)
		c.values[digest] = value
		c.digests[n.Services[i].Name] = digest
	}
	return c.run(ctx)
}

func (c *acceptCall) run(ctx context.Context) (uint64, error) {
	head, revision, err := c.readHead(ctx)
	if err != nil {
		return 0, err
	}
	version, done, err := c.settled(ctx, head)
	if done {
		return version, err
	}
	if err := c.writeValues(ctx, head); err != nil {
		return 0, err
	}
	value, err := EncodeHead(c.nextHead(head))
	if err != nil {
		return 0, err
	}
	return c.swapHead(ctx, value, revision)
}

// settled reports whether the head read before any write already decides the call.
func (c *acceptCall) settled(ctx context.Context, head *Head) (version uint64, done bool, err error) {
	current := uint64(0)
	if head != nil {
		current = head.Version
		if r, ok := head.findAccept(c.id); ok {
			version, err = c.found(r)
			return version, true, err
		}
	}
	if current == c.base {
		return 0, false, nil
	}
	if c.Resume && head != nil && !head.remembers(c.base) {
		return 0, true, c.forgotten(head)
	}
	return 0, true, c.conflict(ctx, head)
}

// found resolves the call by the record of its accept.
func (c *acceptCall) found(r AcceptRecord) (uint64, error) {
	if r.Content != c.content || r.Version != c.base+1 {
		return 0, result.Errorf(result.ConfigConflict, "accept ID %s was already used for another proposal, accepted as version %d", c.id, r.Version)
	}
	return r.Version, nil
}

func (c *acceptCall) forgotten(head *Head) error {
	return result.Errorf(result.AcceptUnresolved,
		"the head is at version %d and no longer remembers whether accept %s took effect as version %d", head.Version, c.id, c.base+1)
}

func (c *acceptCall) conflict(ctx context.Context, head *Head) error {
	conflict := &Conflict{Base: c.base}
	if head == nil {
		conflict.Missing = result.Errorf(result.StoreNotFound, "no configuration is accepted")
		return result.Errorf(result.ConfigConflict, "%w", conflict)
	}
	conflict.Version, conflict.AcceptID = head.Version, head.AcceptID
	current, err := NewLoader(c.Store, LoaderConfig{}).LoadHead(ctx, head, c.proposal)
	if err != nil {
		conflict.Missing = err
	} else {
		conflict.Changes = Diff(current, c.proposal)
	}
	return result.Errorf(result.ConfigConflict, "%w", conflict)
}

func (c *acceptCall) nextHead(head *Head) *Head {
	var recent []AcceptRecord
	if head != nil {
		recent = append(recent, head.Recent...)
	}
	recent = append(recent, AcceptRecord{AcceptID: c.id, Version: c.base + 1, Content: c.content})
	if len(recent) > MaxRecentAccepts {
		recent = recent[len(recent)-MaxRecentAccepts:]
	}
	return &Head{
		Format: headFormat, Version: c.base + 1, AcceptID: c.id, NextServiceID: c.proposal.NextServiceID,
		Domains: c.proposal.Domains, Services: c.digests, Recent: recent,
	}
}

// readHead returns nil and revision 0 if there is no head.
func (c *acceptCall) readHead(ctx context.Context) (*Head, uint64, error) {
	for {
		head, revision, err := ReadHead(ctx, c.Store)
		switch {
		case err == nil:
			return head, revision, nil
		case result.CodeOf(err) == result.StoreNotFound:
			return nil, 0, nil
		case !retryable(err) || c.pause(ctx) != nil:
			return nil, 0, err
		}
	}
}

// writeValues stores the service values that the head does not already name.
func (c *acceptCall) writeValues(ctx context.Context, head *Head) error {
	stored := make(map[string]bool)
	if head != nil {
		for _, digest := range head.Services {
			stored[digest] = true
		}
	}
	missing := make([]string, 0, len(c.values))
	for digest := range c.values {
		if !stored[digest] {
			missing = append(missing, digest)
		}
	}
	limiter := rate.NewLimiter(acceptWritesPerSecond, acceptWritesPerSecond)
	for i, digest := range missing {
		if err := limiter.Wait(ctx); err != nil {
			return result.Errorf(result.StoreUnavailable, "write service values: %w", err)
		}
		if err := c.writeValue(ctx, digest); err != nil {
			return err
		}
		if c.Progress != nil {
			c.Progress(i+1, len(missing))
		}
	}
	return nil
}

// writeValue stores one service value. An existing value is checked and replaced if
// it is not the one that belongs to the digest.
func (c *acceptCall) writeValue(ctx context.Context, digest string) error {
	key, revision := ServiceKey(digest), uint64(0)
	for {
		_, err := c.Store.Put(ctx, key, c.values[digest], revision)
		if err == nil {
			return nil
		}
		if result.CodeOf(err) == result.StoreConflict {
			var stored []byte
			stored, revision, err = c.Store.Get(ctx, key)
			if err == nil && digestOf(stored) == digest {
				return nil
			}
			if err == nil {
				continue
			}
			if result.CodeOf(err) == result.StoreNotFound {
				revision = 0
			}
		}
		if result.CodeOf(err) != result.StoreNotFound && !retryable(err) || c.pause(ctx) != nil {
			return result.Errorf(result.CodeOf(err), "write service value %s: %w", digest, err)
		}
	}
}

// swapHead changes the head by compare-and-swap. After a lost answer it repeats the
// same swap: it can take effect only once, and when it fails because the head has
// moved on, no earlier attempt can take effect any more. The list of the last
// accepts in the head then tells whether one did.
func (c *acceptCall) swapHead(ctx context.Context, value []byte, revision uint64) (uint64, error) {
	inDoubt := false
	for {
		_, err := c.Store.Put(ctx, HeadKey, value, revision)
		if err == nil {
			return c.base + 1, nil
		}
		switch code := result.CodeOf(err); {
		case code == result.StoreConflict:
			return c.resolve(ctx, inDoubt)
		case outcomeUnknown(err):
			inDoubt = true
		case code != result.StoreRateLimited && !inDoubt:
			return 0, err
		}
		if c.pause(ctx) != nil {
			if !inDoubt {
				return 0, err
			}
			return 0, c.unresolved(err)
		}
	}
}

// resolve finds out whether the accept took effect, once the head has another
// revision than the one the swap was based on.
func (c *acceptCall) resolve(ctx context.Context, inDoubt bool) (uint64, error) {
	for {
		head, _, err := ReadHead(ctx, c.Store)
		if err == nil {
			if r, ok := head.findAccept(c.id); ok {
				return c.found(r)
			}
			if (inDoubt || c.Resume) && !head.remembers(c.base) {
				return 0, c.forgotten(head)
			}
			return 0, c.conflict(ctx, head)
		}
		if c.pause(ctx) != nil {
			if !inDoubt && !c.Resume {
				return 0, result.Errorf(result.ConfigConflict, "%w", &Conflict{Base: c.base, Missing: err})
			}
			return 0, c.unresolved(err)
		}
	}
}

func (c *acceptCall) unresolved(err error) error {
	return result.Errorf(result.AcceptUnresolved,
		"it is not known whether accept %s took effect as version %d; accept again with this accept ID to find out: %w", c.id, c.base+1, err)
}

// pause waits before the next attempt. It fails when ctx ends.
func (c *acceptCall) pause(ctx context.Context) error {
	d := min(minAcceptBackoff<<min(c.attempts, 10), maxAcceptBackoff)
	c.attempts++
	d = d/2 + rand.N(d/2)
	if c.Sleep != nil {
		return c.Sleep(ctx, d)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// retryable reports whether the same call can succeed later.
func retryable(err error) bool {
	switch result.CodeOf(err) {
	case result.StoreUnavailable, result.StoreRateLimited, result.StoreMalformed:
		return true
	}
	return false
}

// outcomeUnknown reports whether a Put that failed with err may have taken effect.
func outcomeUnknown(err error) bool {
	switch result.CodeOf(err) {
	case result.StoreUnavailable, result.StoreMalformed, result.InternalInvariant:
		return true
	}
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
