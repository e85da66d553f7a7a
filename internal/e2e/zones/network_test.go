package zones

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pollenpier/pollenpier/internal/network"
)

// endpoint identifies one end of a connection. The platform and operators do not belong to a zone.
type endpoint struct{ node, zone string }

// networkPartition defines which connections fail.
type networkPartition struct {
	affects func(from, to endpoint) bool
	refuse  bool // refuse dials; otherwise dials time out
}

// testNetwork is the network between all processes of a test. A network partition stalls the open connections that it affects, so
// that their reads time out. They stay stalled after it has healed.
type testNetwork struct {
	mu        sync.Mutex
	endpoints map[string]endpoint // by address
	active    []networkPartition  // current network partitions
	open      map[*conn]bool
}

func newTestNetwork() *testNetwork {
	return &testNetwork{endpoints: map[string]endpoint{}, open: map[*conn]bool{}}
}

// add registers the endpoint of an address.
func (n *testNetwork) add(address string, e endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints[address] = e
}

// apply adds a network partition and stalls the connections that it affects.
func (n *testNetwork) apply(p networkPartition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.active = append(n.active, p)
	for open := range n.open {
		if p.affects(open.from, open.to) {
			open.stall()
		}
	}
}

// heal removes all network partitions.
func (n *testNetwork) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.active = nil
}

// close closes the remaining connections, which include stalled ones.
func (n *testNetwork) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for open := range n.open {
		_ = open.Conn.Close()
	}
}

// match returns the first network partition that affects connections between two endpoints. The caller holds the lock.
func (n *testNetwork) match(from, to endpoint) (networkPartition, bool) {
	for _, p := range n.active {
		if p.affects(from, to) {
			return p, true
		}
	}
	return networkPartition{}, false
}

// dialFrom returns the dial function of an endpoint.
func (n *testNetwork) dialFrom(from endpoint) network.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.endpoints[address]
		p, blocked := n.match(from, to)
		n.mu.Unlock()
		if blocked && p.refuse {
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		}
		if blocked {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		inner, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		opened := &conn{
			Conn: inner, network: n, from: from, to: to, stalled: make(chan struct{}), closed: make(chan struct{}),
			deadlineChanged: make(chan struct{}),
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.open[opened] = true
		if _, blocked := n.match(from, to); blocked {
			opened.stall()
		}
		return opened, nil
	}
}

// conn is a connection that can be stalled: no data arrives any more, and neither side is notified when the other closes.
type conn struct {
	net.Conn

	network         *testNetwork
	from, to        endpoint
	stalled, closed chan struct{}
	closeOnce       sync.Once
	stallOnce       sync.Once

	mu              sync.Mutex
	deadline        time.Time     // of reads
	deadlineChanged chan struct{} // closed and replaced when the deadline changes
}

// stall stops all delivery and interrupts a blocked read.
func (c *conn) stall() {
	c.stallOnce.Do(func() {
		close(c.stalled)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	})
}

func (c *conn) isStalled() bool {
	select {
	case <-c.stalled:
		return true
	default:
		return false
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if !c.isStalled() {
		n, err := c.Conn.Read(p)
		if !c.isStalled() {
			return n, err
		}
	}
	return 0, c.wait()
}

// wait blocks like a read of a stalled connection, until the read deadline or Close.
func (c *conn) wait() error {
	for {
		c.mu.Lock()
		deadline, deadlineChanged := c.deadline, c.deadlineChanged
		c.mu.Unlock()
		var expired <-chan time.Time
		if !deadline.IsZero() {
			timer := time.NewTimer(time.Until(deadline))
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case <-c.closed:
			return net.ErrClosed
		case <-expired:
			return os.ErrDeadlineExceeded
		case <-deadlineChanged:
		}
	}
}

// Write implements net.Conn. Data written to a stalled connection is lost.
func (c *conn) Write(p []byte) (int, error) {
	if c.isStalled() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
	c.mu.Unlock()
	if c.isStalled() {
		return nil
	}
	err := c.Conn.SetReadDeadline(t)
	if c.isStalled() { // it was stalled concurrently, and its reads must stay interrupted
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// Close implements net.Conn. The other side of a stalled connection is not notified.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	if c.isStalled() {
		return nil
	}
	c.network.mu.Lock()
	delete(c.network.open, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// isolateZone separates a zone from every endpoint outside it.
func isolateZone(zone string) networkPartition {
	return networkPartition{affects: func(from, to endpoint) bool { return (from.zone == zone) != (to.zone == zone) }}
}

// isolateFromPlatform separates the given zones, or all zones if none is given, from the platform.
func isolateFromPlatform(zones ...string) networkPartition {
	return networkPartition{affects: func(from, to endpoint) bool {
		if to.node != platformNode || from.zone == "" {
			return false
		}
		for _, zone := range zones {
			if zone == from.zone {
				return true
			}
		}
		return len(zones) == 0
	}}
}

// isolateFromPeers separates an instance from the other instances of its zone. Dials are refused.
func isolateFromPeers(node endpoint, instances map[string]bool) networkPartition {
	return networkPartition{refuse: true, affects: func(from, to endpoint) bool {
		same := from.zone == node.zone && to.zone == node.zone && instances[from.node] && instances[to.node]
		return same && from != to && (from == node || to == node)
	}}
}
