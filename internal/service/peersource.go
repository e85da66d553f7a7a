package service

import (
	"context"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/platformapi"
)

// StateSource fetches the replayed control state from a peer, for an instance that starts while the platform is unavailable.
// The service Peers implements it.
type StateSource interface {
	// FetchState returns the encoded state and the offset of the next record to apply to it. It fails if the peer cannot be
	// reached or has no state.
	FetchState(ctx context.Context, address string) ([]byte, entity.Offset, error)
}

// RecordSource reads records of the log through a peer while the platform cannot be reached. The service Peers implements it.
type RecordSource interface {
	// Records returns the records that a peer keeps in memory, starting at the offset. It fails if the peer cannot be reached
	// or no longer keeps that offset.
	Records(ctx context.Context, address string, stream platformapi.Stream, from entity.Offset, limit int) (RelayedBatch, error)
}

// RelayedBatch is a batch that a peer relays.
type RelayedBatch struct {
	platformapi.Batch
	// Age is the time from the sending of the peer's last read that reached the tail of the log, direct or relayed, to the
	// peer's answer. It is negative if there was no such read.
	Age time.Duration
}

// ReadAt returns a time on the caller's clock that is not later than the peer's read at the tail. That read was sent Age before
// the peer's answer, and the answer is not earlier than the start of the call.
func (b RelayedBatch) ReadAt(started time.Duration) time.Duration { return started - LongestAge(b.Age) }

// agePercent is added to relayed ages: the clock of the relaying instance may be 1% slow and the own one 1% fast. One more percent
// covers the rounding on the wire.
const agePercent = 3

// LongestAge returns the longest time on the own clock that an age measured by a peer can stand for.
func LongestAge(age time.Duration) time.Duration { return age + age*agePercent/100 }

// StateQuery is sent by the peer server to control to serve FetchState, and to config to serve FetchConfigState. Reply must
// have a free buffer slot.
type StateQuery struct{ Reply chan<- StateAnswer }

// StateAnswer is the answer to StateQuery.
type StateAnswer struct {
	// Available is false if the instance has no state yet.
	Available bool
	State     []byte
	Offset    entity.Offset
}

// RecordsQuery is sent by the peer server to control, or to config for its stream, to serve Records. Reply must have a free
// buffer slot.
type RecordsQuery struct {
	From  entity.Offset
	Limit int
	Reply chan<- RecordsAnswer
}

// RecordsAnswer is the answer to RecordsQuery.
type RecordsAnswer struct {
	// Available is false if the instance does not have the offset in memory.
	Available bool
	RelayedBatch
}

// ZoneVote is sent by control to lease before control votes that a zone is lost, and after that vote was withdrawn or had no
// effect. While the vote is active, this instance must refuse claims for the zone's authority.
type ZoneVote struct {
	Zone   entity.Zone
	Active bool
}

// OwnershipSource provides the replayed ownership state to traffic goroutines. It is nil until the first state is available.
type OwnershipSource interface {
	Ownership() *ownership.View
}
