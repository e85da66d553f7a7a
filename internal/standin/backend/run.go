package backend

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/pollenpier/pollenpier/internal/backend/wire"
)

// maxBody bounds the body of a request in bytes.
const maxBody = 8 << 20

// serveRequest answers one request: it reads it, checks it, waits for a slot, runs it and echoes its body.
func (p *process) serveRequest(c *gin.Context) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxBody))
	if !p.awaitThaw() || err != nil {
		panic(http.ErrAbortHandler) // the process has crashed or the sender has gone
	}
	crossed := p.server.exchangeID(c.Request.Header.Get(wire.HeaderRequestID))
	c.Header(wire.HeaderRequestID, crossed)
	c.Header(wire.HeaderStartID, p.startID)
	ctx, cancel := p.deadline(c.Request)
	defer cancel()
	t := readToken(c.Request.Header)
	if refusal := p.admit(ctx, t); refusal != "" {
		c.Header(wire.HeaderNotRun, refusal)
		c.Status(http.StatusServiceUnavailable)
		return
	}
	end := p.run(ctx, c.Request, t)
	switch end {
	case EndAnswered:
		p.answer(c, body)
	case EndCrashed:
		panic(http.ErrAbortHandler)
	case EndFailed:
		c.Status(http.StatusInternalServerError)
	default:
		c.Status(http.StatusGatewayTimeout)
	}
}

// exchangeID returns the id to echo: the request's own, or that of the request before if answers are crossed.
func (s *Server) exchangeID(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	echo := id
	if s.faults.Crossed && s.previous != "" {
		echo = s.previous
	}
	s.previous = id
	return echo
}

// deadline bounds a request by its remaining time, by the sender's connection and by the process.
func (p *process) deadline(r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	stopped := context.AfterFunc(p.ctx, cancel)
	remaining, err := strconv.ParseInt(r.Header.Get(wire.HeaderRemaining), 10, 64)
	if err != nil {
		return ctx, func() { stopped(); cancel() }
	}
	bounded, stop := context.WithTimeout(ctx, time.Duration(remaining)*time.Millisecond)
	return bounded, func() { stop(); stopped(); cancel() }
}

// admit waits for a slot and returns why the request does not run, empty if it runs. A request that runs holds a slot.
func (p *process) admit(ctx context.Context, t token) string {
	if refusal := p.enqueue(t); refusal != "" {
		return refusal
	}
	gotSlot := false
	select {
	case p.slots <- struct{}{}:
		gotSlot = true
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queued--
	refusal := ""
	switch {
	case !gotSlot || ctx.Err() != nil:
		refusal = wire.RefusalShed
	case !p.mayRun(t):
		refusal = wire.RefusalFenced
	default:
		p.running++
		p.session.running[t.place]++
		return ""
	}
	if gotSlot {
		<-p.slots
	}
	p.settle()
	return refusal
}

// enqueue counts a request as waiting, unless it is refused.
func (p *process) enqueue(t token) string {
	faults := p.server.currentFaults()
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.server.options
	switch {
	case !p.mayRun(t):
		return wire.RefusalFenced
	case faults.Drain:
		return wire.RefusalDraining
	case faults.Shed || p.running+p.queued >= o.Slots+o.Queue:
		return wire.RefusalShed
	}
	p.queued++
	if p.cold() && o.ColdLimit > 0 && p.running+p.queued > o.ColdLimit {
		p.collapsed = true
	}
	return ""
}

// mayRun checks session and token as far as the options say. The caller holds the lock.
func (p *process) mayRun(t token) bool {
	switch {
	case p.server.options.ChecksTokens:
		return p.session.accepts(t, p.now())
	case p.server.options.ChecksSession:
		return p.session.valid(p.now())
	default:
		return true
	}
}

// cold reports whether the back end is not warm yet. The caller holds the lock.
func (p *process) cold() bool { return p.answered < p.server.options.WarmAfter }

// settle ends a collapse when nothing is in flight. The caller holds the lock.
func (p *process) settle() {
	if p.running+p.queued == 0 {
		p.collapsed = false
	}
}

// run executes a request that holds a slot, and returns how it ended.
func (p *process) run(ctx context.Context, r *http.Request, t token) string {
	p.mu.Lock()
	cold := p.cold()
	p.mu.Unlock()
	execution := p.server.newExecution(r, p.startID, cold)
	p.server.ledger.start(execution, p.server.options.MaxExecutions)
	end := EndCrashed
	if r.Header.Get(p.server.options.CrashHeader) == "" {
		end = p.work(ctx, execution)
	}
	p.server.ledger.end(execution, end)
	p.finish(t, end)
	if end == EndCrashed && p.ctx.Err() == nil {
		p.server.crash()
	}
	return end
}

// finish gives the slot back.
func (p *process) finish(t token, end string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	p.session.running[t.place]--
	if end == EndAnswered {
		p.answered++
	}
	p.settle()
	<-p.slots
}

// work takes the time of a request, in steps if it must watch its session, and returns how the request ended. The execution
// notes the last time at which the session was found valid: after that, a request that ends as fenced has done nothing.
func (p *process) work(ctx context.Context, execution *Execution) string {
	for deadline := time.Now().Add(p.workTime()); ; {
		checked := time.Now()
		left := time.Until(deadline)
		step, lapsed := p.sessionStep(left)
		if lapsed {
			return EndFenced
		}
		p.server.ledger.acted(execution, checked)
		if !sleep(ctx, step) {
			if _, lapsed := p.sessionStep(0); lapsed {
				return EndFenced
			}
			return p.interrupted()
		}
		if step >= left {
			break
		}
	}
	if !p.awaitThaw() {
		return EndCrashed
	}
	if _, lapsed := p.sessionStep(0); lapsed {
		return EndFenced
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.collapsed {
		return EndFailed
	}
	return EndAnswered
}

// interrupted returns how a request ended whose context ended.
func (p *process) interrupted() string {
	if p.ctx.Err() != nil {
		return EndCrashed
	}
	return EndCanceled
}

// workTime returns the time that a request takes now.
func (p *process) workTime() time.Duration {
	latency := time.Duration(p.server.currentFaults().LatencyMs) * time.Millisecond
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.server.options
	switch {
	case p.collapsed:
		return o.CollapseWork + latency
	case p.cold():
		return o.ColdWork + latency
	default:
		return o.Work + latency
	}
}

// sessionStep returns how long a request may run until it must look at the session again, at most left, and whether the
// session has lapsed.
func (p *process) sessionStep(left time.Duration) (step time.Duration, lapsed bool) {
	if !p.server.options.ChecksTokens {
		return left, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if !p.session.valid(now) {
		return 0, true
	}
	return min(left, p.session.until-now), false
}

// answer echoes the body, or half of it if answers are truncated.
func (p *process) answer(c *gin.Context, body []byte) {
	c.Header("Content-Length", strconv.Itoa(len(body)))
	c.Header("Content-Type", "application/octet-stream")
	c.Status(http.StatusOK)
	if !p.server.currentFaults().Truncate {
		_, _ = c.Writer.Write(body) // the sender has gone if this fails
		return
	}
	_, _ = c.Writer.Write(body[:len(body)/2])
	c.Writer.Flush()
	panic(http.ErrAbortHandler)
}
