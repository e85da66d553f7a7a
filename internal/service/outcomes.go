package service

import (
	"context"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// OutcomeCopier exchanges records of the idempotency memory with other instances. Dispatch looks it up under Peers.
type OutcomeCopier interface {
	// CopyOutcomes gives records to the instance at the address. A nil error means that it keeps all of them.
	CopyOutcomes(ctx context.Context, address string, backend entity.BackendID, term entity.Term, entries []outcome.Record) error
	// CollectOutcomes returns what the instance at the address knows of the partitions, and for how long it has kept
	// everything that it was given.
	CollectOutcomes(ctx context.Context, address string, name entity.ServiceName, partitions []entity.Partition) (
		entries []outcome.Record, memoryAge time.Duration, err error)
}

// OutcomeStore is the receiving side of OutcomeCopier. The peer server looks it up under Dispatch. Its methods may be
// called from any goroutine.
type OutcomeStore interface {
	// StoreOutcomes keeps records for another primary. It reports false if there is no room.
	StoreOutcomes(backend entity.BackendID, term entity.Term, entries []outcome.Record) bool
	// KnownOutcomes returns all records of the partitions and the age of the oldest moment since which none was lost.
	KnownOutcomes(name entity.ServiceName, partitions []entity.Partition) (entries []outcome.Record, memoryAge time.Duration)
}
