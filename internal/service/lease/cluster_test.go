package lease_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/lease"
	"github.com/pollenpier/pollenpier/operator"
)

const (
	step       = 10 * time.Millisecond
	cutoffHold = 5 * time.Second
	// idleTimeout is real time; it only bounds a test that hangs.
	idleTimeout = 20 * time.Second
)

var errPartitioned = errors.New("no connection")

// cluster runs several kernels on one manual clock and an in-memory network.
type cluster struct {
	t     *testing.T
	clock *kernel.ManualClock
	nodes []*node
	view  *ownership.View
	// platformDown and isolated change only between steps, when no heartbeat is in flight.
	platformDown bool
	isolated     map[entity.Zone]bool
	onCall       func(service.HeartbeatRequest, service.HeartbeatResponse)
}

type node struct {
	self     service.Self
	svc      *lease.Service
	kernel   *kernel.Kernel
	registry metrics.Registry
	dead     bool
	paused   chan struct{}
	reports  atomic.Int64
	states   atomic.Int64
}

// sink replaces the services that lease sends messages to.
type sink struct {
	name kernel.Name
	node *node
}

type barrier struct{ entered, release chan struct{} }

func (s *sink) Name() kernel.Name                { return s.name }
func (s *sink) Needs() []kernel.Name             { return nil }
func (s *sink) Provision(*kernel.Resolver) error { return nil }
func (s *sink) Start(context.Context) error      { return nil }
func (s *sink) Stop(context.Context) error       { return nil }
func (s *sink) Handle(_ *kernel.Turn, m kernel.Message) {
	switch m := m.(type) {
	case barrier:
		close(m.entered)
		<-m.release
	case service.RosterReport:
		s.node.reports.Add(1)
	case service.PeerState:
		s.node.states.Add(1)
	}
}

// network is the sender of one node's heartbeats.
type network struct {
	sink
	cluster *cluster
}

func (n *network) Heartbeat(ctx context.Context, address string, req service.HeartbeatRequest) (service.HeartbeatResponse, error) {
	c := n.cluster
	for _, to := range c.nodes {
		if to.self.Address != address || to.dead || to.paused != nil || c.partitioned(n.node, to) {
			continue
		}
		reply := make(chan service.HeartbeatResponse, 1)
		if err := to.kernel.Deliver(ctx, service.Lease, service.HeartbeatReceived{Request: req, Reply: reply}); err != nil {
			return service.HeartbeatResponse{}, err
		}
		select {
		case r := <-reply:
			if c.onCall != nil {
				c.onCall(req, r)
			}
			return r, nil
		case <-ctx.Done():
			return service.HeartbeatResponse{}, ctx.Err()
		}
	}
	return service.HeartbeatResponse{}, errPartitioned
}

func (c *cluster) partitioned(a, b *node) bool {
	return a.self.Zone != b.self.Zone && (c.isolated[a.self.Zone] || c.isolated[b.self.Zone])
}

// newCluster starts instances in each zone, with the given number of backends in each zone.
func newCluster(t *testing.T, zones []string, instances, backends int) *cluster {
	c := &cluster{t: t, clock: kernel.NewManualClock(), isolated: map[entity.Zone]bool{}}
	c.view = &ownership.View{
		Offset: 100, GroupVersions: map[ownership.GroupKey]uint64{}, LostZones: map[entity.Zone]entity.Offset{},
	}
	config := &operator.Config{Services: []operator.Service{{Name: "stock"}}}
	for _, zone := range zones {
		config.Zones = append(config.Zones, operator.Zone{Name: zone})
		c.view.GroupVersions[ownership.GroupKey{Zone: entity.Zone(zone)}] = 90
		for i := range instances {
			self := service.Self{
				ID: entity.InstanceID(fmt.Sprintf("%s-%d-5f2c91", zone, i)), Zone: entity.Zone(zone),
				Address: fmt.Sprintf("%s:%d", zone, i),
			}
			c.view.Members = append(c.view.Members, ownership.Member{ID: self.ID, Zone: self.Zone, Address: self.Address})
			c.nodes = append(c.nodes, &node{self: self, registry: metrics.NewRegistry()})
		}
		for i := range backends {
			b := operator.Backend{Name: fmt.Sprintf("stock-%s-%d", zone, i), Zone: zone}
			config.Services[0].Backends = append(config.Services[0].Backends, b)
		}
	}
	for _, n := range c.nodes {
		c.start(n)
		c.send(n, service.ConfigChanged{Config: config, Version: 55})
		c.send(n, service.OwnershipChanged{View: c.view})
	}
	t.Cleanup(c.stop)
	return c
}

func (c *cluster) start(n *node) {
	n.svc = lease.New(n.self, lease.DefaultSettings(), zap.NewNop(), n.registry)
	services := []kernel.Service{n.svc, &network{sink{service.Peers, n}, c}}
	for _, name := range []kernel.Name{
		service.Control, service.Config, service.Session, service.Dispatch, service.Admission,
	} {
		services = append(services, &sink{name, n})
	}
	k, err := kernel.New(c.clock, services)
	require.NoError(c.t, err)
	n.kernel = k
	require.NoError(c.t, k.Start(context.Background()))
}

func (c *cluster) send(n *node, m kernel.Message) {
	require.NoError(c.t, n.kernel.Deliver(context.Background(), service.Lease, m))
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		if n.paused != nil {
			c.resume(n)
		}
		if !n.dead {
			c.kill(n)
		}
	}
}

func (c *cluster) kill(n *node) {
	n.dead = true
	require.NoError(c.t, n.kernel.Stop(context.Background()))
}

// pause blocks the node's control goroutine; its clock continues.
func (c *cluster) pause(n *node) {
	b := barrier{make(chan struct{}), make(chan struct{})}
	require.NoError(c.t, n.kernel.Deliver(context.Background(), service.Admission, b))
	<-b.entered
	n.paused = b.release
}

func (c *cluster) resume(n *node) {
	close(n.paused)
	n.paused = nil
}

// run advances the clock and checks after each step that no backend has two primaries. It returns the time passed until
// done returns true or the limit is reached.
func (c *cluster) run(limit time.Duration, done func() bool) time.Duration {
	c.t.Helper()
	start := c.clock.Now()
	for c.clock.Now()-start < limit {
		if done != nil && done() {
			break
		}
		if c.clock.Now()%(10*step) == 0 {
			c.readLog()
		}
		c.clock.Advance(step)
		c.waitIdle()
		c.primaries()
	}
	return c.clock.Now() - start
}

func (c *cluster) readLog() {
	for _, n := range c.nodes {
		if c.platformDown || c.isolated[n.self.Zone] || n.dead || n.paused != nil {
			continue
		}
		c.send(n, service.LogRead{
			Stream: platformapi.StreamControl, Started: c.clock.Now(), AtTail: true, Offset: c.view.Offset,
		})
	}
}

// waitIdle waits until all messages are handled and all heartbeats are answered.
func (c *cluster) waitIdle() {
	deadline := time.Now().Add(idleTimeout)
	for idleRounds := 0; idleRounds < 2; {
		idle := true
		for _, n := range c.nodes {
			if !n.dead && n.paused == nil {
				idle = n.idle(c.t) && idle
			}
		}
		if !idle {
			idleRounds = 0
			time.Sleep(20 * time.Microsecond)
			require.True(c.t, time.Now().Before(deadline), "the cluster does not become idle")
			continue
		}
		idleRounds++
	}
}

func (n *node) idle(t *testing.T) bool {
	b := barrier{make(chan struct{}), make(chan struct{})}
	close(b.release)
	require.NoError(t, n.kernel.Deliver(context.Background(), service.Admission, b))
	<-b.entered
	return n.count("heartbeats.sent") == n.count("heartbeats.answered")+n.count("heartbeats.failed")
}

func (n *node) count(name string) int64 {
	return metrics.GetOrRegisterCounter("lease."+name, n.registry).Count()
}

// acts returns the backends that the node may act for now, as traffic goroutines would see it. A paused node counts
// too.
func (c *cluster) acts(n *node) []entity.BackendID {
	var backends []entity.BackendID
	for name := range n.svc.Leases().Held {
		id, ok := backendOf(name)
		if !ok {
			continue
		}
		if _, ok := n.svc.Leases().MayAct(id, c.clock.Now(), cutoffHold); ok {
			backends = append(backends, id)
		}
	}
	return backends
}

func backendOf(name service.LeaseName) (entity.BackendID, bool) {
	const prefix = "backend/"
	if len(name) <= len(prefix) || name[:len(prefix)] != prefix {
		return "", false
	}
	return entity.BackendID(name[len(prefix):]), true
}

// primaries returns the node that acts for each backend, in all zones or the given one.
func (c *cluster) primaries(zones ...entity.Zone) map[entity.BackendID]*node {
	c.t.Helper()
	primaries := map[entity.BackendID]*node{}
	for _, n := range c.nodes {
		if n.dead || (len(zones) > 0 && n.self.Zone != zones[0]) {
			continue
		}
		for _, id := range c.acts(n) {
			require.Nil(c.t, primaries[id], "%s has two primaries", id)
			primaries[id] = n
		}
	}
	return primaries
}

// holder returns the node that holds a lease, nil if there is none.
func (c *cluster) holder(name service.LeaseName) *node {
	for _, n := range c.nodes {
		if held, ok := n.svc.Leases().Held[name]; ok && !n.dead && c.clock.Now() < held.Until {
			return n
		}
	}
	return nil
}
