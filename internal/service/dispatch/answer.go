package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// answerBody passes the body of an answer on and settles the request when it ends. It ends with io.EOF only if it is
// complete.
type answerBody struct {
	ctx       context.Context
	flight    *flight
	inner     io.ReadCloser
	remaining int64 // bytes until the stated end; negative if not stated
	kept      *outcome.Answer
	release   func()
	finished  bool
	err       error // of reads after the end
}

// Read returns io.ErrUnexpectedEOF if the answer is shorter than stated, and an error of the connection if it broke.
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
	b.took(p[:n])
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

// failure tells an answer that broke from one that was ended on this side.
func (b *answerBody) failure() outcome.Failure {
	if cause := context.Cause(b.ctx); cause != nil {
		return endedFailure(cause)
	}
	return outcome.FailureTruncated
}

// took counts the bytes and keeps them for repeats as long as they are few.
func (b *answerBody) took(data []byte) {
	if b.remaining >= 0 {
		b.remaining -= int64(len(data))
	}
	if b.kept == nil {
		return
	}
	if len(b.kept.Body)+len(data) > outcome.MaxStoredAnswer {
		b.kept = nil
		return
	}
	b.kept.Body = append(b.kept.Body, data...)
}

// Close ends the reading. An answer that is not complete by then counts as canceled by the caller.
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

// finish settles the flight; failure zero means that the answer is complete.
func (b *answerBody) finish(failure outcome.Failure) {
	b.finished = true
	b.err = io.EOF
	if failure != 0 {
		b.err = io.ErrUnexpectedEOF
	}
	b.flight.backendQueue.complete(b.flight, failure, b.kept)
	if failure == 0 {
		b.release()
	}
}

// expire ends a flight whose answer is still being read at the deadline, so that a caller that reads slowly holds no slot.
func (l *backendQueue) expire(f *flight, attempt int) {
	l.mu.Lock()
	current := f.state == flightStreaming && f.attempt == attempt
	l.mu.Unlock()
	if current {
		l.complete(f, outcome.FailureDeadline, nil)
	}
}

// complete ends a flight whose answer has begun. Only the first call counts.
func (l *backendQueue) complete(f *flight, failure outcome.Failure, kept *outcome.Answer) {
	now := l.svc.kernel.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.state != flightStreaming {
		return
	}
	l.latency.Record(f.answeredAt - f.sentAt)
	l.queue.RecordServiceTime(f.req.Customer, now-f.grantedAt)
	l.svc.meters.served(now - f.sentAt)
	if failure == 0 {
		l.succeeded(f, kept, now)
	} else {
		f.arrivals++
		l.learn(f, failure, failure != outcome.FailureTruncated, now)
		l.svc.meters.outcome(outcome.Classify(failure, true, ""))
	}
	l.vacate(f, failure == 0, now)
	l.settle(f, now)
	l.leaveLocked(f)
}

// succeeded records a complete answer. The caller holds the lock.
func (l *backendQueue) succeeded(f *flight, kept *outcome.Answer, now time.Duration) {
	l.ramp.RecordSuccess(f.generation)
	l.svc.cleared(f.suspect)
	l.svc.meters.outcome(entity.Answered())
	if !f.recorded {
		return
	}
	f.recorded = false
	if record, ok := l.memory.RecordAnswer(f.key, kept, now); ok {
		l.post(record)
	}
}
