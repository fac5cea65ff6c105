package flow

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonthread/monsoonthread/placement"
	"github.com/monsoonthread/monsoonthread/result"
)

// init sets defaults that command-line flags can override, because they are parsed later.
func init() {
	flag.Set("rapid.checks", "500")
	flag.Set("rapid.steps", "100")
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func keyOf(n int) Key {
	return Key{
		Caller:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), uint16(1000+n%7)),
		ServiceID: uint32(1 + n%3),
	}
}

func streamOf(n int, created time.Time) Record {
	return Record{Key: keyOf(n), Token: []byte{byte(n), byte(n >> 8), byte(n >> 16)}, Request: []byte("observe suite"), Created: created}
}

func constantTarget(to string) func(Key) string { return func(Key) string { return to } }

// Guards against flows and streams that are lost, mixed up or found after their end, against
// the eviction of a flow that has a stream or is in use, and against exceeding the limits.
func TestTableAgainstModel(t *testing.T) {
	type modelStream struct {
		id  uint64
		rec Record
	}
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			Shards:      rapid.SampledFrom([]int{1, 2}).Draw(t, "shards"),
			MaxFlows:    rapid.SampledFrom([]int{4, 30}).Draw(t, "flows"),
			MaxStreams:  rapid.SampledFrom([]int{3, 30}).Draw(t, "streams"),
			IdleTimeout: time.Minute,
		}
		table, now := NewTable(cfg), start
		seen := map[Key]time.Time{}
		streams := map[string]modelStream{} // by flow and token
		var ended []uint64
		hasStream := func(k Key) bool {
			for _, s := range streams {
				if s.rec.Key == k {
					return true
				}
			}
			return false
		}
		drawFlow := func(t *rapid.T) Key { return keyOf(rapid.IntRange(0, cfg.MaxFlows+6).Draw(t, "flow")) }
		modelKey := func(k Key, token []byte) string { return fmt.Sprint(k, token) }
		refused := func(t *rapid.T, err error) bool {
			if err == nil {
				return false
			}
			flows, count, _ := table.Len()
			if result.CodeOf(err) != result.TableFull || (flows < cfg.MaxFlows && count < cfg.MaxStreams) {
				t.Fatalf("%v with %d flows and %d streams", err, flows, count)
			}
			return true
		}
		t.Repeat(map[string]func(*rapid.T){
			"send packet": func(t *rapid.T) {
				k := drawFlow(t)
				isNew, err := table.RecordPacket(now, k)
				if isNew && (hasStream(k) || !seen[k].IsZero() && now.Sub(seen[k]) < minEvictionIdle) {
					t.Fatalf("flow %v was removed while in use", k)
				}
				if !refused(t, err) {
					seen[k] = now
				}
			},
			"register": func(t *rapid.T) {
				r := Record{Key: drawFlow(t), Token: rapid.SliceOfN(rapid.Byte(), 0, 2).Draw(t, "token"), Request: []byte{rapid.Byte().Draw(t, "request")}}
				id, err := table.Register(now, r)
				if refused(t, err) {
					if _, ok := streams[modelKey(r.Key, r.Token)]; ok {
						t.Fatalf("an existing stream was not renewed: %v", err)
					}
					return
				}
				s, renewed := streams[modelKey(r.Key, r.Token)]
				if renewed && s.id != id {
					t.Fatalf("renewal changed the ID from %x to %x", s.id, id)
				}
				r.Server, r.Sequence = s.rec.Server, s.rec.Sequence
				streams[modelKey(r.Key, r.Token)] = modelStream{id, r}
				seen[r.Key] = now
			},
			"change server": func(t *rapid.T) {
				if len(streams) == 0 {
					return
				}
				k := slices.Min(slices.Collect(maps.Keys(streams)))
				s := streams[k]
				s.rec.Server = rapid.SampledFrom([]string{"host-1", "host-2"}).Draw(t, "server")
				table.SetServer(s.id, s.rec.Server, true)
				s.rec.Sequence, _ = table.Notify(s.id, 1)
				streams[k] = s
			},
			"remove": func(t *rapid.T) {
				if len(streams) == 0 {
					return
				}
				k := slices.Min(slices.Collect(maps.Keys(streams)))
				if id := streams[k].id; !table.Remove(id) || table.Remove(id) {
					t.Fatalf("stream %x was not removed exactly once", id)
				}
				ended = append(ended, streams[k].id)
				delete(streams, k)
			},
			"hand over": func(t *rapid.T) {
				service := rapid.Uint32Range(1, 3).Draw(t, "service")
				for {
					batch := table.HandOver(now, 1, func(k Key) string {
						if k.ServiceID == service {
							return "other"
						}
						return ""
					})["other"]
					if len(batch) > 1 {
						t.Fatalf("batch of %d", len(batch))
					}
					for _, r := range batch {
						if _, ok := streams[modelKey(r.Key, r.Token)]; !ok || r.ServiceID != service {
							t.Fatalf("handed over %v", r)
						}
						delete(streams, modelKey(r.Key, r.Token))
					}
					if len(batch) == 0 {
						return
					}
				}
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
			},
			"expire": func(t *rapid.T) {
				table.Expire(now)
				recent := 0
				for k, at := range seen {
					if hasStream(k) || now.Sub(at) < cfg.IdleTimeout {
						recent++
					}
				}
				if flows, _, _ := table.Len(); flows > recent {
					t.Fatalf("%d flows, %d are recent", flows, recent)
				}
			},
			"": func(t *rapid.T) {
				flows, count, _ := table.Len()
				if flows > cfg.MaxFlows || count > cfg.MaxStreams || count != len(streams) {
					t.Fatalf("%d flows, %d streams, model %d", flows, count, len(streams))
				}
				for _, id := range ended {
					if r, ok := table.ByID(id); ok {
						t.Fatalf("the ID %x of an ended stream finds %+v", id, r)
					}
				}
				for _, s := range streams {
					byID, _ := table.ByID(s.id)
					byKey, _ := table.Stream(s.rec.Key, s.rec.Token)
					for _, r := range []Record{byID, byKey} {
						if r.ID != s.id || r.Key != s.rec.Key || !bytes.Equal(r.Token, s.rec.Token) ||
							!bytes.Equal(r.Request, s.rec.Request) || r.Server != s.rec.Server || r.Sequence != s.rec.Sequence {
							t.Fatalf("got %+v, want %+v", r, s.rec)
						}
					}
				}
			},
		})
	})
}

// Guards against an established stream without a copy, a copy that outlives its stream,
// and a copy that is out of date, while streams, servers and standby instances change and
// the budget allows all copies. Each standby instance is a table. The crash is simulated by
// TakeOver on all of them.
func TestTakeOverAfterCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		owner := NewTable(Config{Shards: 2})
		peers := map[string]*Table{"b": NewTable(Config{}), "c": NewTable(Config{})}
		viewVersion := 0
		standby := func(k Key) string { return string("bc"[(int(k.ServiceID)+viewVersion)/2%2]) }
		live := map[int]uint64{}
		sendCopies := func(budget int) {
			for to, rs := range owner.Copies(now, standby, budget) {
				for _, r := range rs {
					if !r.Removed && now.Sub(r.Created) < DefaultMinCopyAge-2*tick {
						t.Fatalf("copy of a stream of age %s", now.Sub(r.Created))
					}
				}
				peers[to].StoreCopies(now, "a", rs)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"register": func(t *rapid.T) {
				n := rapid.IntRange(0, 30).Draw(t, "stream")
				r := streamOf(n, time.Time{})
				r.Request = []byte{rapid.Byte().Draw(t, "request")}
				id, err := owner.Register(now, r)
				if err != nil {
					t.Fatal(err)
				}
				live[n] = id
			},
			"exception": func(t *rapid.T) {
				if len(live) > 0 {
					id := live[rapid.SampledFrom(slices.Sorted(maps.Keys(live))).Draw(t, "stream")]
					owner.SetServer(id, rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "server"), rapid.Bool().Draw(t, "exception"))
				}
			},
			"remove": func(t *rapid.T) {
				if len(live) > 0 {
					n := rapid.SampledFrom(slices.Sorted(maps.Keys(live))).Draw(t, "stream")
					owner.Remove(live[n])
					delete(live, n)
				}
			},
			"view change": func(t *rapid.T) { viewVersion++; owner.StandbysChanged() },
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				sendCopies(rapid.IntRange(30, 4000).Draw(t, "budget"))
			},
		})
		for range 5 { // sends all pending copies
			now = now.Add(time.Second)
			sendCopies(1 << 20)
		}
		got := map[string]Record{}
		for id, peer := range peers {
			for _, r := range peer.TakeOver(now, "a") {
				if standby(r.Key) != id || got[fmt.Sprint(r.Key, r.Token)].Token != nil {
					t.Fatalf("%s has a copy of %v, whose standby is %s", id, r.Key, standby(r.Key))
				}
				got[fmt.Sprint(r.Key, r.Token)] = r
			}
			if _, _, copies := peer.Len(); copies != 0 {
				t.Fatalf("%d copies are left", copies)
			}
		}
		if len(got) != len(live) {
			t.Fatalf("%d copies of %d streams", len(got), len(live))
		}
		for _, id := range live {
			want, _ := owner.ByID(id)
			r := got[fmt.Sprint(want.Key, want.Token)]
			if !want.Exception {
				want.Server = ""
			}
			if !bytes.Equal(r.Request, want.Request) || r.Server != want.Server || r.Exception != want.Exception || r.Created.Sub(want.Created).Abs() > tick {
				t.Fatalf("copy %+v of %+v", r, want)
			}
		}
	})
}

// Guards against control traffic above the budget and against copies in an order other
// than exceptions, removals, oldest streams.
func TestCopiesObeyBudgetAndPriority(t *testing.T) {
	const budget, streams, seconds = 2000, 1000, 10
	table := NewTable(Config{})
	for n := range streams {
		r := streamOf(n, start.Add(-time.Duration(1+n*37%streams)*time.Minute))
		r.Exception, r.Server = n%50 == 0, "host-7"
		if _, err := table.Register(start, r); err != nil {
			t.Fatal(err)
		}
	}
	var sent []Record
	bytes := 0
	for ms := 0; ms <= seconds*1000; ms += 50 {
		for _, r := range table.Copies(start.Add(time.Duration(ms)*time.Millisecond), constantTarget("b"), budget)["b"] {
			sent = append(sent, r)
			bytes += r.WireSize()
		}
	}
	if limit := budget * (seconds + 1); bytes > limit+100 || bytes < limit*9/10 {
		t.Errorf("%d bytes in %d s at %d bytes/s", bytes, seconds, budget)
	}
	oldestFirst := func(a, b Record) int { return a.Created.Compare(b.Created) }
	exceptions, others := sent[:streams/50], sent[streams/50:]
	if !slices.IsSortedFunc(exceptions, oldestFirst) || !slices.IsSortedFunc(others, oldestFirst) {
		t.Error("copies are not in order of age")
	}
	if !exceptions[len(exceptions)-1].Exception || len(sent) == streams {
		t.Fatalf("%d copies, the first ones are not the exceptions", len(sent))
	}
	copied, _ := table.Stream(sent[0].Key, sent[0].Token)
	table.Remove(copied.ID)
	later := start.Add((seconds + 1) * time.Second)
	if next := table.Copies(later, constantTarget("b"), budget)["b"]; !next[0].Removed {
		t.Errorf("the removal does not come before %+v", next[0])
	}
}

// Guards against a delayed removal from a former owner that removes the copy of the new
// owner.
func TestLateRemovalKeepsNewCopy(t *testing.T) {
	table := NewTable(Config{})
	r := streamOf(1, start)
	table.StoreCopies(start, "old", []Record{r})
	table.StoreCopies(start, "new", []Record{r})
	r.Removed = true
	table.StoreCopies(start, "old", []Record{r})
	if got := table.TakeOver(start, "new"); len(got) != 1 {
		t.Fatalf("%d copies", len(got))
	}
}

// testClock is a hybrid logical clock based on a physical clock with the given skew.
type testClock struct {
	now  *time.Time
	skew time.Duration
	last uint64
}

func (c *testClock) read() uint64 {
	c.last = max(c.last, uint64(c.now.Add(c.skew).UnixMilli()))
	return c.last
}

// Guards against an Observe number that is not newer than the previous one by the
// comparison in callers (RFC 7641, 3.4), when the owner changes by a crash, a planned
// handover or a refresh at the standby instance, while the physical clocks differ by up to
// an hour. Messages contain the sender's clock, as envelopes do.
func TestSequenceAcrossOwnerChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		type instance struct {
			clock *testClock
			table *Table
		}
		newInstance := func(t *rapid.T) *instance {
			c := &testClock{now: &now, skew: time.Duration(rapid.IntRange(-1800, 1800).Draw(t, "skew")) * time.Second}
			return &instance{c, NewTable(Config{Clock: c.read})}
		}
		owner, standby := newInstance(t), newInstance(t)
		// mergeClock advances the receiver's clock to the clock in a message from the sender.
		mergeClock := func(from, to *instance) { to.clock.last = max(to.clock.read(), from.clock.read()) }
		var notify func(*rapid.T)
		sendCopies := func(t *rapid.T) {
			rs := owner.table.Copies(now, constantTarget("standby"), 1<<20)["standby"]
			for range rapid.IntRange(0, 3).Draw(t, "notifications before the copy arrives") {
				now = now.Add(time.Second)
				notify(t)
			}
			mergeClock(owner, standby)
			standby.table.StoreCopies(now, "owner", rs)
		}
		id, err := owner.table.Register(now, streamOf(1, now))
		if err != nil {
			t.Fatal(err)
		}
		lastNumber, lastTime := uint32(0), time.Time{}
		notify = func(t *rapid.T) {
			n, ok := owner.table.Notify(id, owner.clock.read())
			const halfRange = 1 << 23
			ahead := (n - lastNumber) & sequenceMask
			if !ok || !lastTime.IsZero() && now.Sub(lastTime) <= 128*time.Second && (ahead == 0 || ahead >= halfRange) {
				t.Fatalf("number %d %s after %d", n, now.Sub(lastTime), lastNumber)
			}
			lastNumber, lastTime = n, now
		}
		replace := func(t *rapid.T, r Record) {
			if id, err = standby.table.Register(now, r); err != nil {
				t.Fatal(err)
			}
			owner, standby = standby, newInstance(t)
			notify(t)
		}
		advance := func(ms int) { now = now.Add(time.Duration(ms) * time.Millisecond) }
		establishCopy := func(t *rapid.T) {
			advance(2100) // longer than DefaultMinCopyAge
			sendCopies(t)
			for range rapid.IntRange(0, 20).Draw(t, "notifications after the copy") {
				advance(rapid.IntRange(0, 1500).Draw(t, "ms"))
				notify(t)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"notify": notify,
			"burst": func(t *rapid.T) {
				for range 100 {
					notify(t)
				}
			},
			"time passes": func(t *rapid.T) { advance(rapid.IntRange(0, 5000).Draw(t, "ms")) },
			"silence":     func(t *rapid.T) { advance(rapid.IntRange(0, 10*3600*1000).Draw(t, "ms")) },
			"crash": func(t *rapid.T) {
				establishCopy(t)
				advance(1200) // suspicion timeout
				for _, r := range standby.table.TakeOver(now, "owner") {
					replace(t, r)
					return
				}
				t.Fatal("no copy")
			},
			"refresh at the standby": func(t *rapid.T) {
				establishCopy(t)
				replace(t, streamOf(1, time.Time{}))
			},
			"hand over": func(t *rapid.T) {
				rs := owner.table.HandOver(now, 1, constantTarget("standby"))["standby"]
				mergeClock(owner, standby)
				replace(t, rs[0])
			},
		})
	})
}

// Guards against a comparison of Observe numbers as plain integers, which fails when they
// wrap around after 4.7 h.
func TestSequenceArithmetic(t *testing.T) {
	const wrap = 1 << sequenceBits
	for _, c := range []struct {
		sequence    uint32
		clock, want uint64
	}{
		{7, 7, 7},
		{10, 7, 10},
		{5, 3*wrap + 7, 3*wrap + 5},
		{9, 3*wrap + 7, 3*wrap + 9},
		{wrap - 3, 3*wrap + 7, 3*wrap - 3},
		{4, 3*wrap - 2, 3*wrap + 4},
		{wrap - 3, 7, wrap - 3},
	} {
		if got := unwrapSequence(c.sequence, c.clock); got != c.want {
			t.Errorf("unwrapSequence(%d, %d) = %d, want %d", c.sequence, c.clock, got, c.want)
		}
	}
	for _, c := range [][3]uint32{{1, 2, 2}, {2, 1, 2}, {0, 9, 9}, {9, 0, 9}, {wrap - 1, 3, 3}, {3, wrap - 1, 3}} {
		if got := laterSequence(c[0], c[1]); got != c[2] {
			t.Errorf("laterSequence(%d, %d) = %d, want %d", c[0], c[1], got, c[2])
		}
	}
}

// Guards against Observe numbers that run ahead of the clock: after a stream had no
// notification for longer than half the number range, its last number appears to be later
// than the clock.
func TestSilentStreamFollowsClock(t *testing.T) {
	for _, crash := range []bool{false, true} {
		now := start
		clock := &testClock{now: &now}
		owner, next := NewTable(Config{Clock: clock.read}), NewTable(Config{Clock: clock.read})
		id, err := owner.Register(now, streamOf(1, now))
		if err != nil {
			t.Fatal(err)
		}
		owner.Notify(id, clock.read())
		now = now.Add(3 * time.Hour)
		rs := owner.HandOver(now, 1, constantTarget("next"))["next"]
		if crash {
			id, _ = owner.Register(now, streamOf(1, start))
			owner.Notify(id, uint64(start.UnixMilli()))
			next.StoreCopies(now, "owner", owner.Copies(now, constantTarget("next"), 1000)["next"])
			rs = next.TakeOver(now, "owner")
		}
		if id, err = next.Register(now, rs[0]); err != nil {
			t.Fatal(err)
		}
		n, _ := next.Notify(id, clock.read())
		if ahead := (uint64(n) - clock.read()) & sequenceMask; ahead > takeOverMarginMillis+1 {
			t.Errorf("crash %v: %d ms ahead of the clock", crash, ahead)
		}
	}
}

// Guards against unnecessary moves of streams, against more moves than the limit and
// against planning a move twice. The fraction of moved streams is compared with the weight
// share of the server that joins.
func TestPlanMovesAvoidsUnnecessaryMoves(t *testing.T) {
	const streams, servers, limit = 20000, 15, 25
	members := make([]placement.Member, 0, servers+1)
	for n := range servers + 1 {
		members = append(members, placement.NewMember(fmt.Sprint("host-", n), uint32(100+50*(n%8))))
	}
	target := func(members []placement.Member) func(Record) string {
		return func(r Record) string { return members[placement.Pick(r.Hash(), members)].ID }
	}
	before, after := target(members[:servers]), target(members)
	table, now := NewTable(Config{}), start
	for n := range streams {
		r := streamOf(n, now)
		r.Server = before(r)
		if _, err := table.Register(now, r); err != nil {
			t.Fatal(err)
		}
	}
	moved := map[uint64]bool{}
	pass := func(target func(Record) string, finish bool) (count int) {
		table.Replan()
		for range streams/scanStreamLimit + streams/limit {
			moves := table.PlanMoves(now, target, limit)
			if len(moves) > limit {
				t.Fatalf("%d moves at once", len(moves))
			}
			for _, m := range moves {
				if moved[m.ID] || m.From == m.To || m.To != members[servers].ID {
					t.Fatalf("unnecessary move %+v", m)
				}
				count++
				if finish {
					moved[m.ID] = true
					table.SetServer(m.ID, m.To, false)
				}
			}
		}
		return count
	}
	if n := pass(before, true); n != 0 {
		t.Fatalf("%d moves without a change", n)
	}
	planned := pass(after, false)
	if again := pass(after, false); again != 0 {
		t.Fatalf("%d moves were planned again while in progress", again)
	}
	now = now.Add(DefaultMoveTimeout)
	if count := pass(after, true); count != planned {
		t.Fatalf("%d moves after the timeout, %d before", count, planned)
	}
	total := uint32(0)
	for _, m := range members {
		total += m.Weight
	}
	share, ideal := float64(planned)/streams, float64(members[servers].Weight)/float64(total)
	t.Logf("share moved %.4f, ideal %.4f", share, ideal)
	if share > ideal*1.1 || share < ideal*0.9 {
		t.Errorf("share moved %.4f, ideal %.4f", share, ideal)
	}
}

type refuseAll struct{}

func (refuseAll) Allow(time.Time, netip.Addr) bool { return false }

// Guards against a limiter that is not applied to new flows or is applied to known flows.
func TestNewFlowLimit(t *testing.T) {
	table := NewTable(Config{})
	table.RecordPacket(start, keyOf(1))
	table.cfg.Limiter = refuseAll{}
	if isNew, err := table.RecordPacket(start, keyOf(1)); isNew || err != nil {
		t.Errorf("known flow: %v, %v", isNew, err)
	}
	if isNew, err := table.RecordPacket(start, keyOf(2)); !isNew || result.CodeOf(err) != result.PrefixLimited {
		t.Errorf("new flow: %v, %v", isNew, err)
	}
}

// Guards against data races and deadlocks between all operations.
func TestConcurrentUse(t *testing.T) {
	table := NewTable(Config{Shards: 4, MaxFlows: 500, MaxStreams: 300})
	var wg sync.WaitGroup
	for worker := range 6 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(worker)))
			for i := range 3000 {
				now := start.Add(time.Duration(i) * 20 * time.Millisecond)
				n := rng.IntN(600)
				table.RecordPacket(now, keyOf(n))
				id, err := table.Register(now, streamOf(n, time.Time{}))
				if err == nil {
					table.SetServer(id, strconv.Itoa(rng.IntN(3)), rng.IntN(2) == 0)
					table.Notify(id, uint64(i))
				}
				rare := []func(){
					func() { table.Copies(now, constantTarget("b"), 10000) },
					func() { table.StoreCopies(now, "a", []Record{streamOf(n+1, now)}) },
					func() { table.TakeOver(now, "a") },
					func() { table.HandOver(now, 5, constantTarget("b")) },
					func() { table.PlanMoves(now, func(Record) string { return "1" }, 5) },
					table.Replan,
					table.StandbysChanged,
					func() { table.Expire(now) },
				}
				if op := rng.IntN(30); op < len(rare) {
					rare[op]()
				} else {
					table.Remove(id)
				}
			}
		})
	}
	wg.Wait()
	_, streams, _ := table.Len()
	found := 0
	for n := range 600 {
		if _, ok := table.Stream(keyOf(n), streamOf(n, start).Token); ok {
			found++
		}
	}
	if found != streams {
		t.Errorf("%d streams are found by key, Len reports %d", found, streams)
	}
}
