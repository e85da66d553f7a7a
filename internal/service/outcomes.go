package service

import (
	"context"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// OutcomeCopier exchanges records of the idempotency memory with peers. Dispatch looks it up under Peers.
type OutcomeCopier interface {
	// CopyOutcomes sends records to the instance at the address. A nil error means that it has stored all of them.
	CopyOutcomes(ctx context.Context, address string, backend entity.BackendID, term entity.Term, entries []outcome.Record) error
	// CollectOutcomes returns the records of the partitions at the instance at the address, and for how long that instance has
	// kept every record that it received.
	CollectOutcomes(ctx context.Context, address string, name entity.ServiceName, partitions []entity.Partition) (
		entries []outcome.Record, memoryAge time.Duration, err error)
}

// OutcomeStore is the receiving side of OutcomeCopier. The peer server looks it up under Dispatch. Its methods may be
// called from any goroutine.
type OutcomeStore interface {
	// StoreOutcomes stores records on behalf of another primary. It returns false if there is no space.
	StoreOutcomes(backend entity.BackendID, term entity.Term, entries []outcome.Record) bool
	// KnownOutcomes returns all records of the partitions and the length of the period, up to now, in which none was lost.
	KnownOutcomes(name entity.ServiceName, partitions []entity.Partition) (entries []outcome.Record, memoryAge time.Duration)
}
