// Package ctl implements monsoonctl, the operators' tool. Operators steer only by the
// questionnaire and by accepting or rejecting a proposal; every other command only
// reads.
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

// Env is the surroundings of one run.
type Env struct {
	Args     []string
	In       io.Reader
	Out, Err io.Writer
	Getenv   func(string) string
}

// app holds the settings that all commands share.
type app struct {
	env        Env
	output     string
	store      string
	instances  []string
	forwarders []string // their status addresses
	timeout    time.Duration
	tlsCert    string
	tlsKey     string
	tlsCA      string
}

// usageError is a command line that cannot be run.
type usageError struct{ err error }

// Error implements error.
func (e *usageError) Error() string { return e.err.Error() }

// Unwrap gives access to the result code.
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

// failure is the JSON form of an error.
type failure struct {
	Code     result.Code                `json:"code"`
	Error    string                     `json:"error"`
	Mistakes []questionnaire.FieldError `json:"mistakes,omitempty"`
	Changes  []config.Change            `json:"changes,omitempty"`
}

func (a *app) printError(err error) {
	f := failure{Code: result.CodeOf(err), Error: strings.TrimPrefix(err.Error(), fmt.Sprintf("[%d] ", result.CodeOf(err)))}
	var mistakes *questionnaire.Errors
	if errors.As(err, &mistakes) {
		f.Mistakes = mistakes.List
		f.Error = fmt.Sprintf("questionnaire has %d mistakes", len(mistakes.List))
	}
	var conflict *config.Conflict
	if errors.As(err, &conflict) {
		f.Changes = conflict.Changes
	}
	if a.output == outputJSON {
		writeJSON(a.env.Err, f)
		return
	}
	fmt.Fprintf(a.env.Err, "monsoonctl: [%d] %s\n", f.Code, f.Error)
	for _, m := range f.Mistakes {
		fmt.Fprintln(a.env.Err, m)
	}
	if len(f.Changes) > 0 {
		fmt.Fprintln(a.env.Err, "from the accepted configuration to the proposal:")
		printChanges(a.env.Err, f.Changes)
	}
}

// Command returns the command tree with its flags, from which docs/SETTINGS.md is
// generated.
func Command() *cobra.Command {
	return (&app{env: Env{Getenv: func(string) string { return "" }}}).root()
}

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:               "monsoonctl",
		Short:             "Operators' tool of monsoonthread",
		Long:              "Operators' tool of monsoonthread. Each flag can be set by an environment variable:\n" + settings.EnvPrefix + " and the flag name in upper case with underscores.",
		SilenceUsage:      true,
		SilenceErrors:     true,
		PersistentPreRunE: a.prepare,
		Args:              cobra.ArbitraryArgs,
		RunE:              group,
	}
	root.SetIn(a.env.In)
	root.SetOut(a.env.Out)
	root.SetErr(a.env.Err)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usagef("%w", err) })
	f := root.PersistentFlags()
	f.StringVarP(&a.output, "output", "o", outputText, "form of the output: text or json")
	f.StringVar(&a.store, "store-url", "", "base URL of the key-value service")
	f.StringSliceVar(&a.instances, "instances", nil, "ip:port of entry instances to begin with; the others are found through them")
	f.StringSliceVar(&a.forwarders, "status-addresses", nil, "ip:port of readiness or metrics addresses of forwarders to begin with; the others are found through them at the same port")
	f.DurationVar(&a.timeout, "call-timeout", defaultCallTimeout, "time for one call to an instance or the key-value service")
	f.StringVar(&a.tlsCert, "tls-cert", "", "PEM certificate; without it connections are not encrypted")
	f.StringVar(&a.tlsKey, "tls-key", "", "PEM key of --tls-cert")
	f.StringVar(&a.tlsCA, "tls-ca", "", "PEM certificates of the CA")
	must(root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputText, outputJSON}, cobra.ShellCompDirectiveNoFileComp)))
	root.AddCommand(a.questionnaireCommand(), a.statusCommand(), a.inForceCommand(), a.timelineCommand(), a.forwarderCommand(), a.versionCommand())
	return root
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// group is the RunE of a command that only has subcommands.
func group(c *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usagef("unknown command %q for %q", args[0], c.CommandPath())
	}
	return usagef("%q needs a command: %s", c.CommandPath(), strings.Join(commandNames(c), ", "))
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

// exactly returns a check of the number of arguments.
func exactly(names ...string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return usagef("%q needs %d arguments %v, got %d", c.CommandPath(), len(names), names, len(args))
		}
		return nil
	}
}

// prepare sets flags from the environment and checks the common settings.
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
		bad := a.output
		a.output = outputText
		return usagef("--output %q is not allowed; allowed: text, json", bad)
	}
	if a.timeout <= 0 {
		return usagef("--call-timeout must be above 0")
	}
	return nil
}

// openStore returns the client of the key-value service.
func (a *app) openStore() (*platform.Store, error) {
	if a.store == "" {
		return nil, usagef("--store-url is needed")
	}
	transport, err := security.Transport(a.tlsCert, a.tlsKey, a.tlsCA)
	if err != nil {
		return nil, err
	}
	return platform.NewStore(platform.StoreConfig{URL: a.store, Transport: transport, Timeout: a.timeout}), nil
}

// texter is a result that can be printed for people.
type texter interface{ text(w io.Writer) }

// print writes a result in the chosen form.
func (a *app) print(v texter) error {
	if a.output == outputJSON {
		return writeJSON(a.env.Out, v)
	}
	v.text(a.env.Out)
	return nil
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(v)
}

// progress tells about a long operation, apart from the result.
func (a *app) progress(format string, args ...any) {
	if a.output == outputText {
		fmt.Fprintf(a.env.Err, format+"\n", args...)
	}
}
