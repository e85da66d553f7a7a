package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// silentAfter is the time from which on a call that ends without a byte from the peer costs its connection. It is longer
// than the usual answer and shorter than the timeout of every call, and a new connection takes about 1 ms.
const silentAfter = 50 * time.Millisecond

// pooledConn is a connection that does not return to the pool after a call to which nothing came back. A cut of the network
// leaves connections that look usable for minutes and lose every call that takes them.
type pooledConn struct {
	*drpcconn.Conn

	raw *countedConn
	// received and started are the bytes received and the time when the last call began.
	received uint64
	started  time.Time
}

// countedConn counts the bytes that are received.
type countedConn struct {
	net.Conn

	received atomic.Uint64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(uint64(max(n, 0)))
	return n, err
}

// discarded is the Closed channel of connections that are not used again.
var discarded = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

func newPooledConn(raw net.Conn) *pooledConn {
	counted := &countedConn{Conn: raw}
	conn := drpcconn.NewWithOptions(counted, drpcconn.Options{Manager: managerOptions()})
	return &pooledConn{Conn: conn, raw: counted, started: time.Now()}
}

// Invoke implements drpc.Conn.
func (c *pooledConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	c.begin()
	return c.Conn.Invoke(ctx, rpc, enc, in, out)
}

// NewStream implements drpc.Conn.
func (c *pooledConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	c.begin()
	return c.Conn.NewStream(ctx, rpc, enc)
}

// begin notes the start of a call. The pool gives a connection to one call at a time.
func (c *pooledConn) begin() { c.received, c.started = c.raw.received.Load(), time.Now() }

// Closed implements drpc.Conn. The pool asks between calls whether the connection can be used again.
func (c *pooledConn) Closed() <-chan struct{} {
	if c.raw.received.Load() == c.received && time.Since(c.started) >= silentAfter {
		go func() { _ = c.Close() }() // waits for the connection's reader
		return discarded
	}
	return c.Conn.Closed()
}
