package admission_test

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

	decide "github.com/pollenpier/pollenpier/internal/decide/admission"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/admission"
	"github.com/pollenpier/pollenpier/operator"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const zone entity.Zone = "z"

// fakeService implements the life cycle of a service with empty methods.
type fakeService struct{ name kernel.Name }

func (p *fakeService) Name() kernel.Name              { return p.name }
func (*fakeService) Needs() []kernel.Name             { return nil }
func (*fakeService) Provision(*kernel.Resolver) error { return nil }
func (*fakeService) Start(context.Context) error      { return nil }
func (*fakeService) Stop(context.Context) error       { return nil }

// cluster is a zone in which the test assigns the lease of the token shard.
type cluster struct {
	clock       kernel.Clock // of all nodes
	nodes       []*node
	mu          sync.Mutex
	partitioned bool
}

type node struct {
	fakeService // named peers: it sends to the other nodes
	cluster     *cluster
	id          entity.InstanceID
	kernel      *kernel.Kernel
	admission   *admission.Service
	leases      *leases
}

type leases struct {
	fakeService
	view kernel.Snapshot[service.LeaseView]
}

func (l *leases) Leases() *service.LeaseView { return l.view.Load() }

var errUnreachable = errors.New("peer unreachable")

func (n *node) LeaseTokens(ctx context.Context, address string, r service.TokenRequest) (service.TokenResponse, error) {
	n.cluster.mu.Lock()
	partitioned := n.cluster.partitioned
	n.cluster.mu.Unlock()
	for _, peer := range n.cluster.nodes {
		if string(peer.id) != address || partitioned {
			continue
		}
		answer := make(chan service.TokenResponse, 1)
		if err := peer.kernel.Deliver(ctx, service.Admission, service.TokensQuery{Request: r, Reply: answer}); err != nil {
			return service.TokenResponse{}, err
		}
		select {
		case response := <-answer:
			return response, nil
		case <-ctx.Done():
			return service.TokenResponse{}, ctx.Err()
		}
	}
	return service.TokenResponse{}, errUnreachable
}

func newCluster(t *testing.T, count int, settings admission.Settings) *cluster {
	t.Helper()
	return newClusterWithClock(t, kernel.NewSystemClock(), count, settings)
}

func newClusterWithClock(t *testing.T, clock kernel.Clock, count int, settings admission.Settings) *cluster {
	t.Helper()
	c := &cluster{clock: clock}
	for i := range count {
		n := &node{fakeService: fakeService{service.Peers}, cluster: c, id: entity.InstanceID(fmt.Sprint("i", i)), leases: &leases{fakeService: fakeService{service.Lease}}}
		self := service.Self{ID: n.id, Zone: zone, Address: string(n.id)}
		n.admission = admission.New(self, settings, zap.NewNop(), metrics.NewRegistry())
		k, err := kernel.New(c.clock, []kernel.Service{n, n.leases, n.admission})
		require.NoError(t, err)
		n.kernel = k
		require.NoError(t, k.Start(context.Background()))
		t.Cleanup(func() { require.NoError(t, k.Stop(context.Background())) })
		c.nodes = append(c.nodes, n)
	}
	view := &ownership.View{}
	for _, n := range c.nodes {
		view.Members = append(view.Members, ownership.Member{ID: n.id, Zone: zone, Address: string(n.id)})
	}
	c.send(t, service.OwnershipChanged{View: view})
	return c
}

func (c *cluster) send(t *testing.T, m kernel.Message) {
	t.Helper()
	for _, n := range c.nodes {
		require.NoError(t, n.kernel.Deliver(context.Background(), service.Admission, m))
	}
}

// grantLease makes one instance the token server.
func (c *cluster) grantLease(t *testing.T, holder int, term entity.Term) {
	t.Helper()
	name := service.TokenLease(0)
	for i, n := range c.nodes {
		v := &service.LeaseView{Holders: map[service.LeaseName]entity.InstanceID{name: c.nodes[holder].id}}
		if i == holder {
			v.Held = map[service.LeaseName]service.HeldLease{name: {Term: term, Since: c.clock.Now(), Until: 1 << 62}}
		}
		n.leases.view.Publish(v)
		require.NoError(t, n.kernel.Deliver(context.Background(), service.Admission, service.LeaseChanged{View: v}))
	}
}

func (c *cluster) configure(t *testing.T, rate float64, burst int) {
	t.Helper()
	cfg, err := operator.New().Zone(string(zone)).Customer("c", rate, burst).Build()
	require.NoError(t, err)
	c.send(t, service.ConfigChanged{Config: cfg, Version: 1})
}

// sendLoad sends requests through all instances for a time and returns how many were admitted.
func (c *cluster) sendLoad(d time.Duration) (admitted int64) {
	var count atomic.Int64
	var wg sync.WaitGroup
	end := c.clock.Now() + d
	for _, n := range c.nodes {
		for range 4 {
			wg.Go(func() {
				for c.clock.Now() < end {
					r := n.admission.Admit(context.Background(), "c")
					if r.Outcome.Kind == entity.OutcomeAnswered {
						count.Add(1)
						continue
					}
					time.Sleep(time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	return count.Load()
}

// Guards against instances that together admit more than the rate and burst, and against a change of the token server
// that admits a second burst or stops admission.
func TestInstancesShareOneRate(t *testing.T) {
	const rate, burst = 400, 20
	c := newCluster(t, 3, admission.Settings{MaxWait: 100 * time.Millisecond})
	c.configure(t, rate, burst)
	c.grantLease(t, 0, 1)
	began := c.clock.Now()
	admitted := c.sendLoad(700 * time.Millisecond)
	c.grantLease(t, 1, 2)
	admitted += c.sendLoad(700 * time.Millisecond)
	elapsed := (c.clock.Now() - began).Seconds()
	t.Logf("%d admitted in %.3f s at %d/s", admitted, elapsed, rate)
	require.LessOrEqual(t, float64(admitted), rate*elapsed+burst)
	// Each of the two servers starts without tokens and waits for 200 ms. The bound of a quarter of the rate allows for a
	// busy machine.
	require.Greater(t, float64(admitted), rate*elapsed/4)
}

// Guards against refusals without a retry delay, a wait beyond the bound or the caller's deadline, tokens without a server,
// and refusals that blame the customer's rate for the loss of the token server.
func TestRefusalsHaveRetryDelayAndTrueReason(t *testing.T) {
	c := newCluster(t, 2, admission.Settings{MaxWait: 50 * time.Millisecond, MaxOutage: 50 * time.Millisecond})
	n := c.nodes[1]
	refused := func(ctx context.Context, customer entity.CustomerID) entity.Reason {
		t.Helper()
		r := n.admission.Admit(ctx, customer)
		require.Equal(t, entity.OutcomeNotRun, r.Outcome.Kind)
		require.Positive(t, r.Wait)
		return r.Outcome.Reason
	}
	require.Equal(t, entity.ReasonNoOwner, refused(context.Background(), "c")) // no configuration yet
	c.configure(t, 1, 1)
	c.settle(t)
	require.Equal(t, entity.ReasonNoOwner, refused(context.Background(), "unknown"))
	require.Equal(t, entity.ReasonUnreachable, refused(context.Background(), "c")) // no token server
	c.grantLease(t, 0, 1)
	require.Eventually(t, func() bool {
		return n.admission.Admit(context.Background(), "c").Outcome.Kind == entity.OutcomeAnswered
	}, 20*time.Second, time.Millisecond)
	c.configure(t, 0.001, 1)
	require.Eventually(t, func() bool { // the only token is spent
		return refused(context.Background(), "c") == entity.ReasonRateLimited
	}, 20*time.Second, time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.Equal(t, entity.ReasonRateLimited, refused(ctx, "c"))
	c.mu.Lock()
	c.partitioned = true
	c.mu.Unlock()
	require.Eventually(t, func() bool {
		return refused(context.Background(), "c") == entity.ReasonUnreachable
	}, 20*time.Second, time.Millisecond)
}

// Guards against an allocation, and thus garbage collection, for every request.
func TestAdmitFromTokenPoolDoesNotAllocate(t *testing.T) {
	c := newCluster(t, 1, admission.Settings{})
	c.configure(t, 1e6, 1_000_000)
	c.grantLease(t, 0, 1)
	ctx := context.Background()
	n := c.nodes[0]
	// The demand estimate grows with use, until batches are large enough for the measured calls.
	require.Eventually(t, func() bool {
		for range 20_000 {
			n.admission.Admit(ctx, "c")
		}
		return testing.AllocsPerRun(100, func() { n.admission.Admit(ctx, "c") }) == 0
	}, 20*time.Second, time.Millisecond)
}

// Guards against a zone that admits more than its share, and against lowered limits that take effect late.
func TestLimitsFollowConfigurationAndShares(t *testing.T) {
	c := newCluster(t, 1, admission.Settings{MaxWait: 20 * time.Millisecond})
	c.configure(t, 1e6, 100_000)
	c.grantLease(t, 0, 1)
	n := c.nodes[0]
	require.Eventually(t, func() bool {
		return n.admission.Admit(context.Background(), "c").Outcome.Kind == entity.OutcomeAnswered
	}, 20*time.Second, time.Millisecond)
	view := &ownership.View{ZoneShares: map[entity.CustomerID]map[entity.Zone]uint32{"c": {"other": 1000}}}
	c.send(t, service.OwnershipChanged{View: view})
	// Messages are handled in order: once this one is answered, the shares are effective.
	answer := make(chan service.TokenResponse, 1)
	c.send(t, service.TokensQuery{Reply: answer})
	<-answer
	for range 100 {
		require.Equal(t, entity.OutcomeNotRun, n.admission.Admit(context.Background(), "c").Outcome.Kind)
	}
}

// Guards against zones whose share increases with a change of the list of zones while another zone still uses the
// previous list.
func TestZonesGainOnlyAfterOthersHaveLost(t *testing.T) {
	clock := kernel.NewManualClock()
	c := newClusterWithClock(t, clock, 1, admission.Settings{})
	zones := func(names ...string) {
		cfg, err := operator.New().Zone(names...).Customer("c", 3000, 300).Build()
		require.NoError(t, err)
		c.send(t, service.ConfigChanged{Config: cfg, Version: 1})
	}
	sequence := uint64(0)
	lease := func() uint32 {
		sequence++
		answer := make(chan service.TokenResponse, 1)
		r := service.TokenRequest{Instance: "other", Sequence: sequence, Demands: []decide.Demand{{Customer: "c", Want: 1000}}}
		c.send(t, service.TokensQuery{Request: r, Reply: answer})
		return (<-answer).Grants[0].Tokens
	}
	// fullBurst returns the burst of the zone: all tokens of a bucket that has had the time to fill. The first request
	// ensures that all earlier messages are handled before the clock advances.
	fullBurst := func() uint32 {
		lease()
		clock.Advance(time.Second)
		return lease()
	}
	zones("z", "y", "x")
	c.grantLease(t, 0, 1)
	require.Equal(t, uint32(100), fullBurst())
	zones("z", "y")
	require.Equal(t, uint32(100), fullBurst())
	clock.Advance(61 * time.Second)
	require.Equal(t, uint32(150), fullBurst())
	zones("z", "y", "x", "w")
	require.Equal(t, uint32(75), fullBurst())
}
