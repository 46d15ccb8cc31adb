package settings

import (
	"errors"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/spf13/pflag"
)

// Serve holds the settings of one instance.
type Serve struct {
	ID         string
	DataCentre string

	Listen       string
	AdminListen  string
	PeerListen   string
	TargetListen string

	Seeds    []string
	Founders []string
	DataDir  string

	PeerToken   string
	TargetToken string
	AdminToken  string

	LogLevel string

	LoadBound       float64
	MaxBodyBytes    int64
	MaxConnections  int
	EntryTTL        time.Duration
	ShutdownTimeout time.Duration
}

// Bounds and defaults of the settings.
const (
	defaultLoadBound       = 1.25
	minLoadBound           = 1.05
	maxLoadBound           = 10
	defaultMaxBodyBytes    = 8 << 20
	maxMaxBodyBytes        = 64 << 20
	defaultMaxConnections  = 10000
	defaultEntryTTL        = 5 * time.Second
	maxEntryTTL            = 10 * time.Minute
	defaultShutdownTimeout = 10 * time.Minute
	minTokenLength         = 8
)

// AddFlags registers the flags of s on fs with their defaults.
func (s *Serve) AddFlags(fs *pflag.FlagSet) {
	fs.StringVar(&s.ID, "id", "", "name of this instance, unique in the fleet (required)")
	fs.StringVar(&s.DataCentre, "data-centre", "", "data centre of this instance (required)")
	fs.StringVar(&s.Listen, "listen", "127.0.0.1:8080", "IP:port for callers")
	fs.StringVar(&s.AdminListen, "admin-listen", "127.0.0.1:8081", "IP:port for operators and metrics")
	fs.StringVar(&s.PeerListen, "peer-listen", "127.0.0.1:8082", "IP:port for other instances, TCP and UDP")
	fs.StringVar(&s.TargetListen, "target-listen", "127.0.0.1:8083", "IP:port at which targets announce themselves")
	fs.StringSliceVar(&s.Seeds, "seeds", nil, "peer addresses of some instances to find the others by")
	fs.StringSliceVar(&s.Founders, "founders", nil, "peer addresses of the control replicas that form the system, the same at every instance (required)")
	fs.StringVar(&s.DataDir, "data-dir", "", "folder for the replicated state; set it to run a control replica here")
	fs.StringVar(&s.PeerToken, "peer-token", "", "secret shared by the fleet's instances (required)")
	fs.StringVar(&s.TargetToken, "target-token", "", "secret that targets announce with (required)")
	fs.StringVar(&s.AdminToken, "admin-token", "", "secret that operators use (required)")
	fs.StringVar(&s.LogLevel, "log-level", "info", "lowest level logged: debug, info, warn or error")
	s.addLimitFlags(fs)
}

// DefaultServe returns settings with the flags' defaults.
func DefaultServe() *Serve {
	s := &Serve{}
	s.AddFlags(pflag.NewFlagSet("serve", pflag.ContinueOnError))
	return s
}

func (s *Serve) addLimitFlags(fs *pflag.FlagSet) {
	fs.Float64Var(&s.LoadBound, "load-bound", defaultLoadBound, "highest load of an engine as a multiple of the mean")
	fs.Int64Var(&s.MaxBodyBytes, "max-body-bytes", defaultMaxBodyBytes, "largest request body taken from a caller, in bytes")
	fs.IntVar(&s.MaxConnections, "max-connections", defaultMaxConnections, "most open caller connections")
	fs.DurationVar(&s.EntryTTL, "entry-keep", defaultEntryTTL, "how long callers may keep an entry address")
	fs.DurationVar(&s.ShutdownTimeout, "shutdown-timeout", defaultShutdownTimeout, "longest wait for requests in flight at shutdown")
}

// Check returns all faults of the settings, each naming flag and variable.
func (s *Serve) Check() error {
	var faults []error
	faults = append(faults, s.checkNames()...)
	faults = append(faults, s.checkAddresses()...)
	faults = append(faults, s.checkTokens()...)
	faults = append(faults, s.checkLimits()...)
	faults = append(faults, s.checkDataDir())
	return errors.Join(faults...)
}

// flagValue is a flag's name beside its value.
type flagValue struct {
	flag  string
	value string
}

// namePattern is compiled at its first use, which few processes come to.
var namePattern = sync.OnceValue(func() *regexp.Regexp {
	return regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
})

func (s *Serve) checkNames() []error {
	var faults []error
	for _, f := range []flagValue{{"id", s.ID}, {"data-centre", s.DataCentre}} {
		if !namePattern().MatchString(f.value) {
			faults = append(faults, FlagError(f.flag, "%q is not a name: letters, digits, dot, dash and underscore, 1 to 63 of them", f.value))
		}
	}
	levels := []string{"debug", "info", "warn", "error"}
	if !slices.Contains(levels, s.LogLevel) {
		faults = append(faults, FlagError("log-level", "%q is not one of %v", s.LogLevel, levels))
	}
	return faults
}

func (s *Serve) checkAddresses() []error {
	var faults []error
	addrs := []flagValue{
		{"listen", s.Listen},
		{"admin-listen", s.AdminListen},
		{"peer-listen", s.PeerListen},
		{"target-listen", s.TargetListen},
	}
	for _, seed := range s.Seeds {
		addrs = append(addrs, flagValue{"seeds", seed})
	}
	for _, founder := range s.Founders {
		addrs = append(addrs, flagValue{"founders", founder})
	}
	for _, f := range addrs {
		faults = append(faults, checkAddress(f.flag, f.value))
	}
	if n := len(s.Founders); n != 1 && n != 3 && n != 5 {
		faults = append(faults, FlagError("founders", "%d addresses given, 1, 3 or 5 are needed", n))
	}
	return faults
}

func checkAddress(flag, addr string) error {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return FlagError(flag, "%q is not IP:port", addr)
	}
	if parsed.Addr().IsUnspecified() || parsed.Port() == 0 {
		return FlagError(flag, "%q: others connect to this address, so it needs a definite IP number and port", addr)
	}
	return nil
}

func (s *Serve) checkTokens() []error {
	var faults []error
	tokens := []flagValue{
		{"peer-token", s.PeerToken},
		{"target-token", s.TargetToken},
		{"admin-token", s.AdminToken},
	}
	for _, f := range tokens {
		if len(f.value) < minTokenLength {
			faults = append(faults, FlagError(f.flag, "a secret of at least %d characters is needed", minTokenLength))
		}
	}
	return faults
}

func (s *Serve) checkLimits() []error {
	var faults []error
	check := func(ok bool, flag, format string, args ...any) {
		if !ok {
			faults = append(faults, FlagError(flag, format, args...))
		}
	}
	check(s.LoadBound >= minLoadBound && s.LoadBound <= maxLoadBound, "load-bound", "%v is outside %v to %v", s.LoadBound, minLoadBound, maxLoadBound)
	check(s.MaxBodyBytes > 0 && s.MaxBodyBytes <= maxMaxBodyBytes, "max-body-bytes", "%d is outside 1 to %d", s.MaxBodyBytes, maxMaxBodyBytes)
	check(s.MaxConnections > 0, "max-connections", "%d is not above 0", s.MaxConnections)
	check(s.EntryTTL >= time.Second && s.EntryTTL <= maxEntryTTL, "entry-keep", "%v is outside 1s to %v", s.EntryTTL, maxEntryTTL)
	check(s.ShutdownTimeout > 0, "shutdown-timeout", "%v is not above 0", s.ShutdownTimeout)
	return faults
}

// checkDataDir makes the folder and proves that files can be written there.
func (s *Serve) checkDataDir() error {
	if s.DataDir == "" {
		return nil
	}
	if err := os.MkdirAll(s.DataDir, 0o700); err != nil {
		return FlagError("data-dir", "%v", err)
	}
	probe, err := os.CreateTemp(s.DataDir, ".writable-*")
	if err != nil {
		return FlagError("data-dir", "the folder is not writable: %v", err)
	}
	probe.Close()
	if err := os.Remove(probe.Name()); err != nil {
		return FlagError("data-dir", "%v", err)
	}
	return nil
}

// Logger makes the process's logger: JSON lines on standard error.
func (s *Serve) Logger() *log.Logger {
	return &log.Logger{
		Level:   log.ParseLevel(s.LogLevel),
		Writer:  &log.IOWriter{Writer: os.Stderr},
		Context: log.NewContext(nil).Str("instance", s.ID).Value(),
	}
}
