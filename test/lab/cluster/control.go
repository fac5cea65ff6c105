package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
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

// freePort returns a loopback address that nobody listens on, for TCP or UDP. Another
// process can take it before it is used; the start of the process then fails.
func freePort(network string) (netip.AddrPort, error) {
	if network == "udp" {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return netip.AddrPort{}, err
		}
		defer func() { _ = c.Close() }()
		return netip.ParseAddrPort(c.LocalAddr().String())
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = l.Close() }()
	return netip.ParseAddrPort(l.Addr().String())
}
