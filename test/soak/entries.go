package soak

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/monsoonthread/monsoonthread/platform/wire"
)

// heartbeat is the time between the records that a server writes. The store removes the record of
// a server that has been silent for three intervals.
const heartbeat = 1200 * time.Millisecond

// runHeartbeats lets the servers write their records again when the store has another value.
func (d *deployment) runHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		d.mu.Lock()
		servers, writesLost := d.servers, d.writesLost
		d.mu.Unlock()
		for _, s := range servers {
			s.mu.Lock()
			alive, last := s.stoppedAt.IsZero() && len(s.records) > 0, []byte(nil)
			if alive {
				last = s.records[len(s.records)-1]
			}
			s.mu.Unlock()
			if alive && !writesLost && !bytes.Equal(d.store.Value(s.key()), last) {
				s.write(d.store)
			}
		}
		time.Sleep(heartbeat)
	}
}

// lapse removes a record after a time unless a process with its ID runs by then.
func (d *deployment) lapse(key string, after time.Duration) {
	time.AfterFunc(after, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, s := range d.servers {
			if s.key() == key && s.alive() {
				return
			}
		}
		d.store.Remove(key)
	})
}

// restartRandomServer crashes a server and starts another process at its address: under the same
// ID, under a new one, or, after addresses may be used again, one of the other service.
func (d *deployment) restartRandomServer() {
	s := d.pickServer()
	if s == nil {
		return
	}
	s.stop()
	id, service, after := s.ID, s.Service, d.randomDuration(700)
	if how := d.rng.IntN(3); how > 0 {
		d.mu.Lock()
		d.nextID++
		id = fmt.Sprintf("i-%08x", d.nextID)
		d.mu.Unlock()
		d.lapse(s.key(), 3*heartbeat)
		if how == 2 {
			after += 2 * time.Second
			service = map[string]string{"orders": "catalogue", "catalogue": "orders"}[service]
		}
	}
	time.AfterFunc(after, func() { d.startServer(id, service, s.Domain, s.Address(), 0) })
}

// writeLate lets the store execute up to three earlier writes of servers that run or have ended.
func (d *deployment) writeLate() {
	d.mu.Lock()
	servers := d.servers
	d.mu.Unlock()
	at := time.Duration(0)
	for range 1 + d.rng.IntN(3) {
		s := servers[d.rng.IntN(len(servers))]
		s.mu.Lock()
		records := s.records
		s.mu.Unlock()
		if len(records) == 0 {
			continue // its first record is late
		}
		record := records[d.rng.IntN(len(records))]
		at += d.randomDuration(400)
		time.AfterFunc(at, func() { d.store.Put(s.key(), record) })
		d.lapse(s.key(), at+3*heartbeat)
	}
}

// writeForeignEntry writes an entry of another writer that has the address of a server: under a
// key of its own or the server's, with a service that no configuration names or the server's.
func (d *deployment) writeForeignEntry() {
	s := d.pickServer()
	if s == nil {
		return
	}
	key := wire.ServerPrefix + fmt.Sprintf("i-%08x", 0xfe000000+d.rng.IntN(9))
	service := "inventory-agent"
	switch d.rng.IntN(3) {
	case 0:
		service = s.Service
	case 1:
		key = s.key()
	}
	d.store.Put(key, []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":2,"state":"ready","coldLeftMs":0,"sequence":1,"born":%d}`, service, s.Address(), s.Domain, time.Now().UnixMilli())))
	if key != s.key() {
		time.AfterFunc(d.randomDuration(5000), func() { d.store.Remove(key) })
	}
}

// malformedEntries are values that cannot be read.
var malformedEntries = []string{
	`{"service":"orders","address":7}`, `{"service":"orders","address":"127.1.10.1:99999","zone":"d0","version":"v1","slots":2,"state":"ready","coldLeftMs":0,"sequence":1,"born":1700000000000}`,
	`{"service":"orders","address":"127.1.10.1:80","zone":"d0","version":"v1","slots":1e999,"state":"ready","coldLeftMs":0,"sequence":1,"born":1700000000000}`, "\xff\x00", "[[[[[[[[",
}

// writeMalformedEntry writes an entry that cannot be read, under a key of its own or a server's,
// whose record may be removed after it. The server writes again with its next heartbeat.
func (d *deployment) writeMalformedEntry() {
	value := []byte(malformedEntries[d.rng.IntN(len(malformedEntries))])
	s := d.pickServer()
	if s == nil || d.rng.IntN(2) == 0 {
		d.store.Put(wire.ServerPrefix+fmt.Sprintf("i-%08x", 0xff000000+d.rng.IntN(9)), value)
		return
	}
	d.store.Put(s.key(), value)
	if d.rng.IntN(2) == 0 {
		time.AfterFunc(d.randomDuration(500), func() { d.store.Remove(s.key()) })
	}
}
