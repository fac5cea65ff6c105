package flow

import (
	"fmt"
	"runtime"
	"testing"
)

// heapInUse returns the size of the live heap in bytes after a garbage collection.
func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// newFilledTable returns a table with n flows, each with a stream if withStreams is set, and
// the heap bytes per flow.
func newFilledTable(t testing.TB, n int, withStreams bool) (*Table, float64) {
	before := heapInUse()
	table := NewTable(Config{MaxFlows: n, MaxStreams: n})
	for i := range n {
		if _, err := table.RecordPacket(start, keyOf(i)); err != nil {
			t.Fatal(err)
		}
		if !withStreams {
			continue
		}
		r := streamOf(i, start)
		r.Server = fmt.Sprint("host-", i%15)
		id, err := table.Register(start, r)
		if err != nil {
			t.Fatal(err)
		}
		// In the steady state every stream has been copied.
		s, e := table.lockStream(id)
		table.replaceName(&e.copiedTo, "entry-2")
		e.flags &^= flagDirty | flagQueued
		s.mu.Unlock()
	}
	table.outbox.pending, table.outbox.scheduled = nil, nil
	return table, float64(heapInUse()-before) / float64(n)
}

// Guards against more than 96 heap bytes per flow, with and without a stream.
func TestBytesPerFlow(t *testing.T) {
	for _, n := range tableSizes[:2] { // the benchmarks report the largest size
		for _, withStreams := range []bool{false, true} {
			table, size := newFilledTable(t, n, withStreams)
			t.Logf("%d flows, streams %v: %.1f bytes per flow", n, withStreams, size)
			if size > 96 {
				t.Errorf("%d flows, streams %v: %.1f bytes per flow", n, withStreams, size)
			}
			runtime.KeepAlive(table)
		}
	}
}

// Guards against allocations in the lookups of the data path.
func TestLookupsDoNotAllocate(t *testing.T) {
	table, _ := newFilledTable(t, 1000, true)
	r := streamOf(7, start)
	for name, f := range map[string]func(){
		"RecordPacket": func() { table.RecordPacket(start, r.Key) },
		"Stream":       func() { table.Stream(r.Key, r.Token) },
	} {
		if n := testing.AllocsPerRun(100, f); n != 0 {
			t.Errorf("%s: %v allocations", name, n)
		}
	}
}

var tableSizes = []int{10_000, 100_000, 1_000_000}

func benchmarkLookup(b *testing.B, withStreams bool, lookUp func(*Table, Record) bool) {
	for _, n := range tableSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, size := newFilledTable(b, n, withStreams)
			var token [3]byte
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				k := i * 7919 % n
				token = [3]byte{byte(k), byte(k >> 8), byte(k >> 16)}
				if !lookUp(table, Record{Key: keyOf(k), Token: token[:]}) {
					b.Fatal("not found")
				}
			}
			b.ReportMetric(size, "B/flow")
		})
	}
}

func BenchmarkRecordPacket(b *testing.B) {
	benchmarkLookup(b, false, func(t *Table, r Record) bool {
		isNew, err := t.RecordPacket(start, r.Key)
		return !isNew && err == nil
	})
}

func BenchmarkStream(b *testing.B) {
	benchmarkLookup(b, true, func(t *Table, r Record) bool {
		_, ok := t.Stream(r.Key, r.Token)
		return ok
	})
}
