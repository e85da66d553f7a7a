package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/decide/routing"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/sleep"
)

const (
	// replayLimit is the maximum size of a request body that is buffered for further attempts, in bytes.
	replayLimit = 64 << 10
	// minBackoff and maxBackoff bound the backoff before another attempt. A key is served again within 1 s after a failure, so a
	// longer backoff would extend its unavailability.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 80 * time.Millisecond
)

// route finds the owner and its primary and sends the request there. Until the deadline it retries a request that has certainly
// not run if the cause is transient: a moving partition, a changed primary, an unreachable instance. An idempotent request whose
// outcome is unknown is also retried.
func (g *Gateway) route(ctx context.Context, req *service.Request) service.Response {
	body, outcome := newReplayBody(req)
	if outcome.Kind != entity.OutcomeAnswered {
		return service.Response{Outcome: outcome}
	}
	g.retryBudget.request()
	backoff := minBackoff
	for {
		resp := g.attempt(ctx, req, body)
		if !shouldRetry(req, resp, body) {
			return resp
		}
		// Another attempt adds backend load only if this one may have reached a backend.
		if resp.Outcome.Kind == entity.OutcomeUnknown && !g.retryBudget.take() {
			return resp
		}
		g.metrics.retries.Inc(1)
		if !pause(ctx, backoff) {
			return resp
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// attempt looks up the owner of the key and sends the request to the instances that may be its primary, one after another.
func (g *Gateway) attempt(ctx context.Context, req *service.Request, body *replayBody) service.Response {
	target, outcome := g.routing.Routing().Locate(req.Service, req.Key)
	if outcome.Kind != entity.OutcomeAnswered {
		return service.Response{Outcome: outcome}
	}
	req.Partition, req.Epoch, req.Backend = target.Partition, target.Epoch, target.Backend.ID
	resp := refused(entity.ReasonNoOwner, "no instance in the zone of the owner")
	next, known := g.firstChoice(target)
	for range len(target.Backend.Candidates) + 1 {
		if !known {
			return resp
		}
		body.rewind(req)
		resp = g.send(ctx, req, next)
		switch {
		case resp.Outcome.Kind != entity.OutcomeNotRun:
			g.primaryHints.Store(req.Backend, next.ID)
			return resp
		case resp.Outcome.Reason == entity.ReasonNotHolder && resp.Holder != "" && resp.Holder != next.ID:
			next, known = findCandidate(target, resp.Holder)
		case resp.Outcome.Reason == entity.ReasonNotHolder || resp.Outcome.Reason == entity.ReasonUnreachable:
			g.primaryHints.CompareAndDelete(req.Backend, next.ID)
			next, known = nextCandidate(target, next)
		default:
			g.primaryHints.Store(req.Backend, next.ID)
			return resp
		}
		if body.spent() {
			return resp
		}
	}
	return resp
}

// send dispatches the request locally if this instance is the target, and forwards it otherwise.
func (g *Gateway) send(ctx context.Context, req *service.Request, to ownership.Member) service.Response {
	if to.ID == g.self.ID {
		return g.dispatch.Dispatch(ctx, req)
	}
	return g.forward.Forward(ctx, to.Address, req)
}

// firstChoice returns this instance if it holds the backend's lease, otherwise the last known primary (by the lease view, then by
// earlier responses), otherwise the first candidate. It returns false if there are no candidates.
func (g *Gateway) firstChoice(target routing.Target) (ownership.Member, bool) {
	if view := g.leases.Leases(); view != nil {
		if _, held := view.Held[service.BackendLease(target.Backend.ID)]; held {
			return ownership.Member{ID: g.self.ID, Address: g.self.Address}, true
		}
		if holder, ok := view.Holders[service.BackendLease(target.Backend.ID)]; ok {
			if c, ok := findCandidate(target, holder); ok {
				return c, true
			}
		}
	}
	if hint, ok := g.primaryHints.Load(target.Backend.ID); ok {
		if c, ok := findCandidate(target, hint.(entity.InstanceID)); ok {
			return c, true
		}
	}
	if len(target.Backend.Candidates) == 0 {
		return ownership.Member{}, false
	}
	return target.Backend.Candidates[0], true
}

// findCandidate returns the candidate with the given ID, and false if there is none.
func findCandidate(target routing.Target, id entity.InstanceID) (ownership.Member, bool) {
	for _, c := range target.Backend.Candidates {
		if c.ID == id {
			return c, true
		}
	}
	return ownership.Member{}, false
}

// nextCandidate returns the candidate after the given one, wrapping around after the last. It returns false if there are no
// candidates.
func nextCandidate(target routing.Target, current ownership.Member) (ownership.Member, bool) {
	for i, c := range target.Backend.Candidates {
		if c.ID == current.ID {
			return target.Backend.Candidates[(i+1)%len(target.Backend.Candidates)], true
		}
	}
	if len(target.Backend.Candidates) == 0 {
		return ownership.Member{}, false
	}
	return target.Backend.Candidates[0], true
}

// shouldRetry reports whether another attempt is allowed and may succeed.
func shouldRetry(req *service.Request, resp service.Response, body *replayBody) bool {
	if body.spent() {
		return false
	}
	switch resp.Outcome.Kind {
	case entity.OutcomeNotRun:
		return isTransient(resp.Outcome.Reason)
	case entity.OutcomeUnknown:
		return req.Idempotent && (isConnectionLoss(resp.Outcome.Reason) || isTransient(resp.Outcome.Reason))
	default:
		return false
	}
}

// isTransient reports whether the cause of a refusal usually disappears within about a second.
func isTransient(reason entity.Reason) bool {
	switch reason {
	case entity.ReasonNoOwner, entity.ReasonNotHolder, entity.ReasonFenced, entity.ReasonUnreachable,
		entity.ReasonLeaseLost, entity.ReasonStopping:
		return true
	default:
		return false
	}
}

// isConnectionLoss reports whether the cause of an unknown outcome is a lost connection, rather than the deadline or cancellation
// of the request.
func isConnectionLoss(reason entity.Reason) bool {
	return reason == entity.ReasonBroken || reason == entity.ReasonTruncated || reason == entity.ReasonMismatch
}

// pause waits for about d. The jitter keeps callers from retrying simultaneously. It returns false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	jittered := d/2 + rand.N(d) //nolint:gosec // jitter needs no secure randomness
	return sleep.For(ctx, jittered) == nil
}

// replayBody provides the request's body to each attempt. Small bodies are buffered; a larger one can be sent only once.
type replayBody struct {
	buffered []byte
	stream   *countingReader
}

// newReplayBody buffers a body of at most replayLimit bytes and wraps any other for streaming. It returns an outcome other than
// answered if the body cannot be read completely.
func newReplayBody(req *service.Request) (*replayBody, entity.Outcome) {
	if req.Length < 0 || req.Length > replayLimit {
		return &replayBody{stream: &countingReader{reader: req.Body}}, entity.Answered()
	}
	buffered := make([]byte, req.Length)
	if _, err := io.ReadFull(req.Body, buffered); err != nil {
		if errors.Is(err, errBodyTooLarge) {
			return nil, entity.NotRun(entity.ReasonTooLarge, err.Error())
		}
		return nil, entity.NotRun(entity.ReasonCanceled, "request body ended early")
	}
	return &replayBody{buffered: buffered}, entity.Answered()
}

// rewind sets the request's body for the next attempt.
func (b *replayBody) rewind(req *service.Request) {
	if b.stream != nil {
		req.Body = b.stream
		return
	}
	req.Body = bytes.NewReader(b.buffered)
}

// spent reports whether part of a streamed body has been read, so that no other attempt is possible.
func (b *replayBody) spent() bool { return b.stream != nil && b.stream.count.Load() > 0 }

// countingReader counts the bytes read.
type countingReader struct {
	reader io.Reader
	count  atomic.Int64 // accessed while a sender may still be reading the body
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.count.Add(int64(n))
	return n, err
}
