package cluster

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// certificateLifetime exceeds the length of any run.
const certificateLifetime = 24 * time.Hour

// certificates holds the file paths of the mutual TLS credentials of a deployment. It is
// empty without TLS.
type certificates struct{ cert, key, ca string }

// args returns the TLS flags of monsoonthreadd and monsoonctl.
func (c certificates) args() []string {
	if c.cert == "" {
		return nil
	}
	return []string{"--tls-cert", c.cert, "--tls-key", c.key, "--tls-ca", c.ca}
}

// newCertificates creates a CA and one loopback certificate, which all processes use both
// as TLS server and as TLS client.
func newCertificates(dir string) (certificates, error) {
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return certificates{}, err
	}
	ca := newCertificateTemplate("lab CA", 1)
	ca.IsCA, ca.BasicConstraintsValid, ca.KeyUsage = true, true, x509.KeyUsageCertSign
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	if err != nil {
		return certificates{}, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return certificates{}, err
	}
	leaf := newCertificateTemplate("lab", 2)
	leaf.KeyUsage = x509.KeyUsageDigitalSignature
	leaf.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	leaf.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
	if err != nil {
		return certificates{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return certificates{}, err
	}
	c := certificates{cert: filepath.Join(dir, "cert.pem"), key: filepath.Join(dir, "key.pem"), ca: filepath.Join(dir, "ca.pem")}
	for _, f := range []struct {
		path, blockType string
		der             []byte
	}{{c.cert, "CERTIFICATE", leafDER}, {c.key, "PRIVATE KEY", keyDER}, {c.ca, "CERTIFICATE", caDER}} {
		if err := os.WriteFile(f.path, pem.EncodeToMemory(&pem.Block{Type: f.blockType, Bytes: f.der}), 0o600); err != nil {
			return certificates{}, err
		}
	}
	return c, nil
}

func newCertificateTemplate(name string, serial int64) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(certificateLifetime),
	}
}
