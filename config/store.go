package config

import "context"

// Store is the key-value service. Every error carries a result code. After 501
// (StoreUnavailable) and 507 (StoreMalformed) a Put may have taken effect; after every
// other code it has not.
type Store interface {
	// Get fails with code 504 if the key does not exist.
	Get(ctx context.Context, key string) (value []byte, revision uint64, err error)
	// Put writes only if the key has the revision ifRevision (0: does not exist) and
	// fails with code 502 otherwise.
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (revision uint64, err error)
	// Watch waits until the key has another revision than afterRevision. It returns a
	// nil value and afterRevision when nothing changed within the time it waits.
	Watch(ctx context.Context, key string, afterRevision uint64) (value []byte, revision uint64, err error)
}
