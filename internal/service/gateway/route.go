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
)

const (
	// replayLimit is the largest request body that is kept for another attempt, in bytes.
	replayLimit = 64 << 10
	// minBackoff and maxBackoff bound the wait before another attempt. A key is served again within 1 s of a loss, so
	// longer waits would add to the unavailable time.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 80 * time.Millisecond
)

// route finds the owner and its primary and sends the request there. It tries again, until the deadline, when the request
// has certainly not run and the cause passes by itself: a moving partition, a changed primary, an instance that is gone.
// An idempotent request whose outcome is unknown is also tried again.
func (g *Gateway) route(ctx context.Context, req *service.Request) service.Response {
	body, outcome := newReplayBody(req)
	if outcome.Kind != entity.OutcomeAnswered {
		return service.Response{Outcome: outcome}
	}
	g.budget.request()
	backoff := minBackoff
	for {
		resp := g.attempt(ctx, req, body)
		if !again(req, resp, body) {
			return resp
		}
		// Only a request that may have reached a back end adds load by another attempt.
		if resp.Outcome.Kind == entity.OutcomeUnknown && !g.budget.take() {
			return resp
		}
		g.metrics.retries.Inc(1)
		if !pause(ctx, backoff) {
			return resp
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// attempt looks the owner up and asks the instances that may be its primary.
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
			g.hints.Store(req.Backend, next.ID)
			return resp
		case resp.Outcome.Reason == entity.ReasonNotHolder && resp.Holder != "" && resp.Holder != next.ID:
			next, known = member(target, resp.Holder)
		case resp.Outcome.Reason == entity.ReasonNotHolder || resp.Outcome.Reason == entity.ReasonUnreachable:
			g.hints.CompareAndDelete(req.Backend, next.ID)
			next, known = following(target, next)
		default:
			g.hints.Store(req.Backend, next.ID)
			return resp
		}
		if body.spent() {
			return resp
		}
	}
	return resp
}

// send dispatches here if this instance is the target, otherwise forwards.
func (g *Gateway) send(ctx context.Context, req *service.Request, to ownership.Member) service.Response {
	if to.ID == g.self.ID {
		return g.dispatch.Dispatch(ctx, req)
	}
	return g.forward.Forward(ctx, to.Address, req)
}

// firstChoice returns this instance if it holds the back end's lease, else the last known primary, else the first
// candidate.
func (g *Gateway) firstChoice(target routing.Target) (ownership.Member, bool) {
	if view := g.leases.Leases(); view != nil {
		if _, held := view.Held[service.BackendLease(target.Backend.ID)]; held {
			return ownership.Member{ID: g.self.ID, Address: g.self.Address}, true
		}
		if holder, ok := view.Holders[service.BackendLease(target.Backend.ID)]; ok {
			if c, ok := member(target, holder); ok {
				return c, true
			}
		}
	}
	if hint, ok := g.hints.Load(target.Backend.ID); ok {
		if c, ok := member(target, hint.(entity.InstanceID)); ok {
			return c, true
		}
	}
	if len(target.Backend.Candidates) == 0 {
		return ownership.Member{}, false
	}
	return target.Backend.Candidates[0], true
}

// member finds a candidate by its id.
func member(target routing.Target, id entity.InstanceID) (ownership.Member, bool) {
	for _, c := range target.Backend.Candidates {
		if c.ID == id {
			return c, true
		}
	}
	return ownership.Member{}, false
}

// following returns the candidate after the given one, the first after the last.
func following(target routing.Target, current ownership.Member) (ownership.Member, bool) {
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

// again reports whether another attempt is allowed and may help.
func again(req *service.Request, resp service.Response, body *replayBody) bool {
	if body.spent() {
		return false
	}
	switch resp.Outcome.Kind {
	case entity.OutcomeNotRun:
		return passes(resp.Outcome.Reason)
	case entity.OutcomeUnknown:
		return req.Idempotent && (broke(resp.Outcome.Reason) || passes(resp.Outcome.Reason))
	default:
		return false
	}
}

// passes reports whether the cause of a refusal ends by itself within about a second.
func passes(reason entity.Reason) bool {
	switch reason {
	case entity.ReasonNoOwner, entity.ReasonNotHolder, entity.ReasonFenced, entity.ReasonUnreachable,
		entity.ReasonLeaseLost, entity.ReasonStopping:
		return true
	default:
		return false
	}
}

// broke reports whether an unknown outcome comes from a lost connection rather than from the request's own time.
func broke(reason entity.Reason) bool {
	return reason == entity.ReasonBroken || reason == entity.ReasonTruncated || reason == entity.ReasonMismatch
}

// pause waits for about d, with jitter so that callers do not come back together. It reports false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	jittered := d/2 + rand.N(d) //nolint:gosec // jitter needs no secure randomness
	timer := time.NewTimer(jittered)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// replayBody gives the request's body to each attempt. Small bodies are kept; a larger one can be sent only once.
type replayBody struct {
	kept   []byte
	stream *countingReader
}

// newReplayBody reads a small body whole.
func newReplayBody(req *service.Request) (*replayBody, entity.Outcome) {
	if req.Length < 0 || req.Length > replayLimit {
		return &replayBody{stream: &countingReader{reader: req.Body}}, entity.Answered()
	}
	kept := make([]byte, req.Length)
	if _, err := io.ReadFull(req.Body, kept); err != nil {
		if errors.Is(err, errBodyTooLarge) {
			return nil, entity.NotRun(entity.ReasonTooLarge, err.Error())
		}
		return nil, entity.NotRun(entity.ReasonCanceled, "request body ended early")
	}
	return &replayBody{kept: kept}, entity.Answered()
}

// rewind sets the request's body for the next attempt.
func (b *replayBody) rewind(req *service.Request) {
	if b.stream != nil {
		req.Body = b.stream
		return
	}
	req.Body = bytes.NewReader(b.kept)
}

// spent reports whether part of a streamed body has been read, so that no other attempt is possible.
func (b *replayBody) spent() bool { return b.stream != nil && b.stream.count.Load() > 0 }

// countingReader counts the bytes read.
type countingReader struct {
	reader io.Reader
	count  atomic.Int64 // read while a sender may still be reading the body
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.count.Add(int64(n))
	return n, err
}
