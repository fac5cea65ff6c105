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
	// defaultExplainWindow is the time before and after the flow's own log lines within which
	// lines about its servers and instances are shown. It is twice the longest request deadline.
	defaultExplainWindow = 20 * time.Second
	// maxLogLineBytes limits the length of a log line; forwarders never write longer ones.
	maxLogLineBytes = 1 << 20
)

// logLine is one line of an instance's log.
type logLine struct {
	Time     time.Time         `json:"time"`
	Instance string            `json:"instance"`
	Message  string            `json:"msg"`
	Fields   map[string]string `json:"fields"`
	text     string
}

// explainResult holds the current state of a flow and the related log lines.
type explainResult struct {
	Flow    string      `json:"flow"`
	Holders []view.Flow `json:"now"` // state at each instance that holds the flow
	Lines   []logLine   `json:"log"` // in time order
	Errors  []string    `json:"errors,omitempty"`
}

func (r explainResult) writeText(w io.Writer) {
	if len(r.Holders) == 0 {
		fmt.Fprintf(w, "no queried instance holds flow %s\n", r.Flow)
	}
	for _, v := range r.Holders {
		fmt.Fprintf(w, "%s: %s at %s, %s, request under way for %.1fs, last packet %.1fs ago\n", v.Instance, v.State, v.Server, v.Kind, v.RequestTime, v.Idle)
	}
	for _, l := range r.Lines {
		fmt.Fprintln(w, l.text)
	}
	for _, e := range r.Errors {
		fmt.Fprintln(w, e)
	}
}

func (f *forwarderClient) explainCommand() *cobra.Command {
	var logs []string
	var window time.Duration
	c := &cobra.Command{
		Use: "explain FLOW", Short: "Show the current state of a flow and, in time order, the log lines about it and its servers",
		Long: "FLOW is CLIENT:PORT>SERVICE:PORT, as in log lines. Instances are queried if --status-addresses is set.", Args: exactArgs("FLOW"),
		RunE: func(c *cobra.Command, args []string) error {
			if len(logs) == 0 && len(f.app.statusAddresses) == 0 {
				return usagef("--logs or --status-addresses is required")
			}
			if window < 0 {
				return usagef("--window must not be negative")
			}
			r := explainResult{Flow: args[0], Holders: []view.Flow{}, Lines: []logLine{}}
			if err := f.findHolders(c.Context(), &r); err != nil {
				return err
			}
			lines, err := readLogs(logs)
			if err != nil {
				return err
			}
			r.Lines = append(r.Lines, relatedLines(args[0], lines, window)...)
			return f.app.print(r)
		},
	}
	c.Flags().StringSliceVar(&logs, "logs", nil, "log files of forwarders")
	c.Flags().DurationVar(&window, "window", defaultExplainWindow, "time before and after the lines of the flow in which lines about its servers and instances are shown")
	return c
}

// findHolders queries all discovered instances for the flow and adds those that hold
// it to r.
func (f *forwarderClient) findHolders(ctx context.Context, r *explainResult) error {
	if len(f.app.statusAddresses) == 0 {
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
	errs := make([]error, len(addresses))
	forEachAddress(addresses, func(i int, address string) {
		held[i], errs[i] = f.get(ctx, address, view.FlowPath+r.Flow, &flows[i])
	})
	for i := range addresses {
		if errs[i] != nil {
			r.Errors = append(r.Errors, errs[i].Error())
		} else if held[i] {
			r.Holders = append(r.Holders, flows[i])
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

// parseLog reads key=value lines. It skips lines without a time or a message.
func parseLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
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

// parseFields splits a line into key=value pairs. Values that contain spaces are quoted.
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

// relatedLines returns the log lines of a flow and, within the window around them, the lines
// about its servers and about the state of the instances that handled it.
func relatedLines(flow string, lines []logLine, window time.Duration) []logLine {
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
	instanceEvents := []string{"started", "lifecycle", "stood_still", "stopped", "configuration", "store_call_failed", "store_answers_again"}
	var out []logLine
	for _, l := range lines {
		ofFlow := l.Fields["flow"] == flow
		inWindow := !to.IsZero() && !l.Time.Before(from) && !l.Time.After(to)
		related := servers[l.Fields[logging.Server]] && l.Fields["flow"] == "" || instances[l.Instance] && slices.Contains(instanceEvents, l.Message)
		if ofFlow || inWindow && related {
			out = append(out, l)
		}
	}
	return out
}
