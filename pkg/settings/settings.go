// Package settings holds the static settings of a daemon, read from flags and environment variables.
package settings

import (
	"cmp"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/pflag"
)

const (
	// maxNameBytes is the longest name of a host or other object, in bytes.
	maxNameBytes = 63
	// minHeaderBytes and maxHeaderBytes bound --max-header-bytes.
	minHeaderBytes = 4 << 10
	maxHeaderBytes = 1 << 20
	// maxAnnounceFor bounds --announce-for.
	maxAnnounceFor = time.Minute
	// minDrainTimeout bounds --drain-timeout.
	minDrainTimeout = time.Second
	// minLookupTTL and maxLookupTTL bound --lookup-ttl.
	minLookupTTL = time.Second
	maxLookupTTL = time.Hour
	// minShiftWindow bounds --shift-window.
	minShiftWindow = 100 * time.Millisecond
)

// SourceTable is the configuration source that reads this project's own objects from the platform's table.
const SourceTable = "table"

// EnvPrefix starts the name of each environment variable; the rest is the flag's name in upper case with underscores.
const EnvPrefix = "RATTANHITCH_"

// maxDomainHosts bounds the hosts of one failure domain.
const maxDomainHosts = 1000

// Settings are the static settings of one daemon. They do not change while it runs.
type Settings struct {
	// Host is the unique name of this host.
	Host string
	// FailureDomain and Region say where this host is.
	FailureDomain string
	Region        string
	// DispatchDomain names the hosts that share dispatchers; empty means those of the failure domain. Small failure domains
	// of one region can form one dispatch domain: their targets then stay in use when one of them has no host left.
	DispatchDomain string
	// CallerListen, OperatorListen and PeerListen are IP numbers with ports.
	CallerListen   string
	OperatorListen string
	// MetricsListen is an IP number with a port for collectors of metrics, which need no credentials there; empty for none.
	MetricsListen string
	PeerListen    string
	// Seeds are peer addresses that are tried in addition to the platform's host list.
	Seeds []string
	// PlatformDriver names the registered driver, PlatformURL says where the platform is.
	PlatformDriver string
	PlatformURL    string
	// ConfigSource names where the dynamic configuration comes from, Dialect how requests are spelled.
	ConfigSource string
	Dialect      string
	// RetryPercent and RetryBurst limit the retries of a service in a failure domain: the share of first attempts that pays for
	// retries, and how many retries can be saved up.
	RetryPercent float64
	RetryBurst   int
	// ShiftPercent is the share of a region's requests of a service that may change their region within ShiftWindow.
	ShiftPercent float64
	ShiftWindow  time.Duration
	// MinDomainHosts is the least number of hosts that the failure domain has. Caps are granted only while a majority is
	// reachable, and a host that has just started may not know the others yet.
	MinDomainHosts int
	// AnnounceFor is how long a stopping host keeps accepting requests after it announced that it leaves.
	AnnounceFor time.Duration
	// DrainTimeout limits the wait for requests in flight on shutdown.
	DrainTimeout time.Duration
	// LookupTTL is how long callers may cache a lookup answer.
	LookupTTL time.Duration
	// MaxHeaderBytes limits the size of a request's header, in bytes.
	MaxHeaderBytes int
	// Capacity is the processor time of this host in thousandths of a core, compared with the other hosts.
	Capacity int
	// HeapTargetMiB is the heap size in MiB up to which garbage collection is put off.
	HeapTargetMiB int
	// MaxProcs limits the threads that run Go code at the same moment; 0 leaves it to the runtime.
	MaxProcs int
	// LogLevel is one of debug, info, warn, error.
	LogLevel string
	// OperatorToken, if set, must be sent as a bearer token with each operator call.
	OperatorToken string
	// TLSCert, TLSKey and TLSCA are PEM files for the operator and peer ports.
	TLSCert string
	TLSKey  string
	TLSCA   string
}

// Register adds the flags to fs and binds them to s. Call ApplyEnv before parsing.
func (s *Settings) Register(fs *pflag.FlagSet) {
	fs.StringVar(&s.Host, "host", "", "unique name of this host")
	fs.StringVar(&s.FailureDomain, "failure-domain", "", "failure domain of this host")
	fs.StringVar(&s.Region, "region", "", "region of the failure domain")
	fs.StringVar(&s.CallerListen, "caller-listen", "127.0.0.1:8080", "IP number and port for callers")
	fs.StringVar(&s.OperatorListen, "operator-listen", "127.0.0.1:8081", "IP number and port for operators and metrics")
	fs.StringVar(&s.MetricsListen, "metrics-listen", "", "IP number and port that serves the metrics to anybody; empty for none")
	fs.StringVar(&s.PeerListen, "peer-listen", "127.0.0.1:8082", "IP number and port for other hosts")
	fs.StringSliceVar(&s.Seeds, "seeds", nil, "peer addresses to try besides the platform's host list")
	fs.StringVar(&s.PlatformDriver, "platform-driver", "httpkv", "name of the platform driver")
	fs.StringVar(&s.PlatformURL, "platform-url", "http://127.0.0.1:8090", "where the platform is")
	fs.StringVar(&s.DispatchDomain, "dispatch-domain", "",
		"name that the hosts which share dispatchers have in common; empty for those of the failure domain")
	fs.StringVar(&s.ConfigSource, "config-source", SourceTable, "where the dynamic configuration comes from")
	fs.StringVar(&s.Dialect, "dialect", "", "how requests are spelled; empty for this project's own headers")
	fs.Float64Var(&s.RetryPercent, "retry-percent", 10, "retries that a dispatcher allows, as a percentage of first attempts")
	fs.IntVar(&s.RetryBurst, "retry-burst", 20, "retries that the dispatchers of a service can save up in a failure domain")
	fs.Float64Var(&s.ShiftPercent, "shift-percent", 10,
		"share of a region's requests that may change their region within --shift-window to balance load, in percent")
	fs.DurationVar(&s.ShiftWindow, "shift-window", 2*time.Second, "time for --shift-percent")
	fs.IntVar(&s.MinDomainHosts, "min-domain-hosts", 1,
		"least number of hosts in the failure domain; caps are granted only while a majority of them is reachable")
	fs.DurationVar(&s.AnnounceFor, "announce-for", 5*time.Second, "time between announcing a stop and closing listeners")
	fs.DurationVar(&s.DrainTimeout, "drain-timeout", 10*time.Minute, "longest wait for requests in flight on shutdown")
	fs.DurationVar(&s.LookupTTL, "lookup-ttl", 10*time.Second, "how long callers may cache a lookup answer")
	fs.IntVar(&s.MaxHeaderBytes, "max-header-bytes", 64<<10, "largest request header, in bytes")
	fs.IntVar(&s.HeapTargetMiB, "heap-target-mib", 40, "heap size in MiB up to which garbage collection is put off")
	fs.IntVar(&s.Capacity, "capacity", 1000, "processor time of this host in thousandths of a core; hosts with more take more shared work")
	fs.IntVar(&s.MaxProcs, "max-procs", 0, "threads that run Go code at the same moment; 0 for one per core")
	fs.StringVar(&s.LogLevel, "log-level", "info", "debug, info, warn or error")
	fs.StringVar(&s.OperatorToken, "operator-token", "", "bearer token for operator calls")
	fs.StringVar(&s.TLSCert, "tls-cert", "", "PEM file with the certificate for the operator and peer ports")
	fs.StringVar(&s.TLSKey, "tls-key", "", "PEM file with the key of --tls-cert")
	fs.StringVar(&s.TLSCA, "tls-ca", "", "PEM file with the authorities that sign client and peer certificates")
}

// EnvName returns the environment variable that sets a flag.
func EnvName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// ApplyEnv sets each flag that has an environment variable. Flags on the command line, parsed later, take precedence.
func ApplyEnv(fs *pflag.FlagSet) error {
	var problems []error
	fs.VisitAll(func(f *pflag.Flag) {
		value, ok := os.LookupEnv(EnvName(f.Name))
		if !ok {
			return
		}
		if err := fs.Set(f.Name, value); err != nil {
			problems = append(problems, errors.Newf("%s=%q: %v", EnvName(f.Name), value, err))
			return
		}
		f.Changed = false
	})
	return errors.Join(problems...)
}

// Validate returns all problems at once, each with flag, value and what is allowed.
func (s *Settings) Validate() error {
	var problems []error
	add := func(flag string, value any, allowed string) {
		problems = append(problems, fmt.Errorf("--%s=%v: %s", flag, value, allowed))
	}
	required := map[string]string{"host": s.Host, "failure-domain": s.FailureDomain, "region": s.Region}
	for _, flag := range []string{"host", "failure-domain", "region"} {
		if !ValidName(required[flag]) {
			add(flag, required[flag], "must be 1 to 63 letters, digits, dots, dashes or underscores")
		}
	}
	for _, a := range []struct{ flag, value string }{
		{"caller-listen", s.CallerListen}, {"operator-listen", s.OperatorListen}, {"peer-listen", s.PeerListen},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			add(a.flag, a.value, "must be an IP number and a port, such as 127.0.0.1:8080")
		}
	}
	if _, err := netip.ParseAddrPort(s.MetricsListen); err != nil && s.MetricsListen != "" {
		add("metrics-listen", s.MetricsListen, "must be empty or an IP number and a port")
	}
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			add("seeds", seed, "must be an IP number and a port")
		}
	}
	if s.DispatchDomain != "" && !ValidName(s.DispatchDomain) {
		add("dispatch-domain", s.DispatchDomain, "must be empty or 1 to 63 letters, digits, dots, dashes or underscores")
	}
	if !(s.RetryPercent >= 0 && s.RetryPercent <= 100) {
		add("retry-percent", s.RetryPercent, "must be from 0 to 100")
	}
	if s.RetryBurst < 0 {
		add("retry-burst", s.RetryBurst, "must be at least 0")
	}
	if !(s.ShiftPercent > 0 && s.ShiftPercent <= 100) {
		add("shift-percent", s.ShiftPercent, "must be above 0 and at most 100")
	}
	if s.ShiftWindow < minShiftWindow {
		add("shift-window", s.ShiftWindow, "must be at least 100ms")
	}
	if s.MinDomainHosts < 1 || s.MinDomainHosts > maxDomainHosts {
		add("min-domain-hosts", s.MinDomainHosts, "must be from 1 to 1000")
	}
	if s.AnnounceFor < 0 || s.AnnounceFor > maxAnnounceFor {
		add("announce-for", s.AnnounceFor, "must be from 0s to 1m")
	}
	if s.DrainTimeout < minDrainTimeout {
		add("drain-timeout", s.DrainTimeout, "must be at least 1s")
	}
	if s.LookupTTL < minLookupTTL || s.LookupTTL > maxLookupTTL {
		add("lookup-ttl", s.LookupTTL, "must be from 1s to 1h")
	}
	if s.MaxHeaderBytes < minHeaderBytes || s.MaxHeaderBytes > maxHeaderBytes {
		add("max-header-bytes", s.MaxHeaderBytes, "must be from 4096 to 1048576")
	}
	if s.HeapTargetMiB < 1 || s.HeapTargetMiB > 1<<20 {
		add("heap-target-mib", s.HeapTargetMiB, "must be from 1 to 1048576")
	}
	if s.Capacity < 1 || s.Capacity > 1<<20 {
		add("capacity", s.Capacity, "must be from 1 to 1048576")
	}
	if s.MaxProcs < 0 || s.MaxProcs > 1024 {
		add("max-procs", s.MaxProcs, "must be from 0 to 1024")
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		add("log-level", s.LogLevel, "must be debug, info, warn or error")
	}
	if (s.TLSCert == "") != (s.TLSKey == "") {
		add("tls-cert", s.TLSCert, "--tls-cert and --tls-key go together")
	}
	if s.OperatorToken == "" && s.TLSCA == "" && !IsLoopback(s.OperatorListen) {
		add("operator-listen", s.OperatorListen, "needs --operator-token or --tls-ca unless bound to loopback")
	}
	return errors.Join(problems...)
}

// EffectiveDispatchDomain returns the name of the dispatch domain.
func (s *Settings) EffectiveDispatchDomain() string { return cmp.Or(s.DispatchDomain, s.FailureDomain) }

// ValidName reports whether a name of a host, service or other object is allowed.
func ValidName(name string) bool {
	if len(name) == 0 || len(name) > maxNameBytes {
		return false
	}
	for _, r := range name {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.'
		if !ok {
			return false
		}
	}
	return true
}

// IsLoopback reports whether an address, an IP number and a port, is on a loopback interface. It is false for an address
// that cannot be parsed.
func IsLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.IsLoopback()
}
