package httpserver

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// phase is the progress of a connection's current request.
type phase int

// Phases of a connection.
const (
	// phaseWaiting means that no byte of the next request has been read.
	phaseWaiting phase = iota
	// phaseReading means that part of a request has been read and no handler has begun.
	phaseReading
	// phaseHandling means that a handler serves the request.
	phaseHandling
	// phaseAnswered means that the handler has finished. The rest of the answer may still be in a buffer.
	phaseAnswered
)

// String returns the name of the phase that log lines use.
func (p phase) String() string {
	return [...]string{"waiting", "reading", "handling", "answered"}[p]
}

// conn is one caller's connection. It records how far the current request has got.
type conn struct {
	net.Conn
	server *Server
	guard  *guard // nil if the server has no limits

	mu         sync.Mutex
	stopping   bool // the connection is closed before it reads another request
	pending    bool // data of one more request was in the socket when the connection was stopped
	phase      phase
	request    string // the caller's ID of the request, see Identify
	began      time.Time
	bytes      int   // bytes read of the request
	bodyEnded  bool  // the body of the request has been read to its end
	written    bool  // part of the answer has been written
	writing    bool  // a write is in progress
	unread     bool  // the caller had closed the connection before the answer began
	peerClosed bool  // the caller has closed or reset the connection
	writeError error // the answer could not be written
	aborted    Cause // why the handler did not return normally
	closed     bool

	// Where the data that net/http has read lies in the stream of requests.
	scan      headScanner
	headEnded bool      // net/http has read the head of the request to its end, and nothing behind the request
	rest      int64     // bytes of the body that net/http has not read; negative before the handler begins: bytes that it has read
	opaque    bool      // net/http may have read part of the next request
	arrived   time.Time // when the end of the head was read

	early     time.Time     // when net/http read the first byte of the next request, while it completed an answer
	ahead     *readAhead    // nil unless data behind a request has been read
	pipelines bool          // data behind a request has been read at some time
	current   *http.Request // the request that a handler serves
	isJudged  bool          // isAhead is valid
	isAhead   bool          // requests may begin behind the current one
	last      bool          // the answer announces that the connection is closed
}

// Read implements net.Conn. Once the connection is stopping, it takes nothing from the socket that would begin another request.
// net/http gets no data behind the current request, as far as its end is known: that data is kept in ahead.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.isWatch(len(p)) {
		return c.watch(p) // releases the lock
	}
	defer c.mu.Unlock()
	switch {
	case c.finished():
		return 0, os.ErrDeadlineExceeded
	case c.peerClosed:
		return 0, io.EOF
	case c.phase >= phaseHandling && !c.opaque && c.rest > 0 && int64(len(p)) > c.rest:
		p = p[:c.rest]
	}
	if c.hasAhead() {
		n := copy(p, c.ahead.data)
		n = c.received(p[:n], c.ahead.arrivedAt)
		c.ahead.consume(n)
		if !c.acceptHead(p[:n]) {
			return 0, os.ErrDeadlineExceeded
		}
		return n, nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if n > 0 {
		used := c.received(p[:n], now)
		if used < n {
			c.keep(p[used:n], c.arrived)
		}
		n = used
		if !c.acceptHead(p[:n]) {
			return 0, os.ErrDeadlineExceeded
		}
	}
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		c.peerClosed = true
	}
	return n, err
}

// now is the time of arrival of data that has just been read.
func now(int) time.Time { return time.Now() }

// received records data that net/http reads and returns how much of it belongs to the current request. arrivedAt returns when the
// byte before a position of p was read. The caller holds the lock.
func (c *conn) received(p []byte, arrivedAt func(int) time.Time) int {
	if c.phase >= phaseHandling {
		c.rest -= int64(len(p))
		c.bytes += len(p)
		return len(p)
	}
	first := c.phase == phaseWaiting
	if first {
		c.begin(arrivedAt(1))
	}
	if c.bytes <= 1 && c.opaque {
		// net/http has read part of this head at most. The scan is exact unless its first byte ends an empty line.
		c.opaque = p[0] == '\r' || p[0] == '\n'
	}
	used := len(p)
	if end := c.scan.end(p); end >= 0 {
		used = c.endHead(p, end)
		c.arrived = c.began
		if !first {
			c.arrived = arrivedAt(end)
		}
	} else {
		c.headEnded = false
	}
	c.bytes += used
	return used
}

// acceptHead reports whether data that net/http is about to get is within the limits for heads. The caller holds the lock.
func (c *conn) acceptHead(p []byte) bool { return c.phase != phaseReading || c.guard.acceptHead(p) }

// endHead records that the first end bytes of p complete the head of the request. It returns how much of p net/http gets: the head
// and the part of the body that is known to follow. The caller holds the lock.
func (c *conn) endHead(p []byte, end int) int {
	used := len(p)
	if used > end && !c.opaque {
		if c.bytes > 1 { // fields may lie in data that net/http has already got
			used = end
		} else if body := announcedBody(p[:end]); body >= 0 {
			used = int(min(int64(used), int64(end)+body))
		}
	}
	c.headEnded, c.rest = true, int64(end-used)
	return used
}

// begin records that a request has begun to arrive. The caller holds the lock.
func (c *conn) begin(at time.Time) {
	c.phase, c.began, c.bytes, c.pending = phaseReading, at, 0, false
	if c.stopping { // the data had left the socket when the connection was stopped
		c.setReadDeadline(time.Now().Add(stopReadTimeout))
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing = true
	c.unread = c.unread || (c.peerClosed && !c.written)
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.written = c.written || n > 0
	if err != nil {
		c.writeError = err
	}
	return n, err
}

// CloseWrite closes the sending direction. The HTTP server calls it before it closes a connection with unread data.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. It reports a request that has no complete answer. Requests that have begun behind the current one are
// canceled; the connection counts as open until their handlers have ended.
func (c *conn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	report := c.unanswered()
	lingers := first && c.mayLinger()
	c.cancelAll()
	ended := c.ahead == nil || c.ahead.running == 0 // otherwise the last handler ends the connection
	c.mu.Unlock()
	if first && report != nil {
		c.server.report(c, report)
	}
	if lingers {
		c.linger()
	}
	if first && ended {
		c.server.forget(c)
	}
	return c.Conn.Close()
}

// unanswered describes the current request if it has no complete answer, and returns nil otherwise. The caller holds the lock.
func (c *conn) unanswered() *Unanswered {
	complete := c.phase == phaseAnswered && c.written && !c.writing && !c.unread && c.writeError == nil
	rejected := c.phase == phaseReading && (c.written || c.guard.hasEnded()) // invalid and incomplete requests need no handler
	if c.phase == phaseWaiting || complete || rejected {
		return nil
	}
	return &Unanswered{
		Cause: c.cause(), Phase: c.phase.String(), Request: c.request, Bytes: c.bytes, Age: time.Since(c.began), Partial: c.written,
	}
}

// cause returns why the connection is closed before the request has a complete answer. The caller holds the lock.
func (c *conn) cause() Cause {
	switch {
	case c.aborted == CausePanic:
		return CausePanic
	case c.peerClosed: // the reason why handlers abort most of the answers that they abort
		return CauseCallerClosed
	case c.aborted != "":
		return c.aborted
	case c.writeError != nil:
		return CauseWriteFailed
	default:
		return CauseServerClosed
	}
}

// handling records that a handler serves r. If r has begun behind another request, it returns that prepared request.
func (c *conn) handling(r *http.Request) *prepared {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseWaiting {
		c.began = time.Now()
	}
	if !c.headEnded {
		c.opaque, c.arrived = true, time.Now()
	}
	c.rest += r.ContentLength
	c.opaque = c.opaque || r.ContentLength < 0 || c.rest < 0
	c.phase, c.bodyEnded, c.current, c.isJudged = phaseHandling, r.Body == http.NoBody, r, false
	if c.stopping { // the headers were in time
		c.setReadDeadline(time.Time{})
	}
	if c.ahead == nil {
		return nil
	}
	p := c.adopt(r)
	c.advance()
	return p
}

// endBody records that the body of the request has been read to its end.
func (c *conn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyEnded = true
}

// handled records that the handler has returned normally.
func (c *conn) handled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseAnswered
}

// abort records that the handler did not return normally, and returns the caller's ID of the request.
func (c *conn) abort(cause Cause) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = cause
	return c.request
}

// identify records the caller's ID of the current request.
func (c *conn) identify(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = id
}

// isLast records that the answer which now begins may be the last one. asked means that its header announces the close. Without
// that, it is the last one if the server is leaving and no request has begun behind it.
func (c *conn) isLast(asked bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asked {
		c.drop()
	}
	c.last = asked || c.ahead == nil || len(c.ahead.prepared) == 0
	return c.last
}

// arrivedAt returns when the head of the current request was read.
func (c *conn) arrivedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrived
}

// wait records that the answer is complete and that the connection waits for the next request.
func (c *conn) wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unread {
		return // the caller has left, and Close reports its request
	}
	c.phase, c.request, c.bytes, c.written = phaseWaiting, "", 0, false
	c.scan, c.headEnded, c.rest, c.current, c.last = headScanner{}, false, 0, nil, false
	c.guard.wait(c.hasAhead() || !c.early.IsZero())
	switch {
	case !c.early.IsZero():
		c.begin(c.early)
		c.bytes, c.early = 1, time.Time{}
	case c.hasAhead():
		if len(c.ahead.prepared) == 0 {
			c.server.pipelined.waited.Inc(1)
		}
		c.begin(c.ahead.arrivedAt(1))
	case c.ahead != nil && c.ahead.running == 0:
		c.ahead = nil
		c.guard.release(maxReadAhead)
	}
}

// trackedBody is the body of a request, of which it reports the end.
type trackedBody struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.endBody()
		if !b.conn.guard.endBody() {
			return 0, ErrNoRoom
		}
	}
	return n, err
}
