package h1

import (
	"bufio"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pollenpier/pollenpier/internal/network"
)

// readBuffer is the size of a connection's read buffer in bytes. Most answers fit into it.
const readBuffer = 2 << 10

// idleFraction is the fraction of the peer's stated idle time during which an idle connection is reused. It is below 1
// because a request that is sent while the peer closes the connection may have run.
const idleFraction = 0.6

// maxFailed is the number of failed requests after which a connection is not reused.
const maxFailed = 32

// conn is one connection with its read buffer.
type conn struct {
	socket    net.Conn
	stream    *network.Stream // carries all data over socket
	address   string
	source    *source
	reader    *bufio.Reader // reads from source
	idleSince time.Time
	idleTime  time.Duration
	// failed contains the match values of the requests that were refused or failed on this connection. They may be sent again,
	// but not on this connection, where the earlier answer could be repeated and would match.
	failed []string
	// single is true once a Single request was answered without the match header.
	single bool
}

func newConn(socket net.Conn, address string, idleTime time.Duration) *conn {
	stream := network.NewStream(socket)
	from := &source{stream: stream}
	return &conn{
		socket: socket, stream: stream, address: address, source: from, reader: bufio.NewReaderSize(from, readBuffer), idleTime: idleTime,
	}
}

// mayCarry reports whether a repeated answer to an earlier request on the connection cannot be taken for the answer to a request.
func (c *conn) mayCarry(r *Request) bool {
	if r.Single && c.single {
		return false
	}
	return r.Match == "" || !slices.Contains(c.failed, r.Match)
}

// recordAnswer records the answer to a request whose answers have the match header. It returns false if the connection must
// not be reused: a repeated refusal of a request without a match value could not be told from the answer to the next one.
func (c *conn) recordAnswer(r *Request, status int, echoed bool) bool {
	c.single = c.single || (r.Single && !echoed)
	if status < http.StatusMultipleChoices {
		return true
	}
	c.failed = append(c.failed, r.Match)
	return echoed && len(c.failed) < maxFailed
}

// usable reports whether an idle connection may carry another request: its idle time has not passed, and the peer has
// neither closed it nor sent data that belongs to no request.
func (c *conn) usable() bool {
	return time.Since(c.idleSince) < c.idleTime && c.quiet()
}

// quiet reports whether the connection is open and has no unread data. Data that precedes a request cannot answer it.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.socket.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = err == unix.EAGAIN
		return true
	})
	return err == nil && noData
}

// updateIdleTime sets the idle time from the Keep-Alive header of an answer, if the header states one.
func (c *conn) updateIdleTime(h http.Header) {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			c.idleTime = time.Duration(float64(seconds) * idleFraction * float64(time.Second))
		}
	}
}

func (c *conn) close() {
	_ = c.socket.Close() // an error is harmless: the exchange has finished
}

// abort closes the connection with a reset, so that data still in flight is dropped.
func (c *conn) abort() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed socket
	}
	c.close()
}
