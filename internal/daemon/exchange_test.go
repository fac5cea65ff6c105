package daemon

import (
	"net/netip"
	"testing"
	"time"
)

// Guards against a retransmitted request that runs twice, and against unbounded growth
// of the table.
func TestExchangeTable(t *testing.T) {
	table := newExchangeTable()
	now := time.Unix(1000, 0)
	key := exchangeKey{caller: netip.MustParseAddrPort("127.0.0.1:1000"), service: 1, id: 7}
	if duplicate, _ := table.begin(key, now); duplicate {
		t.Fatal("first copy is a duplicate")
	}
	if duplicate, answer := table.begin(key, now); !duplicate || answer != nil {
		t.Fatal("retransmission of a running request is not recognised")
	}
	table.complete(key, []byte("answer"), now)
	if duplicate, answer := table.begin(key, now.Add(time.Second)); !duplicate || string(answer) != "answer" {
		t.Fatal("recorded answer is not replayed")
	}
	if duplicate, _ := table.begin(key, now.Add(exchangeLifetime)); duplicate {
		t.Fatal("message ID is still taken after the lifetime")
	}
	for i := range 5000 {
		k := exchangeKey{caller: key.caller, service: 2, id: uint16(i)}
		table.begin(k, now)
		table.complete(k, make([]byte, 1024), now)
	}
	s := table.shard(key)
	if len(s.entries) > maxShardExchanges+1 || s.bytes > maxShardAnswerBytes {
		t.Fatalf("shard holds %d exchanges and %d bytes", len(s.entries), s.bytes)
	}
	if len(s.order) > 2*maxShardExchanges {
		t.Fatalf("order holds %d keys", len(s.order))
	}
}

// Guards against a running request that is evicted by later ones, so that its retransmission runs
// it again.
func TestRunningExchangeIsNotEvicted(t *testing.T) {
	table := newExchangeTable()
	now := time.Unix(1000, 0)
	running := exchangeKey{caller: netip.MustParseAddrPort("127.0.0.1:1000"), service: 1, id: 7}
	table.begin(running, now)
	for i := range 5000 {
		k := exchangeKey{caller: running.caller, service: 2, id: uint16(i)}
		table.begin(k, now)
		table.complete(k, make([]byte, 1024), now)
	}
	if duplicate, _ := table.begin(running, now.Add(time.Second)); !duplicate {
		t.Error("a retransmission of the running request counts as a new request")
	}
	if s := table.shard(running); len(s.entries) > maxShardExchanges+1 || s.bytes > maxShardAnswerBytes {
		t.Errorf("shard holds %d exchanges and %d bytes", len(s.entries), s.bytes)
	}
}
