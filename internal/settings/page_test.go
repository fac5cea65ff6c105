package settings_test

import (
	"bytes"
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/monsoonthread/monsoonthread/forwarding"
	"github.com/monsoonthread/monsoonthread/internal/ctl"
	"github.com/monsoonthread/monsoonthread/internal/forwarder"
	"github.com/monsoonthread/monsoonthread/internal/settings"
)

var update = flag.Bool("update", false, "write docs/SETTINGS.md instead of comparing it")

const pagePath = "../../docs/SETTINGS.md"

// limits describes the allowed values of a flag. The examples verify the description: the
// settings check must pass for accepted values and fail for rejected ones.
type limits struct {
	unit, allowed      string
	accepted, rejected []string
}

const (
	policyNames = "summaries, no-summary, round-robin, random"
	levelNames  = "debug, info, warn, error"
)

var daemonLimits = map[string]limits{
	"instance-id":               {"", "1 to 63 lower-case letters, digits, inner hyphens; required", []string{"a", strings.Repeat("a", 63)}, []string{"", "A", "-a", "a-", "a.b", strings.Repeat("a", 64)}},
	"failure-domain":            {"", "1 to 63 lower-case letters, digits, inner hyphens; required", []string{"laval", "round-rock"}, []string{"", "Laval", "a.b"}},
	"weight":                    {"percent of the reference size", "1 to 100000", []string{"1", "100000"}, []string{"0", "100001"}},
	"peer-address":              {"", "IP address and port; required", []string{"127.0.0.1:1", "[::1]:65535"}, []string{"", "localhost:1", "127.0.0.1:0"}},
	"fabric-listen":             {"", "IP address and port; required", []string{"127.0.0.1:1"}, []string{"", "127.0.0.1:0"}},
	"fabric-address":            {"", "IP address and port; required", []string{"127.0.0.1:1"}, []string{"", "127.0.0.1:0"}},
	"metrics-address":           {"", "IP address and port, port 0 takes a free one; or empty", []string{"", "127.0.0.1:0"}, []string{"localhost:1", "127.0.0.1"}},
	"backend-source-ip":         {"", "IP address", []string{"127.0.0.1", "::1"}, []string{"", "localhost"}},
	"store-url":                 {"", "http or https URL; required", []string{"http://127.0.0.1:1", "https://store"}, []string{"", "ftp://store", "http://"}},
	"instance-list-url":         {"", "http or https URL; required", []string{"http://127.0.0.1:1", "https://list"}, []string{"", "list"}},
	"tls-cert":                  {"", "file; all three TLS files or none", nil, []string{"cert.pem"}},
	"tls-key":                   {"", "file; all three TLS files or none", nil, []string{"key.pem"}},
	"tls-ca":                    {"", "file; all three TLS files or none", nil, []string{"ca.pem"}},
	"log-level":                 {"", levelNames, strings.Split(levelNames, ", "), []string{"", "trace"}},
	"workers":                   {"workers", "1 to 256", []string{"1", "256"}, []string{"0", "257"}},
	"seed":                      {"", "0 to 18446744073709551615", []string{"0", "18446744073709551615"}, []string{"-1"}},
	"fault-injection":           {"", "true, false", []string{"true", "false"}, []string{"maybe"}},
	"probe-interval":            {"duration", "20ms to 10s", []string{"20ms"}, []string{"19ms", "10001ms"}},
	"suspicion-timeout":         {"duration", "3 probe intervals to 1m", []string{"600ms", "1m"}, []string{"599ms", "61s"}},
	"stop-timeout":              {"duration", "1s to 10m", []string{"1s", "10m"}, []string{"999ms", "601s"}},
	"permit-lifetime":           {"duration", "1s to 5m", []string{"1s", "5m"}, []string{"999ms", "301s"}},
	"non-idempotent-retransmit": {"duration", "0s to 1m", []string{"0s", "1m"}, []string{"-1s", "61s"}},
	"copy-budget":               {"bytes/s", "128 to 1048576", []string{"128", "1048576"}, []string{"127", "1048577"}},
	"max-flows":                 {"flows", "1000 to 10000000", []string{"1000", "10000000"}, []string{"999", "10000001"}},
	"new-flows-per-prefix":      {"flows/s", "1 to 1000000", []string{"1", "1000000"}, []string{"0", "1000001"}},
	"health-interval":           {"duration", "50ms to 10s", []string{"50ms", "10s"}, []string{"49ms", "10001ms"}},
	"dispatch-policy":           {"", policyNames, strings.Split(policyNames, ", "), []string{"", "least-connections"}},
}

// forwarderLimits is keyed by flag name with the prefix "forwarder ".
var forwarderLimits = map[string]limits{
	"forwarder instance-id":             {"", "not empty; required", []string{"front-laval-1"}, []string{""}},
	"forwarder failure-domain":          {"", "not empty; required", []string{"laval"}, []string{""}},
	"forwarder datagram-address":        {"", "IPv4 address and port; required", []string{"127.0.0.1:1"}, []string{"", "[::1]:1", "127.0.0.1:0"}},
	"forwarder ready-address":           {"", "IPv4 address and port; required", []string{"127.0.0.1:1"}, []string{"", "localhost:1"}},
	"forwarder metrics-address":         {"", "IP address and port, or empty", []string{"", "127.0.0.1:9464"}, []string{"localhost:1"}},
	"forwarder evacuation-bound":        {"duration", "0s, or 100ms to 24h", []string{"0s", "100ms", "24h"}, []string{"99ms", "-1s", "25h"}},
	"forwarder cold-overage":            {"factor", "0 to 1000000", []string{"0", "1.5", "1000000"}, []string{"-0.1", "NaN", "x", "1000001"}},
	"forwarder cold-slack":              {"flows/s", "0 to 1000000", []string{"0", "5", "1000000"}, []string{"-1", "NaN", "x", "+Inf", "1000001"}},
	"forwarder peer-address":            {"", "IPv4 address and port; required", []string{"127.0.0.1:1"}, []string{"", "127.0.0.1"}},
	"forwarder advertised-peer-address": {"", "IPv4 address and port, or empty", []string{"", "127.0.0.1:1"}, []string{"localhost:1", "127.0.0.1:0"}},
	"forwarder seeds":                   {"", "IP addresses and ports, separated by commas, or empty", []string{"", "127.0.0.2:1,127.0.0.3:1"}, []string{"somewhere"}},
	"forwarder store-address":           {"", "IPv4 address and port; required", []string{"127.0.0.1:1"}, []string{"", "http://127.0.0.1:1"}},
	"forwarder new-flows-per-prefix":    {"flows/s", "1 to 1000000", []string{"1", "1000000"}, []string{"0", "1000001"}},
	"forwarder memory-mb":               {"MB", "16 to 1048576", []string{"16", "1048576"}, []string{"15", "1048577"}},
	"forwarder max-flow-lifetime":       {"duration", "100ms to 24h", []string{"100ms", "24h"}, []string{"99ms", "25h"}},
	"forwarder grace-period":            {"duration", "100ms to 24h", []string{"100ms", "24h"}, []string{"99ms", "25h"}},
	"forwarder configuration-bound":     {"duration", "100ms to 24h", []string{"100ms", "24h"}, []string{"99ms", "25h"}},
	"forwarder drain-bound":             {"duration", "100ms to 24h", []string{"100ms", "24h"}, []string{"99ms", "25h"}},
	"forwarder first-start":             {"", "true or false", []string{"true", "false"}, []string{"", "maybe"}},
	"forwarder log-level":               {"", levelNames, strings.Split(levelNames, ", "), []string{"", "trace"}},
}

// ctlLimits is keyed by command and flag, separated by a space. The command is empty for flags
// that apply to all commands.
var ctlLimits = map[string]limits{
	" call-timeout":                {unit: "duration", allowed: "above 0s"},
	" instances":                   {allowed: "IP addresses and ports, separated by commas"},
	" output":                      {allowed: "text, json"},
	" store-url":                   {allowed: "http or https URL"},
	" status-addresses":            {allowed: "IP addresses and ports, separated by commas"},
	"forwarder explain logs":       {allowed: "files, separated by commas"},
	"forwarder explain window":     {unit: "duration", allowed: "0s or more"},
	"forwarder servers service":    {allowed: "name of a service, or empty for all"},
	"forwarder servers state":      {allowed: "empty for all, or one of " + strings.Join(forwarding.ServerStates, ", ")},
	" tls-ca":                      {allowed: "file; all three TLS files or none"},
	" tls-cert":                    {allowed: "file; all three TLS files or none"},
	" tls-key":                     {allowed: "file; all three TLS files or none"},
	"questionnaire new file":       {allowed: "file that does not exist"},
	"questionnaire new template":   {allowed: "bellefleur, hearthwhisker"},
	"questionnaire generate file":  {allowed: "file; an existing one is replaced"},
	"questionnaire accept timeout": {unit: "duration", allowed: "any"},
	"in-force wait":                {allowed: "true, false"},
	"in-force version":             {unit: "version", allowed: "0 takes the accepted one (with `--store-url`), else the highest that an instance knows"},
	"in-force timeout":             {unit: "duration", allowed: "any"},
	"config check in-force":        {allowed: "file"},
	"config check slots":           {unit: "requests", allowed: "0 and more"},
	"config check service-time":    {unit: "duration", allowed: "0s and more"},
	"timeline after":               {unit: "hybrid logical clock", allowed: "0 to 18446744073709551615"},
	"timeline since":               {unit: "duration", allowed: "0s shows all"},
	"timeline limit":               {unit: "events", allowed: "0 to 4294967295; an instance sends at most 4096"},
}

const pageHead = `# Settings

Generated from the flags by ` + "`go generate ./internal/settings`" + `; a test compares this page with them.

Each flag can be set by the environment variable next to it. A flag takes precedence over
its variable. A duration is a number with a unit, for example ` + "`200ms`, `2s`, `5m`" + `.

## monsoonthreadd

All settings are checked at start; every mistake is reported and the exit code is 2. A setting
changes only with a restart; certificate files are read again when they change. An empty
environment variable counts as not set.

`

const forwarderHead = `
## monsoonthread-forwarder

A setting can also be a line ` + "`flag=value`" + ` of a settings file (` + "`--settings-file`" + `); the
environment takes precedence over the file. Unknown lines are skipped. Every mistake is reported and the exit
code is 2. The file is read again on SIGHUP and every 10 s; rejected settings leave those in force,
and the addresses change only with a restart.

`

const ctlHead = `
## monsoonctl

An empty environment variable counts as not set. A variable sets the flag of every command that
has it: ` + "`MONSOONTHREAD_TIMEOUT`" + ` sets that of ` + "`accept` and of `in-force`" + `.

`

// Guards against a settings page (docs/SETTINGS.md) that does not match the flags.
func TestSettingsPage(t *testing.T) {
	want := renderPage(t)
	if *update {
		if err := os.WriteFile(pagePath, want, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	got, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Fatal("docs/SETTINGS.md differs from the flags; run go generate ./internal/settings")
	}
}

// Guards against documented limits that the daemon does not enforce.
func TestDocumentedLimits(t *testing.T) {
	for name, l := range daemonLimits {
		for _, v := range l.accepted {
			if err := checkDaemon(name, v); err != nil {
				t.Errorf("--%s %q is rejected: %v", name, v, err)
			}
		}
		for _, v := range l.rejected {
			if checkDaemon(name, v) == nil {
				t.Errorf("--%s %q is accepted", name, v)
			}
		}
	}
	for name, l := range forwarderLimits {
		flag := strings.TrimPrefix(name, "forwarder ")
		for _, v := range l.accepted {
			if err := checkForwarder(flag, v); err != nil {
				t.Errorf("forwarder --%s %q is rejected: %v", flag, v, err)
			}
		}
		for _, v := range l.rejected {
			if checkForwarder(flag, v) == nil {
				t.Errorf("forwarder --%s %q is accepted", flag, v)
			}
		}
	}
	if got := strings.Join(settings.DispatchPolicies, ", "); got != policyNames {
		t.Errorf("policies: %s", got)
	}
	if got := strings.Join(settings.LogLevels, ", "); got != levelNames {
		t.Errorf("log levels: %s", got)
	}
}

// checkDaemon returns the validation errors of the daemon's settings if one flag has the given
// value and all others are valid.
func checkDaemon(name, value string) error {
	var s settings.Settings
	f := pflag.NewFlagSet("", pflag.ContinueOnError)
	s.AddFlags(f)
	args := []string{
		"--instance-id=entry-1", "--failure-domain=laval", "--peer-address=127.0.0.1:1", "--fabric-listen=127.0.0.1:2",
		"--fabric-address=127.0.0.1:3", "--store-url=http://127.0.0.1:4", "--instance-list-url=http://127.0.0.1:5",
		"--" + name + "=" + value,
	}
	if err := f.Parse(args); err != nil {
		return err
	}
	return s.Check()
}

// checkForwarder is like checkDaemon for the settings of the forwarder.
func checkForwarder(name, value string) error {
	var s forwarder.Settings
	f := pflag.NewFlagSet("", pflag.ContinueOnError)
	s.AddFlags(f)
	args := []string{
		"--instance-id=front-1", "--failure-domain=laval", "--datagram-address=127.0.0.1:1", "--ready-address=127.0.0.1:2",
		"--peer-address=127.0.0.1:3", "--store-address=127.0.0.1:4", "--" + name + "=" + value,
	}
	if err := f.Parse(args); err != nil {
		return err
	}
	return s.Check()
}

func renderPage(t *testing.T) []byte {
	var b bytes.Buffer
	b.WriteString(pageHead)
	var s settings.Settings
	f := pflag.NewFlagSet("", pflag.ContinueOnError)
	s.AddFlags(f)
	unused := make(map[string]bool)
	for name := range daemonLimits {
		unused[name] = true
	}
	writeTable(t, &b, f, "", daemonLimits, unused)
	for name := range forwarderLimits {
		unused[name] = true
	}
	b.WriteString(forwarderHead)
	var fs forwarder.Settings
	ff := pflag.NewFlagSet("", pflag.ContinueOnError)
	fs.AddFlags(ff)
	writeTable(t, &b, ff, "forwarder ", forwarderLimits, unused)
	for name := range ctlLimits {
		unused[name] = true
	}
	b.WriteString(ctlHead)
	root := ctl.Command()
	b.WriteString("### All commands\n\n")
	writeTable(t, &b, root.PersistentFlags(), " ", ctlLimits, unused)
	writeCommands(t, &b, root, unused)
	for name := range unused {
		t.Errorf("limits are documented for %q, which is not a flag", name)
	}
	return b.Bytes()
}

// writeCommands writes the tables of all commands that have flags of their own.
func writeCommands(t *testing.T, b *bytes.Buffer, c *cobra.Command, unused map[string]bool) {
	for _, sub := range c.Commands() {
		path := strings.TrimPrefix(sub.CommandPath(), "monsoonctl ")
		if f := sub.LocalNonPersistentFlags(); f.HasFlags() {
			fmt.Fprintf(b, "\n### %s\n\n", path)
			writeTable(t, b, f, path+" ", ctlLimits, unused)
		}
		writeCommands(t, b, sub, unused)
	}
}

func writeTable(t *testing.T, b *bytes.Buffer, f *pflag.FlagSet, prefix string, table map[string]limits, unused map[string]bool) {
	b.WriteString("| flag | environment variable | type | default | unit | allowed values | meaning |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	var flags []*pflag.Flag
	f.VisitAll(func(flag *pflag.Flag) { flags = append(flags, flag) })
	slices.SortFunc(flags, func(a, b *pflag.Flag) int { return cmp.Compare(a.Name, b.Name) })
	for _, flag := range flags {
		l, ok := table[prefix+flag.Name]
		if !ok {
			t.Errorf("no limits are documented for %q", prefix+flag.Name)
		}
		delete(unused, prefix+flag.Name)
		fmt.Fprintf(b, "| `--%s` | `%s` | %s | %s | %s | %s | %s |\n", flag.Name, settings.EnvName(flag.Name),
			flag.Value.Type(), cmp.Or(codeSpan(flag.DefValue), "-"), cmp.Or(l.unit, "-"), l.allowed, flag.Usage)
	}
}

// codeSpan returns a value as a Markdown code span, or "" if the value is empty.
func codeSpan(s string) string {
	if s == "" || s == "[]" {
		return ""
	}
	return "`" + s + "`"
}
