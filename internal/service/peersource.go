package service

import (
	"context"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/platformapi"
)

// StateSource fetches the replayed control state of another instance, for a start while the platform is down. The service
// Peers implements it.
type StateSource interface {
	// FetchState returns the encoded state and the offset of the next record to apply to it. It fails if the peer cannot be
	// reached or has no state.
	FetchState(ctx context.Context, address string) ([]byte, entity.Offset, error)
}

// RecordSource relays records of the log from another instance while the platform cannot be reached. The service Peers
// implements it.
type RecordSource interface {
	// Records returns the records that a peer keeps in memory from the offset on. It fails if the peer cannot be reached or
	// does not keep that offset.
	Records(ctx context.Context, address string, stream platformapi.Stream, from entity.Offset, limit int) (RelayedBatch, error)
}

// RelayedBatch is a batch that a peer relays.
type RelayedBatch struct {
	platformapi.Batch
	// Age is the time that had passed, when the peer answered, since it sent the last read that reached the tail of the log,
	// itself relayed or not. Negative if there was none.
	Age time.Duration
}

// StateQuery is sent by the peer server to control to serve FetchState. Reply must have room for one answer.
type StateQuery struct{ Reply chan<- StateAnswer }

// StateAnswer is the answer to StateQuery.
type StateAnswer struct {
	// Available is false if the instance has no state yet.
	Available bool
	State     []byte
	Offset    entity.Offset
}

// RecordsQuery is sent by the peer server to control, or to config for its stream, to serve Records. Reply must have room
// for one answer.
type RecordsQuery struct {
	From  entity.Offset
	Limit int
	Reply chan<- RecordsAnswer
}

// RecordsAnswer is the answer to RecordsQuery.
type RecordsAnswer struct {
	// Available is false if the offset is not kept in memory.
	Available bool
	RelayedBatch
}

// ZoneVote is sent by control to lease before it votes that a zone is lost, and after its vote was withdrawn or came to
// nothing. While the vote stands, this instance must refuse the zone's authority.
type ZoneVote struct {
	Zone   entity.Zone
	Active bool
}

// OwnershipSource gives traffic goroutines the replayed ownership state; nil before the first.
type OwnershipSource interface {
	Ownership() *ownership.View
}
