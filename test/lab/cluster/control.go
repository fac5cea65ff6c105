package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// controlTimeout bounds one request to a control endpoint.
const controlTimeout = 10 * time.Second

// ControlClient sends requests to the HTTP control endpoint of a process.
type ControlClient struct{ URL string }

// Do sends a request with an optional JSON body and decodes the JSON response into out
// unless it is nil.
func (c ControlClient) Do(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(b)
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, body)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 500)) // only quoted in the error
		return fmt.Errorf("%s %s%s: %s: %s", method, c.URL, path, resp.Status, text)
	}
	if out == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// GetText sends a GET request and returns the response body as text.
func (c ControlClient) GetText(ctx context.Context, path string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL+path, nil)
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode/100 != 2 {
		err = fmt.Errorf("GET %s%s: %s", c.URL, path, resp.Status)
	}
	return string(b), err
}

// Port range of the instances. It lies below the ephemeral port range of common operating
// systems, so that no outgoing connection takes a port before its instance binds it.
const (
	firstPort       = 12000
	portCount       = 18000
	maxPortAttempts = 1000
)

// ports records the ports that this process has already assigned.
var ports struct {
	mu   sync.Mutex
	used map[uint16]bool
}

// reserveAddress returns a loopback address whose port is free for both TCP and UDP, and
// marks the port as used in this process.
func reserveAddress() (netip.AddrPort, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.used == nil {
		ports.used = map[uint16]bool{}
	}
	for range maxPortAttempts {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), firstPort+uint16(rand.IntN(portCount)))
		if ports.used[a.Port()] || !canBind(a) {
			continue
		}
		ports.used[a.Port()] = true
		return a, nil
	}
	return netip.AddrPort{}, fmt.Errorf("no free port found in %d attempts", maxPortAttempts)
}

func canBind(a netip.AddrPort) bool {
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(a))
	if err != nil {
		return false
	}
	_ = l.Close() // opened only to test whether the port is free
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
