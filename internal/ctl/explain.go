package ctl

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/monsoonthread/monsoonthread/internal/forwarder/view"
	"github.com/monsoonthread/monsoonthread/internal/logging"
	"github.com/monsoonthread/monsoonthread/result"
)

const (
	// defaultExplainWindow is how long before and after the flow's own lines the lines of its
	// servers and instances are shown: the longest deadline of a request, twice.
	defaultExplainWindow = 20 * time.Second
	// maxLogLine bounds a line of a log; longer ones are no lines of this program.
	maxLogLine = 1 << 20
)

// logLine is one line of an instance's log.
type logLine struct {
	Time     time.Time         `json:"time"`
	Instance string            `json:"instance"`
	Message  string            `json:"msg"`
	Fields   map[string]string `json:"fields"`
	text     string
}

// explainResult is what the instances know of a flow now and what their logs say.
type explainResult struct {
	Flow   string      `json:"flow"`
	Now    []view.Flow `json:"now"` // instances that hold the flow
	Lines  []logLine   `json:"log"` // in the order of time
	Errors []string    `json:"errors,omitempty"`
}

func (r explainResult) text(w io.Writer) {
	if len(r.Now) == 0 {
		fmt.Fprintf(w, "no instance that was asked holds flow %s now\n", r.Flow)
	}
	for _, v := range r.Now {
		fmt.Fprintf(w, "%s: %s at %s, %s, request under way for %.1fs, last packet %.1fs ago\n", v.Instance, v.State, v.Server, v.Kind, v.RequestTime, v.Idle)
	}
	for _, l := range r.Lines {
		fmt.Fprintln(w, l.text)
	}
	for _, e := range r.Errors {
		fmt.Fprintln(w, e)
	}
}

func (f *forwarders) explainCommand() *cobra.Command {
	var logs []string
	var window time.Duration
	c := &cobra.Command{
		Use: "explain FLOW", Short: "Show what the instances know of a flow and, in order of time, what their logs say of it and its servers",
		Long: "FLOW is CLIENT:PORT>SERVICE:PORT, as log lines have it. Instances are asked if --status-addresses is set.", Args: exactly("FLOW"),
		RunE: func(c *cobra.Command, args []string) error {
			if len(logs) == 0 && len(f.app.forwarders) == 0 {
				return usagef("--logs or --status-addresses is needed")
			}
			if window < 0 {
				return usagef("--window must not be below 0")
			}
			r := explainResult{Flow: args[0], Now: []view.Flow{}, Lines: []logLine{}}
			if err := f.holders(c.Context(), &r); err != nil {
				return err
			}
			lines, err := readLogs(logs)
			if err != nil {
				return err
			}
			r.Lines = append(r.Lines, linesOf(args[0], lines, window)...)
			return f.app.print(r)
		},
	}
	c.Flags().StringSliceVar(&logs, "logs", nil, "log files of forwarders")
	c.Flags().DurationVar(&window, "window", defaultExplainWindow, "time around the flow's lines in which lines about its servers and instances are shown")
	return c
}

// holders asks all instances for the flow.
func (f *forwarders) holders(ctx context.Context, r *explainResult) error {
	if len(f.app.forwarders) == 0 {
		return nil
	}
	found, err := f.discover(ctx)
	if err != nil {
		return err
	}
	var addresses []string
	for _, s := range found {
		if s.Error != "" {
			r.Errors = append(r.Errors, s.Error)
			continue
		}
		addresses = append(addresses, s.Address)
	}
	flows := make([]view.Flow, len(addresses))
	held := make([]bool, len(addresses))
	failures := make([]error, len(addresses))
	each(addresses, func(i int, address string) {
		held[i], failures[i] = f.get(ctx, address, view.FlowPath+r.Flow, &flows[i])
	})
	for i := range addresses {
		if failures[i] != nil {
			r.Errors = append(r.Errors, failures[i].Error())
		} else if held[i] {
			r.Now = append(r.Now, flows[i])
		}
	}
	return nil
}

func readLogs(files []string) ([]logLine, error) {
	var out []logLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, result.Errorf(result.SettingsInvalid, "--logs: %w", err)
		}
		lines, err := parseLog(file)
		file.Close()
		if err != nil {
			return nil, result.Errorf(result.SettingsInvalid, "--logs: %s: %w", name, err)
		}
		out = append(out, lines...)
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance)) })
	return out, nil
}

// parseLog reads key=value lines. Other lines are skipped.
func parseLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		fields := parseFields(scanner.Text())
		at, err := time.Parse(time.RFC3339Nano, fields["time"])
		if err != nil || fields["msg"] == "" {
			continue
		}
		out = append(out, logLine{at, fields[logging.Instance], fields["msg"], fields, scanner.Text()})
	}
	return out, scanner.Err()
}

// parseFields splits a line into its pairs; a value with spaces stands in quotes.
func parseFields(line string) map[string]string {
	fields := make(map[string]string)
	for line != "" {
		key, rest, ok := strings.Cut(line, "=")
		if !ok {
			break
		}
		var value string
		if strings.HasPrefix(rest, `"`) {
			value, line, _ = strings.Cut(rest[1:], `"`)
		} else {
			value, line, _ = strings.Cut(rest, " ")
		}
		fields[strings.TrimSpace(key)] = value
		line = strings.TrimSpace(line)
	}
	return fields
}

// linesOf returns the lines of a flow and, within the window around them, those about its
// servers and about the state of the instances that handled it.
func linesOf(flow string, lines []logLine, window time.Duration) []logLine {
	var from, to time.Time
	servers, instances := make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if l.Fields["flow"] != flow {
			continue
		}
		if from.IsZero() {
			from = l.Time.Add(-window)
		}
		to = l.Time.Add(window)
		instances[l.Instance] = true
		if s := l.Fields[logging.Server]; s != "" {
			servers[s] = true
		}
	}
	instanceLines := []string{"started", "lifecycle", "stood_still", "stopped", "configuration", "store_call_failed", "store_answers_again"}
	var out []logLine
	for _, l := range lines {
		own := l.Fields["flow"] == flow
		near := !to.IsZero() && !l.Time.Before(from) && !l.Time.After(to)
		about := servers[l.Fields[logging.Server]] && l.Fields["flow"] == "" || instances[l.Instance] && slices.Contains(instanceLines, l.Message)
		if own || near && about {
			out = append(out, l)
		}
	}
	return out
}
