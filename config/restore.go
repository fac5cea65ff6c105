package config

import (
	"context"

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
