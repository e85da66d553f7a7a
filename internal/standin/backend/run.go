package backend

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/pollenpier/pollenpier/internal/backend/wire"
	"github.com/pollenpier/pollenpier/internal/sleep"
)

// maxBody is the largest request body in bytes.
const maxBody = 8 << 20

// serveRequest handles one request: it reads and checks the request, waits for a slot, executes it and echoes its body.
func (p *process) serveRequest(c *gin.Context) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxBody))
	if !p.awaitUnfreeze() || err != nil {
		panic(http.ErrAbortHandler) // the process has crashed or the sender has closed the connection
	}
	echoed := p.server.echoID(c.Request.Header.Get(wire.HeaderRequestID))
	c.Header(wire.HeaderRequestID, echoed)
	c.Header(wire.HeaderStartID, p.startID)
	ctx, cancel := p.requestContext(c.Request)
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

// echoID returns the request id for the response: the request's own, or that of the previous request if Crossed is set.
func (s *Server) echoID(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	echo := id
	if s.faults.Crossed && s.previousID != "" {
		echo = s.previousID
	}
	s.previousID = id
	return echo
}

// requestContext returns a context that ends with the request's remaining time, the sender's connection or the process.
func (p *process) requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	detach := context.AfterFunc(p.ctx, cancel)
	remaining, err := strconv.ParseInt(r.Header.Get(wire.HeaderRemaining), 10, 64)
	if err != nil {
		return ctx, func() { detach(); cancel() }
	}
	bounded, stop := context.WithTimeout(ctx, time.Duration(remaining)*time.Millisecond)
	return bounded, func() { stop(); detach(); cancel() }
}

// admit waits for a slot. It returns the reason for which the request is refused, or an empty string if the request may run
// and holds a slot.
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
		p.session.running[t.partition]++
		return ""
	}
	if gotSlot {
		<-p.slots
	}
	p.endCollapse()
	return refusal
}

// enqueue counts the request as waiting, or returns the reason for which it is refused.
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

// mayRun checks the session and the token if the options require it. The caller holds the lock.
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

// cold reports whether the backend is not yet warm. The caller holds the lock.
func (p *process) cold() bool { return p.answered < p.server.options.WarmAfter }

// endCollapse ends a collapse if no request is in flight. The caller holds the lock.
func (p *process) endCollapse() {
	if p.running+p.queued == 0 {
		p.collapsed = false
	}
}

// run executes a request that holds a slot and returns how it ended, as in Execution.End.
func (p *process) run(ctx context.Context, r *http.Request, t token) string {
	p.mu.Lock()
	cold := p.cold()
	p.mu.Unlock()
	execution := p.server.newExecution(r, p.startID, cold)
	p.server.executionLog.start(execution, p.server.options.MaxExecutions)
	end := EndCrashed
	if r.Header.Get(p.server.options.CrashHeader) == "" {
		end = p.work(ctx, execution)
	}
	p.server.executionLog.finish(execution, end)
	p.finish(t, end)
	if end == EndCrashed && p.ctx.Err() == nil {
		p.server.crash()
	}
	return end
}

// finish updates the counters after a request and releases its slot.
func (p *process) finish(t token, end string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	p.session.running[t.partition]--
	if end == EndAnswered {
		p.answered++
	}
	p.endCollapse()
	<-p.slots
}

// work waits for the service time of a request and returns how the request ended. If tokens are checked, it waits in steps
// and checks the session at each one. The execution records the last time at which the session was found valid: a request
// that ends as EndFenced has had no effect after that time.
func (p *process) work(ctx context.Context, execution *Execution) string {
	for deadline := time.Now().Add(p.workTime()); ; {
		checked := time.Now()
		left := time.Until(deadline)
		step, lapsed := p.sessionStep(left)
		if lapsed {
			return EndFenced
		}
		p.server.executionLog.markActed(execution, checked)
		if sleep.For(ctx, step) != nil {
			if _, lapsed := p.sessionStep(0); lapsed {
				return EndFenced
			}
			return p.interrupted()
		}
		if step >= left {
			break
		}
	}
	if !p.awaitUnfreeze() {
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

// interrupted returns how a request ended whose context was canceled.
func (p *process) interrupted() string {
	if p.ctx.Err() != nil {
		return EndCrashed
	}
	return EndCanceled
}

// workTime returns the current service time of a request.
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

// sessionStep returns how long a request may run before it must check the session again, at most left, and whether the
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

// answer echoes the body, or half of it if Truncate is set.
func (p *process) answer(c *gin.Context, body []byte) {
	c.Header("Content-Length", strconv.Itoa(len(body)))
	c.Header("Content-Type", "application/octet-stream")
	c.Status(http.StatusOK)
	if !p.server.currentFaults().Truncate {
		_, _ = c.Writer.Write(body) // an error means that the sender has closed the connection
		return
	}
	_, _ = c.Writer.Write(body[:len(body)/2])
	c.Writer.Flush()
	panic(http.ErrAbortHandler)
}
