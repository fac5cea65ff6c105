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

// proposal is a generated configuration that waits to be accepted or rejected. It is
// a local file.
type proposal struct {
	Format     int    `json:"format"`
	Deployment string `json:"deployment"`
	Base       uint64 `json:"base"` // accepted version that it was generated from
	// AcceptID stays the same when the accept is repeated after a lost answer.
	AcceptID string `json:"accept_id"`
	// Tried tells that an accept was started and may have taken effect.
	Tried  bool           `json:"tried"`
	Config *config.Config `json:"config"`
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
		return nil, result.Errorf(result.ConfigMalformed, "proposal has format %d, an accept ID %q and a configuration: %t", p.Format, p.AcceptID, p.Config != nil)
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

// write replaces the file as a whole, so that an interrupted run leaves a usable one.
func (p *proposal) write(path string) error {
	var b bytes.Buffer
	if err := writeJSON(&b, p); err != nil {
		return err
	}
	temporary, err := os.CreateTemp(filepath.Dir(path), ".proposal-*")
	if err != nil {
		return result.Errorf(result.SettingsInvalid, "write proposal: %w", err)
	}
	defer os.Remove(temporary.Name())
	_, err = temporary.Write(b.Bytes())
	if closeErr := temporary.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(temporary.Name(), path)
	}
	if err != nil {
		return result.Errorf(result.SettingsInvalid, "write proposal %s: %w", path, err)
	}
	return nil
}

// describe returns one line about the size of the proposal.
func (p *proposal) describe() string {
	hosts := 0
	for i := range p.Config.Services {
		hosts += len(p.Config.Services[i].BackendServers)
	}
	return fmt.Sprintf("%d failure domains, %d services, %d hosts", len(p.Config.Domains), len(p.Config.Services), hosts)
}
