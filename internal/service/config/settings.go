package config

import (
	"cmp"
	"time"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
)

// Settings of the service. A zero value means the default.
type Settings struct {
	// Peers are peer addresses, host:port, that are asked before a heartbeat of any peer has arrived.
	Peers []string
	// PollWait is how long a read of the stream waits for a new record. Default 100ms.
	PollWait time.Duration
	// ReadTimeout bounds a read or append at the platform, on top of the wait. Default 2s.
	ReadTimeout time.Duration
	// PeerTimeout bounds a call to a peer. Default 500ms.
	PeerTimeout time.Duration
	// RelayAfter is the time without a direct read after which peers are asked for records. Default 200ms.
	RelayAfter time.Duration
	// CheckpointRecords is the number of records after which a new checkpoint is written. Default 512.
	CheckpointRecords uint64
	// CheckpointInterval is the time after which a new checkpoint is written. It must be well below the time for which the
	// platform keeps records. Default 10m.
	CheckpointInterval time.Duration
	// CheckpointSpread is the time over which instances spread their attempts to write the same checkpoint. Default 5s.
	CheckpointSpread time.Duration
	// KeepRecords is the number of records kept in memory for peers. Default 1024.
	KeepRecords int
	// Subscribers are the services that receive ConfigChanged. Default control, lease, session, routing,
	// dispatch and admission.
	Subscribers []kernel.Name
}

// ErrSettings means that a setting is out of range.
var ErrSettings = errors.New("invalid setting of the configuration service")

func (s Settings) withDefaults() Settings {
	s.PollWait = cmp.Or(s.PollWait, 100*time.Millisecond)
	s.ReadTimeout = cmp.Or(s.ReadTimeout, 2*time.Second)
	s.PeerTimeout = cmp.Or(s.PeerTimeout, 500*time.Millisecond)
	s.RelayAfter = cmp.Or(s.RelayAfter, 200*time.Millisecond)
	s.CheckpointRecords = cmp.Or(s.CheckpointRecords, 512)
	s.CheckpointInterval = cmp.Or(s.CheckpointInterval, 10*time.Minute)
	s.CheckpointSpread = cmp.Or(s.CheckpointSpread, 5*time.Second)
	s.KeepRecords = cmp.Or(s.KeepRecords, 1024)
	if s.Subscribers == nil {
		s.Subscribers = []kernel.Name{
			service.Control, service.Lease, service.Session, service.Routing, service.Dispatch, service.Admission,
		}
	}
	return s
}

func (s Settings) validate() error {
	durations := []time.Duration{
		s.PollWait, s.ReadTimeout, s.PeerTimeout, s.RelayAfter, s.CheckpointInterval, s.CheckpointSpread,
	}
	for _, d := range durations {
		if d < 0 {
			return errors.Wrapf(ErrSettings, "negative duration %s", d)
		}
	}
	if s.KeepRecords < 0 {
		return errors.Wrapf(ErrSettings, "negative number of records %d", s.KeepRecords)
	}
	return nil
}
