// Package security provides mutual TLS with certificates that are read from files
// and replaced without a restart.
package security

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/monsoonthread/monsoonthread/result"
)

// ServerCredentials returns gRPC credentials for a server that requires a client
// certificate signed by the CA. Without any files they are insecure.
func ServerCredentials(certFile, keyFile, caFile string) (credentials.TransportCredentials, error) {
	return transportCredentials(certFile, keyFile, caFile)
}

// ClientCredentials returns gRPC credentials for a client that presents its
// certificate and requires that the CA signed the server's. Without any files they
// are insecure.
func ClientCredentials(certFile, keyFile, caFile string) (credentials.TransportCredentials, error) {
	return transportCredentials(certFile, keyFile, caFile)
}

func transportCredentials(certFile, keyFile, caFile string) (credentials.TransportCredentials, error) {
	f, err := NewFiles(certFile, keyFile, caFile)
	if err != nil {
		return nil, err
	}
	if f == nil {
		return insecure.NewCredentials(), nil
	}
	return &reloadingCredentials{files: f}, nil
}

// Transport returns an HTTP transport that uses the files for https addresses. It
// returns nil if no files are set.
func Transport(certFile, keyFile, caFile string) (http.RoundTripper, error) {
	f, err := NewFiles(certFile, keyFile, caFile)
	if err != nil || f == nil {
		return nil, err
	}
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		config := f.clientConfig()
		config.NextProtos = []string{"http/1.1"}
		return (&tls.Dialer{Config: config}).DialContext(ctx, network, address)
	}
	return t, nil
}

// Files holds a certificate, its key and the CA certificates, and reads them again
// when a file has changed. It is safe for concurrent use.
type Files struct {
	paths [3]string // certificate, key, CA

	mu      sync.Mutex
	stamps  [3]stamp // of the files last read, whether usable or not
	current material
	err     error
}

// stamp tells whether a file has changed.
type stamp struct {
	modified time.Time
	size     int64
}

type material struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// NewFiles reads the files. It returns nil if no file is set, code 601 if only some
// are, and code 602 if they cannot be used.
func NewFiles(certFile, keyFile, caFile string) (*Files, error) {
	if certFile == "" && keyFile == "" && caFile == "" {
		return nil, nil
	}
	if certFile == "" || keyFile == "" || caFile == "" {
		return nil, result.Errorf(result.SettingsInvalid, "mutual TLS needs a certificate, a key and a CA file together")
	}
	f := &Files{paths: [3]string{certFile, keyFile, caFile}}
	f.stamps = f.stat()
	m, err := f.read()
	if err != nil {
		return nil, err
	}
	f.current = m
	return f, nil
}

// Err returns why the files, as they are now, are not in use. The last usable ones
// stay in use meanwhile.
func (f *Files) Err() error {
	f.load()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

func (f *Files) stat() (s [3]stamp) {
	for i, path := range f.paths {
		if info, err := os.Stat(path); err == nil {
			s[i] = stamp{info.ModTime(), info.Size()}
		}
	}
	return s
}

func (f *Files) read() (material, error) {
	certificate, err := tls.LoadX509KeyPair(f.paths[0], f.paths[1])
	if err != nil {
		return material{}, result.Errorf(result.CertificateInvalid, "read certificate %s: %w", f.paths[0], err)
	}
	pem, err := os.ReadFile(f.paths[2])
	if err != nil {
		return material{}, result.Errorf(result.CertificateInvalid, "read CA file: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return material{}, result.Errorf(result.CertificateInvalid, "CA file %s holds no certificate", f.paths[2])
	}
	return material{certificate, roots}, nil
}

// load returns the material to use, after reading changed files. Files that do not
// fit together, for example because only one has been replaced so far, are read
// again at the next change.
func (f *Files) load() material {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.stat(); s != f.stamps {
		m, err := f.read()
		f.stamps, f.err = s, err
		if err == nil {
			f.current = m
		}
	}
	return f.current
}

func (f *Files) clientConfig() *tls.Config {
	m := f.load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.roots,
	}
}

func (f *Files) serverConfig() *tls.Config {
	m := f.load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		ClientCAs:    m.roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
}

// reloadingCredentials makes each handshake with the files as they are then.
type reloadingCredentials struct {
	files      *Files
	serverName string
}

// ClientHandshake implements credentials.TransportCredentials.
func (c *reloadingCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	config := c.files.clientConfig()
	config.ServerName = c.serverName
	return credentials.NewTLS(config).ClientHandshake(ctx, authority, conn)
}

// ServerHandshake implements credentials.TransportCredentials.
func (c *reloadingCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.files.serverConfig()).ServerHandshake(conn)
}

// Info implements credentials.TransportCredentials.
func (c *reloadingCredentials) Info() credentials.ProtocolInfo {
	return credentials.NewTLS(&tls.Config{ServerName: c.serverName}).Info()
}

// Clone implements credentials.TransportCredentials.
func (c *reloadingCredentials) Clone() credentials.TransportCredentials {
	clone := *c
	return &clone
}

// OverrideServerName is part of credentials.TransportCredentials.
func (c *reloadingCredentials) OverrideServerName(name string) error {
	c.serverName = name
	return nil
}
