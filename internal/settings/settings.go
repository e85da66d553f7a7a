// Package settings reads the settings of one log-based instance from YAML and validates them. The command line uses it to
// start an instance.
package settings

import (
	"cmp"
	"os"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap/zapcore"

	"github.com/pollenpier/pollenpier/internal/strictyaml"
)

// Settings are the settings of one instance.
type Settings struct {
	// Zone is the availability zone in which the instance runs. It has no default.
	Zone   string `yaml:"zone"`
	Listen Listen `yaml:"listen"`
	// Advertise is the address, host:port, at which peers reach the peer listener. The default is listen.peer, which must
	// then contain a host.
	Advertise string   `yaml:"advertise,omitempty"`
	Platform  Platform `yaml:"platform"`
	// Peers are the peer addresses, host:port, of other instances. They are asked for the state if the platform is
	// unavailable when the instance starts. Default none.
	Peers []string `yaml:"peers,omitempty"`
	// KeyStaleness is the age of the configuration from which on requests to routes with open access are refused, because
	// a key may have been withdrawn since. Between 1s and 1m; it cannot be disabled. Default 30s.
	KeyStaleness time.Duration `yaml:"key_staleness,omitempty"`
	// LogLevel is the minimum level of logged events: debug, info, warn or error. Default info.
	LogLevel string `yaml:"log_level,omitempty"`
	// RegisterInstance makes the instance register itself in the platform's list, for platforms that do not list
	// instances on their own. Default false.
	RegisterInstance bool `yaml:"register_instance,omitempty"`
	// Trace makes the instance write trace spans to the log. Default false.
	Trace bool `yaml:"trace,omitempty"`
	// DrainTimeout is how long a planned stop waits for running requests to finish, after the instance has reported that
	// it is not ready. Between 1s and 1h. Default 30s.
	DrainTimeout time.Duration `yaml:"drain_timeout,omitempty"`
}

// Listen contains the addresses on which the instance listens, host:port. An empty host means all interfaces. The
// addresses have no defaults.
type Listen struct {
	// Callers is the listener for requests with a customer's key.
	Callers string `yaml:"callers"`
	// Internal is the listener for requests on internal routes without a key. It must not be reachable from outside.
	Internal string `yaml:"internal"`
	// Peer is the listener for the protocol between instances. It must not be reachable from outside.
	Peer string `yaml:"peer"`
	// Admin is the listener for status, health, readiness and metrics. It must not be reachable from outside.
	Admin string `yaml:"admin"`
}

// Platform contains the settings of the platform's client.
type Platform struct {
	// Addresses are the platform's addresses, host:port. At least one is required; there is no default.
	Addresses []string `yaml:"addresses"`
	// AppendTimeout is the maximum time of an append to the log. Between 10ms and 1m. Default 2s.
	AppendTimeout time.Duration `yaml:"append_timeout,omitempty"`
	// ReadTimeout is the maximum time of a request for the instance list, and of a read of the log in addition to its
	// wait. Between 10ms and 1m. Default 2s.
	ReadTimeout time.Duration `yaml:"read_timeout,omitempty"`
	// DialTimeout is the maximum time to connect. Between 10ms and 1m. Default 500ms.
	DialTimeout time.Duration `yaml:"dial_timeout,omitempty"`
}

// Defaults of the settings.
const (
	DefaultKeyStaleness  = 30 * time.Second
	DefaultLogLevel      = "info"
	DefaultDrainTimeout  = 30 * time.Second
	DefaultAppendTimeout = 2 * time.Second
	DefaultReadTimeout   = 2 * time.Second
	DefaultDialTimeout   = 500 * time.Millisecond
)

// Load reads, completes and validates the settings in a file. Its errors contain the path of the file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path) // #nosec G304 -- the operator who starts the instance provides the path
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, err := Decode(data)
	if err != nil {
		return nil, errors.Wrapf(err, "settings in %s", path)
	}
	return s, nil
}

// Decode reads settings from YAML, completes them with the defaults and validates them. The error joins all problems,
// each a strictyaml.Problem with its line and path.
func Decode(data []byte) (*Settings, error) {
	var s Settings
	doc, err := strictyaml.Decode(data, &s)
	if err != nil {
		return nil, err
	}
	s.setDefaults()
	v := validator{doc: doc}
	v.checkSettings(&s)
	if len(v.problems) > 0 {
		return nil, errors.Join(v.problems...)
	}
	return &s, nil
}

// Level returns LogLevel as a level of the logger, or the info level if LogLevel is invalid.
func (s *Settings) Level() zapcore.Level {
	level, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return zapcore.InfoLevel
	}
	return level
}

func (s *Settings) setDefaults() {
	s.Advertise = cmp.Or(s.Advertise, s.Listen.Peer)
	s.KeyStaleness = cmp.Or(s.KeyStaleness, DefaultKeyStaleness)
	s.LogLevel = cmp.Or(s.LogLevel, DefaultLogLevel)
	s.DrainTimeout = cmp.Or(s.DrainTimeout, DefaultDrainTimeout)
	s.Platform.AppendTimeout = cmp.Or(s.Platform.AppendTimeout, DefaultAppendTimeout)
	s.Platform.ReadTimeout = cmp.Or(s.Platform.ReadTimeout, DefaultReadTimeout)
	s.Platform.DialTimeout = cmp.Or(s.Platform.DialTimeout, DefaultDialTimeout)
}
