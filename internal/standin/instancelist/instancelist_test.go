package instancelist

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a lag that is not applied, and against contents that mix two states.
func TestListLags(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(func() time.Time { return now })
	l.SetFaults(Faults{LagMS: 3000})
	l.SetInstance(Instance{ID: "a", Weight: 1})
	l.SetBackendServer(BackendServer{Name: "s"})
	now = now.Add(2 * time.Second)
	if !l.SetInstanceLeaving("a", true) || l.SetInstanceLeaving("b", true) {
		t.Fatal("SetInstanceLeaving does not report whether the instance is listed")
	}
	if c := l.Contents(); len(c.Instances) != 0 || len(c.BackendServers) != 0 {
		t.Fatalf("list is not empty before the lag has passed: %+v", c)
	}
	now = now.Add(time.Second)
	if c := l.Contents(); len(c.Instances) != 1 || c.Instances[0].Leaving || len(c.BackendServers) != 1 {
		t.Fatalf("list after the lag has passed: %+v", c)
	}
	now = now.Add(2 * time.Second)
	if c := l.Contents(); !c.Instances[0].Leaving {
		t.Fatalf("leaving flag is not set after the lag has passed: %+v", c)
	}
}

// Guards against control requests that the lab can't use, and against an outage in which
// the list still responds with its contents.
func TestControl(t *testing.T) {
	l := New(time.Now)
	srv := httptest.NewServer(l.Handler())
	defer srv.Close()
	call := func(method, path, body string) int {
		req, err := http.NewRequest(method, srv.URL+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	for _, c := range []struct {
		method, path, body string
		want               int
	}{
		{"POST", "/control/instances", `{"id":"a","domain":"x","weight":2}`, 200},
		{"POST", "/control/instances/a/leaving", "", 200},
		{"POST", "/control/instances/b/leaving", "", 404},
		{"POST", "/control/servers", `{"name":"s","leaving":true}`, 200},
		{"GET", "/v1/instances", "", 200},
		{"PUT", "/control/faults", `{"outage":true}`, 200},
		{"GET", "/v1/instances", "", 503},
		{"DELETE", "/control/instances/a", "", 200},
		{"DELETE", "/control/servers/s", "", 200},
	} {
		if got := call(c.method, c.path, c.body); got != c.want {
			t.Fatalf("%s %s returns %d, want %d", c.method, c.path, got, c.want)
		}
	}
	if c := l.Contents(); len(c.Instances)+len(c.BackendServers) != 0 {
		t.Fatalf("list is not empty: %+v", c)
	}
}
