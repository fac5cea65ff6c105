package forwarder

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/metastore"
	"github.com/monsoonthread/monsoonthread/platform/wire"
)

// slowStore passes calls on to the store. It delays each response to a watch that has changes by the given
// number of nanoseconds and counts those responses that the caller still waits for.
type slowStore struct {
	store     string
	delay     atomic.Int64
	delivered atomic.Int64
}

func (s *slowStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+s.store+r.URL.RequestURI(), r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	if strings.HasSuffix(r.URL.Path, "/kv-watch") && bytes.Contains(body, []byte(`"revision"`)) {
		select {
		case <-time.After(time.Duration(s.delay.Load())):
			s.delivered.Add(1)
		case <-r.Context().Done():
			return
		}
	}
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(body)
}

// Guards against a watch that is repeated with a time limit in which the store cannot send the changes
// that were made while it did not answer: within the limit of the first watch, and within any limit.
func TestChangesThatTakeLongerThanTheTimeLimit(t *testing.T) {
	for delay, deliveries := range map[time.Duration]int64{storeCallTimeout + 400*time.Millisecond: 1, 10 * time.Second: 0} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			d := newDeployment(t)
			slow := &slowStore{store: d.storeAddr}
			server := httptest.NewServer(slow)
			t.Cleanup(server.Close)
			d.storeAddr = strings.TrimPrefix(server.URL, "http://")
			d.startServer("i-1", "orders", "laval", 1)
			a := d.startInstance("a", "laval", 1)
			d.eventually("ready", testTimeout, func() bool { return d.ready(a) && a.hasRecord(wire.ServerPrefix+"i-1", "ready") && a.isWatching() })
			d.store.SetFault(metastore.NoResponse)
			time.Sleep(a.timing.watchWait + storeCallTimeout) // the calls before the outage have ended
			delivered := slow.delivered.Load()
			slow.delay.Store(int64(delay))
			d.configure("orders")
			d.store.SetFault(metastore.NoFault)
			// All calls that may hang, the watch with the longest limit and one retry.
			limit := a.timing.recoveryTime(1) + a.timing.longWatchLimit() + maxRetryDelay
			d.eventually("version in force", limit, func() bool { return a.version() == uint64(d.version) })
			if got := slow.delivered.Load() - delivered; got < deliveries {
				t.Errorf("%d responses with changes arrived, want %d: the records come from a listing", got, deliveries)
			}
		})
	}
}

// Guards against a late configuration after an outage of the store that ends at any moment of a call:
// calls that the store got during the outage are never answered, and they must not last longer than
// recoveryTime assumes.
func TestChangesArriveAfterAnOutage(t *testing.T) {
	d := newDeployment(t)
	a := d.startInstance("a", "laval", 1)
	d.eventually("ready", testTimeout, func() bool { return d.ready(a) && a.isWatching() })
	for outage := 2500 * time.Millisecond; outage <= 3700*time.Millisecond; outage += 600 * time.Millisecond {
		d.store.SetFault(metastore.NoResponse)
		time.Sleep(outage)
		d.store.SetFault(metastore.NoFault)
		d.configure("orders")
		answers := time.Now()
		d.eventually(fmt.Sprint("version in force after an outage of ", outage), a.timing.recoveryTime(1), func() bool { return a.version() == uint64(d.version) })
		t.Logf("outage of %v: in force after %v", outage, time.Since(answers))
	}
}
