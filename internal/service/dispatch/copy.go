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

// copyFirst gives the record of an at-most-once request to one other member of the lease group before the request is
// sent, so that a repeat is recognized after the loss of this instance. It reports whether the request may be sent.
//
// If no member takes the copy, the request is refused as not run, unless Settings.SendWithoutCopy is set. Sending anyway
// would keep a few more requests running, but an instance that is cut off from its group still holds its lease for up to
// lease_ttl; a request sent in that time would be unknown to the next primary, and its repeat would run a second time.
// The refusal costs little: a lease needs a majority of the group, so a primary that reaches no member loses its lease
// within lease_ttl anyway. A group without another member needs no copy, since it has no next primary.
func (s *Service) copyFirst(ctx context.Context, l *backendQueue, peers []ownership.Member, r outcome.Record) bool {
	if len(peers) == 0 {
		return true
	}
	if s.copyToAny(ctx, l, peers, r.Version.Term, []outcome.Record{r}) {
		return true
	}
	s.meters.copiesFailed.Inc(1)
	telemetry.EventCopyFailed.Log(s.log, zap.String("backend", string(l.id)))
	return s.settings.SendWithoutCopy
}

// copyToAny tries the members, beginning with the one that took the last copy, until one takes the records or the time is
// up. Each attempt gets half of the time that is left, so that one silent member does not use up all of it.
func (s *Service) copyToAny(ctx context.Context, l *backendQueue, peers []ownership.Member, term entity.Term,
	records []outcome.Record) bool {
	timeout := s.settings.CopyTimeout
	first := int(l.peer.Load())
	for i := range peers {
		timeout /= 2
		index := (first + i) % len(peers)
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		err := s.copier.CopyOutcomes(callCtx, peers[index].Address, l.id, term, records)
		cancel()
		if err == nil {
			l.peer.Store(int32(index))
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// post queues a record for the background copy. A record of an end that gets lost only makes a repeat unknown. The caller
// holds the lock.
func (l *backendQueue) post(records ...outcome.Record) {
	if len(l.outbox)+len(records) > 2*l.svc.settings.MemoryEntries {
		l.svc.meters.copiesFailed.Inc(int64(len(records)))
		return
	}
	l.outbox = append(l.outbox, records...)
	if l.copying {
		return
	}
	l.copying = true
	l.svc.work(l.copyOutbox)
}

// copyOutbox sends the queued records in batches until there are none.
func (l *backendQueue) copyOutbox(ctx context.Context) {
	for {
		batch, term := l.nextBatch()
		if len(batch) == 0 {
			return
		}
		peers := l.svc.plan.Load().peers
		if len(peers) == 0 {
			continue
		}
		if !l.svc.copyToAny(ctx, l, peers, term, batch) {
			l.svc.meters.copiesFailed.Inc(int64(len(batch)))
		}
	}
}

// nextBatch takes the next records out of the outbox.
func (l *backendQueue) nextBatch() ([]outcome.Record, entity.Term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := batchLength(l.outbox)
	batch := l.outbox[:n:n]
	l.outbox = l.outbox[n:]
	if n == 0 {
		l.outbox = nil
		l.copying = false
	}
	return batch, l.term
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
