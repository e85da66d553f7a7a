package dispatch

import (
	"cmp"
	"time"

	"github.com/go-faster/errors"
)

// Settings configures the service. Zero values mean the defaults.
type Settings struct {
	// QueueLimit bounds the requests that wait per backend. Default 1024.
	QueueLimit int
	// BufferLimit bounds the request bodies buffered per backend, in bytes. Default 64 MiB.
	BufferLimit int64
	// MaxBody bounds one request body, in bytes. Default 16 MiB.
	MaxBody int64
	// CopyTimeout is how long an at-most-once request waits until a peer has its copy. Default 50ms.
	CopyTimeout time.Duration
	// CollectTimeout is how long a new primary waits for the answers of its peers. Default 300ms.
	CollectTimeout time.Duration
	// MemoryEntries bounds the idempotency keys per backend and those stored for other primaries. Default 262144, which is
	// 437 at-most-once requests per second at the default window of 10 minutes.
	MemoryEntries int
	// MemoryAnswerBytes bounds the answers per backend and those stored for other primaries, in bytes. Default 32 MiB.
	MemoryAnswerBytes int
	// MemoryWindow is how long records are stored for other primaries. It must not be shorter than any service's
	// idempotency window. Default 10m.
	MemoryWindow time.Duration
	// SendWithoutCopy sends an at-most-once request although no peer accepted its copy. Default false: see copyFirst.
	SendWithoutCopy bool
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		QueueLimit:        1024,
		BufferLimit:       64 << 20,
		MaxBody:           16 << 20,
		CopyTimeout:       50 * time.Millisecond,
		CollectTimeout:    300 * time.Millisecond,
		MemoryEntries:     262_144,
		MemoryAnswerBytes: 32 << 20,
		MemoryWindow:      10 * time.Minute,
	}
}

// withDefaults returns the settings with zero values replaced by the defaults.
func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	s.QueueLimit = cmp.Or(s.QueueLimit, d.QueueLimit)
	s.BufferLimit = cmp.Or(s.BufferLimit, d.BufferLimit)
	s.MaxBody = cmp.Or(s.MaxBody, d.MaxBody)
	s.CopyTimeout = cmp.Or(s.CopyTimeout, d.CopyTimeout)
	s.CollectTimeout = cmp.Or(s.CollectTimeout, d.CollectTimeout)
	s.MemoryEntries = cmp.Or(s.MemoryEntries, d.MemoryEntries)
	s.MemoryAnswerBytes = cmp.Or(s.MemoryAnswerBytes, d.MemoryAnswerBytes)
	s.MemoryWindow = cmp.Or(s.MemoryWindow, d.MemoryWindow)
	return s
}

// ErrSettings is the error of a setting that is out of range.
var ErrSettings = errors.New("dispatch setting must not be negative")

func (s *Settings) validate() error {
	for _, c := range []struct {
		name  string
		value int64
	}{
		{"queue limit", int64(s.QueueLimit)},
		{"buffer limit", s.BufferLimit},
		{"max body", s.MaxBody},
		{"copy timeout", int64(s.CopyTimeout)},
		{"collect timeout", int64(s.CollectTimeout)},
		{"memory entries", int64(s.MemoryEntries)},
		{"memory answer bytes", int64(s.MemoryAnswerBytes)},
		{"memory window", int64(s.MemoryWindow)},
	} {
		if c.value <= 0 {
			return errors.Wrapf(ErrSettings, "%s is %d", c.name, c.value)
		}
	}
	return nil
}
