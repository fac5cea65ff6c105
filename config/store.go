package config

import "context"

// Store is a client of the key-value service. Every error has a result code. After code
// result.StoreUnavailable or result.StoreMalformed a Put may have taken effect; after any
// other code it has not.
type Store interface {
	// Get fails with code result.StoreNotFound if the key does not exist.
	Get(ctx context.Context, key string) (value []byte, revision uint64, err error)
	// Put writes the value only if the key's revision is ifRevision (0: key does not exist)
	// and fails with code result.StoreConflict otherwise.
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (revision uint64, err error)
	// Watch waits until the key's revision differs from afterRevision. If nothing changes
	// within its wait time, it returns a nil value and afterRevision.
	Watch(ctx context.Context, key string, afterRevision uint64) (value []byte, revision uint64, err error)
}
