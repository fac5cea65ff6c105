package soak

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/metastore"
	"github.com/monsoonthread/monsoonthread/platform/wire"
)

const (
	// evacuationBound is the time within which users require an evacuation to take effect.
	evacuationBound = 5 * time.Second
	// coldTime is how long users count a server as cold after its start.
	coldTime = 2 * time.Second
	// coldPerS, coldOverage and coldSlack are the values of the users' deployments, coldLimit the
	// number of opening packets a second that follows from them.
	coldPerS    = 0
	coldOverage = 1.5
	coldSlack   = 5
	coldLimit   = int(coldPerS*coldOverage + coldSlack)
	// maxConnections is small enough for the flows of one reconnect to exceed it at the servers of
	// one failure domain.
	maxConnections = 25
	idleTimeout    = 15 * time.Second
)

// features are the optional features that a deployment uses. They depend on the seed alone, so that
// each seed has the same checks in every run.
type features struct {
	evacuation  bool // operators evacuate failure domains
	coldStart   bool // servers start cold
	connections bool // services limit the open flows at a server
	priorities  bool // routes have priorities, objectives and time-outs
}

// featuresOf returns the features of a seed's deployment. Every fourth seed uses none, since
// deployments without them must behave as before.
func featuresOf(seed uint64) features {
	switch seed % 4 {
	case 0:
		return features{evacuation: true, connections: true}
	case 1:
		return features{evacuation: true, coldStart: true, priorities: true}
	case 2:
		return features{evacuation: true, coldStart: true, connections: true, priorities: true}
	}
	return features{}
}

func (f features) String() string {
	var names []string
	for _, v := range []struct {
		used bool
		name string
	}{{f.evacuation, "evacuation"}, {f.coldStart, "cold start"}, {f.connections, "connection limits"}, {f.priorities, "priorities"}} {
		if v.used {
			names = append(names, v.name)
		}
	}
	return strings.Join(names, ", ")
}

// settings returns the lines for the settings file of an instance.
func (f features) settings() string {
	lines := ""
	if f.evacuation {
		lines += fmt.Sprintf("evacuation-bound=%v\n", evacuationBound)
	}
	if f.coldStart {
		lines += fmt.Sprintf("cold-overage=%v\ncold-slack=%v\n", coldOverage, coldSlack)
	}
	return lines
}

// routeFields returns the further fields of a route to the service in a configuration.
func (f features) routeFields(service string) string {
	switch {
	case !f.priorities:
		return ""
	case service == "orders":
		return `,"priority":0,"targetLatencyMs":250,"timeoutMs":1000`
	}
	return `,"priority":1,"targetLatencyMs":900,"timeoutMs":2000`
}

// serviceFields returns the further fields of a service in a configuration.
func (f features) serviceFields() string {
	fields := ""
	if f.coldStart {
		fields += fmt.Sprintf(`,"coldStartS":%v,"coldPerS":%v`, coldTime.Seconds(), coldPerS)
	}
	if f.connections {
		fields += fmt.Sprintf(`,"maxConns":%d`, maxConnections)
	}
	return fields
}

// faults returns the faults and changes of a deployment. Those of a feature come last, so that the
// seeds without it keep their sequences.
func (f features) faults() []fault {
	kinds := faults
	if f.evacuation {
		kinds = slices.Concat(kinds, evacuationFaults)
	}
	if f.coldStart {
		kinds = slices.Concat(kinds, coldStartFaults)
	}
	if f.priorities {
		kinds = slices.Concat(kinds, priorityFaults)
	}
	return kinds
}

// evacuationFaults are drawn in deployments whose operators evacuate failure domains. The same
// instance may get another fault at the same time.
var evacuationFaults = []fault{
	{"evacuation", func(d *deployment, in *instance) { d.evacuateForAWhile(domainName(in.domain())) }},
	{"evacuation", func(d *deployment, in *instance) { d.evacuateForAWhile(domainName(in.domain())) }},
	{"evacuation beside a kill", func(d *deployment, in *instance) {
		d.evacuateForAWhile(domainName(d.rng.IntN(domainCount)))
		in.signal(syscall.SIGKILL)
	}},
	{"evacuation beside a restored store", func(d *deployment, in *instance) {
		d.restoreStore()
		d.evacuateForAWhile(domainName(in.domain()))
	}},
	{"evacuation beside a store fault", func(d *deployment, in *instance) {
		d.evacuateForAWhile(domainName(in.domain()))
		d.setStoreFault(metastore.Fault(1+d.rng.IntN(5)), d.randomDuration(2500))
	}},
	{"evacuation ended", func(d *deployment, in *instance) { d.endEvacuation(domainName(in.domain())) }},
	{"evacuation of an unknown domain", func(d *deployment, _ *instance) {
		d.evacuateForAWhile(domainName(domainCount))
		if d.rng.IntN(2) == 0 {
			d.addServer("orders", domainCount)
		}
	}},
	{"server added in an evacuated domain", func(d *deployment, in *instance) {
		d.evacuateForAWhile(domainName(in.domain()))
		d.addServer("orders", in.domain())
	}},
	{"server moved to an evacuated domain", func(d *deployment, in *instance) { d.moveRandomServer(in.domain()) }},
	{"malformed evacuation", func(d *deployment, in *instance) { d.writeMalformedEvacuation(domainName(in.domain())) }},
}

// coldStartFaults are drawn in deployments whose servers start cold.
var coldStartFaults = []fault{
	{"servers of a domain restarted", func(d *deployment, in *instance) { d.restartDomain(in.domain()) }},
	{"servers added", func(d *deployment, in *instance) {
		d.addServer("orders", in.domain())
		d.reconnectSoon()
	}},
	{"many flows at once", func(d *deployment, _ *instance) { d.reconnectSoon() }},
}

// priorityFaults are drawn in deployments whose routes have priorities.
var priorityFaults = []fault{{"malformed configuration", func(d *deployment, _ *instance) { d.writeMalformedConfiguration() }}}

// writeMalformedConfiguration writes the last version with a malformed field, which operators correct
// within a second by writing the last version again.
func (d *deployment) writeMalformedConfiguration() {
	d.mu.Lock()
	d.store.Put(wire.ConfigurationKey, bytes.Replace(d.configuration, []byte(`"priority":0`), []byte(`"priority":-1`), 1))
	d.mu.Unlock()
	time.AfterFunc(d.randomDuration(1000), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.store.Put(wire.ConfigurationKey, d.configuration)
	})
}

// malformedEvacuations are the ends of keys and the values of evacuation records that cannot be read.
var malformedEvacuations = []struct{ key, value string }{
	{"", `{}`}, {"d0/extra", `{}`}, {"/", `{}`}, {"d8", "\xff\x00"}, {"d8", `"d8"`}, {"d8", `[]`}, {"d8", `null`}, {"d8", ``}, {"d8", `{"since":`},
}

// writeMalformedEvacuation writes an evacuation record that cannot be read, or overwrites the record
// of an evacuated domain for up to a second, as an operator's mistake does.
func (d *deployment) writeMalformedEvacuation(domain string) {
	m := malformedEvacuations[d.rng.IntN(len(malformedEvacuations))]
	key := wire.EvacuationPrefix + m.key
	if d.rng.IntN(2) == 0 && d.evacuated(domain) {
		d.store.Put(wire.EvacuationPrefix+domain, []byte(`[`))
		time.AfterFunc(d.randomDuration(1000), func() { d.correctEvacuation(domain) })
		return
	}
	d.store.Put(key, []byte(m.value))
	time.AfterFunc(d.randomDuration(4000), func() { d.store.Remove(key) })
}
