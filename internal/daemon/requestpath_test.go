package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/pool"
	"github.com/plgd-dev/go-coap/v3/udp"

	"github.com/monsoonthread/monsoonthread/caller"
	"github.com/monsoonthread/monsoonthread/internal/standin/backendserver"
)

// Guards against behaviour that works only with this repository's own client: a go-coap
// client sends the requests through a fabric that delivers each datagram to any
// instance.
func TestEndToEndWithGoCoAP(t *testing.T) {
	d := newDeployment(t)
	d.startAll()
	conn, err := udp.Dial(d.address("catalogue").String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for i := range 20 {
		resp, err := conn.Get(ctx, "/catalogue/items/tulip")
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		if !strings.HasPrefix(resp.Code().String(), "Content") {
			body, _ := resp.ReadBody()
			t.Fatalf("request %d: %s %s", i, resp.Code(), body)
		}
	}
	resp, err := conn.Get(ctx, "/catalogue/archive/log")
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body())
	if err != nil {
		t.Fatal(err)
	}
	want := backendserver.ArchiveContent("catalogue", "log", 7, 8<<20)
	if !bytes.Equal(body, want) {
		t.Fatalf("archive has %d bytes and differs from the original of %d", len(body), len(want))
	}
	var notifications atomic.Int64
	obs, err := conn.Observe(ctx, "/catalogue/watch/tulip", func(*pool.Message) { notifications.Add(1) }, []message.Option{}...)
	if err != nil {
		t.Fatal(err)
	}
	d.eventually(5*time.Second, "ten notifications", func() bool { return notifications.Load() >= 10 })
	if err := obs.Cancel(ctx); err != nil {
		t.Fatal(err)
	}
}

// Guards against a non-idempotent request with a permit that is refused or runs twice.
func TestPermittedRequestRunsOnce(t *testing.T) {
	d := newDeployment(t)
	d.startAll()
	c, err := caller.Dial(caller.Config{}, d.address("orders"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	const orders = 50
	for i := range orders {
		r, err := c.Do(ctx, caller.Request{Method: "POST", Path: "/orders/lines", Payload: []byte(fmt.Sprintf("id=order-%d", i))})
		if err != nil || !r.Code.IsSuccess() {
			t.Fatalf("order %d: %v %v", i, r, err)
		}
	}
	counts := map[string]int{}
	entries, _ := d.backendHost.Log().After(0)
	for _, e := range entries {
		if !e.Shed {
			counts[e.PayloadID]++
		}
	}
	for i := range orders {
		if n := counts[fmt.Sprintf("order-%d", i)]; n != 1 {
			t.Errorf("order %d ran %d times", i, n)
		}
	}
}
