package permit

import "time"

// bucketMillis is the granularity, in ms, at which expired records are removed.
const bucketMillis = 1000

// expiryRing is a ring of buckets that holds records by expiry. Each bucket is an
// intrusive doubly linked list, so removal is O(1) and needs no extra memory.
type expiryRing struct {
	buckets      []record // list heads, by bucket number modulo the length
	lowestBucket int64    // lowest bucket number that may hold records
	len          int
}

func newExpiryRing(lifetime time.Duration) expiryRing {
	e := expiryRing{buckets: make([]record, lifetime.Milliseconds()/bucketMillis+3)}
	for i := range e.buckets {
		h := &e.buckets[i]
		h.prev, h.next = h, h
	}
	return e
}

func bucketOf(nonce uint64) int64 { return expiryOf(nonce) / bucketMillis }

func (e *expiryRing) head(bucket int64) *record {
	return &e.buckets[bucket%int64(len(e.buckets))]
}

func (e *expiryRing) add(r *record) {
	b := bucketOf(r.nonce)
	if e.len == 0 || b < e.lowestBucket {
		e.lowestBucket = b
	}
	h := e.head(b)
	r.prev, r.next = h.prev, h
	h.prev.next, h.prev = r, r
	e.len++
}

func (e *expiryRing) remove(r *record) {
	r.prev.next, r.next.prev = r.next, r.prev
	r.prev, r.next = nil, nil
	e.len--
}

// oldest returns a record from the bucket that expires first, or nil.
func (e *expiryRing) oldest() *record {
	if e.len == 0 {
		return nil
	}
	for ; ; e.lowestBucket++ {
		if h := e.head(e.lowestBucket); h.next != h {
			return h.next
		}
	}
}

// expired returns a record from a bucket that expired at or before ms, or nil. A bucket
// is expired once its last millisecond has passed.
func (e *expiryRing) expired(ms int64) *record {
	r := e.oldest()
	if r == nil || (bucketOf(r.nonce)+1)*bucketMillis > ms {
		return nil
	}
	return r
}
