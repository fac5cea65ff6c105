package membership

import (
	"fmt"
	"testing"
	"time"
)

func benchView() *View {
	var domains []Domain
	for d := range 19 {
		var members []Entry
		for i := range 70 {
			id := fmt.Sprintf("dom%02d-%02d", d, i)
			members = append(members, Entry{Instance: Instance{ID: id, Weight: uint32(100 + i%4*100)}})
		}
		domains = append(domains, newDomain(fmt.Sprintf("dom%02d", d), 100, members, true, false))
	}
	return newView(1, domains)
}

func BenchmarkLookup(b *testing.B) {
	v := benchView()
	lookups := []struct {
		name string
		f    func(key uint64) bool
	}{
		{"Owner", func(k uint64) bool { _, ok := v.Owner(k); return ok }},
		{"Standby", func(k uint64) bool { _, ok := v.Standby(k); return ok }},
		{"Dispatcher", func(uint64) bool { _, ok := v.Dispatcher("dom11", "orders-07"); return ok }},
		{"Member", func(uint64) bool { _, ok := v.Member("dom18-33"); return ok }},
	}
	for _, l := range lookups {
		b.Run(l.name, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				if !l.f(uint64(i) * 0x9e3779b97f4a7c15) {
					b.Fatal("no instance")
				}
			}
		})
	}
}

// BenchmarkTick measures Tick of one machine in a domain of 70 whose peers answer every ping.
func BenchmarkTick(b *testing.B) {
	n := newConvergedNetwork(b, 1, 1, 70)
	n.run(10 * time.Second)
	nd, now := n.nodes[0], n.now
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		for _, mb := range nd.ownDomain.members {
			mb.lastHeard = now
		}
		nd.Tick(now)
	}
}

// BenchmarkControl measures the control traffic and CPU time per instance over 41 s, without
// changes and at the target rate of changes (2,100 configurations a day; restarts of 2 in
// 1,000 instances a minute). 60 bytes of framing per message represent the gRPC, TLS and
// TCP headers. Run it with -benchtime 1x.
func BenchmarkControl(b *testing.B) {
	for _, size := range [][2]int{{3, 3}, {3, 8}, {3, 24}, {3, 70}, {8, 8}, {8, 24}, {8, 70}, {19, 8}, {19, 24}, {19, 70}} {
		for _, changes := range []bool{false, true} {
			b.Run(fmt.Sprintf("%dx%d/changes=%v", size[0], size[1], changes), func(b *testing.B) {
				n := newNetwork(b, 1, size[0], size[1])
				n.workers = 2
				n.applyListToAll()
				n.converge(20*time.Second, nil)
				n.run(25 * time.Second)
				b.ResetTimer()
				for range b.N {
					measureControl(b, n, changes)
				}
			})
		}
	}
}

func measureControl(b *testing.B, n *network, changes bool) {
	const seconds = 41
	for _, nd := range n.nodes {
		nd.sent, nd.messages, nd.busy = 0, 0, 0
	}
	n.measure, n.framing = true, 60
	for s := range seconds {
		if changes && s == 1 {
			n.nodes[0].SetConfigVersion(n.nodes[0].configVersion + 1)
		}
		if changes && s%20 == 5 {
			live := n.live()
			for range (len(live) + 999) / 1000 {
				old := live[n.rng.Intn(len(live))]
				nd := n.start(old.inst.ID, old.inst.Domain, old.inst.PeerAddress)
				n.call(nd, func() []Action { return nd.ApplyInstanceList(n.now, n.list()) })
			}
		}
		n.run(time.Second)
	}
	n.measure = false
	var sent, messages, busy, most, mostMessages float64
	for _, nd := range n.nodes {
		sent += float64(nd.sent)
		messages += float64(nd.messages)
		busy += nd.busy.Seconds()
		if nd.up {
			most = max(most, float64(nd.sent))
			mostMessages = max(mostMessages, float64(nd.messages))
		}
	}
	count := float64(len(n.live())) * seconds
	b.ReportMetric(sent/count, "sentB/s")
	b.ReportMetric(most/seconds, "max_sentB/s")
	b.ReportMetric(messages/count, "msg/s")
	b.ReportMetric(mostMessages/seconds, "max_msg/s")
	b.ReportMetric(100*busy/count, "%core")
	b.ReportMetric(0, "ns/op")
}
