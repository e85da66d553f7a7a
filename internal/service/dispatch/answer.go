package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// answerBody forwards the body of an answer and finishes the request when the body ends. It returns io.EOF only if the
// body is complete.
type answerBody struct {
	ctx       context.Context
	flight    *flight
	inner     io.ReadCloser
	remaining int64 // bytes left of the declared length; negative if no length was declared
	stored    *outcome.Answer
	release   func()
	finished  bool
	err       error // returned by reads after the end
}

// Read returns io.ErrUnexpectedEOF if the answer is shorter or longer than its declared length, and the connection's error
// if the connection is lost.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.finished {
		return 0, b.err
	}
	n, err := b.inner.Read(p)
	if b.remaining >= 0 && int64(n) > b.remaining {
		b.finish(outcome.FailureTruncated)
		b.err = io.ErrUnexpectedEOF
		return 0, b.err
	}
	b.consume(p[:n])
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && b.remaining <= 0:
		b.finish(0)
		return n, io.EOF
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	b.finish(b.failure())
	b.err = err
	return n, err
}

// failure distinguishes an answer that the backend truncated from one whose context ended on this side.
func (b *answerBody) failure() outcome.Failure {
	if cause := context.Cause(b.ctx); cause != nil {
		return contextFailure(cause)
	}
	return outcome.FailureTruncated
}

// consume counts the bytes and stores them for repeats, up to outcome.MaxStoredAnswer.
func (b *answerBody) consume(data []byte) {
	if b.remaining >= 0 {
		b.remaining -= int64(len(data))
	}
	if b.stored == nil {
		return
	}
	if len(b.stored.Body)+len(data) > outcome.MaxStoredAnswer {
		b.stored = nil
		return
	}
	b.stored.Body = append(b.stored.Body, data...)
}

// Close closes the answer of the backend. An answer that is not complete by then counts as canceled by the caller.
func (b *answerBody) Close() error {
	if !b.finished {
		if b.remaining == 0 {
			b.finish(0)
		} else {
			b.finish(outcome.FailureCanceled)
		}
	}
	if b.inner == nil {
		return nil
	}
	err := b.inner.Close()
	b.release()
	return err
}

// finish completes the flight. A failure of zero means that the answer is complete.
func (b *answerBody) finish(failure outcome.Failure) {
	b.finished = true
	b.err = io.EOF
	if failure != 0 {
		b.err = io.ErrUnexpectedEOF
	}
	b.flight.queue.complete(b.flight, failure, b.stored)
	if failure == 0 {
		b.release()
	}
}

// expire completes a flight whose answer is still being read at the deadline, so that a caller that reads slowly does not
// occupy a slot.
func (q *backendQueue) expire(f *flight, attempt int) {
	q.mu.Lock()
	current := f.state == flightStreaming && f.attempt == attempt
	q.mu.Unlock()
	if current {
		q.complete(f, outcome.FailureDeadline, nil)
	}
}

// complete finishes a flight whose answer has begun. Only the first call has an effect.
func (q *backendQueue) complete(f *flight, failure outcome.Failure, stored *outcome.Answer) {
	now := q.svc.kernel.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if f.state != flightStreaming {
		return
	}
	q.latency.Record(f.answeredAt - f.sentAt)
	q.queue.RecordServiceTime(f.req.Customer, now-f.grantedAt)
	q.svc.meters.served(now - f.sentAt)
	if failure == 0 {
		q.recordSuccess(f, stored, now)
	} else {
		f.arrivals++
		q.recordFailure(f, failure, failure != outcome.FailureTruncated, now)
		q.svc.meters.outcome(outcome.Classify(failure, true, ""))
	}
	q.freeSlot(f, failure == 0, now)
	q.recordUnanswered(f, now)
	q.leaveLocked(f)
}

// recordSuccess records a complete answer. The caller holds the lock.
func (q *backendQueue) recordSuccess(f *flight, stored *outcome.Answer, now time.Duration) {
	if !f.failed { // a cold backend may answer so because it already has too many requests, or because its session has lapsed
		q.ramp.RecordSuccess(f.generation)
	}
	q.svc.clearSuspect(f.suspect)
	q.svc.meters.outcome(entity.Answered())
	if !f.recorded {
		return
	}
	f.recorded = false
	if record, ok := q.memory.RecordAnswer(f.key, stored, now); ok {
		q.post(record)
	}
}
