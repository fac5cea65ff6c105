package ctl

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/result"
)

const (
	proposalFormat   = 1
	maxProposalBytes = 32 << 20
)

// proposal is a generated configuration that can be accepted or rejected. It is stored
// in a local file.
type proposal struct {
	Format     int    `json:"format"`
	Deployment string `json:"deployment"`
	Base       uint64 `json:"base"` // accepted version from which it was generated
	// AcceptID identifies the accept; a retry after a lost response uses the same ID.
	AcceptID string `json:"accept_id"`
	// AcceptStarted is set once an accept was started and may have taken effect.
	AcceptStarted bool           `json:"tried"`
	Config        *config.Config `json:"config"`
}

func newProposal(deployment string, base uint64, c *config.Config) *proposal {
	return &proposal{Format: proposalFormat, Deployment: deployment, Base: base, AcceptID: rand.Text(), Config: c}
}

func decodeProposal(b []byte) (*proposal, error) {
	if len(b) > maxProposalBytes {
		return nil, result.Errorf(result.ConfigTooLarge, "proposal has %d bytes, more than %d", len(b), maxProposalBytes)
	}
	var p proposal
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return nil, result.Errorf(result.ConfigMalformed, "decode proposal: %w", err)
	}
	if p.Format != proposalFormat || p.Config == nil || p.AcceptID == "" {
		return nil, result.Errorf(result.ConfigMalformed, "invalid proposal: format %d, accept ID %q, configuration present: %t", p.Format, p.AcceptID, p.Config != nil)
	}
	return &p, p.Config.Validate()
}

func readProposal(path string) (*proposal, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Errorf(result.SettingsInvalid, "read proposal: %w", err)
	}
	return decodeProposal(b)
}

// write replaces the file atomically, so that an interrupted run leaves a usable file.
func (p *proposal) write(path string) error {
	var b bytes.Buffer
	if err := writeJSON(&b, p); err != nil {
		return err
	}
	tempFile, err := os.CreateTemp(filepath.Dir(path), ".proposal-*")
	if err != nil {
		return result.Errorf(result.SettingsInvalid, "write proposal: %w", err)
	}
	defer os.Remove(tempFile.Name())
	_, err = tempFile.Write(b.Bytes())
	if closeErr := tempFile.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(tempFile.Name(), path)
	}
	if err != nil {
		return result.Errorf(result.SettingsInvalid, "write proposal %s: %w", path, err)
	}
	return nil
}

// sizeSummary describes the size of the proposal in one line.
func (p *proposal) sizeSummary() string {
	hosts := 0
	for i := range p.Config.Services {
		hosts += len(p.Config.Services[i].BackendServers)
	}
	return fmt.Sprintf("%d failure domains, %d services, %d hosts", len(p.Config.Domains), len(p.Config.Services), hosts)
}
