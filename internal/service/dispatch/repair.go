package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// repairDelay is the time between a change of the lease group and the complete copy that replaces lost copies. It is longer
// than the margin that a new primary subtracts from the time of a complete copy.
const repairDelay = 5 * time.Second

// planRepairs schedules a complete copy of every queue's memory to a member after the members of the group have changed:
// the records that a removed member held would otherwise be only here, and those of a new member are younger than the
// memory.
func planRepairs(queues map[entity.BackendID]*backendQueue, now time.Duration) {
	for _, q := range queues {
		q.mu.Lock()
		q.repairAt = now + repairDelay
		q.mu.Unlock()
	}
}

// sameMembers reports whether two groups have the same members in the same order.
func sameMembers(a, b []ownership.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].ID != b[i].ID {
			return false
		}
	}
	return true
}

// repairIfDue starts the complete copy if it is due.
func (q *backendQueue) repairIfDue(now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.repairAt == 0 || now < q.repairAt {
		return
	}
	q.repairAt = 0
	q.svc.startWorker(q.repair)
}

// repair sends all records to one member, and then the horizons, which confirm that the member has all records.
func (q *backendQueue) repair(ctx context.Context) {
	exportedAt := q.svc.kernel.Now()
	q.mu.Lock()
	records := q.memory.Export(nil, exportedAt)
	term := q.term
	q.mu.Unlock()
	peers := q.svc.plan.Load().peers
	first := int(q.peer.Load())
	for i := range peers {
		peer := peers[(first+i)%len(peers)]
		if err := q.transfer(ctx, peer, term, records, exportedAt); err == nil {
			telemetry.EventRepaired.Log(q.svc.log, zap.String("backend", string(q.id)),
				zap.String("peer", string(peer.ID)), zap.Int("records", len(records)))
			return
		}
	}
	if len(peers) == 0 {
		return
	}
	q.mu.Lock()
	q.repairAt = q.svc.kernel.Now() + repairDelay
	q.mu.Unlock()
}

// transfer sends a complete copy to one member.
func (q *backendQueue) transfer(ctx context.Context, peer ownership.Member, term entity.Term, records []outcome.Record,
	exportedAt time.Duration) error {
	var entries, horizons []outcome.Record
	for _, r := range records {
		if r.State == outcome.StateHorizon {
			horizons = append(horizons, r)
		} else {
			entries = append(entries, r)
		}
	}
	for len(entries) > 0 {
		n := batchLength(entries)
		if err := q.copyRecords(ctx, peer, term, entries[:n]); err != nil {
			return err
		}
		entries = entries[n:]
	}
	now := q.svc.kernel.Now()
	for i := range horizons {
		horizons[i].Age += now - exportedAt
		// At least a microsecond, the unit of the protocol, since zero means that the copy is not complete.
		horizons[i].Confirmed = max(now-exportedAt, time.Microsecond)
	}
	for len(horizons) > 0 {
		n := batchLength(horizons)
		if err := q.copyRecords(ctx, peer, term, horizons[:n]); err != nil {
			return err
		}
		horizons = horizons[n:]
	}
	return nil
}

func (q *backendQueue) copyRecords(ctx context.Context, peer ownership.Member, term entity.Term, records []outcome.Record) error {
	ctx, cancel := context.WithTimeout(ctx, q.svc.settings.CollectTimeout)
	defer cancel()
	return q.svc.copier.CopyOutcomes(ctx, peer.Address, q.id, term, records)
}
