package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"time"
)

// watching reports whether an instance says that it reads the store for its failure domain.
func (in *instance) watching() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	response, err := c.Get("http://" + netip.AddrPortFrom(in.ip, in.d.ports.ready).String() + "/status")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var status struct {
		Watching bool `json:"watching"`
	}
	return json.NewDecoder(response.Body).Decode(&status) == nil && status.Watching
}

// takeover accepts a configuration and opens flows to its route through an instance of the first zone that does not
// read the store. With trouble, all instances of the other zones have been lost for ten seconds, and the
// instance that reads the store has just been partitioned from it for 5.5 s.
func takeover(d *deployment, trouble bool) error {
	if trouble {
		for _, in := range d.instances[instancesPerZone:] {
			in.lose()
		}
		d.rec.say("all instances of %s and %s lose power for good", zones[1], zones[2])
	}
	time.Sleep(10 * time.Second)
	var watcher, other *instance
	for _, in := range d.instances[:instancesPerZone] {
		if in.watching() {
			watcher = in
		} else {
			other = in
		}
	}
	if watcher == nil || other == nil {
		return errors.New("not exactly one instance reads the store")
	}
	d.rec.say("%s reads the store", watcher.name)
	answer := make(chan struct{}, 1)
	watcher.proxy.onAnswer(func() {
		select {
		case answer <- struct{}{}:
		default:
		}
	})
	<-answer
	time.Sleep(50 * time.Millisecond)
	if trouble {
		watcher.proxy.partition()
		d.rec.say("%s is partitioned from the store", watcher.name)
	}
	if err := d.acceptVersion(2, nil); err != nil {
		return err
	}
	acknowledged := time.Now()
	var last time.Duration
	for time.Since(acknowledged) < 5500*time.Millisecond {
		sent := time.Since(acknowledged)
		got := d.probe(other, addedRoute(2))
		d.rec.add("a flow to the route of version 2 through %s, sent %.2f s after its acknowledgement: %s", other.name, sent.Seconds(), got)
		if got == "reset by the system" && sent > configApply {
			d.configBroken++
			last = sent
		}
		time.Sleep(50 * time.Millisecond)
	}
	d.rec.say("CONFIG: %d flows sent later than %v after the acknowledgement were refused, the last %.2f s after it", d.configBroken, configApply, last.Seconds())
	return nil
}
