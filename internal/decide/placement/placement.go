// Package placement proposes which back end owns which partition of a service: balance by slots and measured load, with as
// few moves as possible, in steps that the receivers can bear. It is deterministic.
//
// A partition moves for balance only if gain > cost, both in seconds of the partition's requests:
//
//	gain = (rho(donor) - rho(receiver with the partition)) * Horizon
//	cost = Unavailable
//
// rho is a back end's part of the load divided by its part of the capacity, so 1 is the fair load. Horizon is the time over
// which the lower load counts, and Unavailable is the time during which a moving partition is not served.
package placement

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// BackendState says what a back end may be given.
type BackendState uint8

// Back end states.
const (
	// Active back ends take partitions.
	Active BackendState = iota
	// Leaving back ends serve but give their partitions away in steps: drained, in a zone taken out, or removed.
	Leaving
	// Lost back ends do not serve. Their partitions are given away at once.
	Lost
	// Frozen back ends neither take nor give partitions: it is not known yet whether they serve.
	Frozen
)

// Backend is a back end of the service.
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

// Input is the situation of one service.
type Input struct {
	Backends []Backend
	// Owners is indexed by partition: first Count base partitions, then virtual ones.
	Owners []ownership.Owner
	Count  uint32
	// VirtualRate is the measured load of virtual partitions in requests per second.
	VirtualRate map[entity.Partition]float64
}

// Settings of the placement.
type Settings struct {
	// Horizon is the time over which better balance counts. Default 10s.
	Horizon time.Duration
	// Unavailable is the expected time during which a moving partition is not served. Default 1s.
	Unavailable time.Duration
	// MaxMoves bounds the moves under way that are not due to a loss, as a fraction of the partitions. Default 1/8.
	MaxMoves float64
}

// DefaultSettings returns the defaults. Together they ask for a difference of 0.1 in rho for a move.
func DefaultSettings() Settings {
	return Settings{Horizon: 10 * time.Second, Unavailable: time.Second, MaxMoves: 1.0 / 8}
}

// Reason says why a move is proposed.
type Reason string

// Reasons of moves.
const (
	ReasonUnowned  Reason = "unowned"
	ReasonLost     Reason = "owner lost"
	ReasonLeaving  Reason = "owner leaving"
	ReasonRedirect Reason = "receiver gone"
	ReasonBalance  Reason = "balance"
)

// Move is a proposed move.
type Move struct {
	Partition entity.Partition
	To        entity.BackendID
	Reason    Reason
}

// Propose returns the moves to start now. It returns none if no back end takes partitions.
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
