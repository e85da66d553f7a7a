package httpserver

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of what is read ahead on one connection.
const (
	// maxReadAhead is the number of bytes. A longer head is not run ahead.
	maxReadAhead = 16 << 10
	// minReadAhead is the size of the first buffer, which holds a few heads of usual size. Callers that pipeline without reading
	// answers cost no more than that and the heads of the requests that have begun: the larger size on 2,500 connections would
	// take 40 MB of the 144 MB of the smallest machine.
	minReadAhead = 2 << 10
	// maxArrivals is the number of times of arrival. Later data counts as having arrived with the last of them.
	maxArrivals = 32
)

// readAhead is the data of a connection that lies behind its current request, and the requests of it that have begun. Only
// connections that pipeline have one. It belongs to its connection, whose lock protects it.
type readAhead struct {
	data     []byte    // read from the socket and not yet by net/http
	arrivals []arrival // when which part of data was read, in order
	begun    int       // bytes of data that are the heads of the requests in prepared
	scanned  int       // bytes of data in which scan has looked for the end of the next head
	scan     headScanner
	blocked  bool        // the next request in data must not begin before it is the current one
	prepared []*prepared // requests that have begun and are not yet the current one, in order
	adopted  *prepared   // the current request, if it began behind another
	held     int         // bytes of recorded answers
	heldBack int         // answers whose writing waits for their turn, since they exceed the bound for recorded answers
	running  int         // handlers that have begun ahead and have not returned
}

// arrival says when the part of the data before the position end was read.
type arrival struct {
	end int
	at  time.Time
}

// space returns where the next data of the socket goes. It is empty if no more may be read ahead. The buffer becomes larger than
// minReadAhead only if grows is true.
func (a *readAhead) space(grows bool) []byte {
	if len(a.data) == cap(a.data) && cap(a.data) < maxReadAhead && (grows || cap(a.data) < minReadAhead) {
		larger := make([]byte, len(a.data), min(max(2*cap(a.data), minReadAhead), maxReadAhead))
		copy(larger, a.data)
		a.data = larger
	}
	return a.data[len(a.data):cap(a.data)]
}

// grew records that data has become longer.
func (a *readAhead) grew(at time.Time) {
	if len(a.arrivals) >= maxArrivals {
		a.arrivals[len(a.arrivals)-1].end = len(a.data)
		return
	}
	a.arrivals = append(a.arrivals, arrival{len(a.data), at})
}

// arrivedAt returns when the byte before the position end of data was read.
func (a *readAhead) arrivedAt(end int) time.Time {
	for _, one := range a.arrivals {
		if one.end >= end {
			return one.at
		}
	}
	return time.Now() // not reached: the arrivals cover data
}

// consume drops n bytes that net/http has read.
func (a *readAhead) consume(n int) {
	a.data = a.data[:copy(a.data, a.data[n:])]
	a.begun, a.scanned = max(a.begun-n, 0), max(a.scanned-n, 0)
	left := a.arrivals[:0]
	for _, one := range a.arrivals {
		if one.end > n {
			left = append(left, arrival{one.end - n, one.at})
		}
	}
	a.arrivals = left
}

// next returns the head behind the requests that have begun, or nil if data does not hold all of it.
func (a *readAhead) next() []byte {
	end := a.scan.end(a.data[a.scanned:])
	if end < 0 {
		a.scanned = len(a.data)
		return nil
	}
	a.scanned += end
	return a.data[a.begun:a.scanned]
}

// isWatch reports whether a read of net/http into a buffer of size bytes only waits for the caller to close the connection, since
// the current request has been read completely. The caller holds the lock.
func (c *conn) isWatch(size int) bool {
	switch c.phase {
	case phaseWaiting:
		return c.opaque && size == 1
	case phaseReading: // the handler is about to begin
		return (c.opaque || c.headEnded) && size == 1
	case phaseHandling, phaseAnswered:
		if c.opaque {
			return c.bodyEnded && size == 1
		}
		return c.rest == 0
	default:
		return false
	}
}

// watch reads ahead until net/http ends its wait for the caller's close, or the caller closes the connection. Then it returns an
// error, with which net/http cancels the requests of the connection. net/http runs it in a goroutine of its own; p is its buffer of
// one byte, so that a connection on which nothing arrives needs no other. The caller holds the lock, and watch releases it.
func (c *conn) watch(p []byte) (int, error) {
	defer c.mu.Unlock()
	for {
		c.advance()
		space := p
		if c.ahead != nil {
			space = c.ahead.space(c.mayBegin()) // what cannot begin yet mostly stays in the socket, which costs this process no memory
		}
		c.mu.Unlock()
		var n int
		var err error
		if len(space) > 0 {
			n, err = c.Conn.Read(space)
		} else {
			err = awaitClose(c.Conn)
		}
		c.mu.Lock()
		switch {
		case n == 0:
		case c.ahead == nil && c.phase == phaseAnswered: // the caller has the answer and does not pipeline
			c.early = time.Now()
			return n, err
		case c.ahead == nil:
			c.keep(p[:n], time.Now())
		default:
			c.ahead.data = c.ahead.data[:len(c.ahead.data)+n]
			c.ahead.grew(time.Now())
		}
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded): // set by net/http when the answer is complete
			return 0, nil
		case err != nil:
			c.noticeEnd(err)
			return 0, err
		}
	}
}

// keep stores data that lies behind the current request. The caller holds the lock.
func (c *conn) keep(p []byte, at time.Time) {
	if c.ahead == nil {
		c.ahead, c.pipelines = &readAhead{}, true
		c.guard.readsAhead()
	}
	c.ahead.data = append(c.ahead.data, p...)
	c.ahead.grew(at)
}

// hasAhead reports whether data behind the current request has been read. The caller holds the lock.
func (c *conn) hasAhead() bool { return c.ahead != nil && len(c.ahead.data) > 0 }

// noticeEnd records that the connection cannot be read any more, usually since the caller has closed or reset it. All its requests
// are canceled: net/http cancels the current one, unless that one began behind another. The caller holds the lock.
func (c *conn) noticeEnd(err error) {
	c.peerClosed = c.peerClosed || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
	c.cancelAll()
}

// awaitClose waits until the caller closes or resets the connection, and reads nothing.
func awaitClose(socket net.Conn) error {
	watched, ok := socket.(syscall.Conn)
	if !ok {
		return os.ErrDeadlineExceeded
	}
	raw, err := watched.SyscallConn()
	if err != nil {
		return err
	}
	err = raw.Read(func(fd uintptr) bool { // returning false waits for the next event of the socket
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		return err == nil && n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	if err != nil {
		return err
	}
	return io.EOF
}

// advance begins the requests that lie behind the current one, as far as they may run ahead. The caller holds the lock.
func (c *conn) advance() {
	for c.mayBegin() {
		head := c.ahead.next()
		if head == nil {
			return
		}
		var r *http.Request
		cost, ok := c.guard.prepare(head)
		if ok {
			r = parseHead(head)
		}
		if r == nil || !c.server.runsAhead(r) {
			c.guard.release(cost)
			c.ahead.blocked = true
			return
		}
		c.ahead.begun = c.ahead.scanned
		c.prepare(r, c.ahead.arrivedAt(c.ahead.scanned), cost)
	}
}

// mayBegin reports whether a request may begin behind the current one. The caller holds the lock.
func (c *conn) mayBegin() bool {
	a := c.ahead
	switch {
	case a == nil, c.phase != phaseHandling, c.opaque, c.peerClosed, c.closed: // there is none
		return false
	case a.blocked, c.last, c.stopping, c.server.leaving.Load(): // none behind may begin
		return false
	case len(a.prepared)+1 >= c.server.options.PipelineDepth, a.held >= maxPrepared, a.heldBack > 0:
		return false
	}
	if !c.isJudged {
		c.isJudged, c.isAhead = true, c.server.runsAhead(c.current)
	}
	return c.isAhead
}

// runsAhead reports whether a request may begin behind an unanswered one, and others behind it. Requests that net/http treats
// specially are excluded.
func (s *Server) runsAhead(r *http.Request) bool {
	return s.options.Concurrent != nil && r.ProtoAtLeast(1, 1) && !r.Close && r.Body == http.NoBody &&
		r.Header["Expect"] == nil && r.Header["Upgrade"] == nil && s.options.Concurrent(r)
}

// heads are readers for parseHead.
var heads = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// parseHead returns the request with the given head, or nil if net/http would reject it.
func parseHead(head []byte) *http.Request {
	reader := heads.Get().(*bufio.Reader) //nolint:forcetypeassert // the pool contains nothing else
	defer heads.Put(reader)
	reader.Reset(bytes.NewReader(head))
	r, err := http.ReadRequest(reader)
	if err != nil || r.Host == "" || strings.ContainsAny(r.Host, " \t/\\@") {
		return nil
	}
	for _, values := range r.Header {
		for _, value := range values {
			if strings.ContainsFunc(value, isControl) {
				return nil
			}
		}
	}
	return r
}

// isControl reports whether net/http rejects a character in the value of a field.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
