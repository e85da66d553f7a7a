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

// pendingDrain is a drain that waits until the requests of some partitions have ended.
type pendingDrain struct {
	partitions []service.PartitionEpoch
	// hot holds the key hashes of those partitions that are virtual.
	hot map[outcome.PartitionKey]entity.KeyHash
	// base holds the hashes of these keys by their base partition.
	base map[outcome.PartitionKey][]entity.KeyHash
}

// drain stops sending for the partitions and reports when nothing is in flight for them.
func (s *Service) drain(m service.DrainPartitions) {
	q := s.backendQueue(m.Backend)
	if q == nil {
		// This process was not the primary, so it has sent no requests to the backend.
		s.reportDrained(service.PartitionsDrained{Backend: m.Backend, Partitions: m.Partitions})
		return
	}
	d := s.newDrain(m.Partitions)
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range m.Partitions {
		key := outcome.PartitionKey{Service: p.Service, Partition: p.Partition}
		q.drained[key] = max(q.drained[key], p.Epoch)
	}
	q.refuseIf(q.drainedAt, entity.NotRun(entity.ReasonFenced, "the partition is being released"))
	q.drains = append(q.drains, d)
	now := s.kernel.Now()
	q.checkDrains(now)
	q.startQueued(now)
}

// newDrain resolves the keys of virtual partitions, because requests for them may have been sent under their base partition.
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

// concerns reports whether a request that was sent for a partition must end before the drain is complete.
func (d *pendingDrain) concerns(key outcome.PartitionKey, epoch entity.Epoch, hash entity.KeyHash) bool {
	if slices.Contains(d.base[key], hash) {
		return true
	}
	return slices.ContainsFunc(d.partitions, func(p service.PartitionEpoch) bool {
		return p.Service == key.Service && p.Partition == key.Partition && epoch <= p.Epoch
	})
}

// drainedAt reports whether nothing may be sent for the flight's partition at its epoch. The caller holds the lock.
func (q *backendQueue) drainedAt(f *flight) bool {
	epoch, ok := q.drained[f.partition]
	return ok && f.req.Epoch <= epoch
}

// checkDrains reports and removes the drains for which no request runs any more. The caller holds the lock.
func (q *backendQueue) checkDrains(now time.Duration) {
	if len(q.drains) == 0 {
		return
	}
	q.drains = slices.DeleteFunc(q.drains, func(d *pendingDrain) bool {
		for f := range q.running {
			if d.concerns(f.partition, f.req.Epoch, f.hash) {
				return false
			}
		}
		q.svc.reportDrained(service.PartitionsDrained{
			Backend:    q.id,
			Partitions: d.partitions,
			Until:      q.orphansUntil(d, now),
		})
		return true
	})
}

// orphansUntil returns the latest deadline of the orphans that the drain concerns, zero if there are none. The caller holds
// the lock.
func (q *backendQueue) orphansUntil(d *pendingDrain, now time.Duration) time.Duration {
	until := time.Duration(0)
	for _, e := range q.orphans {
		if now < e.until && d.concerns(e.partition, e.epoch, e.hash) {
			until = max(until, e.until)
		}
	}
	return until
}

// reportDrained sends the message to the session service. It must not be lost, so a goroutine waits for space in the
// mailbox.
func (s *Service) reportDrained(m service.PartitionsDrained) {
	s.startWorker(func(ctx context.Context) {
		// Deliver fails only when the kernel stops, and then no service waits for the message.
		if err := s.kernel.Deliver(ctx, service.Session, m); err != nil {
			return
		}
		telemetry.EventDrained.Log(s.log, zap.String("backend", string(m.Backend)), zap.Int("partitions", len(m.Partitions)))
	})
}
