package flow

import (
	"fmt"
	"runtime"
	"testing"
)

// heapInUse returns the live heap after a collection.
func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// filled returns a table with n flows and the bytes that each takes, with a stream
// on each if withStreams is set.
func filled(t testing.TB, n int, withStreams bool) (*Table, float64) {
	before := heapInUse()
	table := NewTable(Config{MaxFlows: n, MaxStreams: n})
	for i := range n {
		if _, err := table.Touch(start, keyOf(i)); err != nil {
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
		// The steady state is that of a copied stream.
		s, e := table.lock(id)
		table.setName(&e.copiedTo, "entry-2")
		e.flags &^= flagDirty | flagQueued
		s.mu.Unlock()
	}
	table.outbox.pending, table.outbox.young = nil, nil
	return table, float64(heapInUse()-before) / float64(n)
}

// Guards the limit of 96 bytes per held flow, with and without a stream.
func TestBytesPerFlow(t *testing.T) {
	for _, n := range sizes[:2] { // the benchmarks report the third
		for _, withStreams := range []bool{false, true} {
			table, size := filled(t, n, withStreams)
			t.Logf("%d flows, streams %v: %.1f bytes per flow", n, withStreams, size)
			if size > 96 {
				t.Errorf("%d flows, streams %v: %.1f bytes per flow", n, withStreams, size)
			}
			runtime.KeepAlive(table)
		}
	}
}

// Guards the look-ups of the data path against allocations.
func TestLookupsDoNotAllocate(t *testing.T) {
	table, _ := filled(t, 1000, true)
	r := streamOf(7, start)
	for name, f := range map[string]func(){
		"Touch":  func() { table.Touch(start, r.Key) },
		"Stream": func() { table.Stream(r.Key, r.Token) },
	} {
		if n := testing.AllocsPerRun(100, f); n != 0 {
			t.Errorf("%s: %v allocations", name, n)
		}
	}
}

var sizes = []int{10_000, 100_000, 1_000_000}

func benchmarkLookup(b *testing.B, withStreams bool, lookUp func(*Table, Record) bool) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, size := filled(b, n, withStreams)
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

func BenchmarkTouch(b *testing.B) {
	benchmarkLookup(b, false, func(t *Table, r Record) bool {
		isNew, err := t.Touch(start, r.Key)
		return !isNew && err == nil
	})
}

func BenchmarkStream(b *testing.B) {
	benchmarkLookup(b, true, func(t *Table, r Record) bool {
		_, ok := t.Stream(r.Key, r.Token)
		return ok
	})
}
