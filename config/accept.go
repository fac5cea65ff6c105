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
	// acceptWritesPerSecond leaves capacity of the key-value service (several hundred
	// writes/s) to other clients while a large first configuration is written.
	acceptWritesPerSecond = 100
)

// Conflict is the cause of an error with code result.ConfigConflict: the accepted version
// is not the base version of the proposal.
type Conflict struct {
	Base     uint64 // version that the proposal is based on
	Version  uint64 // currently accepted version
	AcceptID string // ID of the accept (see Acceptor) that committed Version
	// Changes lists the differences from the accepted configuration to the proposal.
	// DiffErr is the error that prevented computing them.
	Changes []Change
	DiffErr error
}

// Error reports the accepted version and how the proposal differs from it.
func (c *Conflict) Error() string {
	text := fmt.Sprintf("version %d (accept %s) was accepted after base version %d of the proposal", c.Version, c.AcceptID, c.Base)
	if c.Version < c.Base {
		text = fmt.Sprintf("accepted version %d is older than base version %d of the proposal", c.Version, c.Base)
	}
	if c.DiffErr != nil {
		return fmt.Sprintf("%s; computing the differences failed: %v", text, c.DiffErr)
	}
	return fmt.Sprintf("%s; the proposal differs from the accepted configuration in %d places", text, len(c.Changes))
}

// Acceptor commits proposals to the store. One such commit is called an accept. The
// operator identifies it by an accept ID and uses the same ID again to retry it; the head
// records the IDs of the latest accepts.
type Acceptor struct {
	Store Store
	// Resume is set if an earlier call with the same accept ID may have taken effect.
	Resume bool
	// Sleep waits between attempts; if nil, a timer that also stops when ctx ends is used.
	Sleep func(ctx context.Context, d time.Duration) error
	// Progress, if set, is called after each written service value.
	Progress func(written, total int)
}

// Accept commits the proposal with an Acceptor that has only its Store set.
func Accept(ctx context.Context, s Store, proposal *Config, base uint64, acceptID string) (version uint64, err error) {
	return (&Acceptor{Store: s}).Accept(ctx, proposal, base, acceptID)
}

// acceptCall holds the state of one Accept call.
type acceptCall struct {
	*Acceptor
	proposal       *Config
	base           uint64
	acceptID       string
	contentDigest  string
	valuesByDigest map[string][]byte // digest to service value
	digestsByName  map[string]string // service name to digest
	attempts       int
}

// Accept commits the proposal as the version after base. It retries until the outcome
// is certain or ctx ends. An error with code result.ConfigConflict means that the proposal
// was not accepted because of a conflicting accept. With result.AcceptUnresolved the
// outcome is unknown, and a retry with the same accept ID resolves it. With any other code
// the proposal was not accepted.
func (a *Acceptor) Accept(ctx context.Context, proposal *Config, base uint64, acceptID string) (uint64, error) {
	if !validAcceptID(acceptID) {
		return 0, result.Errorf(result.ConfigMalformed, "accept ID %q is not valid", acceptID)
	}
	next := *proposal
	next.Version = base + 1
	// Peers exchange the encoded form, so its size limit must hold before the commit.
	if _, err := next.Encode(); err != nil {
		return 0, err
	}
	c := &acceptCall{
		Acceptor: a, proposal: &next, base: base, acceptID: acceptID, contentDigest: contentDigest(&next),
		valuesByDigest: make(map[string][]byte, len(next.Services)), digestsByName: make(map[string]string, len(next.Services)),
	}
	for i := range next.Services {
		value := encodeService(&next.Services[i])
		if len(value) > MaxValueBytes {
			return 0, result.Errorf(result.ConfigTooLarge, "service %q has %d bytes, more than %d", next.Services[i].Name, len(value), MaxValueBytes)
		}
		digest := valueDigest(value)
		c.valuesByDigest[digest] = value
		c.digestsByName[next.Services[i].Name] = digest
	}
	return c.run(ctx)
}

func (c *acceptCall) run(ctx context.Context) (uint64, error) {
	head, revision, err := c.readHead(ctx)
	if err != nil {
		return 0, err
	}
	version, done, err := c.decidedByHead(ctx, head)
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

// decidedByHead reports whether the head that was read before any write already
// determines the outcome.
func (c *acceptCall) decidedByHead(ctx context.Context, head *Head) (version uint64, done bool, err error) {
	current := uint64(0)
	if head != nil {
		current = head.Version
		if r, ok := head.findAccept(c.acceptID); ok {
			version, err = c.outcomeFromRecord(r)
			return version, true, err
		}
	}
	if current == c.base {
		return 0, false, nil
	}
	if c.Resume && head != nil && !head.recordsAllSince(c.base) {
		return 0, true, c.historyExpiredError(head)
	}
	return 0, true, c.conflictError(ctx, head)
}

// outcomeFromRecord returns the outcome that the record of this accept ID implies.
func (c *acceptCall) outcomeFromRecord(r AcceptRecord) (uint64, error) {
	if r.Content != c.contentDigest || r.Version != c.base+1 {
		return 0, result.Errorf(result.ConfigConflict, "accept ID %s was already used for another proposal, accepted as version %d", c.acceptID, r.Version)
	}
	return r.Version, nil
}

func (c *acceptCall) historyExpiredError(head *Head) error {
	return result.Errorf(result.AcceptUnresolved,
		"head is at version %d; its accept history no longer shows whether accept %s took effect as version %d", head.Version, c.acceptID, c.base+1)
}

func (c *acceptCall) conflictError(ctx context.Context, head *Head) error {
	conflict := &Conflict{Base: c.base}
	if head == nil {
		conflict.DiffErr = result.Errorf(result.StoreNotFound, "no configuration is accepted")
		return result.Errorf(result.ConfigConflict, "%w", conflict)
	}
	conflict.Version, conflict.AcceptID = head.Version, head.AcceptID
	current, err := NewLoader(c.Store, LoaderConfig{}).LoadHead(ctx, head, c.proposal)
	if err != nil {
		conflict.DiffErr = err
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
	recent = append(recent, AcceptRecord{AcceptID: c.acceptID, Version: c.base + 1, Content: c.contentDigest})
	if len(recent) > MaxRecentAccepts {
		recent = recent[len(recent)-MaxRecentAccepts:]
	}
	return &Head{
		Format: headFormat, Version: c.base + 1, AcceptID: c.acceptID, NextServiceID: c.proposal.NextServiceID,
		Domains: c.proposal.Domains, Services: c.digestsByName, Recent: recent,
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
		case !retryable(err) || c.backoff(ctx) != nil:
			return nil, 0, err
		}
	}
}

// writeValues stores the service values that the head does not reference yet.
func (c *acceptCall) writeValues(ctx context.Context, head *Head) error {
	stored := make(map[string]bool)
	if head != nil {
		for _, digest := range head.Services {
			stored[digest] = true
		}
	}
	missing := make([]string, 0, len(c.valuesByDigest))
	for digest := range c.valuesByDigest {
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

// writeValue stores one service value. An existing value that does not match
// the digest is replaced.
func (c *acceptCall) writeValue(ctx context.Context, digest string) error {
	key, revision := ServiceKey(digest), uint64(0)
	for {
		_, err := c.Store.Put(ctx, key, c.valuesByDigest[digest], revision)
		if err == nil {
			return nil
		}
		if result.CodeOf(err) == result.StoreConflict {
			var stored []byte
			stored, revision, err = c.Store.Get(ctx, key)
			if err == nil && valueDigest(stored) == digest {
				return nil
			}
			if err == nil {
				continue
			}
			if result.CodeOf(err) == result.StoreNotFound {
				revision = 0
			}
		}
		if result.CodeOf(err) != result.StoreNotFound && !retryable(err) || c.backoff(ctx) != nil {
			return result.Errorf(result.CodeOf(err), "write service value %s: %w", digest, err)
		}
	}
}

// swapHead updates the head by compare-and-swap. After a lost response it repeats the
// same swap, which can take effect only once. When the swap fails because the head has a
// newer revision, no earlier attempt can take effect any more, and the recent accepts in
// the head show whether one did.
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
		if c.backoff(ctx) != nil {
			if !inDoubt {
				return 0, err
			}
			return 0, c.unresolvedError(err)
		}
	}
}

// resolve determines whether the accept took effect after the head's revision has
// changed from the one that the swap expected.
func (c *acceptCall) resolve(ctx context.Context, inDoubt bool) (uint64, error) {
	for {
		head, _, err := ReadHead(ctx, c.Store)
		if err == nil {
			if r, ok := head.findAccept(c.acceptID); ok {
				return c.outcomeFromRecord(r)
			}
			// The swap failed, so the head has changed; with the version of the base, it lost an accept.
			if (inDoubt || c.Resume) && (head.Version == c.base || !head.recordsAllSince(c.base)) {
				return 0, c.historyExpiredError(head)
			}
			return 0, c.conflictError(ctx, head)
		}
		if c.backoff(ctx) != nil {
			if !inDoubt && !c.Resume {
				return 0, result.Errorf(result.ConfigConflict, "%w", &Conflict{Base: c.base, DiffErr: err})
			}
			return 0, c.unresolvedError(err)
		}
	}
}

func (c *acceptCall) unresolvedError(err error) error {
	return result.Errorf(result.AcceptUnresolved,
		"unknown whether accept %s took effect as version %d; retry with the same accept ID to resolve it: %w", c.acceptID, c.base+1, err)
}

// backoff waits before the next attempt, exponentially longer and with jitter. It fails when
// ctx ends.
func (c *acceptCall) backoff(ctx context.Context) error {
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

// retryable reports whether repeating the call can succeed.
func retryable(err error) bool {
	switch result.CodeOf(err) {
	case result.StoreUnavailable, result.StoreRateLimited, result.StoreMalformed:
		return true
	}
	return false
}

// outcomeUnknown reports whether a Put that failed with err may have taken effect. A
// malformed response does not show whether the store applied the Put, and an error without
// a result code (InternalInvariant) does not show whether the Put reached the store.
func outcomeUnknown(err error) bool {
	switch result.CodeOf(err) {
	case result.StoreUnavailable, result.StoreMalformed, result.InternalInvariant:
		return true
	}
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
