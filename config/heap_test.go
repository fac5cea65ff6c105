package config

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkRetained measures the heap retained by a decoded configuration and by each
// further kept version.
func BenchmarkRetained(b *testing.B) {
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	for _, hosts := range []int{750, 3000, 6000, 12_000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			before, after := targetConfigs(hosts)
			whole, err := before.Encode()
			if err != nil {
				b.Fatal(err)
			}
			change, err := encodeSince(before, after)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				empty := heap()
				c := new(Current)
				if _, err := c.ApplyEncoded(whole); err != nil {
					b.Fatal(err)
				}
				one := heap()
				if _, err := c.ApplyEncoded(change); err != nil {
					b.Fatal(err)
				}
				two := heap()
				b.ReportMetric(float64(one-empty), "retained-bytes")
				b.ReportMetric(float64(two-one), "next-version-bytes")
				runtime.KeepAlive(c)
			}
		})
	}
}
