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
	// Peers are the peer addresses (host:port) of other instances. They are asked for their state if the platform is
	// unavailable at start.
	Peers []string
	// CheckpointEvery is the number of records between checkpoints. It must be well below the platform's retention.
	// Default 5000.
	CheckpointEvery uint64
	// LeaseTTL is the duration of majority leases. Default 400ms.
	LeaseTTL time.Duration
	// SessionTTL is the duration of backend sessions. Default 400ms.
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

// Times that cannot be configured, because other times depend on them.
const (
	// tickInterval is the time between two checks for what is due without a message.
	tickInterval = 100 * time.Millisecond
	// readPause is the shortest time between two reads that return no records, for a platform that answers without
	// waiting.
	readPause = 20 * time.Millisecond
	// readWait is how long a read waits for records. Freshness of 300 ms allows two such reads.
	readWait = 100 * time.Millisecond
	// retryInterval is the time between attempts to reach a platform that failed.
	retryInterval = 100 * time.Millisecond
	// relayAfter is the age of the last read at the tail above which peers are asked for records. It is well below the
	// freshness of 300 ms.
	relayAfter = 150 * time.Millisecond
	// callTimeout bounds a call to a peer.
	callTimeout = 500 * time.Millisecond
	// listTimeout bounds a read of the platform's instance list.
	listTimeout = 2 * time.Second
	// stateFetchAfter is how long the log is tried at start before peers are asked for their state.
	stateFetchAfter = 500 * time.Millisecond
	// memberTimeout is the time without a heartbeat after which a member or zone counts as failed. It is longer than any
	// pause that leases bridge, so that a short pause does not change the roster.
	memberTimeout = 3 * time.Second
	// zoneRecoveryTime is how long a lost zone must receive heartbeats from most other zones before it counts as
	// recovered. It keeps a zone with an unstable network from changing its state every few seconds.
	zoneRecoveryTime = 5 * time.Second
	// coordinatorDelay is how long an instance waits for each one before it in the succession order.
	coordinatorDelay = time.Second
	// maxRank is the last rank that participates; it bounds the number of instances that check one service.
	maxRank = 8
	// emptyZoneGrace is how long a zone without members keeps its partitions. It covers a restart of all instances.
	emptyZoneGrace = 10 * time.Second
	// balanceInterval is the time between two checks of the balance of a service that has not changed.
	balanceInterval = time.Second
	// balancePerPartition is added to balanceInterval for each partition. A check of 160,000 partitions takes about 0.1 s,
	// which with this interval is about 1 % of a core.
	balancePerPartition = 50 * time.Microsecond
	// joinInterval is the time between two requests to join.
	joinInterval = 2 * time.Second
	// stopTimeout bounds the wait for the own Leave at a stop. A member that could not leave is removed like one that has
	// crashed.
	stopTimeout = 2 * time.Second
	// readLimit is the largest number of records that one read returns.
	readLimit = 512
)

// withDrift adds the largest drift between two monotonic clocks, 1 %.
func withDrift(d time.Duration) time.Duration { return d + d/100 }
