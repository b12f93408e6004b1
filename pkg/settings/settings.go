// Package settings defines the static settings of a daemon, their flags, environment variables and validation.
package settings

import (
	"cmp"
	"net"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/pflag"
)

const (
	// maxNameBytes is the maximum length in bytes of the name of a host or other object.
	maxNameBytes = 63
	// minHeaderBytes and maxHeaderBytes bound --max-header-bytes.
	minHeaderBytes = 4 << 10
	maxHeaderBytes = 1 << 20
	// minMemoryMiB and minDescriptors are the lower bounds of --memory-limit-mib and --descriptor-limit.
	minMemoryMiB   = 64
	minDescriptors = 64
	// maxAnnounceFor is the upper bound of --announce-for.
	maxAnnounceFor = time.Minute
	// minDrainTimeout is the lower bound of --drain-timeout.
	minDrainTimeout = time.Second
	// minLookupTTL and maxLookupTTL bound --lookup-ttl.
	minLookupTTL = time.Second
	maxLookupTTL = time.Hour
	// minShiftWindow is the lower bound of --shift-window.
	minShiftWindow = 100 * time.Millisecond
)

// SourceTable is the name of the configuration source that reads this project's own objects from the platform's table.
const SourceTable = "table"

// EnvPrefix is the prefix of the environment variable of each flag; the rest is the flag's name in upper case with underscores.
const EnvPrefix = "RATTANHITCH_"

// maxDomainHosts is the upper bound of --min-domain-hosts.
const maxDomainHosts = 1000

// Settings are the static settings of one daemon. They do not change while it runs.
type Settings struct {
	// Host is the unique name of this host.
	Host string
	// FailureDomain and Region are the location of this host.
	FailureDomain string
	Region        string
	// DispatchDomain is the name of the group of hosts that share dispatchers; if empty, the group is the failure domain. Small
	// failure domains of one region can form one dispatch domain, so that the targets of a failure domain without live hosts
	// stay in use.
	DispatchDomain string
	// CallerListen, OperatorListen and PeerListen are listen addresses: an IP number and a port.
	CallerListen   string
	OperatorListen string
	// MetricsListen is the address of an additional listener that serves only the metrics, without authentication; empty for
	// none.
	MetricsListen string
	PeerListen    string
	// Seeds are peer addresses for joining the fleet, in addition to those in the platform's host list.
	Seeds []string
	// PlatformDriver is the name of a registered platform driver, PlatformURL the URL that it connects to.
	PlatformDriver string
	PlatformURL    string
	// ConfigSource is the name of the registered source of the dynamic configuration, Dialect that of the dialect: the request and
	// response headers of callers and targets.
	ConfigSource string
	Dialect      string
	// RetryPercent and RetryBurst set the retry budget of a service in a failure domain, a token bucket: RetryPercent is the
	// refill per first attempt in percent, RetryBurst the size of the bucket.
	RetryPercent float64
	RetryBurst   int
	// ShiftPercent is the percentage of a service's requests in a region that load balancing may shift to other regions within
	// ShiftWindow.
	ShiftPercent float64
	ShiftWindow  time.Duration
	// MinDomainHosts is the minimum number of hosts of the failure domain. Slices of caps are granted only with support of a
	// majority; the minimum keeps a host that has not discovered the others yet from counting itself as the majority.
	MinDomainHosts int
	// AnnounceFor is how long a stopping host keeps accepting requests after it has announced that it leaves.
	AnnounceFor time.Duration
	// DrainTimeout limits the wait for requests in flight during a stop, after AnnounceFor.
	DrainTimeout time.Duration
	// LookupTTL is how long callers may cache a lookup response.
	LookupTTL time.Duration
	// MaxHeaderBytes is the maximum size of a request's header in bytes.
	MaxHeaderBytes int
	// MemoryLimitMiB is the memory in MiB that this process may use; 0 means that of the machine.
	MemoryLimitMiB int
	// DescriptorLimit is the number of descriptors that this process may have open; 0 means what the kernel allows.
	DescriptorLimit int
	// Capacity is the processor time of this host in thousandths of a core. It is this host's weight relative to other hosts.
	Capacity int
	// HeapTargetMiB is the heap size in MiB up to which garbage collection is delayed.
	HeapTargetMiB int
	// MaxProcs is the value of GOMAXPROCS; 0 keeps the runtime's default.
	MaxProcs int
	// LogLevel is one of debug, info, warn, error.
	LogLevel string
	// OperatorToken is the bearer token that authenticates requests to the operator port; empty for none.
	OperatorToken string
	// TLSCert, TLSKey and TLSCA are the paths of PEM files for the operator and peer ports.
	TLSCert string
	TLSKey  string
	TLSCA   string
}

// Register adds the flags to fs and binds them to s. Call ApplyEnv after it and before parsing the command line.
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
		"share of a region's requests that may change the region in which they run from one --shift-window to the next, to balance load, in percent")
	fs.DurationVar(&s.ShiftWindow, "shift-window", 2*time.Second, "time for --shift-percent")
	fs.IntVar(&s.MinDomainHosts, "min-domain-hosts", 1,
		"least number of hosts in the failure domain; caps are granted only while a majority of them is reachable")
	fs.DurationVar(&s.AnnounceFor, "announce-for", 5*time.Second, "time between announcing a stop and closing listeners")
	fs.DurationVar(&s.DrainTimeout, "drain-timeout", 10*time.Minute, "longest wait for requests in flight on shutdown")
	fs.DurationVar(&s.LookupTTL, "lookup-ttl", 10*time.Second, "how long callers may cache a lookup answer")
	fs.IntVar(&s.MaxHeaderBytes, "max-header-bytes", 64<<10, "largest request header, in bytes")
	fs.IntVar(&s.MemoryLimitMiB, "memory-limit-mib", 0, "memory in MiB that this host may use; 0 for that of the machine")
	fs.IntVar(&s.DescriptorLimit, "descriptor-limit", 0, "descriptors that this host may have open; 0 for what the kernel allows")
	fs.IntVar(&s.HeapTargetMiB, "heap-target-mib", 40, "heap size in MiB up to which garbage collection is put off")
	fs.IntVar(&s.Capacity, "capacity", 1000, "processor time of this host in thousandths of a core; hosts with more take more shared work")
	fs.IntVar(&s.MaxProcs, "max-procs", 0, "threads that run Go code at the same moment; 0 for one per core")
	fs.StringVar(&s.LogLevel, "log-level", "info", "debug, info, warn or error")
	fs.StringVar(&s.OperatorToken, "operator-token", "", "bearer token for operator calls")
	fs.StringVar(&s.TLSCert, "tls-cert", "", "PEM file with the certificate for the operator and peer ports")
	fs.StringVar(&s.TLSKey, "tls-key", "", "PEM file with the key of --tls-cert")
	fs.StringVar(&s.TLSCA, "tls-ca", "", "PEM file with the authorities that sign client and peer certificates")
}

// EnvName returns the name of the environment variable that sets a flag.
func EnvName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// ApplyEnv sets each flag whose environment variable exists. Flags on the command line are parsed later and take precedence. It
// returns all invalid values as one joined error.
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

// EffectiveDispatchDomain returns the name of the dispatch domain: DispatchDomain, or FailureDomain if that is empty.
func (s *Settings) EffectiveDispatchDomain() string { return cmp.Or(s.DispatchDomain, s.FailureDomain) }

// ValidName reports whether a string is allowed as the name of a host, service or other object: 1 to 63 letters, digits, dots,
// dashes or underscores.
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

// IsLoopback reports whether the IP number of an address (IP number and port) is a loopback address. It is false for an address
// that cannot be parsed.
func IsLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.IsLoopback()
}
