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

// part is a service without a life cycle of its own.
type part struct{ name kernel.Name }

func (p *part) Name() kernel.Name              { return p.name }
func (*part) Needs() []kernel.Name             { return nil }
func (*part) Provision(*kernel.Resolver) error { return nil }
func (*part) Start(context.Context) error      { return nil }
func (*part) Stop(context.Context) error       { return nil }

// cluster is a zone whose lease of the token shard is given by hand.
type cluster struct {
	clock kernel.Clock // of all nodes
	nodes []*node
	mu    sync.Mutex
	cut   bool
}

type node struct {
	part      // the peers
	cluster   *cluster
	id        entity.InstanceID
	kernel    *kernel.Kernel
	admission *admission.Service
	leases    *leases
}

type leases struct {
	part
	view kernel.Snapshot[service.LeaseView]
}

func (l *leases) Leases() *service.LeaseView { return l.view.Load() }

var errUnreachable = errors.New("peer unreachable")

func (n *node) LeaseTokens(ctx context.Context, address string, r service.TokenRequest) (service.TokenResponse, error) {
	n.cluster.mu.Lock()
	cut := n.cluster.cut
	n.cluster.mu.Unlock()
	for _, peer := range n.cluster.nodes {
		if string(peer.id) != address || cut {
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
		n := &node{part: part{service.Peers}, cluster: c, id: entity.InstanceID(fmt.Sprint("i", i)), leases: &leases{part: part{service.Lease}}}
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

// giveLease makes one instance the token server.
func (c *cluster) giveLease(t *testing.T, holder int, term entity.Term) {
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

// hammer sends requests through all instances for a time and returns how many were admitted.
func (c *cluster) hammer(d time.Duration) (admitted int64) {
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

// Guards against instances that together admit more than the rate and burst, and against a change of the token server that
// admits a second burst or stops admission.
func TestInstancesShareOneRate(t *testing.T) {
	const rate, burst = 400, 20
	c := newCluster(t, 3, admission.Settings{MaxWait: 100 * time.Millisecond})
	c.configure(t, rate, burst)
	c.giveLease(t, 0, 1)
	began := c.clock.Now()
	admitted := c.hammer(700 * time.Millisecond)
	c.giveLease(t, 1, 2)
	admitted += c.hammer(700 * time.Millisecond)
	elapsed := (c.clock.Now() - began).Seconds()
	t.Logf("%d admitted in %.3f s at %d/s", admitted, elapsed, rate)
	require.LessOrEqual(t, float64(admitted), rate*elapsed+burst)
	// Two servers start empty and wait for 200 ms each. A quarter of the rate leaves room for a busy machine.
	require.Greater(t, float64(admitted), rate*elapsed/4)
}

// Guards against refusals without advice, a wait beyond the bound or the caller's deadline, and tokens without a server.
func TestRefusalsSayHowLongToWait(t *testing.T) {
	c := newCluster(t, 2, admission.Settings{MaxWait: 50 * time.Millisecond})
	n := c.nodes[1]
	refused := func(ctx context.Context, customer entity.CustomerID) {
		t.Helper()
		r := n.admission.Admit(ctx, customer)
		require.Equal(t, entity.OutcomeNotRun, r.Outcome.Kind)
		require.Equal(t, entity.ReasonRateLimited, r.Outcome.Reason)
		require.Positive(t, r.Wait)
	}
	refused(context.Background(), "c") // no configuration yet
	c.configure(t, 1, 1)
	refused(context.Background(), "unknown")
	refused(context.Background(), "c") // no token server
	c.giveLease(t, 0, 1)
	require.Eventually(t, func() bool {
		return n.admission.Admit(context.Background(), "c").Outcome.Kind == entity.OutcomeAnswered
	}, 20*time.Second, time.Millisecond)
	c.configure(t, 0.001, 1)
	refused(context.Background(), "c") // the only token is spent
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	refused(ctx, "c")
	c.mu.Lock()
	c.cut = true
	c.mu.Unlock()
	refused(context.Background(), "c")
}

// Guards against garbage on the path of every request.
func TestAdmitFromAWalletDoesNotAllocate(t *testing.T) {
	c := newCluster(t, 1, admission.Settings{})
	c.configure(t, 1e6, 1_000_000)
	c.giveLease(t, 0, 1)
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

// Guards against a zone that admits more than its part, and against lowered limits that hold only later.
func TestLimitsFollowConfigurationAndShares(t *testing.T) {
	c := newCluster(t, 1, admission.Settings{MaxWait: 20 * time.Millisecond})
	c.configure(t, 1e6, 100_000)
	c.giveLease(t, 0, 1)
	n := c.nodes[0]
	require.Eventually(t, func() bool {
		return n.admission.Admit(context.Background(), "c").Outcome.Kind == entity.OutcomeAnswered
	}, 20*time.Second, time.Millisecond)
	view := &ownership.View{ZoneShares: map[entity.CustomerID]map[entity.Zone]uint32{"c": {"other": 1000}}}
	c.send(t, service.OwnershipChanged{View: view})
	// Messages are handled in order: when this one was answered, the shares are in force.
	answer := make(chan service.TokenResponse, 1)
	c.send(t, service.TokensQuery{Reply: answer})
	<-answer
	for range 100 {
		require.Equal(t, entity.OutcomeNotRun, n.admission.Admit(context.Background(), "c").Outcome.Kind)
	}
}

// Guards against zones that gain from a change of the list of zones while another zone still goes by the former list.
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
	// full returns the burst of the zone: all tokens of a bucket that has had the time to fill. The first request makes sure
	// that all earlier messages are handled before the time moves.
	full := func() uint32 {
		lease()
		clock.Advance(time.Second)
		return lease()
	}
	zones("z", "y", "x")
	c.giveLease(t, 0, 1)
	require.Equal(t, uint32(100), full())
	zones("z", "y")
	require.Equal(t, uint32(100), full())
	clock.Advance(61 * time.Second)
	require.Equal(t, uint32(150), full())
	zones("z", "y", "x", "w")
	require.Equal(t, uint32(75), full())
}
