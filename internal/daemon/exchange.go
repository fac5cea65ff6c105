package daemon

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	exchangeShards = 64
	// exchangeLifetime bounds how long an answer is kept for retransmissions. It covers
	// MAX_TRANSMIT_SPAN of RFC 7252 for callers with an ACK_TIMEOUT of 2 s and two
	// retransmissions. An idempotent request whose duplicate arrives later runs again.
	exchangeLifetime = 15 * time.Second
	// maxShardExchanges and maxShardAnswerBytes bound one shard; the oldest answered exchange is
	// evicted first. In total 65,536 exchanges and 16 MB. Running exchanges are kept beyond the
	// bound, since a retransmission of one would run the request again; admission bounds their
	// number.
	maxShardExchanges   = 1024
	maxShardAnswerBytes = 256 << 10
)

// exchangeKey identifies a caller's message (RFC 7252, 4.2).
type exchangeKey struct {
	caller  netip.AddrPort
	service uint32
	id      uint16
}

func exchangeKeyOf(p *packet) exchangeKey {
	return exchangeKey{p.key.Caller, p.key.ServiceID, p.message.ID}
}

// exchange is a confirmable request that is running or answered.
type exchange struct {
	answer  []byte // nil while running
	started time.Time
}

// exchangeTable deduplicates callers' retransmissions.
type exchangeTable struct {
	shards [exchangeShards]exchangeShard
}

type exchangeShard struct {
	mu      sync.Mutex
	entries map[exchangeKey]exchange
	order   []exchangeKey // oldest first
	bytes   int
}

func newExchangeTable() *exchangeTable {
	t := &exchangeTable{}
	for i := range t.shards {
		t.shards[i].entries = map[exchangeKey]exchange{}
	}
	return t
}

func (t *exchangeTable) shard(k exchangeKey) *exchangeShard {
	addr := k.caller.Addr().As16()
	h := xxhash.Sum64(addr[:]) ^ uint64(k.caller.Port())*0x9e3779b97f4a7c15
	return &t.shards[(h>>32^h)%exchangeShards]
}

// begin records a request. For a retransmission it returns the recorded answer, or nil
// while the request is running.
func (t *exchangeTable) begin(k exchangeKey, now time.Time) (duplicate bool, answer []byte) {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[k]; ok && now.Sub(e.started) < exchangeLifetime {
		return true, e.answer
	}
	s.evict(now)
	s.remove(k)
	s.entries[k] = exchange{started: now}
	s.order = append(s.order, k)
	return false, nil
}

// complete records the answer to a request.
func (t *exchangeTable) complete(k exchangeKey, answer []byte, now time.Time) {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[k]
	if !ok {
		return
	}
	s.bytes += len(answer) - len(e.answer)
	e.answer = answer
	s.entries[k] = e
	s.evict(now)
}

// evict removes expired exchanges, and the oldest answered ones while a bound is exceeded.
func (s *exchangeShard) evict(now time.Time) {
	for len(s.order) > 0 {
		oldest := s.order[0]
		e, ok := s.entries[oldest]
		if ok && now.Sub(e.started) < exchangeLifetime {
			break
		}
		s.order = s.order[1:]
		s.remove(oldest)
	}
	if !s.overBound() {
		return
	}
	s.order = slices.DeleteFunc(s.order, func(k exchangeKey) bool {
		if s.entries[k].answer == nil || !s.overBound() {
			return false
		}
		s.remove(k)
		return true
	})
}

func (s *exchangeShard) overBound() bool {
	return len(s.entries) > maxShardExchanges || s.bytes > maxShardAnswerBytes
}

func (s *exchangeShard) remove(k exchangeKey) {
	if e, ok := s.entries[k]; ok {
		s.bytes -= len(e.answer)
		delete(s.entries, k)
	}
}
