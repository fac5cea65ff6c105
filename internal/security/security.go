// Package security provides mutual TLS with certificates that are read from files and
// reloaded without a restart.
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

// ServerCredentials returns gRPC credentials for a server that requires a client certificate
// signed by the CA. If no files are set, the credentials are insecure.
func ServerCredentials(certFile, keyFile, caFile string) (credentials.TransportCredentials, error) {
	return transportCredentials(certFile, keyFile, caFile)
}

// ClientCredentials returns gRPC credentials for a client that presents its certificate and
// requires a server certificate signed by the CA. If no files are set, the credentials are
// insecure.
func ClientCredentials(certFile, keyFile, caFile string) (credentials.TransportCredentials, error) {
	return transportCredentials(certFile, keyFile, caFile)
}

func transportCredentials(certFile, keyFile, caFile string) (credentials.TransportCredentials, error) {
	f, err := NewCertificateFiles(certFile, keyFile, caFile)
	if err != nil {
		return nil, err
	}
	if f == nil {
		return insecure.NewCredentials(), nil
	}
	return &reloadingCredentials{files: f}, nil
}

// Transport returns an HTTP transport that uses the files for https URLs. It returns nil if no
// files are set.
func Transport(certFile, keyFile, caFile string) (http.RoundTripper, error) {
	f, err := NewCertificateFiles(certFile, keyFile, caFile)
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

// CertificateFiles holds a certificate, its key and the CA certificates, and reloads them
// when a file has changed. It is safe for concurrent use.
type CertificateFiles struct {
	paths [3]string // certificate, key, CA

	mu      sync.Mutex   // protects the fields below
	stamps  [3]fileStamp // of the files that were last read, even if they were invalid
	current tlsMaterial
	err     error // why the files that were last read are invalid, or nil
}

// fileStamp identifies a version of a file, to detect changes.
type fileStamp struct {
	modified time.Time
	size     int64
}

type tlsMaterial struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// NewCertificateFiles reads the files. It returns nil if no file is set. It fails with code
// 601 if only some are set and with code 602 if the files are invalid.
func NewCertificateFiles(certFile, keyFile, caFile string) (*CertificateFiles, error) {
	if certFile == "" && keyFile == "" && caFile == "" {
		return nil, nil
	}
	if certFile == "" || keyFile == "" || caFile == "" {
		return nil, result.Errorf(result.SettingsInvalid, "mutual TLS needs a certificate, a key and a CA file together")
	}
	f := &CertificateFiles{paths: [3]string{certFile, keyFile, caFile}}
	f.stamps = f.stat()
	m, err := f.read()
	if err != nil {
		return nil, err
	}
	f.current = m
	return f, nil
}

// Err returns why the current content of the files is invalid. The last valid content remains
// in use meanwhile.
func (f *CertificateFiles) Err() error {
	f.refresh()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

func (f *CertificateFiles) stat() (s [3]fileStamp) {
	for i, path := range f.paths {
		if info, err := os.Stat(path); err == nil {
			s[i] = fileStamp{info.ModTime(), info.Size()}
		}
	}
	return s
}

func (f *CertificateFiles) read() (tlsMaterial, error) {
	certificate, err := tls.LoadX509KeyPair(f.paths[0], f.paths[1])
	if err != nil {
		return tlsMaterial{}, result.Errorf(result.CertificateInvalid, "read certificate %s: %w", f.paths[0], err)
	}
	pem, err := os.ReadFile(f.paths[2])
	if err != nil {
		return tlsMaterial{}, result.Errorf(result.CertificateInvalid, "read CA file: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return tlsMaterial{}, result.Errorf(result.CertificateInvalid, "CA file %s holds no certificate", f.paths[2])
	}
	return tlsMaterial{certificate, roots}, nil
}

// refresh returns the last valid content of the files and rereads them first if they have
// changed. Files that do not match, for example because only one has been replaced so far,
// are read again after the next change.
func (f *CertificateFiles) refresh() tlsMaterial {
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

func (f *CertificateFiles) clientConfig() *tls.Config {
	m := f.refresh()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.roots,
	}
}

func (f *CertificateFiles) serverConfig() *tls.Config {
	m := f.refresh()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		ClientCAs:    m.roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
}

// reloadingCredentials uses the current content of the files for each handshake.
type reloadingCredentials struct {
	files      *CertificateFiles
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

// OverrideServerName implements credentials.TransportCredentials.
func (c *reloadingCredentials) OverrideServerName(name string) error {
	c.serverName = name
	return nil
}
