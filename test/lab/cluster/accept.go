package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/monsoonthread/monsoonthread/result"
)

// RunMonsoonctl runs monsoonctl with JSON output and returns its standard output. If the tool
// reports an error code, the error is a *result.Error with that code.
func (c *Cluster) RunMonsoonctl(ctx context.Context, args ...string) ([]byte, error) {
	args = append(args, "--output", "json", "--store-url", c.StoreControl.URL)
	args = append(args, c.certificates.args()...)
	var peers []string
	for _, in := range c.Instances() {
		peers = append(peers, in.PeerAddress.String())
	}
	if len(peers) > 0 {
		args = append(args, "--instances", strings.Join(peers, ","))
	}
	cmd := exec.CommandContext(ctx, c.cfg.Ctl, args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	if err == nil {
		return stdout.Bytes(), nil
	}
	var failure struct {
		Code  result.Code `json:"code"`
		Error string      `json:"error"`
	}
	if json.Unmarshal(stderr.Bytes(), &failure) == nil && failure.Code != result.OK {
		return nil, result.Errorf(failure.Code, "%s", failure.Error)
	}
	return nil, fmt.Errorf("monsoonctl %s: %w: %s", strings.Join(args, " "), err, stderr.String())
}

// AcceptConfiguration writes the questionnaire to a file and uses monsoonctl to generate a
// proposal from it and to accept the proposal. It returns the configuration version in the
// key-value service.
func (c *Cluster) AcceptConfiguration(ctx context.Context) (version uint64, err error) {
	answers, err := c.WriteQuestionnaire()
	if err != nil {
		return 0, err
	}
	proposal := filepath.Join(c.cfg.Dir, "proposal.json")
	if err := os.Remove(proposal); err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, err
	}
	if _, err := c.RunMonsoonctl(ctx, "questionnaire", "generate", answers, "--file", proposal); err != nil {
		return 0, err
	}
	out, err := c.RunMonsoonctl(ctx, "questionnaire", "accept", proposal)
	if err != nil {
		return 0, err
	}
	var accepted struct {
		Version uint64 `json:"version"`
	}
	return accepted.Version, json.Unmarshal(out, &accepted)
}

// WaitInForce waits until a configuration version is in force at every instance.
func (c *Cluster) WaitInForce(ctx context.Context, version uint64, timeout time.Duration) error {
	_, err := c.RunMonsoonctl(ctx, "in-force", "--wait", "--version", strconv.FormatUint(version, 10), "--timeout", timeout.String())
	return err
}
