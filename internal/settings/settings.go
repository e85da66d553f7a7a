// Package settings reads the settings of one instance from YAML and checks them.
package settings

import (
	"os"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap/zapcore"

	"github.com/pollenpier/pollenpier/internal/strictyaml"
)

// Settings are the settings of one instance.
type Settings struct {
	// Zone is the availability zone in which the instance runs. No default.
	Zone   string `yaml:"zone"`
	Listen Listen `yaml:"listen"`
	// Advertise is the address, host:port, at which other instances reach the peer listener. Default listen.peer, which
	// must then name a host.
	Advertise string   `yaml:"advertise,omitempty"`
	Platform  Platform `yaml:"platform"`
	// Peers are peer addresses, host:port, of other instances, which are asked for the state if the platform is down at
	// start. Default none.
	Peers []string `yaml:"peers,omitempty"`
	// KeyStaleness is the age of the configuration from which on routes open to all are refused, since a key may have been
	// withdrawn meanwhile. Between 1s and 1m; it cannot be switched off. Default 30s.
	KeyStaleness time.Duration `yaml:"key_staleness,omitempty"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error. Default info.
	LogLevel string `yaml:"log_level,omitempty"`
	// RegisterInstance says whether the instance enters itself into the platform's list, for platforms that do not do it.
	// Default false.
	RegisterInstance bool `yaml:"register_instance,omitempty"`
	// Trace says whether trace spans are written to the log. Default false.
	Trace bool `yaml:"trace,omitempty"`
	// DrainTimeout is how long a planned stop waits for running requests to end, after the instance has reported not ready.
	// Between 1s and 1h. Default 30s.
	DrainTimeout time.Duration `yaml:"drain_timeout,omitempty"`
}

// Listen holds the addresses on which the instance listens, host:port. An empty host means all interfaces. No defaults.
type Listen struct {
	// Callers is for requests with a customer's key.
	Callers string `yaml:"callers"`
	// Internal is for requests on internal routes without a key. It must not be reachable from outside.
	Internal string `yaml:"internal"`
	// Peer is for the protocol between instances. It must not be reachable from outside.
	Peer string `yaml:"peer"`
	// Admin is for status, health, readiness and metrics. It must not be reachable from outside.
	Admin string `yaml:"admin"`
}

// Platform says how to reach the platform.
type Platform struct {
	// Addresses are the platform's addresses, host:port. At least one; no default.
	Addresses []string `yaml:"addresses"`
	// AppendTimeout bounds an append to the log. Between 10ms and 1m. Default 2s.
	AppendTimeout time.Duration `yaml:"append_timeout,omitempty"`
	// ReadTimeout bounds a read of the log, on top of its wait, and of the instance list. Between 10ms and 1m. Default 2s.
	ReadTimeout time.Duration `yaml:"read_timeout,omitempty"`
	// DialTimeout bounds the time to connect. Between 10ms and 1m. Default 500ms.
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

// Load reads the settings from a file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path) // #nosec G304 -- the path is given by whoever starts the instance
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, err := Decode(data)
	if err != nil {
		return nil, errors.Wrapf(err, "settings in %s", path)
	}
	return s, nil
}

// Decode reads settings from YAML, completes them with the defaults and checks them. The error joins all problems as
// strictyaml.Problem with line and path.
func Decode(data []byte) (*Settings, error) {
	var s Settings
	doc, err := strictyaml.Decode(data, &s)
	if err != nil {
		return nil, err
	}
	s.setDefaults()
	c := check{doc: doc}
	c.settings(&s)
	if len(c.problems) > 0 {
		return nil, errors.Join(c.problems...)
	}
	return &s, nil
}

// Level returns LogLevel as a level of the logger.
func (s *Settings) Level() zapcore.Level {
	level, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return zapcore.InfoLevel
	}
	return level
}

func (s *Settings) setDefaults() {
	setDefault(&s.Advertise, s.Listen.Peer)
	setDefault(&s.KeyStaleness, DefaultKeyStaleness)
	setDefault(&s.LogLevel, DefaultLogLevel)
	setDefault(&s.DrainTimeout, DefaultDrainTimeout)
	setDefault(&s.Platform.AppendTimeout, DefaultAppendTimeout)
	setDefault(&s.Platform.ReadTimeout, DefaultReadTimeout)
	setDefault(&s.Platform.DialTimeout, DefaultDialTimeout)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
