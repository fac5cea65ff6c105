// Package settings reads the daemon's settings from flags and environment variables and
// validates them at startup.
package settings

//go:generate go test -run TestSettingsPage -update .

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/spf13/pflag"

	"github.com/monsoonthread/monsoonthread/result"
)

// EnvPrefix is the prefix of each environment variable. The rest of the name is the flag name
// in upper case with underscores.
const EnvPrefix = "MONSOONTHREAD_"

// Settings are the daemon's settings. A flag takes precedence over its environment variable.
type Settings struct {
	InstanceID    string
	FailureDomain string
	Weight        uint32

	PeerAddress     string
	FabricListen    string
	FabricAddress   string
	MetricsAddress  string
	BackendSourceIP string

	StoreURL        string
	InstanceListURL string

	TLSCert, TLSKey, TLSCA string

	LogLevel       string
	Workers        int
	Seed           uint64
	FaultInjection bool

	ProbeInterval           time.Duration
	SuspicionTimeout        time.Duration
	StopTimeout             time.Duration
	PermitLifetime          time.Duration
	NonIdempotentRetransmit time.Duration
	CopyBudget              int
	MaxFlows                int
	NewFlowsPerPrefix       int
	HealthInterval          time.Duration
	DispatchPolicy          string
}

// DispatchPolicies are the allowed values of --dispatch-policy. All but the first are baselines
// for measurements.
var DispatchPolicies = []string{"summaries", "no-summary", "round-robin", "random"}

// LogLevels are the allowed values of --log-level.
var LogLevels = []string{"debug", "info", "warn", "error"}

var idPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// AddFlags registers the settings as flags.
func (s *Settings) AddFlags(f *pflag.FlagSet) {
	f.StringVar(&s.InstanceID, "instance-id", "", "ID of this entry instance, unique in the deployment")
	f.StringVar(&s.FailureDomain, "failure-domain", "", "failure domain of this entry instance")
	f.Uint32Var(&s.Weight, "weight", 100, "size of this entry instance; 100 is the reference size")
	f.StringVar(&s.PeerAddress, "peer-address", "", "ip:port for gRPC from other entry instances and operators")
	f.StringVar(&s.FabricListen, "fabric-listen", "", "ip:port for UDP datagrams from the fabric")
	f.StringVar(&s.FabricAddress, "fabric-address", "", "ip:port of the fabric, to which responses to callers are sent")
	f.StringVar(&s.MetricsAddress, "metrics-address", "", "ip:port for HTTP metrics, health and readiness; if empty, they are not served")
	f.StringVar(&s.BackendSourceIP, "backend-source-ip", "127.0.0.1", "source IP of requests to backend servers")
	f.StringVar(&s.StoreURL, "store-url", "", "base URL of the key-value service")
	f.StringVar(&s.InstanceListURL, "instance-list-url", "", "base URL of the instance list")
	f.StringVar(&s.TLSCert, "tls-cert", "", "PEM certificate for gRPC; if empty, gRPC is not encrypted")
	f.StringVar(&s.TLSKey, "tls-key", "", "PEM private key of --tls-cert")
	f.StringVar(&s.TLSCA, "tls-ca", "", "PEM certificates of the CA that signs the certificates of peers and operators")
	f.StringVar(&s.LogLevel, "log-level", "info", "minimum level of log lines: debug, info, warn or error")
	f.IntVar(&s.Workers, "workers", 4, "workers that process datagrams, 1 to 256")
	f.Uint64Var(&s.Seed, "seed", 0, "seed of random choices; 0 uses a seed from the system")
	f.BoolVar(&s.FaultInjection, "fault-injection", false, "accept POST /fault/... on the metrics address (tests only)")
	f.DurationVar(&s.ProbeInterval, "probe-interval", 200*time.Millisecond, "interval between heartbeats, each to a random peer, 20ms to 10s")
	f.DurationVar(&s.SuspicionTimeout, "suspicion-timeout", 1200*time.Millisecond, "time after which a suspected instance is declared dead, at least 3 probe intervals")
	f.DurationVar(&s.StopTimeout, "stop-timeout", 30*time.Second, "maximum duration of a graceful stop")
	f.DurationVar(&s.PermitLifetime, "permit-lifetime", 10*time.Second, "lifetime of a permit for a non-idempotent request, 1s to 5m")
	f.DurationVar(&s.NonIdempotentRetransmit, "non-idempotent-retransmit", 2*time.Second, "time during which a non-idempotent request is retransmitted to a backend server; must be shorter than the shortest restart of a backend server")
	f.IntVar(&s.CopyBudget, "copy-budget", 2048, "bytes per second for copies of stream records, 128 to 1048576")
	f.IntVar(&s.MaxFlows, "max-flows", 400000, "maximum number of flows, 1000 to 10000000")
	f.IntVar(&s.NewFlowsPerPrefix, "new-flows-per-prefix", 20000, "maximum new flows per second from one /24 (IPv4) or /56 (IPv6) source prefix")
	f.DurationVar(&s.HealthInterval, "health-interval", 500*time.Millisecond, "interval between health queries to a backend server, 50ms to 10s")
	f.StringVar(&s.DispatchPolicy, "dispatch-policy", DispatchPolicies[0], "policy for choosing a dispatcher: "+strings.Join(DispatchPolicies, ", "))
}

// Exit codes of the daemons.
const (
	exitError    = 1
	exitSettings = 2
)

// ExitOnError prints err and exits if it is not nil: with code 2 for invalid settings,
// otherwise with code 1.
func ExitOnError(program string, err error) {
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	if result.CodeOf(err) == result.SettingsInvalid {
		os.Exit(exitSettings)
	}
	os.Exit(exitError)
}

// ApplyEnvironment sets each flag that is not on the command line from its environment
// variable, unless that is empty. The error lists all values that a flag does not accept.
func ApplyEnvironment(f *pflag.FlagSet) error {
	var errs []error
	f.VisitAll(func(flag *pflag.Flag) {
		name := EnvName(flag.Name)
		value, ok := os.LookupEnv(name)
		if !ok || value == "" || flag.Changed {
			return
		}
		if err := f.Set(flag.Name, value); err != nil {
			errs = append(errs, result.Errorf(result.SettingsInvalid, "%s: %w", name, err))
		}
	})
	return errors.Join(errs...)
}

// EnvName returns the name of a flag's environment variable.
func EnvName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Check returns all validation errors, each with the name of the setting and its allowed
// values.
func (s *Settings) Check() error {
	var errs []error
	reject := func(name, format string, args ...any) {
		errs = append(errs, result.Errorf(result.SettingsInvalid, "--%s: %s", name, fmt.Sprintf(format, args...)))
	}
	for name, v := range map[string]string{"instance-id": s.InstanceID, "failure-domain": s.FailureDomain} {
		if !idPattern.MatchString(v) {
			reject(name, "%q must have 1 to 63 lower-case letters, digits or inner hyphens", v)
		}
	}
	for name, v := range map[string]string{"peer-address": s.PeerAddress, "fabric-listen": s.FabricListen, "fabric-address": s.FabricAddress} {
		if a, err := netip.ParseAddrPort(v); err != nil || a.Port() == 0 {
			reject(name, "%q must be ip:port with a port from 1 to 65535", v)
		}
	}
	if s.MetricsAddress != "" {
		if _, err := netip.ParseAddrPort(s.MetricsAddress); err != nil {
			reject("metrics-address", "%q must be empty or ip:port", s.MetricsAddress)
		}
	}
	if _, err := netip.ParseAddr(s.BackendSourceIP); err != nil {
		reject("backend-source-ip", "%q must be an IP address", s.BackendSourceIP)
	}
	for name, v := range map[string]string{"store-url": s.StoreURL, "instance-list-url": s.InstanceListURL} {
		if u, err := url.Parse(v); err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			reject(name, "%q must be an http or https URL", v)
		}
	}
	if set := countSet(s.TLSCert, s.TLSKey, s.TLSCA); set != 0 && set != 3 {
		reject("tls-cert", "--tls-cert, --tls-key and --tls-ca must be set together")
	}
	checkChoice(reject, "log-level", s.LogLevel, LogLevels)
	checkChoice(reject, "dispatch-policy", s.DispatchPolicy, DispatchPolicies)
	checkRange(reject, "weight", int(s.Weight), 1, 100000)
	checkRange(reject, "workers", s.Workers, 1, 256)
	checkRange(reject, "copy-budget", s.CopyBudget, 128, 1<<20)
	checkRange(reject, "max-flows", s.MaxFlows, 1000, 10_000_000)
	checkRange(reject, "new-flows-per-prefix", s.NewFlowsPerPrefix, 1, 1_000_000)
	checkRange(reject, "probe-interval", s.ProbeInterval, 20*time.Millisecond, 10*time.Second)
	checkRange(reject, "suspicion-timeout", s.SuspicionTimeout, 3*s.ProbeInterval, time.Minute)
	checkRange(reject, "stop-timeout", s.StopTimeout, time.Second, 10*time.Minute)
	checkRange(reject, "permit-lifetime", s.PermitLifetime, time.Second, 5*time.Minute)
	checkRange(reject, "non-idempotent-retransmit", s.NonIdempotentRetransmit, 0, time.Minute)
	checkRange(reject, "health-interval", s.HealthInterval, 50*time.Millisecond, 10*time.Second)
	return errors.Join(errs...)
}

func countSet(values ...string) (n int) {
	for _, v := range values {
		if v != "" {
			n++
		}
	}
	return n
}

func checkChoice(reject func(string, string, ...any), name, v string, allowed []string) {
	for _, a := range allowed {
		if v == a {
			return
		}
	}
	reject(name, "%q must be one of %s", v, strings.Join(allowed, ", "))
}

func checkRange[T int | time.Duration](reject func(string, string, ...any), name string, v, low, high T) {
	if v < low || v > high {
		reject(name, "%v must be from %v to %v", v, low, high)
	}
}
