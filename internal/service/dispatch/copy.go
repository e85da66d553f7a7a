package dispatch

import (
	"context"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

const (
	// copyBatch and copyBatchBytes bound one call to a peer. A call must stay well under the 4 MiB that the peer
	// protocol accepts in one message.
	copyBatch      = 256
	copyBatchBytes = 1 << 20
)

// copyFirst copies the record of an at-most-once request to one other member of the lease group before the request is
// sent, so that a repeat is recognized after the loss of this instance. It reports whether the request may be sent.
//
// If no member accepts the copy, the request is refused as not run, unless Settings.SendWithoutCopy is set. Sending it
// anyway would keep a few more requests running, but an instance that is partitioned from its group still holds its lease
// for up to lease_ttl; a request sent in that time would be unknown to the next primary, and its repeat would run a second
// time. The refusal costs little: a lease needs a majority of the group, so a primary that reaches no member loses its
// lease within lease_ttl anyway. A group without another member needs no copy, since it has no next primary.
func (s *Service) copyFirst(ctx context.Context, q *backendQueue, peers []ownership.Member, r outcome.Record) bool {
	if len(peers) == 0 {
		return true
	}
	if s.copyToAny(ctx, q, peers, r.Version.Term, []outcome.Record{r}) {
		return true
	}
	s.meters.copiesFailed.Inc(1)
	telemetry.EventCopyFailed.Log(s.log, zap.String("backend", string(q.id)))
	return s.settings.SendWithoutCopy
}

// copyToAny tries the members, starting with the one that accepted the last copy, until one accepts the records or
// Settings.CopyTimeout has passed. Each attempt gets half of the remaining time, so that one unresponsive member does not
// use up all of it.
func (s *Service) copyToAny(ctx context.Context, q *backendQueue, peers []ownership.Member, term entity.Term,
	records []outcome.Record) bool {
	timeout := s.settings.CopyTimeout
	first := int(q.peer.Load())
	for i := range peers {
		timeout /= 2
		index := (first + i) % len(peers)
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		err := s.copier.CopyOutcomes(callCtx, peers[index].Address, q.id, term, records)
		cancel()
		if err == nil {
			q.peer.Store(int32(index))
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// post queues records for the background copy. If the record of a request's end is lost, a repeat is only answered as
// unknown. The caller holds the lock.
func (q *backendQueue) post(records ...outcome.Record) {
	if len(q.outbox)+len(records) > 2*q.svc.settings.MemoryEntries {
		q.svc.meters.copiesFailed.Inc(int64(len(records)))
		return
	}
	q.outbox = append(q.outbox, records...)
	if q.copying {
		return
	}
	q.copying = true
	q.svc.startWorker(q.copyOutbox)
}

// copyOutbox sends the queued records in batches until none are left.
func (q *backendQueue) copyOutbox(ctx context.Context) {
	for {
		batch, term := q.nextBatch()
		if len(batch) == 0 {
			return
		}
		peers := q.svc.plan.Load().peers
		if len(peers) == 0 {
			continue
		}
		if !q.svc.copyToAny(ctx, q, peers, term, batch) {
			q.svc.meters.copiesFailed.Inc(int64(len(batch)))
		}
	}
}

// nextBatch removes the next records from the outbox and returns them with the term to send them with.
func (q *backendQueue) nextBatch() ([]outcome.Record, entity.Term) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := batchLength(q.outbox)
	batch := q.outbox[:n:n]
	q.outbox = q.outbox[n:]
	if n == 0 {
		q.outbox = nil
		q.copying = false
	}
	return batch, q.term
}

// batchLength returns the number of records that fit into one call.
func batchLength(records []outcome.Record) int {
	n, size := 0, 0
	for n < len(records) && n < copyBatch && size < copyBatchBytes {
		if a := records[n].Answer; a != nil {
			size += len(a.Body)
		}
		n++
	}
	return n
}
