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

// errRunDeadline ends a call when the deadline given to the back end has passed.
var errRunDeadline = errors.New("deadline of the request passed")

// errOwnerLapsed ends a call to a back end whose session has lapsed for good.
var errOwnerLapsed = errors.New("session of the back end lapsed")

// failedSend is a call without a usable answer.
type failedSend struct {
	failure outcome.Failure
	// ended is why the context of the call had ended, nil if it had not: then the failure says nothing of the back end.
	ended error
	cause error
}

// send calls the back end. The flight has a slot, and mayServe has just confirmed the lease.
func (s *Service) send(ctx context.Context, f *flight, term entity.Term) (service.Response, *failedSend) {
	now := s.kernel.Now()
	if now >= f.until {
		return service.Response{}, &failedSend{failure: outcome.FailureNotSent, ended: errRunDeadline, cause: errRunDeadline}
	}
	sendCtx, cancel := context.WithCancelCause(ctx)
	l := f.backendQueue
	attempt, target := l.sending(f, now, cancel)
	stopTimer := s.kernel.AfterFunc(f.until-now, func() {
		cancel(errRunDeadline)
		l.expire(f, attempt)
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
	return s.answered(sendCtx, f, answer, release), nil
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

// classify translates the error of a call. Why the context ended takes precedence over how the call noticed it.
func classify(ctx context.Context, err error) *failedSend {
	failed := &failedSend{failure: outcome.FailureBroken, ended: context.Cause(ctx), cause: err}
	var f *backend.Failure
	if errors.As(err, &f) {
		failed.failure = failureOf(f.Kind)
	}
	if failed.ended != nil && failed.failure == outcome.FailureBroken {
		failed.failure = endedFailure(failed.ended)
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

func endedFailure(cause error) outcome.Failure {
	if errors.Is(cause, errOwnerLapsed) {
		return outcome.FailureBroken
	}
	if errors.Is(cause, errRunDeadline) || errors.Is(cause, context.DeadlineExceeded) {
		return outcome.FailureDeadline
	}
	return outcome.FailureCanceled
}

// outcomeOf returns the outcome of a failed call for the caller.
func (e *failedSend) outcomeOf(arrived bool) entity.Outcome {
	o := outcome.Classify(e.failure, arrived, e.cause.Error())
	if e.failure == outcome.FailureNotSent && e.ended != nil {
		o.Reason = entity.ReasonCanceled
		if endedFailure(e.ended) == outcome.FailureDeadline {
			o.Reason = entity.ReasonDeadline
		}
	}
	return o
}

// sending notes the start of a call and returns its number and the back end's address.
func (l *backendQueue) sending(f *flight, now time.Duration, cut context.CancelCauseFunc) (int, backend.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f.attempt++
	f.cut = cut
	f.sentAt = now
	return f.attempt, l.target
}

// answered takes the head of the answer.
func (s *Service) answered(ctx context.Context, f *flight, answer *backend.Answer, release func()) service.Response {
	l := f.backendQueue
	now := s.kernel.Now()
	l.mu.Lock()
	f.state = flightStreaming
	f.answeredAt = now
	l.sawStartID(answer.StartID, now)
	l.mu.Unlock()
	b := &answerBody{
		ctx:       ctx,
		flight:    f,
		inner:     answer.Body,
		remaining: answer.Length,
		release:   release,
	}
	if f.recorded {
		b.kept = &outcome.Answer{Status: answer.Status, Header: answer.Header.Clone()}
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

// bodiless reports whether the answer is complete without a body, whatever length its head states (RFC 9110, 6.4.1).
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

// failed ends an attempt without an answer. It reports true if the flight may be sent again, and else the outcome.
func (l *backendQueue) failed(f *flight, e *failedSend) (entity.Outcome, bool) {
	now := l.svc.kernel.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.failure.Arrived() {
		f.arrivals++
	}
	l.learn(f, e.failure, e.ended != nil, now)
	l.vacate(f, !e.failure.Arrived(), now)
	if l.mayRetry(f, e, now) {
		return entity.Outcome{}, true
	}
	l.settle(f, now)
	l.leaveLocked(f)
	return e.outcomeOf(f.arrivals > 0), false
}

// mayRetry spends a retry if one is allowed. The caller holds the lock.
func (l *backendQueue) mayRetry(f *flight, e *failedSend, now time.Duration) bool {
	if !f.req.Idempotent || e.ended != nil || !e.failure.Retryable() {
		return false
	}
	if f.arrivals >= maxArrivals || f.attempt >= maxAttempts || now+l.latency.Floor() >= f.req.Deadline {
		return false
	}
	return l.retries.Take()
}

// learn adjusts ramp, latency and evidence after a failure. The caller holds the lock.
func (l *backendQueue) learn(f *flight, failure outcome.Failure, ended bool, now time.Duration) {
	if ended {
		// The caller or the clock ended the call. Only a time far above the usual says something of the back end.
		if failure == outcome.FailureDeadline && f.answeredAt == 0 {
			l.latency.Record(now - f.sentAt)
		}
		if failure.Arrived() && f.answeredAt == 0 && l.latency.Exceeds(now-f.sentAt) {
			l.cold(backpressure.CauseLatency, now)
		}
		return
	}
	switch failure {
	case outcome.FailureNotSent:
		l.cold(backpressure.CauseConnection, now)
	case outcome.FailureShed:
		l.cold(backpressure.CauseShed, now)
	case outcome.FailureBroken, outcome.FailureTruncated:
		l.cold(backpressure.CauseConnection, now)
		l.evidence.RecordBroken(f.suspect, l.otherOrphans(f, now), now)
		l.svc.suspect(f.suspect, now)
	default:
	}
}

// otherOrphans counts the other requests without a connection that may still run in the same process of the back end. The
// caller holds the lock.
func (l *backendQueue) otherOrphans(f *flight, now time.Duration) int {
	n := 0
	for i := range l.orphans {
		e := &l.orphans[i]
		if now < e.until && e.startID == l.startID && e.suspect != f.suspect {
			n++
		}
	}
	return n
}

// abandon ends a flight whose last attempt was not sent. A not-run outcome becomes unknown if an earlier attempt may have
// reached the back end.
func (l *backendQueue) abandon(f *flight, o entity.Outcome) entity.Outcome {
	now := l.svc.kernel.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.state == flightRunning {
		l.vacate(f, true, now)
	}
	l.settle(f, now)
	l.leaveLocked(f)
	if f.arrivals > 0 {
		return entity.Unknown(o.Reason, o.Detail)
	}
	return o
}

// settle records the end of an at-most-once request without an answer. The caller holds the lock.
func (l *backendQueue) settle(f *flight, now time.Duration) {
	if !f.recorded {
		return
	}
	f.recorded = false
	end := l.memory.Forget
	if f.arrivals > 0 {
		end = l.memory.MarkUnknown
	}
	if record, ok := end(f.key, now); ok {
		l.post(record)
	}
}
