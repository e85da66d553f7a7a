// Package session is the kernel service "session" of the log-based instance. It manages the backends whose lease this
// instance holds: it renews their session leases, sends their grants, detects when they are lost, and proves that the old
// owner of a moving partition has stopped. It reports losses and proofs to the control service, and the dispatch service
// drains moving partitions for it. The control goroutine owns all its state.
package session

import (
	"time"

	"github.com/go-faster/errors"
)

// Settings configures the service. Zero values mean the defaults.
type Settings struct {
	// SessionTTL is the length of a session lease. Default 400ms.
	SessionTTL time.Duration
	// RenewInterval is the time between two renewals. Default 100ms.
	RenewInterval time.Duration
	// CallTimeout bounds a control call to a backend. It must be below SessionTTL. Default 100ms.
	CallTimeout time.Duration
	// DetectAfter is how long renewals must fail, counted from the first failure, until a backend is declared lost. Default
	// 200ms.
	DetectAfter time.Duration
	// ProbeMin and ProbeMax bound the backoff between probes of a lost backend. Defaults 100ms and 1s.
	ProbeMin time.Duration
	ProbeMax time.Duration
	// MaxLostTime is how long a lost backend stays lost if it answers again but its partitions do not move, as in an outage of
	// the platform. Default 2s.
	MaxLostTime time.Duration
}

// ErrSettings is the error of settings that are out of range or contradict each other.
var ErrSettings = errors.New("invalid session settings")

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		SessionTTL:    400 * time.Millisecond,
		RenewInterval: 100 * time.Millisecond,
		CallTimeout:   100 * time.Millisecond,
		DetectAfter:   200 * time.Millisecond,
		ProbeMin:      100 * time.Millisecond,
		ProbeMax:      time.Second,
		MaxLostTime:   2 * time.Second,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	for _, field := range []struct{ value, fallback *time.Duration }{
		{&s.SessionTTL, &d.SessionTTL},
		{&s.RenewInterval, &d.RenewInterval},
		{&s.CallTimeout, &d.CallTimeout},
		{&s.DetectAfter, &d.DetectAfter},
		{&s.ProbeMin, &d.ProbeMin},
		{&s.ProbeMax, &d.ProbeMax},
		{&s.MaxLostTime, &d.MaxLostTime},
	} {
		if *field.value == 0 {
			*field.value = *field.fallback
		}
	}
	return s
}

func (s Settings) validate() error {
	switch {
	case min(s.SessionTTL, s.RenewInterval, s.CallTimeout, s.DetectAfter, s.ProbeMin, s.MaxLostTime) < 0:
		return errors.Wrap(ErrSettings, "a duration is negative")
	case s.CallTimeout >= s.SessionTTL:
		return errors.Wrap(ErrSettings, "the call timeout is not below the session TTL")
	case 2*s.RenewInterval >= s.SessionTTL:
		return errors.Wrap(ErrSettings, "the session TTL must be longer than two renewal intervals to tolerate a failed renewal")
	case s.ProbeMax < s.ProbeMin:
		return errors.Wrap(ErrSettings, "the maximum probe backoff is below the minimum")
	}
	return nil
}

// driftDivisor is the reciprocal of the largest drift between two monotonic clocks, 1%.
const driftDivisor = 100

// withDrift returns the time that may pass on this clock while d passes on another one.
func withDrift(d time.Duration) time.Duration { return d + d/driftDivisor }
