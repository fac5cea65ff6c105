package config

import (
	"context"
	"time"

	"github.com/monsoonthread/monsoonthread/result"
)

// Restore writes the head of c and the service values that it needs to a store that came back from
// an older copy. The head is written only while the store's head has the revision (0: there is
// none), so that an accept that came since is kept; else Restore fails with code
// result.StoreConflict. The accept history stays that of the head, so that an operator can still
// resolve an accept whose answer was lost.
func Restore(ctx context.Context, s Store, c *Config, head *Head, revision uint64) error {
	if c == nil || c.Version != head.Version {
		return result.Errorf(result.ConfigStale, "version %d is no longer in force", head.Version)
	}
	values := &acceptCall{Acceptor: &Acceptor{Store: s}, valuesByDigest: make(map[string][]byte, len(c.Services))}
	for i := range c.Services {
		value := encodeService(&c.Services[i])
		values.valuesByDigest[valueDigest(value)] = value
	}
	for name, digest := range head.Services {
		if values.valuesByDigest[digest] == nil {
			return result.Errorf(result.DigestMismatch, "service %q of version %d has no value with digest %s", name, head.Version, digest)
		}
	}
	value, err := EncodeHead(head)
	if err != nil {
		return err
	}
	if err := values.writeValues(ctx, nil); err != nil {
		return err
	}
	_, err = s.Put(ctx, HeadKey, value, revision)
	return err
}

// holdsLastHead reports whether the version in force is that of the last head, so that this instance
// can write both again.
func (w *Watcher) holdsLastHead() bool {
	return w.lastHead != nil && w.lastHead.Version == w.version
}

// knownAccept returns the record of an accept that led to the last head. A store that has the
// head of another accept was changed after it came back, and must not be overwritten.
func (w *Watcher) knownAccept(id string) (AcceptRecord, bool) {
	if w.lastHead == nil {
		return AcceptRecord{}, false
	}
	return w.lastHead.findAccept(id)
}

func (w *Watcher) restoreHead(now time.Time, revision uint64) {
	w.restoring = true
	w.beginCall(now, &w.storeCall, w.cfg.LoadTimeout)
	w.actions = append(w.actions, RestoreHead{w.storeCall.id, w.lastHead, revision})
}

// RestoreResult records the outcome of RestoreHead. The head is read again in any case: another
// instance may have written it first.
func (w *Watcher) RestoreResult(now time.Time, call uint64, err error) []WatchAction {
	if call != w.storeCall.id || !w.restoring {
		return w.step(now)
	}
	w.storeCall.id, w.restoring, w.revision = 0, false, 0
	if err != nil && result.CodeOf(err) != result.StoreConflict {
		w.scheduleRetry(now, &w.storeCall)
		w.addEvent(EventStoreFailed, w.version, err)
	} else if err == nil {
		w.storeCall.failures = 0
		w.addEvent(EventStoreRestored, w.version, nil)
	}
	return w.step(now)
}
