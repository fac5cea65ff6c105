package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/monsoonthread/monsoonthread/internal/timeline"
	"github.com/monsoonthread/monsoonthread/peer/peerpb"
)

const defaultTimelineLimit = 1000

// timelineResult holds the events of all instances, ordered by hybrid logical clock.
type timelineResult struct {
	Events  []timelineEvent `json:"events"`
	Dropped uint64          `json:"dropped"` // events that instances have already discarded
	Errors  []string        `json:"errors,omitempty"`
}

type timelineEvent struct {
	HLC      uint64   `json:"hlc,string"` // a string, because JSON parsers lose precision above 2^53
	Time     string   `json:"time"`
	Instance string   `json:"instance"`
	Name     string   `json:"name"`
	Fields   []string `json:"fields"`
}

func (r timelineResult) writeText(w io.Writer) {
	for _, e := range r.Events {
		fmt.Fprintf(w, "%s %d %s %s %s\n", e.Time, e.HLC, e.Instance, e.Name, strings.Join(e.Fields, " "))
	}
	if r.Dropped > 0 {
		fmt.Fprintf(w, "%d older events are no longer available\n", r.Dropped)
	}
	for _, err := range r.Errors {
		fmt.Fprintln(w, err)
	}
}

func (a *app) timelineCommand() *cobra.Command {
	var after uint64
	var since time.Duration
	var limit uint32
	c := &cobra.Command{
		Use: "timeline", Short: "Show the events of all instances in clock order", Args: exactArgs(),
		RunE: func(c *cobra.Command, _ []string) error {
			f, err := a.newInstanceClient()
			if err != nil {
				return err
			}
			if since > 0 {
				after = max(after, timeline.Timestamp(time.Now().Add(-since)))
			}
			r, err := f.timeline(c.Context(), after, limit)
			if err != nil {
				return err
			}
			return a.print(r)
		},
	}
	c.Flags().Uint64Var(&after, "after", 0, "show only events after this value of the hybrid logical clock")
	c.Flags().DurationVar(&since, "since", 0, "show only events of this last period")
	c.Flags().Uint32Var(&limit, "limit", defaultTimelineLimit, "maximum number of events of one instance; 0 for all that it sends")
	return c
}

// timeline merges the events of all instances. With a limit, each instance returns its
// oldest events after the given time. Events later than the last event of an instance
// that reached the limit are left out, because events of that instance could be missing
// among them.
func (f *instanceClient) timeline(ctx context.Context, after uint64, limit uint32) (*timelineResult, error) {
	found, err := f.discover(ctx)
	if err != nil {
		return nil, err
	}
	r := &timelineResult{Events: []timelineEvent{}}
	var addresses []string
	for _, s := range found {
		if s.err != nil {
			r.Errors = append(r.Errors, s.err.Error())
		} else {
			addresses = append(addresses, s.address)
		}
	}
	replies := make([]*peerpb.TimelineReply, len(addresses))
	errs := make([]error, len(addresses))
	forEachAddress(addresses, func(i int, address string) {
		errs[i] = f.call(ctx, address, func(ctx context.Context, c peerpb.OperatorClient) (err error) {
			replies[i], err = c.Timeline(ctx, &peerpb.TimelineRequest{AfterHlc: after, Limit: limit})
			return err
		})
	})
	for _, err := range errs {
		if err != nil {
			r.Errors = append(r.Errors, err.Error())
		}
	}
	r.merge(replies, limit)
	return r, nil
}

func (r *timelineResult) merge(replies []*peerpb.TimelineReply, limit uint32) {
	cutoff := ^uint64(0)
	for _, reply := range replies {
		r.Dropped += reply.GetDropped()
		events := reply.GetEvents()
		if limit > 0 && len(events) >= int(limit) {
			cutoff = min(cutoff, events[len(events)-1].Hlc)
		}
		for _, e := range events {
			r.Events = append(r.Events, timelineEvent{
				HLC: e.Hlc, Time: timeline.Time(e.Hlc).UTC().Format("2006-01-02T15:04:05.000Z"),
				Instance: e.Instance, Name: e.Name, Fields: e.Fields,
			})
		}
	}
	r.Events = slices.DeleteFunc(r.Events, func(e timelineEvent) bool { return e.HLC > cutoff })
	slices.SortStableFunc(r.Events, func(a, b timelineEvent) int {
		return cmp.Or(cmp.Compare(a.HLC, b.HLC), cmp.Compare(a.Instance, b.Instance))
	})
}
