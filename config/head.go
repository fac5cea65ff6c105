package config

import (
	"encoding/json"

	"github.com/monsoonthread/monsoonthread/result"
)

// Keys of the key-value service.
const (
	HeadKey          = "monsoonthread/head"
	ServiceKeyPrefix = "monsoonthread/services/"
)

const (
	headFormat = 1
	// MaxRecentAccepts limits the accept history in the head. After a lost response, an
	// operator can determine the outcome until this many other accepts have taken effect;
	// 64 accepts span 44 minutes at 2,100 changes a day.
	MaxRecentAccepts = 64
	maxAcceptIDBytes = 64
)

// ServiceKey returns the key of the service value with this digest.
func ServiceKey(digest string) string { return ServiceKeyPrefix + digest }

// Head references the accepted configuration. Its key is the only one whose content
// changes.
type Head struct {
	Format        int               `json:"format"`
	Version       uint64            `json:"version"`
	AcceptID      string            `json:"accept_id"`
	NextServiceID uint32            `json:"next_service_id"`
	Domains       []Domain          `json:"domains"`
	Services      map[string]string `json:"services"` // name to digest
	Recent        []AcceptRecord    `json:"recent"`   // latest accepts, oldest first, including this one
}

// AcceptRecord records an accept (see Acceptor) that took effect.
type AcceptRecord struct {
	AcceptID string `json:"accept_id"`
	Version  uint64 `json:"version"`
	Content  string `json:"content"` // digest of the accepted content
}

// EncodeHead validates and encodes a head for the store. It fails with code
// result.ConfigMalformed or result.ConfigTooLarge.
func EncodeHead(h *Head) ([]byte, error) {
	if err := h.validate(); err != nil {
		return nil, err
	}
	b, err := json.Marshal(h)
	if err != nil {
		return nil, result.Errorf(result.ConfigMalformed, "encode head: %w", err)
	}
	if len(b) > MaxValueBytes {
		return nil, result.Errorf(result.ConfigTooLarge, "head has %d bytes, more than %d", len(b), MaxValueBytes)
	}
	return b, nil
}

// DecodeHead decodes and validates a stored head. It fails with code
// result.ConfigMalformed or result.ConfigTooLarge.
func DecodeHead(b []byte) (*Head, error) {
	if len(b) > MaxValueBytes {
		return nil, result.Errorf(result.ConfigTooLarge, "head has %d bytes, more than %d", len(b), MaxValueBytes)
	}
	var h Head
	if err := strictUnmarshal(b, &h); err != nil {
		return nil, result.Errorf(result.ConfigMalformed, "decode head: %w", err)
	}
	if err := h.validate(); err != nil {
		return nil, err
	}
	return &h, nil
}

func (h *Head) validate() error {
	var p problems
	p.require(h.Format == headFormat, "head format %d is unknown", h.Format)
	p.require(h.Version > 0, "head has no version")
	validateDomains(&p, h.Domains)
	for name, digest := range h.Services {
		p.require(ValidName(name), "service name %q is not valid", name)
		p.require(validDigest(digest), "digest %q of service %q is not valid", digest, name)
	}
	p.require(len(h.Recent) <= MaxRecentAccepts, "head holds %d accepts", len(h.Recent))
	last := uint64(0)
	for _, r := range h.Recent {
		p.require(validAcceptID(r.AcceptID), "accept ID %q is not valid", r.AcceptID)
		p.require(r.Version > last, "accepts of the head are not in order")
		last = r.Version
	}
	p.require(last == h.Version, "last accept of the head has version %d, head has %d", last, h.Version)
	if len(h.Recent) > 0 {
		p.require(h.Recent[len(h.Recent)-1].AcceptID == h.AcceptID, "accept ID of the head is not its last accept")
	}
	return p.err(result.ConfigMalformed)
}

// findAccept returns the record of an accept if the head's history still contains it.
func (h *Head) findAccept(id string) (AcceptRecord, bool) {
	for _, r := range h.Recent {
		if r.AcceptID == id {
			return r, true
		}
	}
	return AcceptRecord{}, false
}

// recordsAllSince reports whether Recent contains every accept after version after. A head that is
// older than that version comes from a store that has lost accepts.
func (h *Head) recordsAllSince(after uint64) bool {
	return h.Version == after || h.Version > after && len(h.Recent) > 0 && h.Recent[0].Version <= after+1
}

func validDigest(d string) bool {
	if len(d) != 2*digestBytes {
		return false
	}
	for i := range len(d) {
		if c := d[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

func validAcceptID(id string) bool {
	if id == "" || len(id) > maxAcceptIDBytes {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] >= 0x7f {
			return false
		}
	}
	return true
}
