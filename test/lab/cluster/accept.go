package cluster

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/platform"
	"github.com/monsoonthread/monsoonthread/questionnaire"
	"github.com/monsoonthread/monsoonthread/result"
)

// Accept writes the questionnaire, generates the configuration and accepts it. It
// returns the version in the key-value service.
func (c *Cluster) Accept(ctx context.Context) (uint64, error) {
	path, err := c.Questionnaire()
	if err != nil {
		return 0, err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	answers, err := questionnaire.Parse(text)
	if err != nil {
		return 0, err
	}
	store := platform.NewStore(platform.StoreConfig{URL: c.StoreControl.URL})
	previous, err := config.Load(ctx, store)
	if err != nil && result.CodeOf(err) != result.StoreNotFound {
		return 0, err
	}
	proposal, err := questionnaire.Generate(answers, previous)
	if err != nil {
		return 0, err
	}
	base := uint64(0)
	if previous != nil {
		base = previous.Version
	}
	return config.Accept(ctx, store, proposal, base, fmt.Sprintf("lab-%d", time.Now().UnixNano()))
}
