package httpserver

import (
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// stopReadTimeout bounds the time to read the rest of the headers of a request during a stop.
const stopReadTimeout = time.Second

// Bounds of the wait for a caller to close its direction of a connection that closes with requests unread.
const (
	lingerTime  = 250 * time.Millisecond
	lingerBytes = 1 << 20
)

// past is a deadline that interrupts reads in progress.
var past = time.Unix(1, 0)

// setReadDeadline sets the deadline of the socket. The caller holds the lock.
func (c *conn) setReadDeadline(t time.Time) {
	_ = c.Conn.SetReadDeadline(t) // fails only on a closed socket
}

// finished reports whether the connection is stopping and no request is in progress. The caller holds the lock.
func (c *conn) finished() bool { return c.stopping && c.phase == phaseWaiting && !c.pending }

// stop makes the server close the connection without reading another request. A request of which anything has arrived is answered
// first, if the caller sends the rest of its headers within stopReadTimeout. The caller of a request that arrives later gets a
// reset, which shows that it was not read.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	c.pending = c.phase == phaseWaiting && hasData(c.Conn)
	switch {
	case c.finished():
		c.setReadDeadline(past)
	case c.phase == phaseWaiting, c.phase == phaseReading:
		c.setReadDeadline(time.Now().Add(stopReadTimeout))
	default: // net/http uses the deadline to end its reading ahead
	}
}

// hasData reports whether a socket has data that has not been read.
func hasData(socket net.Conn) bool {
	tcp, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) { // unlike Read, Control does not wait for a read in progress
		var one [1]byte
		n, _, _ = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT) // an error means that there is no data
	})
	return err == nil && n > 0
}

// interruptBody ends the wait for the rest of the request's body, so that the handler can answer.
func (c *conn) interruptBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseHandling && !c.bodyEnded {
		c.setReadDeadline(past)
	}
}

// SetReadDeadline implements net.Conn. It does not let net/http extend the deadlines of a connection that is stopping. A zero t,
// after the headers of a request, always removes the deadline: it would end the request in progress.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := time.Now().Add(stopReadTimeout)
	switch {
	case c.finished():
		t = past
	case c.stopping && c.phase == phaseWaiting:
		t = limit
	case c.stopping && c.phase == phaseReading && t.After(limit):
		t = limit
	}
	return c.Conn.SetReadDeadline(t)
}

// mayLinger reports whether data from the caller may cross the close of the connection, behind its last answer: the caller has
// pipelined, or net/http has rejected what it sent. The caller holds the lock.
func (c *conn) mayLinger() bool {
	rejected := c.phase == phaseReading && c.written
	complete := c.phase == phaseAnswered && c.written && !c.writing && c.writeError == nil
	return (rejected || (complete && c.pipelines)) && !c.peerClosed && !c.server.closing.Load()
}

// linger closes the sending direction and discards what the caller sends, until it closes the connection too. Without that, the
// reset by which the socket refuses such data can overtake the last answer.
func (c *conn) linger() {
	_ = c.CloseWrite()                                              // fails only if the caller has reset the connection
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))          // fails only on a closed socket
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, lingerBytes)) // ends with the caller's close or the deadline
}
