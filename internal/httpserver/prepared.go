package httpserver

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// Bounds of the requests that run ahead on one connection.
const (
	// defaultDepth bounds the requests of a connection that are in progress at once.
	defaultDepth = 8
	// maxPrepared bounds the bytes of recorded answers. A handler that writes more waits for its turn and writes to the caller.
	maxPrepared = 64 << 10
)

// errDropped is the error of writes to an answer whose connection was closed before its turn.
var errDropped = errors.New("connection closed before the turn of this answer")

// errPanicLogged is the panic that repeats one of a handler that ran ahead, which has been logged.
var errPanicLogged = errors.New("handler panicked ahead of its turn")

// prepared is a request that has begun while an earlier one of its connection was unanswered.
type prepared struct {
	recorder
	conn    *conn
	request *http.Request
	at      time.Time // when the end of its head was read
	cancel  context.CancelFunc
	ended   chan struct{} // closed when the handler has ended
	id      string        // the caller's ID, see Identify; protected by the lock of the connection
	cost    int64         // bytes that are counted for it
}

// prepare begins a request behind the current one. The caller holds the lock.
func (c *conn) prepare(r *http.Request, at time.Time, cost int64) {
	p := &prepared{conn: c, at: at, cost: cost, ended: make(chan struct{})}
	p.recorder = recorder{conn: c, header: http.Header{}, turn: make(chan struct{}), dropped: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.WithValue(c.server.base, connKey{}, p))
	p.cancel = cancel
	r.RemoteAddr = c.RemoteAddr().String()
	p.request = r.WithContext(ctx)
	c.ahead.prepared = append(c.ahead.prepared, p)
	c.ahead.running++
	c.server.pipelined.begun.Inc(1)
	go c.server.runAhead(p)
}

// adopt returns the prepared request that r, which net/http has read, repeats, or nil if r has not begun. The caller holds the lock.
func (c *conn) adopt(r *http.Request) *prepared {
	a := c.ahead
	a.adopted = nil
	if len(a.prepared) == 0 {
		a.blocked, a.begun, a.scanned, a.scan = false, 0, 0, headScanner{}
		return nil
	}
	p := a.prepared[0]
	if p.request.Method != r.Method || p.request.RequestURI != r.RequestURI {
		telemetry.EventPreparedMismatch.Log(c.server.options.Log, zap.String("request", p.id), zap.Stringer("caller", c.RemoteAddr()))
		c.opaque = true
		c.drop()
		return nil
	}
	a.prepared = append(a.prepared[:0], a.prepared[1:]...)
	a.adopted = p
	c.request, c.isJudged, c.isAhead = p.id, true, true
	return p
}

// drop cancels the requests that have begun ahead, whose answers will not be written. The caller holds the lock.
func (c *conn) drop() {
	if c.ahead == nil {
		return
	}
	dropped := c.ahead.prepared
	c.ahead.prepared, c.ahead.blocked = nil, true
	if len(dropped) == 0 {
		return
	}
	ids := make([]string, 0, len(dropped))
	for _, p := range dropped {
		ids = append(ids, p.id)
		p.cancel()
		close(p.dropped)
	}
	event := telemetry.EventPreparedDropped
	if c.peerClosed {
		event = telemetry.EventPreparedLeft
	}
	event.Log(c.server.options.Log, zap.Strings("requests", ids), zap.Stringer("caller", c.RemoteAddr()))
	c.server.pipelined.dropped.Inc(int64(len(dropped)))
}

// cancelAll cancels all requests that have begun ahead, also the current one. The caller holds the lock.
func (c *conn) cancelAll() {
	c.drop()
	if c.ahead != nil && c.ahead.adopted != nil {
		c.ahead.adopted.cancel()
	}
}

// runAhead runs the handler of a prepared request.
func (s *Server) runAhead(p *prepared) {
	defer p.end()
	defer func() {
		switch cause := recover(); cause {
		case nil:
		case http.ErrAbortHandler:
			p.fail(http.ErrAbortHandler)
		default:
			s.logPanic(p.conn.idOf(p), cause)
			p.fail(errPanicLogged)
		}
	}()
	s.options.Handler.ServeHTTP(p, p.request)
	p.finish()
}

// end records that the handler has ended. The last one to end on a closed connection ends the connection. The answer ends after that: a
// connection that waits for its next request keeps its buffer while a handler of it runs.
func (p *prepared) end() {
	c := p.conn
	c.mu.Lock()
	c.ahead.running--
	isLast := c.closed && c.ahead.running == 0
	c.mu.Unlock()
	c.guard.release(p.cost)
	close(p.ended)
	if isLast {
		c.server.forget(c)
	}
}

// idOf returns the caller's ID of a prepared request.
func (c *conn) idOf(p *prepared) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return p.id
}

// identify records the caller's ID of the request.
func (p *prepared) identify(id string) {
	c := p.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	p.id = id
	if c.ahead != nil && c.ahead.adopted == p {
		c.request = id
	}
}

// deliver writes the answer of a prepared request, which is now the current one, and waits for its handler. It panics as the
// handler did.
func (p *prepared) deliver(answer *answerWriter) {
	p.attach(answer)
	<-p.ended
	p.cancel()
	p.mu.Lock()
	failure := p.failure
	p.mu.Unlock()
	if failure != nil {
		panic(failure)
	}
}

// recorder is the response writer of a request that runs ahead. It records the answer until its turn comes, and then writes to the
// caller.
type recorder struct {
	conn    *conn
	turn    chan struct{} // closed when out is set
	dropped chan struct{} // closed when the answer will not be written

	mu      sync.Mutex // taken before the lock of the connection
	header  http.Header
	status  int         // 0 until the answer begins
	sent    http.Header // header when the answer began
	body    []byte
	flushed bool
	failure error         // the panic of the handler
	out     *answerWriter // nil before the turn of the answer
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter. Interim answers before the turn of the answer are dropped.
func (r *recorder) WriteHeader(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begin(status)
}

// begin is WriteHeader for callers that hold the lock.
func (r *recorder) begin(status int) {
	if r.status != 0 || (status < http.StatusOK && r.out == nil) {
		return
	}
	if status >= http.StatusOK {
		r.status, r.sent = status, maps.Clone(r.header)
	}
	if r.out != nil {
		r.sendHeader(status)
	}
}

// sendHeader writes the status and the header to the caller. The caller holds the lock.
func (r *recorder) sendHeader(status int) {
	header := r.sent
	if header == nil {
		header = r.header
	}
	maps.Copy(r.out.Header(), header)
	r.out.WriteHeader(status)
}

// Write implements http.ResponseWriter. It waits for the turn of the answer if the connection's bound for recorded answers is
// exceeded.
func (r *recorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begin(http.StatusOK)
	if r.out == nil && r.conn.reserve(len(p)) {
		r.body = append(r.body, p...)
		return len(p), nil
	}
	if r.out == nil {
		if err := r.awaitTurn(); err != nil {
			return 0, err
		}
	}
	return r.out.Write(p)
}

// awaitTurn waits for the turn of the answer. The caller holds the lock, which is released meanwhile.
func (r *recorder) awaitTurn() error {
	r.mu.Unlock()
	select {
	case <-r.turn:
	case <-r.dropped:
	}
	r.conn.endHoldBack()
	r.mu.Lock()
	if r.out == nil {
		return errDropped
	}
	return nil
}

// Flush implements http.Flusher.
func (r *recorder) Flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begin(http.StatusOK)
	if r.out != nil {
		r.out.Flush()
	}
	r.flushed = true
}

// finish completes the answer.
func (r *recorder) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begin(http.StatusOK)
}

// fail records the panic of the handler. No further request begins behind this one, since the connection closes after it.
func (r *recorder) fail(cause error) {
	r.mu.Lock()
	r.failure = cause
	r.mu.Unlock()
	r.conn.block()
}

// attach writes what has been recorded to the caller and sends the rest of the answer there. The answer of a handler that has
// panicked is not written.
func (r *recorder) attach(answer *answerWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failure != nil {
		return
	}
	r.out = answer
	if r.status != 0 {
		r.sendHeader(r.status)
	}
	if len(r.body) > 0 {
		_, _ = r.out.Write(r.body) // fails only if the caller has closed the connection
	}
	if r.flushed {
		r.out.Flush()
	}
	r.conn.release(len(r.body))
	r.body = nil
	close(r.turn)
}

// reserve counts n bytes of a recorded answer and reports whether the bound allows them. If not, the answer is held back.
func (c *conn) reserve(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ahead.held+n > maxPrepared || !c.guard.hold(n) {
		c.ahead.heldBack++
		return false
	}
	c.ahead.held += n
	return true
}

// release uncounts n bytes of a recorded answer that has been written.
func (c *conn) release(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead.held -= n
	c.guard.release(int64(n))
}

// endHoldBack records that an answer that was held back has had its turn or was dropped.
func (c *conn) endHoldBack() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead.heldBack--
}

// block lets no further request begin ahead before the prepared ones are answered.
func (c *conn) block() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead.blocked = true
}
