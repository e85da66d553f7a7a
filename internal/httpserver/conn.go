package httpserver

import (
	"errors"
	"io"
	"net"
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
	readAhead  int   // bytes read of the next request
	written    bool  // part of the answer has been written
	writing    bool  // a write is in progress
	unread     bool  // the caller had closed the connection before the answer began
	peerClosed bool  // the caller has closed or reset the connection
	writeError error // the answer could not be written
	aborted    Cause // why the handler did not return normally
	closed     bool
}

// Read implements net.Conn. Once the connection is stopping, it takes nothing from the socket that would begin another request.
func (c *conn) Read(p []byte) (int, error) {
	if c.isFinished() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.countRead(n)
		if c.phase == phaseReading && !c.guard.acceptHead(p[:n]) {
			return 0, os.ErrDeadlineExceeded
		}
	}
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
		c.peerClosed = true
	}
	return n, err
}

// countRead counts data of a request. While a handler runs, net/http reads on, in order to notice that the caller closes the
// connection; what it reads after the body begins the next request. The caller holds the lock.
func (c *conn) countRead(n int) {
	switch {
	case c.phase == phaseWaiting:
		c.begin(n)
	case c.phase != phaseReading && c.bodyEnded:
		c.readAhead += n
	default:
		c.bytes += n
	}
}

// begin records that the first n bytes of a request have been read. The caller holds the lock.
func (c *conn) begin(n int) {
	c.phase, c.began, c.bytes, c.pending = phaseReading, time.Now(), n, false
	if c.stopping { // the data had left the socket when the connection was stopped
		c.setReadDeadline(c.began.Add(stopReadTimeout))
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

// Close implements net.Conn. It reports a request that has no complete answer.
func (c *conn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	report := c.unanswered()
	c.mu.Unlock()
	if first {
		c.server.forget(c, report)
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

// handling records that a handler serves the current request.
func (c *conn) handling(hasBody bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseWaiting {
		c.began = time.Now()
	}
	c.phase, c.bodyEnded = phaseHandling, !hasBody
	if c.stopping { // the headers were in time
		c.setReadDeadline(time.Time{})
	}
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

// wait records that the answer is complete and that the connection waits for the next request.
func (c *conn) wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unread {
		return // the caller has left, and Close reports its request
	}
	c.phase, c.request, c.bytes, c.written = phaseWaiting, "", 0, false
	c.guard.wait(c.readAhead > 0)
	if c.readAhead > 0 {
		c.begin(c.readAhead)
		c.readAhead = 0
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
			return 0, os.ErrDeadlineExceeded
		}
	}
	return n, err
}
