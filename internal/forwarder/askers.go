package forwarder

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// askerLifetime is how long a peer that asked about a server waits for the answer. It probes
	// by itself after 100 ms.
	askerLifetime = 400 * time.Millisecond
	// maxAskers bounds the peers remembered for a server: the instances of a failure domain.
	maxAskers = 128
	// maxAskedServers bounds the table; further questions are left without an answer.
	maxAskedServers = 4096
)

// askers holds the peers that wait for an answer about a server, by the server's cookie.
type askers map[uint32]*waitingPeers

type waitingPeers struct {
	at    time.Duration // time of the last question
	peers []netip.AddrPort
}

// add records that a peer waits for an answer.
func (a askers) add(now time.Duration, cookie uint32, peer netip.AddrPort) {
	w := a[cookie]
	if w == nil {
		if len(a) >= maxAskedServers {
			a.expire(now)
		}
		if len(a) >= maxAskedServers {
			return
		}
		w = &waitingPeers{}
		a[cookie] = w
	}
	if now-w.at > askerLifetime {
		w.peers = w.peers[:0]
	}
	w.at = now
	if len(w.peers) < maxAskers && !slices.Contains(w.peers, peer) {
		w.peers = append(w.peers, peer)
	}
}

// take removes and returns the peers that still wait for an answer.
func (a askers) take(now time.Duration, cookie uint32) []netip.AddrPort {
	w := a[cookie]
	delete(a, cookie)
	if w == nil || now-w.at > askerLifetime {
		return nil
	}
	return w.peers
}

// expire deletes the questions that nobody waits for any more.
func (a askers) expire(now time.Duration) {
	for cookie, w := range a {
		if now-w.at > askerLifetime {
			delete(a, cookie)
		}
	}
}
