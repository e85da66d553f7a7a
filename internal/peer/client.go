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
	// dialTimeout bounds the connection set-up to a peer. Zones are under 1 ms apart.
	dialTimeout = 150 * time.Millisecond
	// idleTimeout closes pooled connections that nobody uses.
	idleTimeout = 30 * time.Second
	// connectionsPerPeer bounds the idle connections kept for one peer. A drpc connection carries one call at a time.
	connectionsPerPeer = 256
	// softCancelGrace lets a send in progress end, so that a cancelled call does not cost its connection.
	softCancelGrace = 5 * time.Millisecond
)

// ErrDial means that no connection to the peer could be made, so that nothing was sent.
var ErrDial = errors.New("dial peer")

// pool keeps connections to peers by address.
type pool struct {
	conns *drpcpool.Pool[string, *pooledConn]
	open  network.DialFunc
}

func newPool(dial network.DialFunc) *pool {
	return &pool{
		conns: drpcpool.New[string, *pooledConn](drpcpool.Options{
			Expiration:  idleTimeout,
			KeyCapacity: connectionsPerPeer,
		}),
		open: dial.WithTimeout(dialTimeout),
	}
}

// conn returns a connection that takes an idle pooled connection for each call, or dials.
func (p *pool) conn(ctx context.Context, address string) drpc.Conn {
	return p.conns.Get(ctx, address, p.dial)
}

func (p *pool) dial(ctx context.Context, address string) (*pooledConn, error) {
	raw, err := p.open(ctx, "tcp", address)
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

// Client sends calls to other instances.
type Client struct {
	pool  *pool
	clock Clock
}

// Clock gives the monotonic time by which deadlines are measured.
type Clock interface {
	Now() time.Duration
}

// NewClient returns a client without connections.
func NewClient(clock Clock, dial network.DialFunc) *Client {
	return &Client{pool: newPool(dial), clock: clock}
}

// Close closes all idle connections.
func (c *Client) Close() error { return c.pool.close() }

// stub returns the generated client for a peer.
func (c *Client) stub(ctx context.Context, address string) pb.DRPCPeerClient {
	return pb.NewDRPCPeerClient(c.pool.conn(ctx, address))
}
