// Package placement proposes which backend owns which partition of a service. It balances partitions by slots and measured
// load, with as few moves as possible, in steps that the receivers can handle. It is deterministic. The control service of a
// log-based instance uses it.
//
// A partition moves for balance only if gain > cost, both in seconds of the partition's requests:
//
//	gain = (rho(donor) - rho(receiver with the partition)) * Horizon
//	cost = Unavailable
//
// rho is a backend's fraction of the load divided by its fraction of the capacity, so 1 is an even load. Horizon is the
// planning horizon: the time over which the lower load counts. Unavailable is the time during which a moving partition is not
// served.
package placement

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// BackendState determines whether a backend receives and keeps partitions.
type BackendState uint8

// Backend states.
const (
	// Active backends receive partitions.
	Active BackendState = iota
	// Leaving backends serve their partitions until these are moved to other backends in steps. They are drained or in a
	// disabled zone.
	Leaving
	// Lost backends do not serve. Their partitions are moved at once. Owners that are not in Input.Backends, such as backends
	// removed from the configuration, are treated alike.
	Lost
	// Frozen backends neither receive partitions nor lose any, since it is not known yet whether they serve.
	Frozen
)

// Backend is a backend of the service.
type Backend struct {
	ID    entity.BackendID
	Zone  entity.Zone
	Slots int
	State BackendState
	// Rate is the measured load in requests per second; negative if unknown.
	Rate float64
	// Factor in (0, 1] reduces the share of a straggler. Zero counts as one.
	Factor float64
}

// Input is the state of one service.
type Input struct {
	Backends []Backend
	// Owners is indexed by partition: first Count base partitions, then the virtual ones.
	Owners []ownership.Owner
	Count  uint32
	// VirtualRate is the measured load of virtual partitions in requests per second.
	VirtualRate map[entity.Partition]float64
}

// Settings configures the placement.
type Settings struct {
	// Horizon is the time over which a better balance counts. Default 10s.
	Horizon time.Duration
	// Unavailable is the expected time during which a moving partition is not served. Default 1s.
	Unavailable time.Duration
	// MaxMoves bounds the moves in progress, as a fraction of the partitions. Moves of partitions that no backend serves, as
	// after a loss, start at once even above the bound, and count against it once they are in progress. Default 1/8.
	MaxMoves float64
}

// DefaultSettings returns the defaults. Together they require a difference of 0.1 in rho for a move.
func DefaultSettings() Settings {
	return Settings{Horizon: 10 * time.Second, Unavailable: time.Second, MaxMoves: 1.0 / 8}
}

// Reason is why a move is proposed.
type Reason string

// Reasons of moves.
const (
	ReasonUnowned  Reason = "unowned"
	ReasonLost     Reason = "owner lost"
	ReasonLeaving  Reason = "owner leaving"
	ReasonRedirect Reason = "receiver not active"
	ReasonBalance  Reason = "balance"
)

// Move proposes a new owner for a partition.
type Move struct {
	Partition entity.Partition
	To        entity.BackendID
	Reason    Reason
}

// Propose returns the moves to start now. It returns none if no backend can receive partitions.
func Propose(in Input, settings Settings) []Move {
	p := newPlan(in, settings)
	if len(p.receivers.items) == 0 {
		return nil
	}
	p.placeOrphans()
	p.placeLeaving()
	p.balance()
	return p.moves
}
