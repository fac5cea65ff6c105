package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/flows"
	"github.com/monsoonthread/monsoonthread/internal/standin/metastore"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	slots             = 2
	defaultMaxFlows   = 2000
)

// backend is a backend server as the platform's pages describe it: it answers opening packets while it
// has room, runs each request once, answers packets of flows that it does not hold with a reset, and
// ignores datagrams for other servers.
type backend struct {
	id, service, domain string
	maxFlows            int
	workTime            time.Duration

	log     *record
	store   *metastore.Store
	conn    *net.UDPConn
	health  *http.Server
	address netip.AddrPort
	born    int64
	stop    chan struct{}

	mu        sync.Mutex
	flows     map[netip.AddrPort]*backendFlow // by the client's endpoint
	working   int
	queue     []func()
	state     string
	listening bool // accepts opening packets and connections
	sequence  uint64
	written   string    // the entry as last written, without its sequence
	beatAt    time.Time // last heartbeat
	ran       []runRequest
	received  []receivedPacket
	openings  []opening
	resets    []netip.AddrPort // clients to which it has sent a reset
	closed    bool
}

type backendFlow struct {
	client, service netip.AddrPort
	cookie          uint32
	open, ended     bool
	closing         bool   // ends once the client has acknowledged the last answer
	next            uint32 // expected sequence number of the client's next data
	start, sent     uint32 // first and next sequence number of the server's data
	clientAck       uint32
	opening         uint32 // sequence number of the client's opening packet
}

// runRequest is a request that the server has run.
type runRequest struct {
	text    string
	service netip.AddrPort
	at      time.Time
}

// receivedPacket is a packet that reached the server's address.
type receivedPacket struct {
	client netip.AddrPort
	via    netip.Addr
	at     time.Time
	known  bool // the server holds the flow, or the packet opens it
}

// opening is a flow that the server has opened.
type opening struct {
	client, service netip.AddrPort
	via             netip.Addr
	at              time.Time
	copy            uint32 // number of the opening packet: 0 for the first one
}

func startBackend(log *record, store *metastore.Store, id, service, domain string, at netip.AddrPort) (*backend, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	at = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	listener, err := net.Listen("tcp4", at.String())
	if err != nil {
		conn.Close()
		return nil, err
	}
	b := &backend{
		id: id, service: service, domain: domain, maxFlows: defaultMaxFlows, workTime: 20 * time.Millisecond, log: log, store: store, conn: conn, address: at,
		born: time.Now().UnixMilli(), stop: make(chan struct{}), flows: make(map[netip.AddrPort]*backendFlow), state: "ready", listening: true,
	}
	b.health = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(b.answerHealth)}
	go b.health.Serve(listener)
	go b.serve()
	return b, nil
}

func (b *backend) answerHealth(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != healthPath {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Instance-Id", b.id)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// register writes the server's entry now and keeps it up to date.
func (b *backend) register() {
	b.write()
	go func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-b.stop:
				return
			case <-ticker.C:
				b.write()
			}
		}
	}()
}

// write writes the server's entry. The stored entry changes only if more than its sequence changes.
func (b *backend) write() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.sequence++
	b.beatAt = time.Now()
	entry := map[string]any{"service": b.service, "address": b.address.String(), "zone": b.domain, "version": "v1", "slots": slots, "state": b.state, "coldLeftMs": 0, "born": b.born}
	plain, _ := json.Marshal(entry)
	entry["sequence"] = b.sequence
	value, _ := json.Marshal(entry)
	key := serverPrefix + b.id
	if stored := b.store.Value(key); stored != nil && string(plain) == b.written && sameButSequence(stored, plain) {
		return
	}
	b.written = string(plain)
	b.store.Put(key, value)
	b.log.printf("store: %s = %s", key, value)
}

// sameButSequence reports whether a stored entry is the given one apart from its sequence.
func sameButSequence(stored, plain []byte) bool {
	var entry map[string]any
	if json.Unmarshal(stored, &entry) != nil {
		return false
	}
	delete(entry, "sequence")
	// Marshalling sorts the keys, so equal entries have equal texts.
	var other map[string]any
	if json.Unmarshal(plain, &other) != nil {
		return false
	}
	x, _ := json.Marshal(entry)
	y, _ := json.Marshal(other)
	return string(x) == string(y)
}

// awaitHeartbeat returns after the server's next heartbeat.
func (b *backend) awaitHeartbeat() {
	last := b.lastHeartbeat()
	for b.lastHeartbeat().Equal(last) {
		time.Sleep(time.Millisecond)
	}
}

func (b *backend) lastHeartbeat() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.beatAt
}

// drain reports that the server is draining.
func (b *backend) drain() {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.write()
}

// stopListening ends the acceptance of connections and flows. Open flows are served further.
func (b *backend) stopListening() {
	b.health.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listening = false
	b.log.printf("%s does not listen any more and serves its open flows", b.id)
}

// end ends the process. Its entry is removed if it leaves as planned.
func (b *backend) end(planned bool) {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return
	}
	b.closed = true
	b.mu.Unlock()
	close(b.stop)
	b.health.Close()
	b.conn.Close()
	if planned {
		b.store.Remove(serverPrefix + b.id)
	}
}

func (b *backend) numericID() uint64 {
	n, _ := strconv.ParseUint(strings.TrimPrefix(b.id, "i-"), 16, 64)
	return n
}

func (b *backend) serve() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := b.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		p, ok := flows.Unmarshal(buffer[8:n])
		if !ok || !p.ChecksumValid {
			continue
		}
		b.mu.Lock()
		b.handle(binary.BigEndian.Uint64(buffer), from.Addr().Unmap(), p)
		b.mu.Unlock()
	}
}

func (b *backend) handle(intended uint64, via netip.Addr, p flows.Packet) {
	f := b.flows[p.Source]
	mine := intended == 0 || intended == b.numericID()
	b.received = append(b.received, receivedPacket{client: p.Source, via: via, at: time.Now(), known: mine && (f != nil || p.Flags&flows.SYN != 0)})
	if !mine || p.Flags&flows.RST != 0 {
		return
	}
	switch {
	case p.Flags&flows.SYN != 0 && p.Flags&flows.ACK != 0: // not intended for servers
	case p.Flags&flows.SYN != 0:
		b.handleOpening(f, via, p)
	case f == nil:
		b.reset(p, "whose flow it does not hold")
	case f.ended:
		b.handleEnded(f, p)
	default:
		b.handleFlow(f, via, p)
	}
}

func (b *backend) handleOpening(f *backendFlow, via netip.Addr, p flows.Packet) {
	if f != nil && !f.ended {
		if f.opening == p.Sequence { // a copy
			b.send(p.Source, p.Destination, flows.SYN|flows.ACK, f.cookie, f.start-1, p.Sequence+1, nil)
		}
		return
	}
	if !b.listening {
		b.send(p.Source, p.Destination, flows.RST, p.Cookie, 0, 0, nil)
		return
	}
	if b.openFlows() >= b.maxFlows {
		return // a full server sends nothing
	}
	start := 1 + rand.Uint32()/2
	b.flows[p.Source] = &backendFlow{client: p.Source, service: p.Destination, cookie: p.Cookie, next: p.Sequence + 1, start: start, sent: start, opening: p.Sequence}
	b.openings = append(b.openings, opening{p.Source, p.Destination, via, time.Now(), p.Ack})
	b.send(p.Source, p.Destination, flows.SYN|flows.ACK, p.Cookie, start-1, p.Sequence+1, nil)
}

func (b *backend) openFlows() int {
	n := 0
	for _, f := range b.flows {
		if !f.ended {
			n++
		}
	}
	return n
}

func (b *backend) handleEnded(f *backendFlow, p flows.Packet) {
	switch {
	case p.Flags&flows.FIN != 0:
		b.send(f.client, f.service, flows.ACK, p.Cookie, f.sent, p.Sequence+uint32(len(p.Data))+1, nil)
	case len(p.Data) > 0:
		b.reset(p, "whose flow has ended")
	}
}

func (b *backend) handleFlow(f *backendFlow, via netip.Addr, p flows.Packet) {
	if p.Ack < f.start || p.Ack > f.sent {
		// Neither the end of the handshake nor a packet of this flow.
		b.reset(p, "whose packet is not of the flow that it holds")
		return
	}
	f.open, f.cookie, f.clientAck = true, p.Cookie, max(f.clientAck, p.Ack)
	if f.closing && f.clientAck == f.sent {
		f.ended = true
		b.send(f.client, f.service, flows.FIN|flows.ACK, f.cookie, f.sent, f.next, nil)
		return
	}
	if p.Sequence == f.next && len(p.Data) > 0 {
		f.next += uint32(len(p.Data))
		b.accept(f, string(p.Data))
	}
	if p.Flags&flows.FIN != 0 && p.Sequence+uint32(len(p.Data)) == f.next {
		f.ended = true
		b.send(f.client, f.service, flows.FIN|flows.ACK, f.cookie, f.sent, f.next+1, nil)
		return
	}
	if len(p.Data) > 0 {
		b.send(f.client, f.service, flows.ACK, f.cookie, f.sent, f.next, nil)
	}
}

// reset answers a packet with a reset.
func (b *backend) reset(p flows.Packet, why string) {
	b.log.printf("%s resets %v, %s", b.id, p.Source, why)
	b.resets = append(b.resets, p.Source)
	b.send(p.Source, p.Destination, flows.RST, p.Cookie, p.Ack, 0, nil)
}

// holds reports whether the server lives and holds the flow.
func (b *backend) holds(f *clientFlow) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.flows[f.local]
	return !b.closed && held != nil && !held.ended && held.opening == f.start
}

// hasReset reports whether the server has sent a reset to the client's endpoint.
func (b *backend) hasReset(client netip.AddrPort) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Contains(b.resets, client)
}

// accept gives a request to a slot or queues it.
func (b *backend) accept(f *backendFlow, text string) {
	work := func() {
		b.ran = append(b.ran, runRequest{text, f.service, time.Now()})
		b.log.printf("%s (%s) runs %q of %v", b.id, b.service, text, f.client)
		time.AfterFunc(b.workTime, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.answer(f, text)
			b.working--
			b.startWork()
		})
	}
	b.queue = append(b.queue, work)
	b.startWork()
}

func (b *backend) startWork() {
	for b.working < slots && len(b.queue) > 0 {
		work := b.queue[0]
		b.queue = b.queue[1:]
		b.working++
		work()
	}
}

// answer sends the answer and repeats it until the client has acknowledged it.
func (b *backend) answer(f *backendFlow, text string) {
	data := []byte(fmt.Sprintf("%s:%s", b.id, text))
	start := f.sent
	f.sent += uint32(len(data))
	f.closing = b.state == "draining"
	var transmit func(wait time.Duration, left int)
	transmit = func(wait time.Duration, left int) {
		if f.ended || f.clientAck > start || left == 0 {
			return
		}
		b.send(f.client, f.service, flows.ACK, f.cookie, start, f.next, data)
		time.AfterFunc(wait, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			transmit(min(2*wait, maxRetransmit), left-1)
		})
	}
	transmit(firstRetransmit, 8)
}

func (b *backend) send(client, service netip.AddrPort, flags byte, cookie, sequence, ack uint32, data []byte) {
	p := flows.Packet{Source: service, Destination: client, Flags: flags, Cookie: cookie, Sequence: sequence, Ack: ack, Data: data}
	b.conn.WriteToUDPAddrPort(p.Marshal(), netip.AddrPortFrom(client.Addr(), packetPort))
}
