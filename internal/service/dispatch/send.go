package dispatch

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/decide/backpressure"
	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// errDeadlinePassed cancels a call when the deadline sent to the backend has passed.
var errDeadlinePassed = errors.New("deadline of the request passed")

// errOwnerLapsed cancels a call to a backend whose session has lapsed permanently.
var errOwnerLapsed = errors.New("session of the back end lapsed")

// failedSend is a call without a usable answer.
type failedSend struct {
	failure outcome.Failure
	// contextCause is why the context of the call had ended, nil if it had not. A failure after that says nothing about the
	// backend.
	contextCause error
	cause        error
}

// send calls the backend. The flight has a slot, and mayServe has just confirmed the lease.
func (s *Service) send(ctx context.Context, f *flight, term entity.Term) (service.Response, *failedSend) {
	now := s.kernel.Now()
	if now >= f.until {
		return service.Response{}, &failedSend{failure: outcome.FailureNotSent, contextCause: errDeadlinePassed, cause: errDeadlinePassed}
	}
	sendCtx, cancel := context.WithCancelCause(ctx)
	q := f.queue
	attempt, target := q.beginAttempt(f, now, cancel)
	stopTimer := s.kernel.AfterFunc(f.until-now, func() {
		cancel(errDeadlinePassed)
		q.expire(f, attempt)
	})
	answer, err := s.client.Do(sendCtx, target, f.call(term, now))
	if err != nil {
		failed := classify(sendCtx, err)
		stopTimer()
		cancel(nil)
		return service.Response{}, failed
	}
	release := func() {
		stopTimer()
		cancel(nil)
	}
	return s.handleAnswer(sendCtx, f, answer, release), nil
}

func (f *flight) call(term entity.Term, now time.Duration) *backend.Call {
	call := &backend.Call{
		RequestID: f.req.ID,
		Token: backend.Token{
			Service:   f.req.Service,
			Partition: f.req.Partition,
			Epoch:     f.req.Epoch,
			Term:      term,
		},
		Key:       f.req.Key,
		Method:    f.req.Method,
		Path:      f.req.Path,
		RawQuery:  f.req.RawQuery,
		Header:    f.req.Header,
		Length:    int64(len(f.body)),
		Remaining: f.until - now,
	}
	if len(f.body) > 0 {
		call.Body = bytes.NewReader(f.body)
	}
	return call
}

// classify translates the error of a call. If the context has ended, a lost connection is classified by the cause of that
// end instead, because the call fails in this way when its context ends.
func classify(ctx context.Context, err error) *failedSend {
	failed := &failedSend{failure: outcome.FailureBroken, contextCause: context.Cause(ctx), cause: err}
	var f *backend.Failure
	if errors.As(err, &f) {
		failed.failure = failureOf(f.Kind)
	}
	if failed.contextCause != nil && failed.failure == outcome.FailureBroken {
		failed.failure = contextFailure(failed.contextCause)
	}
	return failed
}

func failureOf(k backend.FailureKind) outcome.Failure {
	switch k {
	case backend.FailureNotSent:
		return outcome.FailureNotSent
	case backend.FailureShed:
		return outcome.FailureShed
	case backend.FailureFenced:
		return outcome.FailureFenced
	case backend.FailureMismatch:
		return outcome.FailureMismatch
	default:
		return outcome.FailureBroken
	}
}

func contextFailure(cause error) outcome.Failure {
	if errors.Is(cause, errOwnerLapsed) {
		return outcome.FailureBroken
	}
	if errors.Is(cause, errDeadlinePassed) || errors.Is(cause, context.DeadlineExceeded) {
		return outcome.FailureDeadline
	}
	return outcome.FailureCanceled
}

// outcomeOf returns the outcome of a failed call for the caller of the request.
func (e *failedSend) outcomeOf(arrived bool) entity.Outcome {
	o := outcome.Classify(e.failure, arrived, e.cause.Error())
	if e.failure == outcome.FailureNotSent && e.contextCause != nil {
		o.Reason = entity.ReasonCanceled
		if contextFailure(e.contextCause) == outcome.FailureDeadline {
			o.Reason = entity.ReasonDeadline
		}
	}
	return o
}

// beginAttempt records the start of a call and returns its number and the backend's address.
func (q *backendQueue) beginAttempt(f *flight, now time.Duration, cancel context.CancelCauseFunc) (int, backend.Target) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f.attempt++
	f.cancelCall = cancel
	f.sentAt = now
	return f.attempt, q.target
}

// handleAnswer processes the head of the answer and returns the response.
func (s *Service) handleAnswer(ctx context.Context, f *flight, answer *backend.Answer, release func()) service.Response {
	q := f.queue
	now := s.kernel.Now()
	q.mu.Lock()
	f.state = flightStreaming
	f.answeredAt = now
	f.failed = answer.Status >= http.StatusInternalServerError
	q.observeStartID(answer.StartID, now)
	q.mu.Unlock()
	b := &answerBody{
		ctx:       ctx,
		flight:    f,
		inner:     answer.Body,
		remaining: answer.Length,
		release:   release,
	}
	if f.recorded {
		b.stored = &outcome.Answer{Status: answer.Status, Header: answer.Header.Clone()}
	}
	if bodiless(f.req.Method, answer) {
		b.remaining = 0
		b.finish(0)
	}
	return service.Response{
		Outcome: entity.Answered(),
		Status:  answer.Status,
		Header:  headerOf(answer),
		Length:  answer.Length,
		Body:    b,
	}
}

// bodiless reports whether the answer is complete without a body, regardless of the length in its head (RFC 9110, 6.4.1).
func bodiless(method string, a *backend.Answer) bool {
	return a.Length == 0 || a.Body == nil || method == http.MethodHead ||
		a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
}

func headerOf(a *backend.Answer) http.Header {
	if a.Header == nil {
		return http.Header{}
	}
	return a.Header
}

// handleFailure finishes an attempt without an answer. It returns true if the flight may be sent again, and otherwise the
// outcome.
func (q *backendQueue) handleFailure(f *flight, e *failedSend) (entity.Outcome, bool) {
	now := q.svc.kernel.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if e.failure.Arrived() {
		f.arrivals++
	}
	q.recordFailure(f, e.failure, e.contextCause != nil, now)
	q.freeSlot(f, !e.failure.Arrived(), now)
	if q.mayRetry(f, e, now) {
		return entity.Outcome{}, true
	}
	q.recordUnanswered(f, now)
	q.leaveLocked(f)
	return e.outcomeOf(f.arrivals > 0), false
}

// mayRetry takes a retry from the retry budget and returns true if the flight may be retried. The caller holds the lock.
func (q *backendQueue) mayRetry(f *flight, e *failedSend, now time.Duration) bool {
	if !f.req.Idempotent || e.contextCause != nil || !e.failure.Retryable() {
		return false
	}
	if f.arrivals >= maxArrivals || f.attempt >= maxAttempts || now+q.latency.Floor() >= f.req.Deadline {
		return false
	}
	return q.retries.Take()
}

// recordFailure updates ramp, latency and evidence after a failure. The caller holds the lock.
func (q *backendQueue) recordFailure(f *flight, failure outcome.Failure, contextEnded bool, now time.Duration) {
	if contextEnded {
		// The caller or the deadline ended the call. Only a time far above the usual latency indicates a problem of the backend.
		if failure == outcome.FailureDeadline && f.answeredAt == 0 {
			q.latency.Record(now - f.sentAt)
		}
		if failure.Arrived() && f.answeredAt == 0 && q.latency.Exceeds(now-f.sentAt) {
			q.resetRamp(backpressure.CauseLatency, now)
		}
		return
	}
	switch failure {
	case outcome.FailureNotSent:
		q.resetRamp(backpressure.CauseConnection, now)
	case outcome.FailureShed:
		q.resetRamp(backpressure.CauseShed, now)
	case outcome.FailureBroken, outcome.FailureTruncated:
		q.resetRamp(backpressure.CauseConnection, now)
		q.evidence.RecordBroken(f.suspect, q.otherOrphans(f, now), now)
		q.svc.suspect(f.suspect, now)
	default:
	}
}

// otherOrphans counts the orphans of other requests that may still run in the same process of the backend. The caller holds
// the lock.
func (q *backendQueue) otherOrphans(f *flight, now time.Duration) int {
	n := 0
	for i := range q.orphans {
		e := &q.orphans[i]
		if now < e.until && e.startID == q.startID && e.suspect != f.suspect {
			n++
		}
	}
	return n
}

// abandon finishes a flight whose last attempt was not sent. A not-run outcome becomes unknown if an earlier attempt may
// have reached the backend.
func (q *backendQueue) abandon(f *flight, o entity.Outcome) entity.Outcome {
	now := q.svc.kernel.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if f.state == flightRunning {
		q.freeSlot(f, true, now)
	}
	q.recordUnanswered(f, now)
	q.leaveLocked(f)
	if f.arrivals > 0 {
		return entity.Unknown(o.Reason, o.Detail)
	}
	return o
}

// recordUnanswered records that an at-most-once request ended without an answer. The caller holds the lock.
func (q *backendQueue) recordUnanswered(f *flight, now time.Duration) {
	if !f.recorded {
		return
	}
	f.recorded = false
	end := q.memory.Forget
	if f.arrivals > 0 {
		end = q.memory.MarkUnknown
	}
	if record, ok := end(f.key, now); ok {
		q.post(record)
	}
}
