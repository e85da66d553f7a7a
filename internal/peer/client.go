package peer

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"

	"github.com/pollenpier/pollenpier/internal/network"
	"github.com/pollenpier/pollenpier/internal/peer/pb"
)

const (
	// dialTimeout bounds the connection set-up to a peer. The latency between zones is below 1 ms.
	dialTimeout = 150 * time.Millisecond
	// idleTimeout is the time after which an unused pooled connection is closed.
	idleTimeout = 30 * time.Second
	// connectionsPerPeer bounds the idle connections kept for one peer. A drpc connection carries one call at a time.
	connectionsPerPeer = 256
	// softCancelGrace is the time in which a send in progress may finish, so that a canceled call does not close its connection.
	softCancelGrace = 5 * time.Millisecond
)

// ErrDial means that no connection to the peer could be opened, so nothing was sent.
var ErrDial = errors.New("dial peer")

// pool holds idle connections to peers by address.
type pool struct {
	conns    *drpcpool.Pool[string, *pooledConn]
	dialPeer network.DialFunc
}

func newPool(dial network.DialFunc) *pool {
	return &pool{
		conns: drpcpool.New[string, *pooledConn](drpcpool.Options{
			Expiration:  idleTimeout,
			KeyCapacity: connectionsPerPeer,
		}),
		dialPeer: dial.WithTimeout(dialTimeout),
	}
}

// conn returns a connection that uses an idle pooled connection for each call, or dials a new one.
func (p *pool) conn(ctx context.Context, address string) drpc.Conn {
	return p.conns.Get(ctx, address, p.dial)
}

func (p *pool) dial(ctx context.Context, address string) (*pooledConn, error) {
	raw, err := p.dialPeer(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Join(ErrDial, err)
	}
	return newPooledConn(raw), nil
}

func (p *pool) close() error { return p.conns.Close() }

// managerOptions are shared by both sides of a connection.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{SoftCancel: true, SoftCancelGrace: softCancelGrace}
}

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	pool  *pool
	clock Clock
}

// Clock returns the monotonic time on which deadlines are based.
type Clock interface {
	Now() time.Duration
}

// NewClient returns a client that opens its connections with dial. It opens none itself until the first call.
func NewClient(clock Clock, dial network.DialFunc) *Client {
	return &Client{pool: newPool(dial), clock: clock}
}

// Close closes all idle connections.
func (c *Client) Close() error { return c.pool.close() }

// stub returns the generated client for a peer.
func (c *Client) stub(ctx context.Context, address string) pb.DRPCPeerClient {
	return pb.NewDRPCPeerClient(c.pool.conn(ctx, address))
}
