package h1

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// Request is one request. Header must not contain Host or Content-Length.
type Request struct {
	Method string
	Target string // path and query
	Host   string
	Header http.Header
	Body   []byte
	// Match is the value of the match header that the answer must echo. If it is empty, the answer must not have the header.
	Match string
	// EchoOptional accepts an answer without the match header. One with another value still belongs to another request.
	EchoOptional bool
	// Single means that a repeated answer to an earlier Single request could be taken for the answer to this one, if answers have no
	// match header. A connection on which such an answer has come carries no other Single request.
	Single bool
	// MaxBody is the maximum size of the answer's body in bytes if it is below that of the pool. Zero means that of the pool.
	MaxBody int64
}

// Response is a complete answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Errors of Pool.Do.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("request not sent")
	// ErrUnknown means that at least part of the request was sent, and that its answer did not arrive or is not complete.
	ErrUnknown = errors.New("answer missing or incomplete")
	// ErrMalformed is joined to ErrUnknown if the peer sent bytes that are not a valid answer.
	ErrMalformed = errors.New("answer is not valid HTTP")
	// ErrMismatched is joined to ErrUnknown if the peer sent answers to other requests instead.
	ErrMismatched = errors.New("answers to other requests")
	// ErrTooLarge is joined to ErrUnknown if the answer exceeds a limit, so that it may have no end.
	ErrTooLarge = errors.New("answer exceeds a limit")
)

// concurrentWrite is the body size in bytes from which the request is written while the answer is read, because a peer
// may answer before it has read the complete body.
const concurrentWrite = 8 << 10

// Do sends a request to an address and returns the complete answer. Its error is ErrNotSent or ErrUnknown. The context
// bounds the complete exchange.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := p.take(ctx, address, r)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	// A process that was suspended while the connection was opened may get here before the context's timer runs.
	if expired(ctx) {
		c.close()
		return nil, errors.Join(ErrNotSent, context.DeadlineExceeded)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.socket.SetDeadline(time.Unix(1, 0)) }) // unblocks the reader and the writer
	response, reusable, err := p.exchange(c, r)
	if !stop() || err != nil || !reusable {
		if err != nil {
			c.abort()
		} else {
			c.close()
		}
		return response, err
	}
	p.put(address, c)
	return response, nil
}

// expired reports whether the context has ended or its deadline has passed.
func expired(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || (ok && !time.Now().Before(deadline))
}

// exchange writes the request and reads its answer. It reports whether the connection may be reused.
func (p *Pool) exchange(c *conn, r *Request) (*Response, bool, error) {
	head := r.encodeHead()
	if len(r.Body) < concurrentWrite {
		if n, err := c.stream.Write(append(head, r.Body...)); err != nil {
			if n == 0 {
				return nil, false, errors.Join(ErrNotSent, err)
			}
			return nil, false, errors.Join(ErrUnknown, err)
		}
		return p.read(c, r)
	}
	written := make(chan error, 1)
	go func() {
		parts := net.Buffers{head, r.Body} // a large body is not copied
		_, err := parts.WriteTo(c.stream)
		written <- err
	}()
	response, reusable, err := p.read(c, r)
	select {
	case writeErr := <-written:
		return response, reusable && writeErr == nil, err
	default:
		// The unwritten remainder of the body must not be followed by another request. Closing the connection stops the
		// writer.
		return response, false, err
	}
}

// encodeHead returns the request line and the headers as they are sent. Small bodies fit behind them.
func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(r.Body), concurrentWrite))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
