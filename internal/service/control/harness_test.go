package control_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/control"
	"github.com/pollenpier/pollenpier/operator"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// cluster is a set of instances on one log. Its clock runs ten times as fast as the real one.
type cluster struct {
	t     *testing.T
	log   *platformapi.Fake
	clock *kernel.ManualClock
	mu    sync.Mutex
	nodes map[string]*node // by peer address
	last  int
}

// node is one instance: the control service with fakes of the other services.
type node struct {
	self    service.Self
	kernel  *kernel.Kernel
	control *control.Service
	down    atomic.Bool // this instance cannot reach the platform
	once    sync.Once
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, log: platformapi.NewFake(), clock: kernel.NewManualClock(), nodes: map[string]*node{}}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				c.clock.Advance(10 * time.Millisecond)
			case <-stop:
				return
			}
		}
	}()
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.stop()
		}
		close(stop)
		<-stopped
	})
	return c
}

func (c *cluster) start(zone entity.Zone, settings control.Settings) *node {
	c.last++
	id := fmt.Sprintf("i%d", c.last)
	n := &node{self: service.Self{ID: entity.InstanceID(id), Zone: zone, Address: id + ":1"}}
	n.control = control.New(n.self, settings, zap.NewNop(), metrics.NewRegistry())
	services := []kernel.Service{
		n.control, &fakePlatform{Fake: c.log, down: &n.down}, &fakePeers{cluster: c}, &fakeLease{self: n.self},
	}
	for _, name := range []kernel.Name{
		service.Session, service.Routing, service.Dispatch, service.Admission,
	} {
		services = append(services, &sink{name: name})
	}
	var err error
	n.kernel, err = kernel.New(c.clock, services)
	require.NoError(c.t, err)
	require.NoError(c.t, n.kernel.Start(context.Background()))
	c.mu.Lock()
	c.nodes[n.self.Address] = n
	c.mu.Unlock()
	return n
}

func (n *node) stop() {
	n.once.Do(func() { _ = n.kernel.Stop(context.Background()) })
}

func (n *node) deliver(t *testing.T, msg kernel.Message) {
	require.NoError(t, n.kernel.Deliver(context.Background(), service.Control, msg))
}

func (n *node) view() *ownership.View {
	if v := n.control.Ownership(); v != nil {
		return v
	}
	return &ownership.View{}
}

// eventually waits, in real time, until the condition holds.
func (c *cluster) eventually(what string, holds func() bool) {
	c.t.Helper()
	require.Eventually(c.t, holds, 20*time.Second, 2*time.Millisecond, what)
}

// heartbeats delivers heartbeats between the nodes until the test ends. The returned function stops those from and to a
// node.
func (c *cluster) heartbeats(nodes ...*node) (disconnect func(*node)) {
	var mu sync.Mutex
	disconnected := map[*node]bool{}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(5 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
			case <-stop:
				return
			}
			mu.Lock()
			for _, from := range nodes {
				for _, to := range nodes {
					if from == to || disconnected[from] || disconnected[to] {
						continue
					}
					to.kernel.Post(service.Control, service.PeerState{
						Instance: from.self.ID, Zone: from.self.Zone, Address: from.self.Address, At: c.clock.Now(),
					})
				}
			}
			mu.Unlock()
		}
	}()
	c.t.Cleanup(func() {
		close(stop)
		<-stopped
	})
	return func(n *node) {
		mu.Lock()
		defer mu.Unlock()
		disconnected[n] = true
	}
}

// setInstances sets the platform's instance list to the given nodes.
func (c *cluster) setInstances(nodes ...*node) {
	var list []platformapi.Instance
	for _, n := range nodes {
		entry := platformapi.Instance{Address: n.self.Address, Zone: n.self.Zone, State: platformapi.InstanceLive}
		list = append(list, entry)
	}
	c.log.SetInstances(list)
}

type fakePlatform struct {
	*platformapi.Fake
	down *atomic.Bool
}

var errUnreachable = errors.Wrap(platformapi.ErrUnavailable, "unreachable from this instance")

func (f *fakePlatform) Name() kernel.Name                { return service.Platform }
func (f *fakePlatform) Needs() []kernel.Name             { return nil }
func (f *fakePlatform) Provision(*kernel.Resolver) error { return nil }
func (f *fakePlatform) Start(context.Context) error      { return nil }
func (f *fakePlatform) Stop(context.Context) error       { return nil }

func (f *fakePlatform) Append(ctx context.Context, s platformapi.Stream, d platformapi.Draft) (entity.Offset, error) {
	if f.down.Load() {
		return 0, errUnreachable
	}
	return f.Fake.Append(ctx, s, d)
}

func (f *fakePlatform) Read(
	ctx context.Context, s platformapi.Stream, from entity.Offset, limit int, wait time.Duration,
) (platformapi.Batch, error) {
	if f.down.Load() {
		return platformapi.Batch{}, errUnreachable
	}
	return f.Fake.Read(ctx, s, from, limit, wait/10) // the clock runs ten times as fast
}

// fakePeers delivers queries to the control services of the other nodes.
type fakePeers struct{ cluster *cluster }

func (f *fakePeers) Name() kernel.Name                { return service.Peers }
func (f *fakePeers) Needs() []kernel.Name             { return nil }
func (f *fakePeers) Provision(*kernel.Resolver) error { return nil }
func (f *fakePeers) Start(context.Context) error      { return nil }
func (f *fakePeers) Stop(context.Context) error       { return nil }

func (f *fakePeers) node(address string) (*node, error) {
	f.cluster.mu.Lock()
	defer f.cluster.mu.Unlock()
	if n, ok := f.cluster.nodes[address]; ok {
		return n, nil
	}
	return nil, errors.Errorf("no peer %s", address)
}

func (f *fakePeers) FetchState(ctx context.Context, address string) ([]byte, entity.Offset, error) {
	n, err := f.node(address)
	if err != nil {
		return nil, 0, err
	}
	answer, err := ask(ctx, n, func(r chan<- service.StateAnswer) kernel.Message { return service.StateQuery{Reply: r} })
	if err != nil || !answer.Available {
		return nil, 0, errors.Errorf("no state at %s: %v", address, err)
	}
	return answer.State, answer.Offset, nil
}

func (f *fakePeers) Records(
	ctx context.Context, address string, _ platformapi.Stream, from entity.Offset, limit int,
) (service.RelayedBatch, error) {
	n, err := f.node(address)
	if err != nil {
		return service.RelayedBatch{}, err
	}
	answer, err := ask(ctx, n, func(r chan<- service.RecordsAnswer) kernel.Message {
		return service.RecordsQuery{From: from, Limit: limit, Reply: r}
	})
	if err != nil || !answer.Available {
		return service.RelayedBatch{}, errors.Errorf("no records at %s: %v", address, err)
	}
	return answer.RelayedBatch, nil
}

func ask[T any](ctx context.Context, n *node, query func(chan<- T) kernel.Message) (T, error) {
	reply := make(chan T, 1)
	var none T
	if err := n.kernel.Deliver(ctx, service.Control, query(reply)); err != nil {
		return none, err
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// fakeLease reports each version of the own group as known to its majority, and records the votes that control sends.
type fakeLease struct {
	sink
	self  service.Self
	votes []service.ZoneVote
}

// Leases reports the instance as the delegate of its zone: in tests with votes each zone has one instance.
func (f *fakeLease) Leases() *service.LeaseView {
	return &service.LeaseView{Held: map[service.LeaseName]service.HeldLease{
		service.DelegateLease(f.self.Zone): {Term: 1, Until: 1 << 62},
	}}
}

func (f *fakeLease) Name() kernel.Name { return service.Lease }

func (f *fakeLease) Handle(turn *kernel.Turn, msg kernel.Message) {
	switch m := msg.(type) {
	case service.ZoneVote:
		f.votes = append(f.votes, m)
	case service.OwnershipChanged:
		member, ok := m.View.Member(f.self.ID)
		if !ok {
			return
		}
		key := ownership.GroupKey{Zone: member.Zone, Group: member.Group}
		report := service.RosterReport{Group: key, Version: m.View.GroupVersions[key], Since: turn.Now()}
		turn.Send(service.Control, report)
	}
}

// sink is a service that accepts and discards every message.
type sink struct{ name kernel.Name }

func (s *sink) Name() kernel.Name                       { return s.name }
func (s *sink) Needs() []kernel.Name                    { return nil }
func (s *sink) Provision(*kernel.Resolver) error        { return nil }
func (s *sink) Start(context.Context) error             { return nil }
func (s *sink) Stop(context.Context) error              { return nil }
func (s *sink) Handle(_ *kernel.Turn, _ kernel.Message) {}

// testConfig returns a configuration with one service that has two backends in each of the given zones.
func testConfig(zones ...operator.Zone) *operator.Config {
	config := &operator.Config{Zones: zones}
	svc := operator.Service{Name: "stock", Partitions: 16, MaxRun: time.Second, CutoffHold: 2 * time.Second}
	for _, z := range zones {
		for i := range 2 {
			svc.Backends = append(svc.Backends, operator.Backend{
				Name: fmt.Sprintf("%s%d", z.Name, i+1), Zone: z.Name, Address: "127.0.0.1:1", Slots: 4,
			})
		}
	}
	config.Services = []operator.Service{svc}
	return config
}

// owners counts the partitions by owner. Moving ones are counted under "moving".
func owners(v *ownership.View) map[entity.BackendID]int {
	counts := map[entity.BackendID]int{}
	if v == nil || v.Services["stock"] == nil {
		return counts
	}
	for _, o := range v.Services["stock"].Owners {
		if o.Moving() {
			counts["moving"]++
		} else {
			counts[o.Backend]++
		}
	}
	return counts
}
