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

// controlTimeout bounds one call of a control endpoint.
const controlTimeout = 10 * time.Second

// Control is the HTTP control endpoint of a process.
type Control struct{ URL string }

// Do makes a call with an optional JSON body and decodes the answer into out unless it
// is nil.
func (c Control) Do(ctx context.Context, method, path string, in, out any) error {
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
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 500)) // quoted in the error
		return fmt.Errorf("%s %s%s: %s: %s", method, c.URL, path, resp.Status, text)
	}
	if out == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// Text returns the answer of a GET as text.
func (c Control) Text(ctx context.Context, path string) (string, error) {
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

// Range of the ports of instances. It lies below the range from which systems take the
// ports of outgoing connections, so that none of them takes a port before its instance
// binds it.
const (
	firstPort = 12000
	portCount = 18000
	portTries = 1000
)

// ports remembers what this process has handed out.
var ports struct {
	mu   sync.Mutex
	used map[uint16]bool
}

// freePort returns a loopback address that nobody listens on, neither for TCP nor UDP.
func freePort() (netip.AddrPort, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.used == nil {
		ports.used = map[uint16]bool{}
	}
	for range portTries {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), firstPort+uint16(rand.IntN(portCount)))
		if ports.used[a.Port()] || !canBind(a) {
			continue
		}
		ports.used[a.Port()] = true
		return a, nil
	}
	return netip.AddrPort{}, fmt.Errorf("no free port among %d tries", portTries)
}

func canBind(a netip.AddrPort) bool {
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(a))
	if err != nil {
		return false
	}
	_ = l.Close() // it was only opened to see whether it can be
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
