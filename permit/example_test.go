package permit_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/monsoonthread/monsoonthread/permit"
	"github.com/monsoonthread/monsoonthread/result"
)

// Sends three copies of a permitted request, which must run once, and one after the permit
// has expired. Production code passes crypto/rand.Reader as entropy.
func ExampleIssuer() {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	issuer, err := permit.NewIssuer(permit.Config{Lifetime: 10 * time.Second}, "entry-1", 1, rand.NewChaCha8([32]byte{1}))
	if err != nil {
		fmt.Println(err)
		return
	}
	const flow, service, request = 7, 1, 99
	p := issuer.Issue(now, flow, service)
	fmt.Println("permit bytes:", len(p))
	arrive := func(waiter string) {
		d, err := issuer.Begin(now, p, flow, service, request, waiter)
		switch d := d.(type) {
		case permit.Run:
			fmt.Println(waiter, "runs")
		case permit.Join:
			fmt.Println(waiter, "waits for the running request")
			waiters := issuer.Complete(now, mustParse(p).Nonce, permit.Answer{Response: []byte("created")})
			fmt.Println("answered:", waiters)
		case permit.Replay:
			fmt.Printf("%s gets %q again\n", waiter, d.Answer.Response)
		default:
			fmt.Println(waiter, "is refused, code", result.CodeOf(err))
		}
	}
	arrive("first copy")
	arrive("second copy")
	arrive("third copy")
	now = now.Add(time.Minute)
	arrive("late copy")
	// Output:
	// permit bytes: 40
	// first copy runs
	// second copy waits for the running request
	// answered: [first copy second copy]
	// third copy gets "created" again
	// late copy is refused, code 204
}

func mustParse(b []byte) permit.Header {
	header, err := permit.Parse(b)
	if err != nil {
		panic(err)
	}
	return header
}
