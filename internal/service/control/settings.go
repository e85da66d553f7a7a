package control

import (
	"time"

	"github.com/go-faster/errors"
)

// Defaults of Settings.
const (
	DefaultCheckpointEvery = 5000 // records; a log of several hundred appends a second then has one every few seconds
	DefaultLeaseTTL        = 400 * time.Millisecond
	DefaultSessionTTL      = 400 * time.Millisecond
)

// Settings of the control service.
type Settings struct {
	// Peers are the peer addresses (host:port) of other instances, asked for their state if the platform is down at start.
	Peers []string
	// CheckpointEvery is the number of records between checkpoints. It must be well below the platform's retention.
	// Default 5000.
	CheckpointEvery uint64
	// LeaseTTL is the duration of majority leases. Default 400ms.
	LeaseTTL time.Duration
	// SessionTTL is the duration of back end sessions. Default 400ms.
	SessionTTL time.Duration
}

// ErrSettings means that a setting is out of range.
var ErrSettings = errors.New("control settings")

func (s Settings) withDefaults() Settings {
	if s.CheckpointEvery == 0 {
		s.CheckpointEvery = DefaultCheckpointEvery
	}
	if s.LeaseTTL == 0 {
		s.LeaseTTL = DefaultLeaseTTL
	}
	if s.SessionTTL == 0 {
		s.SessionTTL = DefaultSessionTTL
	}
	return s
}

func (s Settings) validate() error {
	if s.LeaseTTL < 0 || s.SessionTTL < 0 {
		return errors.Wrapf(ErrSettings, "lease_ttl %v and session_ttl %v must be positive", s.LeaseTTL, s.SessionTTL)
	}
	return nil
}

// Times that are no settings, because other times depend on them.
const (
	// tickInterval is the time between two looks at what is due without a message.
	tickInterval = 100 * time.Millisecond
	// readPause is the shortest time between two reads that bring nothing, for a platform that does not wait.
	readPause = 20 * time.Millisecond
	// readWait is how long a read waits for records. Freshness of 300 ms allows two such reads.
	readWait = 100 * time.Millisecond
	// retryInterval is the time between tries to reach a platform that failed.
	retryInterval = 100 * time.Millisecond
	// relayAfter is the age of the last read at the tail from which peers are asked, well below the freshness of 300 ms.
	relayAfter = 150 * time.Millisecond
	// callTimeout bounds a call to a peer.
	callTimeout = 500 * time.Millisecond
	// listTimeout bounds a read of the platform's instance list.
	listTimeout = 2 * time.Second
	// stateFetchAfter is how long the log is tried at start before peers are asked for their state.
	stateFetchAfter = 500 * time.Millisecond
	// silence is how long a member or zone is not heard before it counts as dead. It is longer than any pause that leases
	// bridge, so that a short stop does not change the roster.
	silence = 3 * time.Second
	// zoneBackAfter is how long a lost zone hears most other zones before it counts as back. It keeps a zone with an
	// unsteady network from changing its state every few seconds.
	zoneBackAfter = 5 * time.Second
	// coordinatorDelay is how long a coordinator waits for each one that precedes it.
	coordinatorDelay = time.Second
	// maxRank bounds the number of instances that watch one service.
	maxRank = 8
	// emptyZoneGrace is how long a zone without members keeps its partitions. It covers a restart of all instances.
	emptyZoneGrace = 10 * time.Second
	// balanceInterval is the time between two looks at the balance of a service without a change.
	balanceInterval = time.Second
	// balancePerPartition is added to it for each partition. A look at 160,000 partitions takes about 0.1 s, which is about
	// 1 % of a core with this.
	balancePerPartition = 50 * time.Microsecond
	// joinInterval is the time between two requests to join.
	joinInterval = 2 * time.Second
	// stopTimeout bounds the wait for the own Leave at a stop. A member that could not leave is removed as a dead one.
	stopTimeout = 2 * time.Second
	// readLimit is the number of records asked for in one read.
	readLimit = 512
)

// withDrift adds the largest difference of two monotonic clocks, 1 %.
func withDrift(d time.Duration) time.Duration { return d + d/100 }
