// Package ctl implements the monsoonctl command line. Only the questionnaire and
// accepting or rejecting a proposal change anything; all other commands are
// read-only.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/monsoonthread/monsoonthread/config"
	"github.com/monsoonthread/monsoonthread/internal/security"
	"github.com/monsoonthread/monsoonthread/internal/settings"
	"github.com/monsoonthread/monsoonthread/platform"
	"github.com/monsoonthread/monsoonthread/questionnaire"
	"github.com/monsoonthread/monsoonthread/result"
)

// Exit codes of monsoonctl.
const (
	ExitOK         = 0
	ExitError      = 1
	ExitUsage      = 2
	ExitConflict   = 3
	ExitNotInForce = 4
)

const (
	outputText = "text"
	outputJSON = "json"

	defaultCallTimeout = 3 * time.Second
)

// Env is the process environment of one command invocation.
type Env struct {
	Args     []string
	In       io.Reader
	Out, Err io.Writer
	Getenv   func(string) string
}

// app holds the settings shared by all commands.
type app struct {
	env               Env
	output            string
	storeURL          string
	instanceAddresses []string
	statusAddresses   []string // of forwarders
	timeout           time.Duration
	tlsCert           string
	tlsKey            string
	tlsCA             string
}

// usageError reports an invalid command line.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

// Unwrap exposes the wrapped error, which carries the result code.
func (e *usageError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error {
	return &usageError{result.Errorf(result.SettingsInvalid, format, args...)}
}

// Main runs one command and returns the exit code.
func Main(ctx context.Context, env Env) int {
	a := &app{env: env}
	root := a.root()
	root.SetArgs(env.Args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	a.printError(err)
	var usage *usageError
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.Is(err, errNotInForce):
		return ExitNotInForce
	case result.CodeOf(err) == result.ConfigConflict:
		return ExitConflict
	}
	return ExitError
}

// errorOutput is the JSON representation of an error.
type errorOutput struct {
	Code     result.Code                `json:"code"`
	Error    string                     `json:"error"`
	Mistakes []questionnaire.FieldError `json:"mistakes,omitempty"`
	Changes  []config.Change            `json:"changes,omitempty"`
}

func (a *app) printError(err error) {
	out := errorOutput{Code: result.CodeOf(err), Error: strings.TrimPrefix(err.Error(), fmt.Sprintf("[%d] ", result.CodeOf(err)))}
	var invalid *questionnaire.Errors
	if errors.As(err, &invalid) {
		out.Mistakes = invalid.List
		out.Error = fmt.Sprintf("questionnaire has %d mistakes", len(invalid.List))
	}
	var conflict *config.Conflict
	if errors.As(err, &conflict) {
		out.Changes = conflict.Changes
	}
	if a.output == outputJSON {
		writeJSON(a.env.Err, out)
		return
	}
	fmt.Fprintf(a.env.Err, "monsoonctl: [%d] %s\n", out.Code, out.Error)
	for _, m := range out.Mistakes {
		fmt.Fprintln(a.env.Err, m)
	}
	if len(out.Changes) > 0 {
		fmt.Fprintln(a.env.Err, "changes from the accepted configuration to the proposal:")
		printChanges(a.env.Err, out.Changes)
	}
}

// Command returns the command tree with its flags; docs/SETTINGS.md is generated
// from it.
func Command() *cobra.Command {
	return (&app{env: Env{Getenv: func(string) string { return "" }}}).root()
}

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:               "monsoonctl",
		Short:             "Operator command line for monsoonthread",
		Long:              "Operator command line for monsoonthread. Each flag can also be set by an environment variable:\n" + settings.EnvPrefix + " followed by the flag name in upper case with underscores.",
		SilenceUsage:      true,
		SilenceErrors:     true,
		PersistentPreRunE: a.prepare,
		Args:              cobra.ArbitraryArgs,
		RunE:              requireSubcommand,
	}
	root.SetIn(a.env.In)
	root.SetOut(a.env.Out)
	root.SetErr(a.env.Err)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usagef("%w", err) })
	f := root.PersistentFlags()
	f.StringVarP(&a.output, "output", "o", outputText, "output format: text or json")
	f.StringVar(&a.storeURL, "store-url", "", "base URL of the key-value service")
	f.StringSliceVar(&a.instanceAddresses, "instances", nil, "ip:port of entry instances to contact first; the others are discovered through them")
	f.StringSliceVar(&a.statusAddresses, "status-addresses", nil, "readiness or metrics addresses (ip:port) of forwarders to contact first; the others are discovered through them at the same port")
	f.DurationVar(&a.timeout, "call-timeout", defaultCallTimeout, "timeout of a call to an instance or the key-value service")
	f.StringVar(&a.tlsCert, "tls-cert", "", "PEM certificate; if empty, connections are not encrypted")
	f.StringVar(&a.tlsKey, "tls-key", "", "PEM private key of --tls-cert")
	f.StringVar(&a.tlsCA, "tls-ca", "", "PEM certificates of the CA")
	must(root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputText, outputJSON}, cobra.ShellCompDirectiveNoFileComp)))
	root.AddCommand(a.questionnaireCommand(), a.statusCommand(), a.inForceCommand(), a.timelineCommand(), a.forwarderCommand(), a.configCommand(), a.versionCommand())
	return root
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// requireSubcommand is the RunE of a command that only groups subcommands.
func requireSubcommand(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usagef("unknown command %q for %q", args[0], c.CommandPath())
	}
	return usagef("%q requires a subcommand: %s", c.CommandPath(), strings.Join(commandNames(c), ", "))
}

func commandNames(c *cobra.Command) []string {
	var names []string
	for _, sub := range c.Commands() {
		if sub.IsAvailableCommand() {
			names = append(names, sub.Name())
		}
	}
	return names
}

// exactArgs returns a validator that requires exactly the named arguments.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return usagef("%q requires %d arguments %v, got %d", c.CommandPath(), len(names), names, len(args))
		}
		return nil
	}
}

// prepare sets flags from environment variables and validates the common settings.
func (a *app) prepare(c *cobra.Command, _ []string) error {
	var err error
	c.Flags().VisitAll(func(f *pflag.Flag) {
		name := settings.EnvPrefix + strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_"))
		if value := a.env.Getenv(name); value != "" && !f.Changed && err == nil {
			if setErr := c.Flags().Set(f.Name, value); setErr != nil {
				err = usagef("%s: %w", name, setErr)
			}
		}
	})
	if err != nil {
		return err
	}
	if !slices.Contains([]string{outputText, outputJSON}, a.output) {
		rejected := a.output
		a.output = outputText
		return usagef("--output %q is not allowed; allowed: text, json", rejected)
	}
	if a.timeout <= 0 {
		return usagef("--call-timeout must be positive")
	}
	return nil
}

// openStore returns a client for the key-value service.
func (a *app) openStore() (*platform.Store, error) {
	if a.storeURL == "" {
		return nil, usagef("--store-url is required")
	}
	transport, err := security.Transport(a.tlsCert, a.tlsKey, a.tlsCA)
	if err != nil {
		return nil, err
	}
	return platform.NewStore(platform.StoreConfig{URL: a.storeURL, Transport: transport, Timeout: a.timeout}), nil
}

// textWriter is a command result with a human-readable form.
type textWriter interface{ writeText(w io.Writer) }

// print writes a result in the selected output format.
func (a *app) print(v textWriter) error {
	if a.output == outputJSON {
		return writeJSON(a.env.Out, v)
	}
	v.writeText(a.env.Out)
	return nil
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(v)
}

// progress reports the progress of a long operation on the error stream. With JSON
// output it prints nothing.
func (a *app) progress(format string, args ...any) {
	if a.output == outputText {
		fmt.Fprintf(a.env.Err, format+"\n", args...)
	}
}
