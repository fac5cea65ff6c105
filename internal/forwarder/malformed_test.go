package forwarder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/platform/wire"
	"github.com/monsoonthread/monsoonthread/result"
)

// logLines collects the log lines of all instances of a test.
type logLines struct {
	mu    sync.Mutex
	lines [][]byte
}

func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, bytes.Clone(b))
	return len(b), nil
}

// count returns the number of lines with a message, code 507 and a text in their error.
func (l *logLines) count(message, text string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		var fields map[string]any
		if json.Unmarshal(line, &fields) == nil && fields[zerolog.MessageFieldName] == message && fields[logging.Code] == float64(result.StoreMalformed) &&
			strings.Contains(fmt.Sprint(fields[zerolog.ErrorFieldName]), text) {
			n++
		}
	}
	return n
}

// malformedFields are configurations that are valid but for one field.
var malformedFields = []struct{ field, route, service string }{
	{"route 0: priority", `"priority":-1`, `"maxConns":1`},
	{"route 0: priority", `"priority":1.5`, `"maxConns":1`},
	{"route 0: priority", `"priority":"1"`, `"maxConns":1`},
	{"route 0: targetLatencyMs", `"targetLatencyMs":"250"`, `"maxConns":1`},
	{"route 0: timeoutMs", `"timeoutMs":-1e999`, `"maxConns":1`},
	{"route 0: trafficSplit[0].weight", `"trafficSplit":[{"service":"orders","weight":-1}]`, `"maxConns":1`},
	{`service "orders": maxConns`, `"priority":0`, `"maxConns":2.5`},
	{`service "orders": coldStartS`, `"priority":0`, `"coldStartS":-2`},
	{`service "orders": coldPerS`, `"priority":0`, `"coldPerS":[]`},
}

func (d *deployment) writeMalformedConfiguration(route, service string) {
	d.version++
	d.store.Put(wire.ConfigurationKey, []byte(fmt.Sprintf(`{"version":%d,"routes":[{"host":"198.18.0.1","prefix":"/8443/","service":"catalogue",%s}],"services":[{"name":"orders",%s}]}`, d.version, route, service)))
}

// Guards against a configuration with one malformed field that comes into force in part, withdraws
// the version in force, also for an instance that starts later, hides a valid version written just
// before it, or is not logged with code and field; and against a malformed evacuation that takes
// servers out of use.
func TestMalformedFieldLeavesTheVersionInForce(t *testing.T) {
	d := newDeployment(t)
	log := &logLines{}
	d.log = zerolog.New(log)
	d.startServer("i-1", "orders", "laval", 1)
	a := d.startInstance("a", "laval", 1)
	b := d.startInstance("b", "laval", 2, "127.0.2.1:1")
	for _, i := range []*instance{a, b} {
		d.eventually("ready", testTimeout, func() bool { return d.ready(i) && i.hasRecord(wire.ServerPrefix+"i-1", "ready") })
	}
	f := d.openFlow(a)
	inForce := uint64(d.version)
	for _, m := range malformedFields {
		before := log.count("configuration_malformed", m.field)
		d.writeMalformedConfiguration(m.route, m.service)
		d.eventually("error that names "+m.field, configurationBound, func() bool { return log.count("configuration_malformed", m.field) > before })
	}
	for _, r := range [][2]string{{"", `{}`}, {"laval/x", `{}`}, {"/", `{}`}, {"laval", `[`}, {"laval", `null`}, {"laval", `"laval"`}} {
		d.store.Put(wire.EvacuationPrefix+r[0], []byte(r[1]))
	}
	time.Sleep(500 * time.Millisecond) // until the records have arrived
	for _, i := range []*instance{a, b} {
		if v := i.version(); v != inForce {
			t.Errorf("version %d is in force, want %d", v, inForce)
		}
	}
	d.request(f, a, "i-1:x")
	d.request(d.openFlow(b), b, "i-1:x")

	d.configure("orders")
	inForce = uint64(d.version)
	d.writeMalformedConfiguration(`"priority":-1`, `"maxConns":1`)
	for _, i := range []*instance{a, b} {
		d.eventually("valid version just before a malformed one", configurationBound, func() bool { return i.version() == inForce })
	}

	c := d.startInstance("c", "laval", 3, "127.0.2.1:1")
	d.eventually("new instance ready", testTimeout, func() bool { return d.ready(c) })
	d.request(d.openFlow(c), c, "i-1:x")

	d.configure("orders")
	for _, i := range []*instance{a, b, c} {
		d.eventually("valid version after malformed ones", configurationBound, func() bool { return i.version() == uint64(d.version) })
	}
}

// Guards against a configuration that no instance takes, and that leaves instances without any after all
// of them have been killed, because the numbers in it are higher than forwarding distinguishes.
func TestHighNumbersAreInForceAfterARestartOfAll(t *testing.T) {
	d, a, b := startPair(t)
	d.version++
	d.store.Put(wire.ConfigurationKey, []byte(fmt.Sprintf(`{"version":%d,"routes":[{"host":"198.18.0.1","prefix":"/8443/","trafficSplit":[{"service":"orders","weight":67109},{"service":"none","weight":0}],`+
		`"priority":1001,"targetLatencyMs":7200000,"timeoutMs":7200000}],"services":[{"name":"orders","healthPath":"/health","maxConns":16777217,"coldStartS":7200,"coldPerS":1e10}],"limits":{"idleTimeoutMs":7200000}}`, d.version)))
	for _, i := range []*instance{a, b} {
		d.eventually("version with high numbers", configurationBound, func() bool { return i.version() == uint64(d.version) })
		d.request(d.openFlow(i), i, "i-1:x")
	}
	a.kill()
	b.kill()
	for n, name := range []string{"c", "d"} {
		i := d.startInstance(name, "laval", 3+n, "127.0.2.1:1")
		d.eventually("ready after a restart of all", testTimeout, func() bool { return d.ready(i) })
		d.request(d.openFlow(i), i, "i-1:x")
	}
}
