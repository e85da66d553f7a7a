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

// place is one end of a connection. The platform and operators are in no zone.
type place struct{ node, zone string }

// cut says which connections do not work. A silent cut lets dials and reads time out; the other refuses dials.
type cut struct {
	hits   func(from, to place) bool
	refuse bool
}

// fabric is the network between all processes of a test. Connections that exist when a cut begins fall silent and stay so.
type fabric struct {
	mu     sync.Mutex
	places map[string]place // by address
	cuts   []cut
	open   map[*conn]bool
}

func newFabric() *fabric {
	return &fabric{places: map[string]place{}, open: map[*conn]bool{}}
}

// add makes an address known.
func (f *fabric) add(address string, p place) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.places[address] = p
}

// begin adds a cut and silences the connections that it hits.
func (f *fabric) begin(c cut) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts = append(f.cuts, c)
	for open := range f.open {
		if c.hits(open.from, open.to) {
			open.silence()
		}
	}
}

// heal ends all cuts.
func (f *fabric) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts = nil
}

// close closes what silenced connections have kept open.
func (f *fabric) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for open := range f.open {
		_ = open.Conn.Close()
	}
}

// hit returns the first cut between two places. The caller holds the lock.
func (f *fabric) hit(from, to place) (cut, bool) {
	for _, c := range f.cuts {
		if c.hits(from, to) {
			return c, true
		}
	}
	return cut{}, false
}

// dialFrom returns the dial function of a place.
func (f *fabric) dialFrom(from place) network.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		f.mu.Lock()
		to := f.places[address]
		c, hit := f.hit(from, to)
		f.mu.Unlock()
		if hit && c.refuse {
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		}
		if hit {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		inner, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		opened := &conn{
			Conn: inner, fabric: f, from: from, to: to, silent: make(chan struct{}), closed: make(chan struct{}),
			moved: make(chan struct{}),
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.open[opened] = true
		if _, hit := f.hit(from, to); hit {
			opened.silence()
		}
		return opened, nil
	}
}

// conn is a connection that can fall silent: nothing that is sent arrives, and neither side learns that the other closes.
type conn struct {
	net.Conn

	fabric         *fabric
	from, to       place
	silent, closed chan struct{}
	closeOnce      sync.Once
	silenceOnce    sync.Once

	mu       sync.Mutex
	deadline time.Time     // of reads
	moved    chan struct{} // closed and replaced when the deadline changes
}

// silence stops all delivery and interrupts a read that waits.
func (c *conn) silence() {
	c.silenceOnce.Do(func() {
		close(c.silent)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	})
}

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if !c.isSilent() {
		n, err := c.Conn.Read(p)
		if !c.isSilent() {
			return n, err
		}
	}
	return 0, c.wait()
}

// wait blocks as a read of a silent connection does: until its deadline or its close.
func (c *conn) wait() error {
	for {
		c.mu.Lock()
		deadline, moved := c.deadline, c.moved
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
		case <-moved:
		}
	}
}

// Write implements net.Conn. What is written to a silent connection is lost.
func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
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
	close(c.moved)
	c.moved = make(chan struct{})
	c.mu.Unlock()
	if c.isSilent() {
		return nil
	}
	err := c.Conn.SetReadDeadline(t)
	if c.isSilent() { // it fell silent meanwhile, and its reads must stay interrupted
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// Close implements net.Conn. The other side of a silent connection does not notice.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	if c.isSilent() {
		return nil
	}
	c.fabric.mu.Lock()
	delete(c.fabric.open, c)
	c.fabric.mu.Unlock()
	return c.Conn.Close()
}

// zoneCut separates a zone from everything outside it.
func zoneCut(zone string) cut {
	return cut{hits: func(from, to place) bool { return (from.zone == zone) != (to.zone == zone) }}
}

// platformCut separates zones from the platform, all zones if none is given.
func platformCut(zones ...string) cut {
	return cut{hits: func(from, to place) bool {
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

// peersCut separates a node from the other instances of its zone. It refuses connections.
func peersCut(node place, instances map[string]bool) cut {
	return cut{refuse: true, hits: func(from, to place) bool {
		same := from.zone == node.zone && to.zone == node.zone && instances[from.node] && instances[to.node]
		return same && from != to && (from == node || to == node)
	}}
}
