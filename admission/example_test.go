package admission_test

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/monsoonthread/monsoonthread/admission"
	"github.com/monsoonthread/monsoonthread/config"
)

// Guards against serving bulk requests before urgent ones, and against queueing a request
// whose deadline cannot be met.
func ExampleQueue() {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	q := admission.NewQueue(admission.Config{MaxDeadline: 4 * time.Second})
	est := admission.Estimate{ServiceTime: 100 * time.Millisecond, Rate: 10}
	offer := func(id uint64, class config.Class, deadline time.Duration) {
		err := q.Offer(now, admission.Item{ID: id, Class: class, CallerHash: id, Arrived: now, Deadline: now.Add(deadline)}, est)
		var refusal *admission.Refusal
		if errors.As(err, &refusal) {
			fmt.Printf("request %d is refused, code %d\n", id, refusal.Err.Code)
		}
	}
	offer(1, config.Bulk, 2*time.Second)
	offer(2, config.Urgent, 2*time.Second)
	offer(3, config.Normal, 50*time.Millisecond) // shorter than the service time of 100 ms
	for {
		it, ok := q.Next(now)
		if !ok {
			break
		}
		q.ChargeGrant(it.Class)
		fmt.Printf("request %d (%v) goes next\n", it.ID, it.Class)
	}
	// Output:
	// request 3 is refused, code 102
	// request 2 (urgent) goes next
	// request 1 (bulk) goes next
}

// Guards against a prefix that opens more flows than its limit, and against one that uses
// up the limit of another prefix.
func ExamplePrefixLimiter() {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	l := admission.NewPrefixLimiter(1, 2, 0, 1, now)
	for _, caller := range []string{"192.0.2.1", "192.0.2.2", "192.0.2.3", "198.51.100.1"} {
		ok, wait := l.Allow(now, netip.MustParseAddr(caller))
		fmt.Println(caller, ok, wait)
	}
	// Output:
	// 192.0.2.1 true 0s
	// 192.0.2.2 true 0s
	// 192.0.2.3 false 1s
	// 198.51.100.1 true 0s
}

// Guards against retries that exceed their ratio of the first attempts.
func ExampleRetryBudget() {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	b := admission.NewRetryBudget(0.1, 1, now)
	for range 100 {
		b.RecordFirstAttempt()
	}
	retries := 0
	for b.AllowRetry(now) {
		retries++
	}
	fmt.Println(retries >= 10 && retries <= 12)
	// Output: true
}
