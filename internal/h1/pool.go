// Package h1 is the HTTP/1.1 client of store-based instances for backends and the platform's store. It sends requests
// over pooled connections and reports exactly what is known of each: that it was not sent, that it was answered
// completely, or neither. It never sends a request twice. The client of net/http retries requests on its own and drops
// the connection at a late answer to an earlier request, so it cannot distinguish these cases.
package h1

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/pollenpier/pollenpier/internal/network"
)

// Options configures a Pool.
type Options struct {
	// Dial opens connections. If it is nil, the operating system's network is used.
	Dial network.DialFunc
	// DialTimeout is the maximum time to open a connection.
	DialTimeout time.Duration
	// UserTimeout is how long sent data may stay unacknowledged before the connection is closed (TCP_USER_TIMEOUT).
	// It applies only if Dial is nil.
	UserTimeout time.Duration
	// MaxIdle is the maximum number of idle connections for each address.
	MaxIdle int
	// IdleTime is how long an idle connection may be reused if the peer does not state its own idle time.
	IdleTime time.Duration
	// MatchHeader is the name of the header that answers echo from their request. If it is empty, answers are not
	// matched.
	MatchHeader string
	// MaxBody is the maximum size of an answer's body in bytes.
	MaxBody int64
	// MaxBuffered is the maximum size in bytes of the heads and buffers of all answers that are being read, see account. Zero means no
	// limit. The first 4 KiB of each head and 16 KiB of each body do not count.
	MaxBuffered int64
}

// Pool sends requests and keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	options Options
	dial    network.DialFunc
	account *account
	skipped atomic.Int64

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
	opened int64
}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	dial := o.Dial
	if dial == nil {
		dialer := &net.Dialer{Control: setUserTimeout(o.UserTimeout), KeepAlive: -1}
		dial = dialer.DialContext
	}
	return &Pool{
		options: o, dial: dial.WithTimeout(o.DialTimeout), account: newAccount(o.MaxBuffered), idle: map[string][]*conn{},
	}
}

// setUserTimeout returns a dialer control function that sets how long sent data may stay unacknowledged. Without it, a
// connection to a peer behind a network partition would stay open, because such a peer sends no reset.
func setUserTimeout(timeout time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return setErr
	}
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Skipped returns the number of answers to other requests that were skipped so far.
func (p *Pool) Skipped() int64 { return p.skipped.Load() }

// errUnsolicited means that the peer sent data on a new connection before it received a request, or closed it.
var errUnsolicited = errors.New("new connection is closed or has data that belongs to no request")

// take returns an idle connection that is still usable and may carry the request, or opens a new one.
func (p *Pool) take(ctx context.Context, address string, r *Request) (*conn, error) {
	for {
		c := p.pop(address, r)
		if c == nil {
			return p.open(ctx, address)
		}
		if c.usable() {
			return c, nil
		}
		c.abort()
	}
}

func (p *Pool) pop(address string, r *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if c.mayCarry(r) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	socket, err := p.dial(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	c := newConn(socket, address, p.options.IdleTime)
	if !c.quiet() {
		c.abort()
		return nil, errUnsolicited
	}
	return c, nil
}

// put stores a connection for reuse, or closes it if the pool is closed or has enough idle connections.
func (p *Pool) put(address string, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if p.closed || len(list) >= p.options.MaxIdle {
		c.close()
		return
	}
	p.idle[address] = append(list, c)
	p.expire()
}

// expire closes connections whose idle time has passed. The caller holds the lock.
func (p *Pool) expire() {
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) < c.idleTime {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// Drop closes the idle connections to an address. The caller uses it when the server at the address has terminated or has
// been replaced.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.close()
	}
	delete(p.idle, address)
}

// Close closes all idle connections. Connections that are in use are closed after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			c.close()
		}
	}
	p.idle = map[string][]*conn{}
}
