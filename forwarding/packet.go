// Package forwarding decides what happens to the packets of transparent flows: which
// backend server a new flow gets, where later packets go, and when a flow is reset. It
// performs no I/O: packets, records and times go in, actions come out. Times are
// monotonic durations since the start of the process.
//
// An Engine is not safe for concurrent use; its owner serialises calls.
package forwarding

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"
)

// FlowKey identifies a flow by the client's end and the address of the service.
type FlowKey struct {
	Client, Service         uint32 // IPv4 addresses, most significant byte first
	ClientPort, ServicePort uint16
}

// NewFlowKey returns the key of the flow from a client's end to a service's address. Both
// are IPv4 addresses.
func NewFlowKey(client, service netip.AddrPort) FlowKey {
	return FlowKey{Client: ipv4(client), Service: ipv4(service), ClientPort: client.Port(), ServicePort: service.Port()}
}

func ipv4(a netip.AddrPort) uint32 {
	b := a.Addr().As4()
	return binary.BigEndian.Uint32(b[:])
}

// String formats the key as client>service.
func (k FlowKey) String() string {
	return fmt.Sprintf("%s>%s", endpoint(k.Client, k.ClientPort), endpoint(k.Service, k.ServicePort))
}

// ClientAddr returns the client's address.
func (k FlowKey) ClientAddr() netip.Addr { return addr(k.Client) }

func addr(ip uint32) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(ip >> 24), byte(ip >> 16), byte(ip >> 8), byte(ip)})
}

func endpoint(ip uint32, port uint16) netip.AddrPort { return netip.AddrPortFrom(addr(ip), port) }

// Packet is the part of a client's packet that decisions use.
type Packet struct {
	Flow            FlowKey
	Cookie          uint32 // what the client last received on the flow; 0 in an opening packet
	Sequence        uint32
	Acknowledgement uint32
	Length          uint16 // bytes of data
	Open            bool   // opens a flow
	Acknowledges    bool
	Finish          bool
	Reset           bool
}

// Verdict says what happens to a packet.
type Verdict uint8

// The verdicts.
const (
	Drop      Verdict = iota
	Forward           // to Decision.Target
	ResetFlow         // answer the client with a reset
)

// Reason explains a verdict in log lines and counters.
type Reason uint8

// The reasons.
const (
	ByCookie      Reason = iota // the packet's cookie names the server
	ByFlow                      // the flow table names the server
	Chosen                      // a server was chosen for a new flow
	NoRoute                     // the configuration has no route to the address
	NoServer                    // no server of the route's services can be used
	UnknownCookie               // no record has this cookie
	ServerDead                  // the flow's server is proven dead
	NotServing                  // the instance has no configuration yet
	OtherService                // the cookie names a server of a service that the route never had
	PrefixLimited               // too many new flows from the client's source prefix

	// NumReasons is the number of reasons.
	NumReasons
)

var reasonNames = [NumReasons]string{"cookie", "flow", "chosen", "no_route", "no_server", "unknown_cookie", "server_dead", "not_serving", "other_service", "prefix_limited"}

func (r Reason) String() string { return reasonNames[r] }

// Target is where a packet goes.
type Target struct {
	Address netip.AddrPort
	ID      uint64 // intended server
	Cookie  uint32 // to be written into the packet
}

// Decision is the outcome for one packet.
type Decision struct {
	Verdict   Verdict
	Reason    Reason
	Target    Target
	Handshake time.Duration // of the flow that the packet opens; else 0
	Response  time.Duration // of the request whose answer the packet acknowledges; else 0
}

// ActionKind says what the owner of the engine has to do.
type ActionKind uint8

// The kinds of actions.
const (
	SendReset  ActionKind = iota // reset Flow with Sequence
	SendPacket                   // send Packet, a kept opening packet, to Target
	TellPeers                    // tell the failure domain that Server looks dead
	Probe                        // ask at Target for Server and report the outcome
	Disfavour                    // log that Server gets fewer new flows because its requests fail
	Favour                       // log that Server gets its share of new flows again
)

// Action is something that the engine wants done outside a packet's own decision.
type Action struct {
	Kind     ActionKind
	Flow     FlowKey
	Sequence uint32
	Packet   []byte
	Target   Target
	Server   string // name of the server
	Path     string // of the health call that tells who answers
	Control  Target // of a Probe: connect there at the same time, if it has an address
	Reason   Reason
	Failures float64 // weight of the failed requests, for Disfavour and Favour
}
