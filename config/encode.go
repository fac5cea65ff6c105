package config

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// MaxValueBytes is the size limit of the key-value service for one value. It also
	// applies to an encoded configuration sent between instances.
	MaxValueBytes = 1 << 20
	// maxDecodedBytes limits the decompressed size of a configuration; 12,000 hosts need
	// about 3 MB.
	maxDecodedBytes = 8 << 20

	documentFormat = 1
	// digestBytes is the length of a truncated SHA-256. 128 bits rule out accidental
	// collisions and keep the Head, which lists the digest of every service, near 150 KB at
	// 2,800 services.
	digestBytes = 16
)

// document is the encoding of a configuration exchanged between instances. If Base is
// set, it is a delta from that version.
type document struct {
	Format        int       `json:"format"`
	Base          uint64    `json:"base,omitempty"`
	Version       uint64    `json:"version"`
	NextServiceID uint32    `json:"next_service_id"`
	Domains       []Domain  `json:"domains"`
	Services      []Service `json:"services"`
	Removed       []string  `json:"removed,omitempty"`
	Content       string    `json:"content"` // contentDigest of the resulting configuration
}

// Encode returns the compressed encoding for Decode. It fails with code
// result.ConfigMalformed if the configuration is invalid and result.ConfigTooLarge if it is
// too large.
func (c *Config) Encode() ([]byte, error) { return encodeSince(nil, c) }

// Decode decodes and validates a full configuration. It fails with code
// result.ConfigMalformed, result.ConfigTooLarge, result.DigestMismatch if the content does
// not match its digest, or result.ConfigStale if b is a delta.
func Decode(b []byte) (*Config, error) { return decodeWithBase(nil, b) }

func encodeSince(base, c *Config) ([]byte, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	doc := document{
		Format: documentFormat, Version: c.Version, NextServiceID: c.NextServiceID,
		Domains: c.Domains, Services: c.Services, Content: contentDigest(c),
	}
	if base != nil {
		doc.Base = base.Version
		doc.Services, doc.Removed = changedServices(base, c)
	}
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	if err := json.NewEncoder(z).Encode(&doc); err != nil {
		return nil, result.Errorf(result.ConfigMalformed, "encode configuration: %w", err)
	}
	if err := z.Close(); err != nil {
		return nil, result.Errorf(result.InternalInvariant, "compress configuration: %w", err)
	}
	if out.Len() > MaxValueBytes {
		return nil, result.Errorf(result.ConfigTooLarge, "encoded configuration has %d bytes, more than %d", out.Len(), MaxValueBytes)
	}
	return out.Bytes(), nil
}

func decodeWithBase(base *Config, b []byte) (*Config, error) {
	doc, err := decodeDocument(b)
	if err != nil {
		return nil, err
	}
	c := &Config{Version: doc.Version, NextServiceID: doc.NextServiceID, Domains: doc.Domains, Services: doc.Services}
	if doc.Base != 0 {
		if base == nil || base.Version != doc.Base {
			return nil, result.Errorf(result.ConfigStale, "configuration delta is based on version %d, which is not in force here", doc.Base)
		}
		c.Services = mergeServices(base, doc.Services, doc.Removed)
	}
	if c.Version == 0 {
		return nil, result.Errorf(result.ConfigMalformed, "configuration has no version")
	}
	if err := c.Validate(); err != nil {
		return nil, err
	}
	if got := contentDigest(c); got != doc.Content {
		return nil, result.Errorf(result.DigestMismatch, "configuration %d has content digest %s, expected %q", c.Version, got, doc.Content)
	}
	return c, nil
}

func decodeDocument(b []byte) (*document, error) {
	if len(b) > MaxValueBytes {
		return nil, result.Errorf(result.ConfigTooLarge, "encoded configuration has %d bytes, more than %d", len(b), MaxValueBytes)
	}
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, result.Errorf(result.ConfigMalformed, "decompress configuration: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(z, maxDecodedBytes+1))
	if err != nil {
		return nil, result.Errorf(result.ConfigMalformed, "decompress configuration: %w", err)
	}
	if len(plain) > maxDecodedBytes {
		return nil, result.Errorf(result.ConfigTooLarge, "configuration has more than %d bytes", maxDecodedBytes)
	}
	var doc document
	if err := strictUnmarshal(plain, &doc); err != nil {
		return nil, result.Errorf(result.ConfigMalformed, "decode configuration: %w", err)
	}
	if doc.Format != documentFormat {
		return nil, result.Errorf(result.ConfigMalformed, "configuration format %d is unknown", doc.Format)
	}
	return &doc, nil
}

// strictUnmarshal rejects unknown fields and trailing data, so that a value with fields
// unknown to this program version is not applied in part.
func strictUnmarshal(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("trailing data after JSON value")
	}
	return nil
}

// Digest identifies the content of a service.
func Digest(s *Service) string { return valueDigest(encodeService(s)) }

// encodeService returns the canonical encoding that is stored under the digest. Nil and
// empty lists are encoded alike, so that a service has exactly one digest.
func encodeService(s *Service) []byte {
	n := *s
	if n.BackendServers == nil {
		n.BackendServers = []BackendServer{}
	}
	if n.Routes == nil {
		n.Routes = []Route{}
	}
	b, err := json.Marshal(&n)
	if err != nil { // no field type can fail to marshal
		panic(fmt.Sprintf("encode service %q: %v", s.Name, err))
	}
	return b
}

func valueDigest(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:digestBytes])
}

// decodeService decodes and verifies the value stored under digest.
func decodeService(digest string, value []byte) (*Service, error) {
	if len(value) > MaxValueBytes {
		return nil, result.Errorf(result.ConfigTooLarge, "service value has %d bytes, more than %d", len(value), MaxValueBytes)
	}
	if got := valueDigest(value); got != digest {
		return nil, result.Errorf(result.DigestMismatch, "service value has digest %s, expected %s", got, digest)
	}
	var s Service
	if err := strictUnmarshal(value, &s); err != nil {
		return nil, result.Errorf(result.ConfigMalformed, "decode service value %s: %w", digest, err)
	}
	// Peers compare digests of decoded services, so the value must be the canonical
	// encoding of encodeService.
	if Digest(&s) != digest {
		return nil, result.Errorf(result.ConfigMalformed, "service value %s is not in canonical form", digest)
	}
	return &s, nil
}

// changedServices returns the services of n that are missing from base or differ there,
// and the names of the services that only base has.
func changedServices(base, n *Config) (changed []Service, removed []string) {
	old := make(map[string]*Service, len(base.Services))
	for i := range base.Services {
		old[base.Services[i].Name] = &base.Services[i]
	}
	for i := range n.Services {
		s := &n.Services[i]
		if o, ok := old[s.Name]; !ok || !equalServices(o, s) {
			changed = append(changed, *s)
		}
		delete(old, s.Name)
	}
	for name := range old {
		removed = append(removed, name)
	}
	slices.Sort(removed)
	return changed, removed
}

// mergeServices applies changed and removed services to base; unchanged services are
// shared.
func mergeServices(base *Config, changed []Service, removed []string) []Service {
	replaced := make(map[string]bool, len(changed)+len(removed))
	for i := range changed {
		replaced[changed[i].Name] = true
	}
	for _, name := range removed {
		replaced[name] = true
	}
	merged := slices.Clone(changed)
	for i := range base.Services {
		if !replaced[base.Services[i].Name] {
			merged = append(merged, base.Services[i])
		}
	}
	slices.SortFunc(merged, compareServiceNames)
	return merged
}

func equalServices(a, b *Service) bool {
	return a.ID == b.ID && a.Name == b.Name && a.Address == b.Address && a.MinShares == b.MinShares &&
		a.DefaultDeadline == b.DefaultDeadline && a.MaxDeadline == b.MaxDeadline && a.MaxRequestBytes == b.MaxRequestBytes &&
		equalSlices(a.BackendServers, b.BackendServers) && equalSlices(a.Routes, b.Routes)
}

// equalSlices compares the backing arrays first, because consecutive versions share
// the slices of unchanged services.
func equalSlices[T comparable](a, b []T) bool {
	if len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0]) {
		return true
	}
	return slices.Equal(a, b)
}
