package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// unresponsiveAfter is the shortest duration of a call without a byte from the peer after which its connection is closed. It is
// longer than a usual answer takes and shorter than the timeout of every call. Closing too early costs little, since a new
// connection takes about 1 ms.
const unresponsiveAfter = 50 * time.Millisecond

// pooledConn is a connection that is not reused after a call without any response. A network partition leaves connections that
// look usable for minutes but lose every call that uses them.
type pooledConn struct {
	*drpcconn.Conn

	raw *countedConn
	// received and started are the number of bytes received before the last call and the time when that call began.
	received uint64
	started  time.Time
}

// countedConn counts the bytes in both directions.
type countedConn struct {
	net.Conn

	received atomic.Uint64
	// sent is the number of bytes that the peer may have received. It includes writes in progress.
	sent atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(uint64(max(n, 0)))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.sent.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(max(n, 0) - len(p)))
	return n, err
}

// sentCall records which connection a call uses, so that a failed call can prove that the peer received no byte of it.
type sentCall struct {
	conn *countedConn
	// before is the value of conn.sent when the call began.
	before int64
}

// sentNothing closes the connection of a call that failed to send, so that nothing is sent later, and reports whether no byte of the
// call had been sent before.
func (c *sentCall) sentNothing() bool {
	if c.conn == nil {
		return false
	}
	_ = c.conn.Close() // fails if the connection is closed already
	return c.conn.sent.Load() == c.before
}

// sentCallKey is the key of the context's *sentCall.
type sentCallKey struct{}

// withSentCall returns a context whose calls are recorded in the returned value.
func withSentCall(ctx context.Context) (context.Context, *sentCall) {
	call := &sentCall{}
	return context.WithValue(ctx, sentCallKey{}, call), call
}

// discarded is what Closed returns for connections that must not be reused.
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
	if call, ok := ctx.Value(sentCallKey{}).(*sentCall); ok {
		call.conn, call.before = c.raw, c.raw.sent.Load()
	}
	return c.Conn.NewStream(ctx, rpc, enc)
}

// begin records the start of a call. The pool uses a connection for one call at a time.
func (c *pooledConn) begin() { c.received, c.started = c.raw.received.Load(), time.Now() }

// Closed implements drpc.Conn. The pool calls it between calls to check whether the connection can be reused.
func (c *pooledConn) Closed() <-chan struct{} {
	if c.raw.received.Load() == c.received && time.Since(c.started) >= unresponsiveAfter {
		go func() { _ = c.Close() }() // in the background, since Close waits for the connection's reader
		return discarded
	}
	return c.Conn.Closed()
}
