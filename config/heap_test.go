package config

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkRetained measures the heap that a Current retains for one decoded configuration,
// and how much more it retains after a delta, when it also keeps the previous version.
func BenchmarkRetained(b *testing.B) {
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC() // objects in a sync.Pool survive the first cycle
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	for _, hosts := range []int{750, 3000, 6000, 12_000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			before, after := targetConfigs(hosts)
			full, err := before.Encode()
			if err != nil {
				b.Fatal(err)
			}
			delta, err := encodeSince(before, after)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				baseline := heap()
				c := new(Current)
				if _, err := c.ApplyEncoded(full); err != nil {
					b.Fatal(err)
				}
				afterFirst := heap()
				if _, err := c.ApplyEncoded(delta); err != nil {
					b.Fatal(err)
				}
				afterSecond := heap()
				b.ReportMetric(float64(afterFirst-baseline), "retained-bytes")
				b.ReportMetric(float64(afterSecond-afterFirst), "next-version-bytes")
				runtime.KeepAlive(c)
			}
		})
	}
}
