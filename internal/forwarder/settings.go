// Package forwarder implements the daemon around package forwarding: sockets, timers, the
// client side of the platform's store, readiness, signals and messages between instances.
package forwarder

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/spf13/pflag"

	"github.com/monsoonthread/monsoonthread/internal/settings"
	"github.com/monsoonthread/monsoonthread/result"
)

// Settings are the daemon's settings. A flag takes precedence over its environment variable,
// which takes precedence over the settings file.
type Settings struct {
	InstanceID         string
	FailureDomain      string
	DatagramAddress    string
	ReadyAddress       string
	MetricsAddress     string
	PeerAddress        string
	AdvertisedAddress  string
	Seeds              string
	StoreAddress       string
	MemoryMB           int
	NewFlowsPerPrefix  int
	MaxFlowLifetime    time.Duration
	GracePeriod        time.Duration
	ConfigurationBound time.Duration
	DrainBound         time.Duration
	EvacuationBound    time.Duration
	ColdOverage        float64
	ColdSlack          float64
	FirstStart         bool
	LogLevel           string
}

// defaultNewFlowsPerPrefix is 23.6 times the mean rate of an instance at the target load
// (110,000 new flows per second at 1,300 instances: 84.6), because all clients of a site may share
// a prefix.
const defaultNewFlowsPerPrefix = 2000

// AddFlags registers the settings as flags.
func (s *Settings) AddFlags(f *pflag.FlagSet) {
	f.StringVar(&s.InstanceID, "instance-id", "", "ID of this entry instance, unique in the deployment")
	f.StringVar(&s.FailureDomain, "failure-domain", "", "failure domain of this entry instance")
	f.StringVar(&s.DatagramAddress, "datagram-address", "", "ip:port for packets of clients; resets go to the clients' address at this port")
	f.StringVar(&s.ReadyAddress, "ready-address", "", "ip:port for HTTP readiness and metrics")
	f.StringVar(&s.MetricsAddress, "metrics-address", "", "additional ip:port for HTTP metrics; empty for none")
	f.StringVar(&s.PeerAddress, "peer-address", "", "ip:port for messages between instances, over UDP and TCP; all instances use this port")
	f.StringVar(&s.AdvertisedAddress, "advertised-peer-address", "", "ip:port at which other instances reach this one; empty if it is --peer-address")
	f.StringVar(&s.Seeds, "seeds", "", "comma-separated ip:port of instances to contact first; the port is replaced by that of --peer-address")
	f.StringVar(&s.StoreAddress, "store-address", "", "ip:port of the platform's store")
	f.IntVar(&s.MemoryMB, "memory-mb", 256, "memory that the process may use, in MB; bounds the flow table")
	f.IntVar(&s.NewFlowsPerPrefix, "new-flows-per-prefix", defaultNewFlowsPerPrefix, "maximum new flows per second from one /24 source prefix, with a burst of twice as many; flows beyond it are reset")
	f.DurationVar(&s.MaxFlowLifetime, "max-flow-lifetime", time.Minute, "maximum lifetime of a flow; records of removed servers are kept for twice this time")
	f.DurationVar(&s.GracePeriod, "grace-period", 6*time.Second, "time between SIGTERM and SIGKILL")
	f.DurationVar(&s.ConfigurationBound, "configuration-bound", 3*time.Second, "time within which an accepted configuration must be in force")
	f.DurationVar(&s.DrainBound, "drain-bound", 3*time.Second, "time after which a draining server must not get new flows")
	f.DurationVar(&s.EvacuationBound, "evacuation-bound", 0, "time within which an evacuated failure domain must not get new flows any more; 0 for none")
	f.Float64Var(&s.ColdOverage, "cold-overage", 0, "a cold server gets at most this factor times the rate that it bears, plus --cold-slack, in new flows per second over all instances; 0 for no limit unless --cold-slack is set")
	f.Float64Var(&s.ColdSlack, "cold-slack", 0, "new flows per second that a cold server may get beyond --cold-overage")
	f.BoolVar(&s.FirstStart, "first-start", false, "the whole deployment starts for the first time, before any traffic: only the seeds read the store at once, others wait for them")
	f.StringVar(&s.LogLevel, "log-level", "info", "minimum level of log lines: debug, info, warn or error")
}

// ApplyFile reads lines of the form name=value and sets the flags that have not been set
// before. It skips blank lines, lines that start with # and unknown names.
func ApplyFile(f *pflag.FlagSet, r io.Reader) error {
	var errs []error
	scanner := bufio.NewScanner(r)
	for n := 1; scanner.Scan(); n++ {
		line := strings.TrimSpace(scanner.Text())
		name, value, found := strings.Cut(line, "=")
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if !found {
			errs = append(errs, result.Errorf(result.SettingsInvalid, "line %d: %q is not name=value", n, line))
			continue
		}
		flag := f.Lookup(strings.TrimSpace(name))
		if flag == nil || flag.Changed {
			continue
		}
		if err := f.Set(flag.Name, strings.TrimSpace(value)); err != nil {
			errs = append(errs, result.Errorf(result.SettingsInvalid, "line %d: %w", n, err))
		}
	}
	if err := scanner.Err(); err != nil {
		errs = append(errs, result.Errorf(result.SettingsInvalid, "read settings: %w", err))
	}
	return errors.Join(errs...)
}

// Check returns all validation errors, each with the name of the setting.
func (s *Settings) Check() error {
	var errs []error
	reject := func(name, format string, args ...any) {
		errs = append(errs, result.Errorf(result.SettingsInvalid, "--%s: %s", name, fmt.Sprintf(format, args...)))
	}
	if s.InstanceID == "" {
		reject("instance-id", "must not be empty")
	}
	if s.FailureDomain == "" {
		reject("failure-domain", "must not be empty")
	}
	for _, a := range []struct{ name, value string }{
		{"datagram-address", s.DatagramAddress}, {"ready-address", s.ReadyAddress},
		{"peer-address", s.PeerAddress}, {"store-address", s.StoreAddress},
	} {
		if v, err := netip.ParseAddrPort(a.value); err != nil || v.Port() == 0 || !v.Addr().Is4() {
			reject(a.name, "%q must be IPv4:port with a port from 1 to 65535", a.value)
		}
	}
	if _, err := netip.ParseAddrPort(s.MetricsAddress); s.MetricsAddress != "" && err != nil {
		reject("metrics-address", "%q must be empty or ip:port", s.MetricsAddress)
	}
	if a, err := netip.ParseAddrPort(s.AdvertisedAddress); s.AdvertisedAddress != "" && (err != nil || a.Port() == 0 || !a.Addr().Is4()) {
		reject("advertised-peer-address", "%q must be empty or IPv4:port with a port from 1 to 65535", s.AdvertisedAddress)
	}
	if _, err := s.SeedAddresses(); err != nil {
		reject("seeds", "%v", err)
	}
	if !slices.Contains(settings.LogLevels, s.LogLevel) {
		reject("log-level", "%q must be one of %s", s.LogLevel, strings.Join(settings.LogLevels, ", "))
	}
	if s.MemoryMB < 16 || s.MemoryMB > 1<<20 {
		reject("memory-mb", "%d must be from 16 to %d", s.MemoryMB, 1<<20)
	}
	if s.NewFlowsPerPrefix < 1 || s.NewFlowsPerPrefix > 1_000_000 {
		reject("new-flows-per-prefix", "%d must be from 1 to 1000000", s.NewFlowsPerPrefix)
	}
	for _, d := range []struct {
		name  string
		value time.Duration
	}{
		{"max-flow-lifetime", s.MaxFlowLifetime}, {"grace-period", s.GracePeriod},
		{"configuration-bound", s.ConfigurationBound}, {"drain-bound", s.DrainBound},
	} {
		if d.value < 100*time.Millisecond || d.value > 24*time.Hour {
			reject(d.name, "%v must be from 100ms to 24h", d.value)
		}
	}
	if d := s.EvacuationBound; d != 0 && (d < 100*time.Millisecond || d > 24*time.Hour) {
		reject("evacuation-bound", "%v must be 0 or from 100ms to 24h", d)
	}
	for _, v := range []struct {
		name  string
		value float64
	}{{"cold-overage", s.ColdOverage}, {"cold-slack", s.ColdSlack}} {
		if !(v.value >= 0 && v.value <= maxColdLimit) {
			reject(v.name, "%v must be from 0 to %d", v.value, maxColdLimit)
		}
	}
	return errors.Join(errs...)
}

// maxColdLimit is the maximum of --cold-overage and --cold-slack.
const maxColdLimit = 1_000_000

// effectivePeerAddress returns the address at which other instances reach this one.
func (s *Settings) effectivePeerAddress() netip.AddrPort {
	if s.AdvertisedAddress != "" {
		return netip.MustParseAddrPort(s.AdvertisedAddress)
	}
	return netip.MustParseAddrPort(s.PeerAddress)
}

// SeedAddresses returns the peer addresses of the seeds without the instance's own.
func (s *Settings) SeedAddresses() ([]netip.AddrPort, error) {
	peer, err := netip.ParseAddrPort(s.PeerAddress)
	if err != nil || s.Seeds == "" {
		return nil, nil
	}
	advertised, _ := netip.ParseAddrPort(s.AdvertisedAddress) // validated separately by Check
	var out []netip.AddrPort
	for text := range strings.SplitSeq(s.Seeds, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, fmt.Errorf("%q is not ip:port", text)
		}
		if a.Addr() != peer.Addr() && a.Addr() != advertised.Addr() {
			out = append(out, netip.AddrPortFrom(a.Addr(), peer.Port()))
		}
	}
	return out, nil
}

// isSeed reports whether the instance is one of the seeds.
func (s *Settings) isSeed() bool {
	others, err := s.SeedAddresses()
	return err == nil && s.Seeds != "" && len(others) <= strings.Count(s.Seeds, ",")
}

// bytesPerFlow is the memory for one flow in the flow table, including the map entry and the
// unused capacity after the map has grown.
const bytesPerFlow = 256

// MaxFlows returns the number of flows that fit into half of the memory limit.
func (s *Settings) MaxFlows() int { return s.MemoryMB << 20 / 2 / bytesPerFlow }
