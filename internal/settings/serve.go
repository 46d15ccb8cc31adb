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

// Serve holds the settings of the serve command, which runs one instance.
type Serve struct {
	ID         string
	DataCentre string

	Listen       string
	AdminListen  string
	PeerListen   string
	TargetListen string

	// Seeds holds the peer addresses from which the instance discovers the others.
	Seeds []string
	// Founders holds the peer addresses of the initial control replicas.
	Founders []string
	// DataDir is the folder of the control replica. If it is empty, the instance runs
	// no control replica.
	DataDir string

	PeerToken   string
	TargetToken string
	AdminToken  string

	LogLevel string

	// LoadBound is the highest load of an engine as a multiple of the mean load.
	LoadBound float64
	// MaxBodyBytes bounds the request body of a caller.
	MaxBodyBytes int64
	// MemoryMB is the memory that the instance may use, in MiB. The budget for request bodies
	// follows from it.
	MemoryMB int
	// MaxConnections bounds the open connections of callers.
	MaxConnections int
	// EntryTTL is the time for which callers may cache an entry address.
	EntryTTL time.Duration
	// ShutdownTimeout bounds the wait for requests in flight at shutdown.
	ShutdownTimeout time.Duration
}

// Bounds and defaults of the settings.
const (
	defaultLoadBound       = 1.25
	minLoadBound           = 1.05
	maxLoadBound           = 10
	defaultMaxBodyBytes    = 8 << 20
	maxMaxBodyBytes        = 64 << 20
	defaultMemoryMB        = 384
	minMemoryMB            = 64
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
	fs.StringSliceVar(&s.Seeds, "seeds", nil, "peer addresses of some instances, from which this one discovers the others")
	fs.StringSliceVar(&s.Founders, "founders", nil, "peer addresses of the initial control replicas, the same at every instance (required)")
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
	fs.Int64Var(&s.MaxBodyBytes, "max-body-bytes", defaultMaxBodyBytes, "maximum size of a caller's request body in bytes")
	fs.IntVar(&s.MemoryMB, "memory-mb", defaultMemoryMB, "memory that the instance may use in MiB; a third of it is for request bodies")
	fs.IntVar(&s.MaxConnections, "max-connections", defaultMaxConnections, "maximum number of open caller connections")
	fs.DurationVar(&s.EntryTTL, "entry-keep", defaultEntryTTL, "how long callers may cache an entry address")
	fs.DurationVar(&s.ShutdownTimeout, "shutdown-timeout", defaultShutdownTimeout, "time limit for requests in flight at shutdown")
}

// Check checks all settings and creates the data folder if it is missing. The returned
// error joins one error for each invalid setting, which names the flag and the
// environment variable.
func (s *Serve) Check() error {
	var errs []error
	errs = append(errs, s.checkNames()...)
	errs = append(errs, s.checkAddresses()...)
	errs = append(errs, s.checkTokens()...)
	errs = append(errs, s.checkLimits()...)
	errs = append(errs, s.checkDataDir())
	return errors.Join(errs...)
}

// flagValue holds the name and the value of a flag.
type flagValue struct {
	flag  string
	value string
}

// namePattern matches valid names of instances and data centres. It is compiled at its
// first use, since few processes need it.
var namePattern = sync.OnceValue(func() *regexp.Regexp {
	return regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
})

func (s *Serve) checkNames() []error {
	var errs []error
	for _, f := range []flagValue{{"id", s.ID}, {"data-centre", s.DataCentre}} {
		if !namePattern().MatchString(f.value) {
			errs = append(errs, FlagError(f.flag, "%q is not a name: letters, digits, dot, dash and underscore, 1 to 63 of them", f.value))
		}
	}
	levels := []string{"debug", "info", "warn", "error"}
	if !slices.Contains(levels, s.LogLevel) {
		errs = append(errs, FlagError("log-level", "%q is not one of %v", s.LogLevel, levels))
	}
	return errs
}

func (s *Serve) checkAddresses() []error {
	var errs []error
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
		errs = append(errs, checkAddress(f.flag, f.value))
	}
	if n := len(s.Founders); n != 1 && n != 3 && n != 5 {
		errs = append(errs, FlagError("founders", "%d addresses given, 1, 3 or 5 are needed", n))
	}
	return errs
}

// checkAddress checks that addr is a specific IP address with a specific port.
func checkAddress(flag, addr string) error {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return FlagError(flag, "%q is not IP:port", addr)
	}
	if parsed.Addr().IsUnspecified() || parsed.Port() == 0 {
		return FlagError(flag, "%q: peers connect to this address, so it needs a specific IP address and port", addr)
	}
	return nil
}

func (s *Serve) checkTokens() []error {
	var errs []error
	tokens := []flagValue{
		{"peer-token", s.PeerToken},
		{"target-token", s.TargetToken},
		{"admin-token", s.AdminToken},
	}
	for _, f := range tokens {
		if len(f.value) < minTokenLength {
			errs = append(errs, FlagError(f.flag, "a secret of at least %d characters is required", minTokenLength))
		}
	}
	return errs
}

func (s *Serve) checkLimits() []error {
	var errs []error
	check := func(ok bool, flag, format string, args ...any) {
		if !ok {
			errs = append(errs, FlagError(flag, format, args...))
		}
	}
	check(s.LoadBound >= minLoadBound && s.LoadBound <= maxLoadBound, "load-bound", "%v is outside %v to %v", s.LoadBound, minLoadBound, maxLoadBound)
	check(s.MaxBodyBytes > 0 && s.MaxBodyBytes <= maxMaxBodyBytes, "max-body-bytes", "%d is outside 1 to %d", s.MaxBodyBytes, maxMaxBodyBytes)
	check(s.MemoryMB >= minMemoryMB, "memory-mb", "%d is below %d", s.MemoryMB, minMemoryMB)
	check(s.MaxConnections > 0, "max-connections", "%d is not above 0", s.MaxConnections)
	check(s.EntryTTL >= time.Second && s.EntryTTL <= maxEntryTTL, "entry-keep", "%v is outside 1s to %v", s.EntryTTL, maxEntryTTL)
	check(s.ShutdownTimeout > 0, "shutdown-timeout", "%v is not above 0", s.ShutdownTimeout)
	return errs
}

// checkDataDir creates the data folder and checks that files can be created and
// removed in it.
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

// Logger returns a logger that writes JSON lines to standard error.
func (s *Serve) Logger() *log.Logger {
	return &log.Logger{
		Level:   log.ParseLevel(s.LogLevel),
		Writer:  &log.IOWriter{Writer: os.Stderr},
		Context: log.NewContext(nil).Str("instance", s.ID).Value(),
	}
}
