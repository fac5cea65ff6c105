package security

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/monsoonthread/monsoonthread/peer/peerpb"
	"github.com/monsoonthread/monsoonthread/result"
)

// testCA is a certificate authority that issues the certificates of the tests.
type testCA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newTestCA(t *testing.T) *testCA {
	a := &testCA{key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err == nil {
		a.certificate, err = x509.ParseCertificate(der)
	}
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// files holds the paths of a certificate, a key and a CA file.
type files struct{ cert, key, ca string }

func newFiles(t *testing.T) files {
	dir := t.TempDir()
	return files{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")}
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// issue writes a new certificate signed by a, its key and a CA file with a's certificate.
func (f files) issue(t *testing.T, a *testCA) {
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, f.cert, "CERTIFICATE", der)
	writePEM(t, f.key, "EC PRIVATE KEY", keyDER)
	writePEM(t, f.ca, "CERTIFICATE", a.certificate.Raw)
}

func serve(t *testing.T, f files) string {
	c, err := ServerCredentials(f.cert, f.key, f.ca)
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer(grpc.Creds(c))
	peerpb.RegisterOperatorServer(s, &operator{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

type operator struct {
	peerpb.UnimplementedOperatorServer
}

func (*operator) InForce(context.Context, *peerpb.InForceRequest) (*peerpb.InForceReply, error) {
	return &peerpb.InForceReply{}, nil
}

// call makes a call on a new connection with the credentials of f.
func call(t *testing.T, address string, f files) error {
	c, err := ClientCredentials(f.cert, f.key, f.ca)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(c))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err = peerpb.NewOperatorClient(conn).InForce(ctx, &peerpb.InForceRequest{})
	return err
}

// Guards against connections where either side has no certificate signed by the CA, and
// against replaced certificates that take effect only after a restart.
func TestMutualTLSWithReload(t *testing.T) {
	old, next := newTestCA(t), newTestCA(t)
	server, client, otherClient := newFiles(t), newFiles(t), newFiles(t)
	server.issue(t, old)
	client.issue(t, old)
	otherClient.issue(t, next)
	address := serve(t, server)
	if err := call(t, address, client); err != nil {
		t.Fatal(err)
	}
	if err := call(t, address, files{}); err == nil {
		t.Fatal("a client without TLS was served")
	}
	// The server trusts this client, but the client does not trust the server.
	otherClient.issue(t, old)
	writePEM(t, otherClient.ca, "CERTIFICATE", next.certificate.Raw)
	if err := call(t, address, otherClient); err == nil {
		t.Fatal("a client trusted a server with a certificate of another CA")
	}
	// This client trusts the server, but the server does not trust the client.
	otherClient.issue(t, next)
	writePEM(t, otherClient.ca, "CERTIFICATE", old.certificate.Raw)
	if err := call(t, address, otherClient); err == nil {
		t.Fatal("a client with a certificate of another CA was served")
	}
	server.issue(t, next)
	otherClient.issue(t, next)
	if err := call(t, address, otherClient); err != nil {
		t.Fatalf("after replacing the server's files: %v", err)
	}
	if err := call(t, address, client); err == nil {
		t.Fatal("the replaced CA is still trusted")
	}
}

// Guards against an instance without a valid certificate while its files are replaced one by
// one.
func TestPartlyReplacedFilesKeepLastValidContent(t *testing.T) {
	a, f := newTestCA(t), newFiles(t)
	f.issue(t, a)
	loaded, err := NewCertificateFiles(f.cert, f.key, f.ca)
	if err != nil {
		t.Fatal(err)
	}
	before := loaded.refresh().certificate.Leaf.SerialNumber
	key, err := os.ReadFile(f.key)
	if err != nil {
		t.Fatal(err)
	}
	f.issue(t, a)
	newKey, err := os.ReadFile(f.key)
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		key    []byte
		usable bool
	}{{key, false}, {newKey, true}} {
		if err := os.WriteFile(f.key, step.key, 0o600); err != nil {
			t.Fatal(err)
		}
		// Set a distinct modification time: two writes within the timestamp resolution of the
		// file system would look like one.
		if err := os.Chtimes(f.key, time.Now(), time.Now().Add(time.Duration(len(step.key))*time.Second)); err != nil {
			t.Fatal(err)
		}
		err := loaded.Err()
		if step.usable != (err == nil) || !step.usable && result.CodeOf(err) != result.CertificateInvalid {
			t.Fatalf("usable %t: %v", step.usable, err)
		}
		if same := loaded.refresh().certificate.Leaf.SerialNumber.Cmp(before) == 0; same == step.usable {
			t.Fatalf("usable %t, same certificate %t", step.usable, same)
		}
	}
}

// Guards against mutual TLS that is silently disabled because one setting is missing.
func TestIncompleteSettingsAreRejected(t *testing.T) {
	f := newFiles(t)
	if _, err := ServerCredentials(f.cert, f.key, ""); result.CodeOf(err) != result.SettingsInvalid {
		t.Error(err)
	}
	if _, err := ClientCredentials(f.cert, f.key, f.ca); result.CodeOf(err) != result.CertificateInvalid {
		t.Error(err)
	}
	f.issue(t, newTestCA(t))
	writePEM(t, f.ca, "OTHER", nil)
	if _, err := Transport(f.cert, f.key, f.ca); result.CodeOf(err) != result.CertificateInvalid {
		t.Error(err)
	}
}

// Guards against HTTP calls to the platform that do not use the TLS files.
func TestTransportUsesFiles(t *testing.T) {
	a, f := newTestCA(t), newFiles(t)
	f.issue(t, a)
	loaded, err := NewCertificateFiles(f.cert, f.key, f.ca)
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.TLS = loaded.serverConfig()
	s.StartTLS()
	defer s.Close()
	transport, err := Transport(f.cert, f.key, f.ca)
	if err != nil {
		t.Fatal(err)
	}
	response, err := (&http.Client{Transport: transport}).Get(s.URL)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatal(err)
	}
	response.Body.Close()
	if _, err := http.Get(s.URL); err == nil {
		t.Fatal("a client without the CA trusted the server")
	}
}
