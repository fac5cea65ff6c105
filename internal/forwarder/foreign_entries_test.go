package forwarder

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/monsoonthread/monsoonthread/platform/wire"
)

// foreignEntry returns an entry that names another service for the server, with a later start, and lacks
// a field, or has null there.
func (d *deployment) foreignEntry(id, service, field string, null bool) []byte {
	d.t.Helper()
	var fields map[string]any
	if err := json.Unmarshal(d.servers[id].Record("ready"), &fields); err != nil {
		d.t.Fatal(err)
	}
	fields["service"], fields["born"], fields["sequence"] = service, time.Now().UnixMilli(), 1
	if fields[field] == nil {
		d.t.Fatalf("a server's entry has no %s", field)
	}
	if delete(fields, field); null {
		fields[field] = nil
	}
	b, err := json.Marshal(fields)
	if err != nil {
		d.t.Fatal(err)
	}
	return b
}

// Guards against requests at a server whose service is another one, because an entry of another writer
// under its key lacks a field and is taken for that of a new process: by a watch, at a start, and after
// the store was restored to a copy with the entry.
func TestEntryThatLacksAFieldNamesNoServer(t *testing.T) {
	d, a, b := startPair(t)
	d.startServer("i-2", "catalogue", "laval", 2)
	d.version++
	d.store.Put(wire.ConfigurationKey, []byte(fmt.Sprintf(`{"version":%d,"routes":[{"host":"198.18.0.1","prefix":"/8443/","service":"catalogue"},{"host":"198.18.0.2","prefix":"/8443/","service":"orders"}],`+
		`"services":[{"name":"orders","healthPath":"/health"},{"name":"catalogue","healthPath":"/health"}]}`, d.version)))
	instances := []*instance{a, b}
	for _, i := range instances {
		d.eventually("both services known", configurationBound, func() bool {
			return i.version() == uint64(d.version) && i.hasRecord(wire.ServerPrefix+"i-2", "ready")
		})
	}
	key := wire.ServerPrefix + "i-1"
	// check opens flows while the entry is in the store and after the server has written its own again.
	check := func(what string, instances ...*instance) {
		t.Helper()
		for _, write := range []bool{false, true} {
			if write {
				d.store.Put(key, d.servers["i-1"].Record("ready"))
			}
			for end := time.Now().Add(150 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				for _, i := range instances {
					f := d.openFlow(i)
					d.request(f, i, "i-2:x")
				}
			}
		}
		for _, i := range instances {
			if i.hasRecord(key, "catalogue") {
				t.Errorf("%s: %s has the entry of another writer", what, i.self.ID)
			}
			d.eventually(what+": the server's own entry", configurationBound, func() bool { return i.hasRecord(key, `"service":"orders"`) })
		}
	}
	for _, field := range []string{"address", "zone", "version", "slots", "state", "coldLeftMs", "sequence", "born"} {
		for _, null := range []bool{false, true} {
			d.store.Put(key, d.foreignEntry("i-1", "catalogue", field, null))
			check(fmt.Sprintf("watch, %s, null %v", field, null), a, b)
		}
	}

	d.store.Put(key, d.foreignEntry("i-1", "catalogue", "version", false))
	c := d.startInstance("c", "laval", 3, "127.0.2.1:1")
	e := d.startInstance("e", "levis", 4)
	for _, i := range []*instance{c, e} {
		d.eventually("started", testTimeout, func() bool { return d.ready(i) && i.version() == uint64(d.version) })
	}
	instances = append(instances, c, e)
	check("start", instances...)

	d.store.Put(key, d.foreignEntry("i-1", "catalogue", "sequence", false))
	older := d.store.Copy()
	d.store.Put(key, d.servers["i-1"].Record("ready"))
	d.store.Restore(older)
	time.Sleep(time.Second) // until the instances have read the copy
	check("restored store", instances...)
}
