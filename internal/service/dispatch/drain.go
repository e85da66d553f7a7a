package dispatch

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// pendingDrain waits for the requests of some partitions to end.
type pendingDrain struct {
	partitions []service.PartitionEpoch
	// hot holds the key hashes of those partitions that are virtual.
	hot map[outcome.PartitionKey]entity.KeyHash
	// base holds the base partitions of the hot keys.
	base map[outcome.PartitionKey][]entity.KeyHash
}

// drain stops sending for the partitions and reports when nothing is in flight for them.
func (s *Service) drain(m service.DrainPartitions) {
	l := s.backendQueue(m.Backend)
	if l == nil {
		// This process was not the primary, so it has sent nothing to the back end.
		s.reportDrained(service.PartitionsDrained{Backend: m.Backend, Partitions: m.Partitions})
		return
	}
	d := s.newDrain(m.Partitions)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range m.Partitions {
		key := outcome.PartitionKey{Service: p.Service, Partition: p.Partition}
		l.drained[key] = max(l.drained[key], p.Epoch)
	}
	l.refuseIf(l.drainedAt, entity.NotRun(entity.ReasonFenced, "the partition is being released"))
	l.drains = append(l.drains, d)
	now := s.kernel.Now()
	l.checkDrains(now)
	l.pump(now)
}

// newDrain finds the keys behind virtual partitions: requests for them may have been sent under their base partition.
func (s *Service) newDrain(partitions []service.PartitionEpoch) *pendingDrain {
	d := &pendingDrain{
		partitions: partitions,
		hot:        map[outcome.PartitionKey]entity.KeyHash{},
		base:       map[outcome.PartitionKey][]entity.KeyHash{},
	}
	for _, p := range partitions {
		view := s.state.view.Services[p.Service]
		if view == nil || uint32(p.Partition) < view.Count {
			continue
		}
		for hash, virtual := range view.Hot {
			if virtual != p.Partition {
				continue
			}
			base := outcome.PartitionKey{Service: p.Service, Partition: entity.PartitionOf(hash, view.Count)}
			d.hot[outcome.PartitionKey{Service: p.Service, Partition: virtual}] = hash
			d.base[base] = append(d.base[base], hash)
		}
	}
	return d
}

// concerns reports whether a request sent for a partition has to end before the drain is done.
func (d *pendingDrain) concerns(part outcome.PartitionKey, epoch entity.Epoch, hash entity.KeyHash) bool {
	if slices.Contains(d.base[part], hash) {
		return true
	}
	return slices.ContainsFunc(d.partitions, func(p service.PartitionEpoch) bool {
		return p.Service == part.Service && p.Partition == part.Partition && epoch <= p.Epoch
	})
}

// drainedAt reports whether nothing may be sent for the flight's partition at its epoch. The caller holds the lock.
func (l *backendQueue) drainedAt(f *flight) bool {
	epoch, ok := l.drained[f.part]
	return ok && f.req.Epoch <= epoch
}

// checkDrains reports the drains for which nothing runs any more. The caller holds the lock.
func (l *backendQueue) checkDrains(now time.Duration) {
	if len(l.drains) == 0 {
		return
	}
	l.drains = slices.DeleteFunc(l.drains, func(d *pendingDrain) bool {
		for f := range l.running {
			if d.concerns(f.part, f.req.Epoch, f.hash) {
				return false
			}
		}
		l.svc.reportDrained(service.PartitionsDrained{
			Backend:    l.id,
			Partitions: d.partitions,
			Until:      l.looseUntil(d, now),
		})
		return true
	})
}

// looseUntil returns the latest deadline of the requests without a known end that the drain concerns, zero if there are
// none. The caller holds the lock.
func (l *backendQueue) looseUntil(d *pendingDrain, now time.Duration) time.Duration {
	until := time.Duration(0)
	for _, e := range l.orphans {
		if now < e.until && d.concerns(e.part, e.epoch, e.hash) {
			until = max(until, e.until)
		}
	}
	return until
}

// reportDrained tells session. The message must not be lost, so a goroutine waits for space in the mailbox.
func (s *Service) reportDrained(m service.PartitionsDrained) {
	s.work(func(ctx context.Context) {
		// It fails only when the kernel stops, and then nobody waits for it.
		if err := s.kernel.Deliver(ctx, service.Session, m); err != nil {
			return
		}
		telemetry.EventDrained.Log(s.log, zap.String("backend", string(m.Backend)), zap.Int("partitions", len(m.Partitions)))
	})
}
