package kvservice

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// service is a running service with a clock that the test controls.
type service struct {
	t   *testing.T
	s   *Service
	url string
	now atomic.Int64
}

func newService(t *testing.T) *service {
	t.Helper()
	v := &service{t: t}
	v.now.Store(time.Unix(1000, 0).UnixNano())
	v.s = New(5, func() time.Time { return time.Unix(0, v.now.Load()) })
	srv := httptest.NewServer(v.s.Handler())
	t.Cleanup(srv.Close)
	v.url = srv.URL + "/v1/kv/monsoonthread/head"
	return v
}

// call returns the status, entity tag and body; status 0 means that there was no response.
func (v *service) call(method, query, body string, header ...string) (status int, tag, value string) {
	v.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, v.url+query, strings.NewReader(body))
	if err != nil {
		v.t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		v.t.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get("ETag"), string(b)
}

func (v *service) expectStatus(status int, method, query, body string, header ...string) string {
	v.t.Helper()
	got, tag, value := v.call(method, query, body, header...)
	if got != status {
		v.t.Fatalf("%s%s returns %d %q, want %d", method, query, got, value, status)
	}
	return tag
}

// Guards against a compare-and-swap that succeeds for two concurrent writers.
func TestCompareAndSwap(t *testing.T) {
	v := newService(t)
	v.expectStatus(http.StatusNotFound, "GET", "", "")
	first := v.expectStatus(http.StatusCreated, "PUT", "", "a", "If-None-Match", "*")
	v.expectStatus(http.StatusPreconditionFailed, "PUT", "", "b", "If-None-Match", "*")
	second := v.expectStatus(http.StatusNoContent, "PUT", "", "b", "If-Match", first)
	v.expectStatus(http.StatusPreconditionFailed, "PUT", "", "c", "If-Match", first)
	if _, tag, value := v.call("GET", "", ""); tag != second || value != "b" {
		t.Fatalf("value %q with tag %s, want b with %s", value, tag, second)
	}
	v.expectStatus(http.StatusRequestEntityTooLarge, "PUT", "", strings.Repeat("x", MaxValueBytes+1))
}

// Guards against keys that remain after their lease has expired.
func TestLeaseExpires(t *testing.T) {
	v := newService(t)
	v.expectStatus(http.StatusCreated, "PUT", "?lease_ms=1000", "a")
	v.now.Add(int64(999 * time.Millisecond))
	v.expectStatus(http.StatusOK, "GET", "", "")
	v.now.Add(int64(time.Millisecond))
	v.expectStatus(http.StatusNotFound, "GET", "", "")
	v.expectStatus(http.StatusCreated, "PUT", "", "b", "If-None-Match", "*")
}

// Guards against a watch that misses a change, and against a watch that is counted as
// more than one call.
func TestWatch(t *testing.T) {
	v := newService(t)
	v.expectStatus(http.StatusCreated, "PUT", "", "a")
	v.expectStatus(http.StatusNotModified, "GET", "?after=1&wait_ms=10", "")
	done := make(chan string)
	go func() {
		_, _, value := v.call("GET", "?after=1&wait_ms=1500", "")
		done <- value
	}()
	for v.s.Counters().Watches < 2 {
		time.Sleep(time.Millisecond)
	}
	v.expectStatus(http.StatusNoContent, "PUT", "", "b")
	if value := <-done; value != "b" {
		t.Fatalf("watch returns %q, want b", value)
	}
	if c := v.s.Counters(); c.Watches != 2 || c.Reads != 0 || c.Writes != 2 {
		t.Fatalf("counters %+v", c)
	}
}

// Guards against faults that differ from the configured ones, in particular a lost response
// to a write that took no effect.
func TestFaults(t *testing.T) {
	v := newService(t)
	v.s.SetFaults(Faults{LoseNextAnswers: 1})
	if status, _, _ := v.call("PUT", "", "a"); status != 0 {
		t.Fatalf("got response %d, want a lost response", status)
	}
	if _, _, value := v.call("GET", "", ""); value != "a" {
		t.Fatalf("value is %q after a write with a lost response, want a", value)
	}
	v.s.SetFaults(Faults{Outage: true})
	v.expectStatus(http.StatusServiceUnavailable, "GET", "", "")
	v.s.SetFaults(Faults{CutDomains: []string{"levis"}})
	v.expectStatus(http.StatusOK, "GET", "", "", DomainHeader, "laval")
	if status, _, _ := v.call("GET", "", "", DomainHeader, "levis"); status != 0 {
		t.Fatalf("client in a cut domain got %d", status)
	}
	v.s.SetFaults(Faults{WritesPerSecond: 2, SlowMS: 30})
	begin := time.Now()
	v.expectStatus(http.StatusNoContent, "PUT", "", "b")
	if took := time.Since(begin); took < 30*time.Millisecond {
		t.Fatalf("response took %v, want at least 30ms", took)
	}
	v.expectStatus(http.StatusNoContent, "PUT", "", "c")
	v.expectStatus(http.StatusTooManyRequests, "PUT", "", "d")
	v.expectStatus(http.StatusOK, "GET", "", "")
}
