package admission

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/result"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func newQueue(shares ...uint32) *Queue {
	cfg := Config{MaxDeadline: 10 * time.Second}
	copy(cfg.MinShares[:], shares)
	return NewQueue(cfg)
}

var ampleCapacity = Estimate{ServiceTime: time.Millisecond, Rate: 1000}

// Guards against requests that are lost, duplicated or expired out of order. Random
// operations are applied to the queue and to a map of the waiting requests, and the results
// are compared.
func TestQueueMatchesListModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		q := newQueue(0, 30, 10)
		model := map[uint64]Item{}
		now, id := start, uint64(0)
		r.Repeat(map[string]func(*rapid.T){
			"offer": func(r *rapid.T) {
				id++
				it := Item{ID: id, Class: config.Class(rapid.IntRange(0, 2).Draw(r, "class")),
					CallerHash: rapid.Uint64Range(0, 5).Draw(r, "caller"),
					Deadline:   now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(r, "ms")) * time.Millisecond)}
				if q.Offer(now, it, ampleCapacity) == nil {
					model[id] = it
				}
			},
			"next": func(r *rapid.T) {
				it, ok := q.Next(now)
				if ok != (len(model) > 0) {
					r.Fatalf("next is %v with %d waiting", ok, len(model))
				}
				if !ok {
					return
				}
				if model[it.ID] != it {
					r.Fatalf("next is %v, which is not queued", it.ID)
				}
				if rapid.Bool().Draw(r, "requeue") {
					q.Requeue(it)
					return
				}
				q.ChargeGrant(it.Class)
				delete(model, it.ID)
			},
			"cancel": func(r *rapid.T) {
				id := rapid.Uint64Range(0, id).Draw(r, "id")
				_, waits := model[id]
				if it, ok := q.Cancel(id); ok != waits || ok && it.ID != id {
					r.Fatalf("cancel of %d is %v, want %v", id, ok, waits)
				}
				delete(model, id)
			},
			"expire": func(r *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(r, "ms")) * time.Millisecond)
				last := time.Time{}
				for _, it := range q.Expire(now) {
					if it.Deadline.Before(last) || it.Deadline.After(now) {
						r.Fatalf("deadline %v expired after %v", it.Deadline, last)
					}
					last = it.Deadline
					delete(model, it.ID)
				}
				for _, it := range model {
					if !now.Before(it.Deadline) {
						r.Fatalf("request %d did not expire", it.ID)
					}
				}
			},
			"": func(r *rapid.T) {
				if q.Len() != len(model) || len(q.byID) != len(model) {
					r.Fatalf("%d waiting, want %d", q.Len(), len(model))
				}
			},
		})
	})
}

// Guards against classes that starve or get less than their share of the slot time when
// the service times of the classes differ.
func TestMinimumSharesOfSlotTime(t *testing.T) {
	costs := [config.NumClasses]time.Duration{30 * time.Millisecond, 10 * time.Millisecond, 80 * time.Millisecond}
	q := newQueue(0, 30, 10)
	for c, cost := range costs {
		for range 200 {
			q.RecordSlotTime(config.Class(c), cost)
		}
	}
	var used [config.NumClasses]time.Duration
	var total time.Duration
	id := uint64(0)
	for range 5000 {
		for c := range config.NumClasses {
			if q.ClassLen(c) == 0 {
				id++
				q.push(Item{ID: id, Class: c}, 0)
			}
		}
		it, _ := q.Next(start)
		q.ChargeGrant(it.Class)
		used[it.Class] += costs[it.Class]
		total += costs[it.Class]
	}
	for c, want := range [config.NumClasses]float64{0.5, 0.3, 0.1} {
		if got := float64(used[c]) / float64(total); got < want {
			t.Errorf("%v has %.3f of the slot time, want %.2f", config.Class(c), got, want)
		}
	}
}

// Guards against queueing requests whose deadline cannot be met. They must be refused at
// once, with the time after which a retry could succeed.
func TestDeadlineThatCannotBeMetIsRefused(t *testing.T) {
	q := newQueue()
	est := Estimate{ServiceTime: 10 * time.Millisecond, Rate: 100}
	for id := range uint64(10) {
		if err := q.Offer(start, Item{ID: id, Deadline: start.Add(time.Second)}, est); err != nil {
			t.Fatal(err)
		}
	}
	err := q.Offer(start, Item{ID: 99, Deadline: start.Add(90 * time.Millisecond)}, est)
	var refusal *Refusal
	if result.CodeOf(err) != result.DeadlineUnmet || !errors.As(err, &refusal) || refusal.RetryAfter != 20*time.Millisecond {
		t.Errorf("refusal is %v %+v, want code %d (DeadlineUnmet) with retry after 20ms", err, refusal, result.DeadlineUnmet)
	}
	if err := q.Offer(start, Item{ID: 99, Deadline: start.Add(130 * time.Millisecond)}, est); err != nil {
		t.Errorf("refused although the deadline can be met: %v", err)
	}
}

// Guards against a queue that grows without limit, and against one caller that fills the
// queue so that all others are refused.
func TestQueueIsBounded(t *testing.T) {
	for _, rate := range []float64{10, 100, 1e6} {
		q := newQueue()
		est := Estimate{Rate: rate}
		codes := map[result.Code]int{}
		for id := range uint64(20000) {
			codes[result.CodeOf(q.Offer(start, Item{ID: id, Deadline: start.Add(time.Hour)}, est))]++
		}
		if bound := q.MaxWaiting(rate); bound > DefaultMaxPerClass || q.Len() > bound*3/4 {
			t.Errorf("rate %v: one caller has %d of %d places", rate, q.Len(), bound)
		}
		if err := q.Offer(start, Item{ID: 1 << 40, CallerHash: 77, Deadline: start.Add(time.Hour)}, est); err != nil {
			t.Errorf("rate %v: another caller is refused: %v", rate, err)
		}
		for id := range uint64(20000) {
			codes[result.CodeOf(q.Offer(start, Item{ID: 1<<41 + id, CallerHash: id, Deadline: start.Add(time.Hour)}, est))]++
		}
		if q.Len() > q.MaxWaiting(rate) || codes[result.QueueShareExceeds] == 0 {
			t.Errorf("rate %v: %d of %d places in use, codes %v", rate, q.Len(), q.MaxWaiting(rate), codes)
		}
	}
}

// Guards against a caller with many requests that delays other callers of its class.
func TestCallersAreServedInTurn(t *testing.T) {
	q := newQueue()
	for id := range uint64(100) {
		q.Offer(start, Item{ID: id, CallerHash: 1, Deadline: start.Add(time.Hour)}, ampleCapacity)
	}
	for id := uint64(1000); id < 1003; id++ {
		q.Offer(start, Item{ID: id, CallerHash: 2, Deadline: start.Add(time.Hour)}, ampleCapacity)
	}
	var order []uint64
	for range 6 {
		it, _ := q.Next(start)
		order = append(order, it.ID)
	}
	if want := []uint64{0, 1000, 1, 1001, 2, 1002}; !slices.Equal(order, want) {
		t.Errorf("order is %v, want %v", order, want)
	}
}

// Guards against retries beyond 10% of the first attempts plus the floor.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := NewRetryBudget(0, 0, start)
		now := start
		first, retries := 0.0, 0.0
		for range rapid.IntRange(1, 500).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(r, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(r, "first") {
				b.RecordFirstAttempt()
				first++
			} else if b.AllowRetry(now) {
				retries++
			}
		}
		const rounding = 1e-6
		if limit := 0.1*first + DefaultRetryFloor*(1+now.Sub(start).Seconds()) + rounding; retries > limit {
			r.Fatalf("%v retries for %v first attempts in %v", retries, first, now.Sub(start))
		}
		if !b.AllowRetry(now.Add(time.Second)) {
			r.Fatal("the floor does not allow a retry each second")
		}
	})
}

// Guards against prefixes that share a limit or have none, and against a limited prefix
// that gets its full burst again because other prefixes evict it from the table.
func TestPrefixLimiter(t *testing.T) {
	l := NewPrefixLimiter(10, 5, 64, 1, start)
	allowed := func(now time.Time, address string, n int) (count int) {
		for range n {
			if ok, _ := l.Allow(now, netip.MustParseAddr(address)); ok {
				count++
			}
		}
		return count
	}
	got := []int{
		allowed(start, "10.0.0.1", 10), allowed(start, "10.0.0.200", 10), allowed(start, "::ffff:10.0.0.7", 10),
		allowed(start, "10.0.1.1", 10), allowed(start, "2001:db8:0:aa00::1", 10),
		allowed(start, "2001:db8:0:aaff::1", 10), allowed(start, "2001:db8:0:ab00::1", 10),
		allowed(start.Add(time.Second), "10.0.0.1", 20),
	}
	if want := []int{5, 0, 0, 5, 5, 0, 5, 5}; !slices.Equal(got, want) {
		t.Errorf("allowed %v, want %v", got, want)
	}
	if ok, after := l.Allow(start.Add(time.Second), netip.MustParseAddr("10.0.0.1")); ok || after != 100*time.Millisecond {
		t.Errorf("limited prefix: %v, retry after %v, want 100ms", ok, after)
	}
	// The limited prefix may open its next flow 100 ms later, at start + 1.1 s.
	now := start.Add(time.Second)
	for i := range 10000 {
		now = now.Add(10 * time.Microsecond)
		allowed(now, fmt.Sprintf("172.%d.%d.1", 16+i/256, i%256), 1)
		if i%20 == 0 && allowed(now, "10.0.0.1", 1) > 0 && now.Sub(start) < 1090*time.Millisecond {
			t.Fatalf("the limited prefix was evicted after %d others", i)
		}
	}
}
