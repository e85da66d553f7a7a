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

// repairDelay is the time between a change of the lease group and the complete copy that makes up for lost copies. It is
// longer than the margin that a new primary subtracts from the time of a complete copy.
const repairDelay = 5 * time.Second

// planRepairs has every queue give its memory to a member again after the members of the group have changed: the records
// that a former member held are otherwise only here, and those of a new member are younger than the memory.
func planRepairs(queues map[entity.BackendID]*backendQueue, now time.Duration) {
	for _, l := range queues {
		l.mu.Lock()
		l.repairAt = now + repairDelay
		l.mu.Unlock()
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

// repairIfDue starts the complete copy when its time has come.
func (l *backendQueue) repairIfDue(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.repairAt == 0 || now < l.repairAt {
		return
	}
	l.repairAt = 0
	l.svc.work(l.repair)
}

// repair gives all records to one member, and then the horizons, which confirm that it has them all.
func (l *backendQueue) repair(ctx context.Context) {
	made := l.svc.kernel.Now()
	l.mu.Lock()
	records := l.memory.Export(nil, made)
	term := l.term
	l.mu.Unlock()
	peers := l.svc.plan.Load().peers
	first := int(l.peer.Load())
	for i := range peers {
		peer := peers[(first+i)%len(peers)]
		if err := l.transfer(ctx, peer, term, records, made); err == nil {
			telemetry.EventRepaired.Log(l.svc.log, zap.String("backend", string(l.id)),
				zap.String("peer", string(peer.ID)), zap.Int("records", len(records)))
			return
		}
	}
	if len(peers) == 0 {
		return
	}
	l.mu.Lock()
	l.repairAt = l.svc.kernel.Now() + repairDelay
	l.mu.Unlock()
}

// transfer gives a complete copy to one member.
func (l *backendQueue) transfer(ctx context.Context, peer ownership.Member, term entity.Term, records []outcome.Record,
	made time.Duration) error {
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
		if err := l.give(ctx, peer, term, entries[:n]); err != nil {
			return err
		}
		entries = entries[n:]
	}
	now := l.svc.kernel.Now()
	for i := range horizons {
		horizons[i].Age += now - made
		// At least a microsecond, the unit of the protocol, since zero says that the copy is not complete.
		horizons[i].Confirmed = max(now-made, time.Microsecond)
	}
	for len(horizons) > 0 {
		n := batchLength(horizons)
		if err := l.give(ctx, peer, term, horizons[:n]); err != nil {
			return err
		}
		horizons = horizons[n:]
	}
	return nil
}

func (l *backendQueue) give(ctx context.Context, peer ownership.Member, term entity.Term, records []outcome.Record) error {
	ctx, cancel := context.WithTimeout(ctx, l.svc.settings.CollectTimeout)
	defer cancel()
	return l.svc.copier.CopyOutcomes(ctx, peer.Address, l.id, term, records)
}
