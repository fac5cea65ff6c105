// Package forwarding makes the forwarding decisions for transparent flows: which backend
// server a new flow is assigned to, where later packets go, and when a flow is reset. It
// performs no I/O: packets, records and times are its input, decisions and actions its
// output. Times are monotonic durations since the start of the process.
//
// An Engine is not safe for concurrent use; its owner serialises calls.
package forwarding

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"
)

// FlowKey identifies a flow by the client's endpoint and the service's endpoint.
type FlowKey struct {
	Client, Service         uint32 // IPv4 addresses, most significant byte first
	ClientPort, ServicePort uint16
}

// NewFlowKey returns the key of the flow from a client's endpoint to a service's endpoint.
// Both must be IPv4.
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

// Packet holds the fields of a client's packet that decisions depend on.
type Packet struct {
	Flow            FlowKey
	Cookie          uint32 // cookie that the client last received on the flow; 0 in an opening packet
	Sequence        uint32
	Acknowledgement uint32
	Length          uint16 // payload bytes
	Open            bool   // the packet opens a flow
	Late            bool   // an opening packet may have waited while this process was paused: a copy may have opened the flow elsewhere
	Acknowledges    bool
	Finish          bool
	Reset           bool
}

// Verdict is what happens to a packet.
type Verdict uint8

// The verdicts.
const (
	Drop      Verdict = iota
	Forward           // to Decision.Target
	ResetFlow         // answer the client with a reset
)

// Reason is the reason for a verdict, for log lines and metrics.
type Reason uint8

// The reasons.
const (
	ByCookie      Reason = iota // the packet's cookie names the server
	ByFlow                      // the flow table names the server
	Chosen                      // a server was chosen for a new flow
	ChosenAgain                 // another server was chosen for a copy of an opening packet
	NoRoute                     // the configuration has no route to the address
	NoServer                    // no server of the route's services is eligible
	UnknownCookie               // no known server has this cookie
	ServerDead                  // the flow's server is down
	NotServing                  // the instance has no configuration yet
	OtherService                // the cookie names a server of a service that the route never used
	PrefixLimited               // too many new flows from the client's source prefix
	Overloaded                  // more urgent flows need the capacity that is left
	DeadlineUnmet               // the expected wait exceeds what callers of the route wait
	Evacuated                   // all eligible servers are in evacuated failure domains
	Late                        // the opening packet may have waited while this process was paused

	// NumReasons is the number of reasons.
	NumReasons
)

var reasonNames = [NumReasons]string{"cookie", "flow", "chosen", "chosen_again", "no_route", "no_server", "unknown_cookie", "server_dead", "not_serving", "other_service", "prefix_limited", "overloaded", "deadline_unmet", "evacuated", "late"}

func (r Reason) String() string { return reasonNames[r] }

// Target is the destination of a packet.
type Target struct {
	Address netip.AddrPort
	ID      uint64 // intended server
	Cookie  uint32 // written into the packet
}

// Decision is the decision for one packet.
type Decision struct {
	Verdict   Verdict
	Reason    Reason
	Target    Target
	Handshake time.Duration // handshake time of the flow that the packet establishes; else 0
	Response  time.Duration // response time of the request whose answer the packet acknowledges; else 0
	// ReplacedServer is the ID of the server in the table's entry, if the packet showed that the entry was
	// outdated; else 0. ReplacedIdle is the time since the entry's last packet.
	ReplacedServer uint64
	ReplacedIdle   time.Duration
}

// ActionKind is the kind of an action that the engine's owner must carry out.
type ActionKind uint8

// The kinds of actions.
const (
	SendReset       ActionKind = iota // reset Flow with Sequence
	SendPacket                        // send Packet, a stored opening packet, to Target
	ReportToPeers                     // report to the instances of the failure domain that Server appears to be down
	Probe                             // probe Server at Target and report the result
	ReportFailing                     // log that Server is failing and gets fewer new flows
	ReportRecovered                   // log that Server has recovered and gets its share of new flows again
	AskSettlers                       // ask the settlers of Server whether it is alive
	TellAlive                         // tell the instances that asked that Server is alive
	ConfirmToPeers                    // tell the instances of the failure domain that this one resets its flows at Server
	TellDown                          // tell the instances that asked that Server appears to be down
	ReportCold                        // log that Server is cold and gets few opening packets
	ReportWarm                        // log that Server is not cold any more
	ReportFull                        // log that Server holds as many open flows as it accepts
	ReportNotFull                     // log that Server accepts flows again
)

// Action is a task for the engine's owner that is not part of the decision for a packet.
type Action struct {
	Kind      ActionKind
	Flow      FlowKey
	Sequence  uint32
	Packet    []byte
	Target    Target
	Server    string // name of the server's record
	Path      string // path of the health check that identifies the server
	Reference Target // of a Probe: destination of the reference connection, if it has an address
	Reason    Reason
	// Incarnation counts the restarts of Server that this instance knows of. The result of a
	// Probe returns it.
	Incarnation uint32
	Failures    float64       // decayed number of failed requests, for ReportFailing and ReportRecovered
	Cause       string        // why Server is cold, for ReportCold and ReportWarm
	Left        time.Duration // for which Server stays cold, for ReportCold
	Flows       int           // open flows at Server as far as known, for ReportFull and ReportNotFull
	MaxFlows    int           // that Server accepts, for the same
}
