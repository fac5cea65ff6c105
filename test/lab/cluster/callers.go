package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/monsoonthread/monsoonthread/internal/standin/callers"
)

// Callers is a running process that simulates callers.
type Callers struct {
	*Process
	ControlClient
}

// StartCallers starts a callers process that executes the load plan.
func (c *Cluster) StartCallers(ctx context.Context, name string, plan callers.Plan) (*Callers, error) {
	b, err := json.Marshal(plan)
	if err != nil {
		return nil, err
	}
	p, ready, err := c.startStandin(ctx, "callers", name, "--plan", string(b))
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.callerProcesses = append(c.callerProcesses, p)
	c.mu.Unlock()
	return &Callers{Process: p, ControlClient: ControlClient{URL: ready["control"]}}, nil
}

// Wait polls until the plan has ended and all its requests have an outcome.
func (c *Callers) Wait(ctx context.Context) error {
	for {
		var st callers.Status
		if err := c.Do(ctx, "GET", "/status", nil, &st); err != nil {
			return err
		}
		if st.Done {
			return nil
		}
		if err := sleep(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
}

// Report returns the callers' measurements between two times since their start.
func (c *Callers) Report(ctx context.Context, from, to time.Duration) (callers.Report, error) {
	var r callers.Report
	path := fmt.Sprintf("/report?from_ms=%d&to_ms=%d", from.Milliseconds(), to.Milliseconds())
	return r, c.Do(ctx, "GET", path, nil, &r)
}

// Orders returns the outcomes of the requests with payload IDs.
func (c *Callers) Orders(ctx context.Context) ([]callers.Order, error) {
	var all []callers.Order
	return all, c.Do(ctx, "GET", "/orders", nil, &all)
}
