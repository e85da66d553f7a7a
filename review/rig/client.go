package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// requestNumber makes the IDs of requests unique.
var requestNumber atomic.Int64

// caller is a requester with one connection to an instance, which it keeps open.
type caller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// request is what a caller asks.
type request struct {
	id, method, path string
	customer         string
	key              int // negative if the request has none
	body             int // size in bytes
	deadline         time.Duration
	// pace is the pause after each part of a large body.
	pace time.Duration
}

// result is what a caller sees of a request.
type result struct {
	status int
	// closed means that the connection ended without an answer, and kept that it had served a request before.
	closed, kept bool
	took         time.Duration
	err          error
}

func newID(prefix string) string { return fmt.Sprintf("%s-%d", prefix, requestNumber.Add(1)) }

// bodyPart is the size in bytes of the parts in which a body is written.
const bodyPart = 1 << 20

// do sends a request on the caller's connection, or on a new one, and returns what the caller sees.
func (c *caller) do(r request) result {
	kept := c.conn != nil
	if !kept {
		conn, err := net.DialTimeout("tcp4", c.address, time.Second) //nolint:noctx // has a timeout
		if err != nil {
			return result{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline + time.Second)) // fails only on a closed connection
	if err := c.write(r); err != nil {
		c.drop()
		return result{closed: true, kept: kept, err: err}
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.drop()
		return result{closed: true, kept: kept, err: err}
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close() // it has been read
	if err != nil || response.Close {
		c.drop()
	}
	return result{status: response.StatusCode, kept: kept, err: err}
}

func (c *caller) write(r request) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		r.method, r.path, host, r.id, r.deadline.Milliseconds(), keyOf(r.customer))
	if r.key >= 0 {
		fmt.Fprintf(&b, "Shard-Key: %d\r\n", r.key)
	}
	if r.body > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", r.body)
	}
	b.WriteString("\r\n")
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return err
	}
	part := make([]byte, bodyPart)
	for left := r.body; left > 0; left -= bodyPart {
		if _, err := c.conn.Write(part[:min(left, bodyPart)]); err != nil {
			return err
		}
		time.Sleep(r.pace)
	}
	return nil
}

func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
