package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readPiece is how much of an answer a caller reads at once, in bytes.
const readPiece = 4 << 10

// asTheyCome is the rate of callers that read answers as fast as they come.
const asTheyCome = 0

// caller is one caller with its connection.
type caller struct {
	record *record
	conn   net.Conn
	reader *bufio.Reader
	rate   int // bytes of an answer that it reads in a second, or asTheyCome
}

// Callers that do not read answers as fast as they come have small windows, and segments of the size that networks other than loopback
// have. Otherwise the sockets on loopback hold megabytes of an answer.
const (
	window  = 16 << 10 // bytes
	segment = 1400     // bytes
)

func dial(r *record, n *instance, rate int) (*caller, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var dialer net.Dialer
	if rate != asTheyCome {
		dialer.Control = setWindow
	}
	conn, err := dialer.DialContext(ctx, "tcp4", net.JoinHostPort(n.ip, frontPort))
	if err != nil {
		return nil, err
	}
	return &caller{record: r, conn: conn, reader: bufio.NewReaderSize(conn, readPiece), rate: rate}, nil
}

// setWindow sets the window and the size of segments before the connection is opened.
func setWindow(_, _ string, socket syscall.RawConn) error {
	var failed error
	err := socket.Control(func(fd uintptr) {
		failed = errors.Join(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, window),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segment))
	})
	return errors.Join(err, failed)
}

func (c *caller) close() { _ = c.conn.Close() } // what came is in the record

// send sends one request for a download.
func (c *caller) send(id string) error { return c.write(id, "") }

// sendKeyed sends one lookup of a key.
func (c *caller) sendKeyed(id string, key int) error {
	return c.write(id, fmt.Sprintf("Shard-Key: %d\r\n", key))
}

// write sends one request with further fields.
func (c *caller) write(id, fields string) error {
	c.record.printf("sent %s", id)
	_, err := fmt.Fprintf(c.conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s\r\n",
		routePrefix, id, routeHost, id, timeBudget.Milliseconds(), fields)
	return err
}

// answer is what a caller has got for a request.
type answer struct {
	status   int // 0 if there was none
	bytes    int
	complete bool
	close    bool // the answer announces the close of the connection
	err      error
}

// receive reads the answer to a request that was sent at the given time, until the time budget is over.
func (c *caller) receive(id string, sent time.Time) answer {
	a := c.read(sent.Add(timeBudget))
	c.record.printf("answer to %s: status %d, %d bytes, complete: %t, %.3f s after sending, error: %v", id, a.status, a.bytes, a.complete,
		time.Since(sent).Seconds(), a.err)
	return a
}

func (c *caller) read(until time.Time) answer {
	if err := c.conn.SetReadDeadline(until); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: response.StatusCode, close: response.Close}
	began, piece := time.Now(), make([]byte, readPiece)
	for {
		n, err := response.Body.Read(piece)
		a.bytes += n
		switch {
		case errors.Is(err, io.EOF):
			a.complete = true
			_ = response.Body.Close() // it was read to its end
			return a
		case err != nil:
			a.err = err
			return a
		case c.rate > 0:
			due := began.Add(time.Duration(float64(a.bytes) / float64(c.rate) * float64(time.Second)))
			time.Sleep(min(time.Until(due), time.Until(until)))
		}
	}
}
