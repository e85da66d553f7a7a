package admission

import (
	"time"

	"github.com/go-faster/errors"
)

// Settings of the service. A zero value means the default.
type Settings struct {
	// MaxWait is the longest time for which a request waits for a token of a token server that serves, if its deadline is
	// not earlier. Default 1s.
	MaxWait time.Duration
	// MaxOutage is the duration of an outage of the token server up to which requests wait for its end. The replacement
	// of a token server takes about 0.7 s, and twice that if the new one is lost too. Default 3s.
	MaxOutage time.Duration
	// CallTimeout bounds a call to the token server. Default 100ms.
	CallTimeout time.Duration
	// MaxQueue is the largest number of requests of one customer that wait for tokens. Default 4096.
	MaxQueue int
}

// ErrSettings means that a setting is out of range.
var ErrSettings = errors.New("invalid setting of the admission service")

func (s Settings) withDefaults() Settings {
	if s.MaxWait == 0 {
		s.MaxWait = time.Second
	}
	if s.MaxOutage == 0 {
		s.MaxOutage = 3 * time.Second
	}
	if s.CallTimeout == 0 {
		s.CallTimeout = 100 * time.Millisecond
	}
	if s.MaxQueue == 0 {
		s.MaxQueue = 4096
	}
	return s
}

func (s Settings) validate() error {
	if s.MaxWait < 0 || s.MaxOutage < 0 || s.CallTimeout < 0 || s.MaxQueue < 0 {
		return errors.Wrapf(ErrSettings, "negative value in %+v", s)
	}
	return nil
}
