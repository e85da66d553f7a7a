package config_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/configlog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/config"
	"github.com/pollenpier/pollenpier/operator"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout bounds every wait. It is long enough that a busy machine does not fail a test.
const waitTimeout = 20 * time.Second

// fakeService implements the life cycle of a service with empty methods.
type fakeService struct{ name kernel.Name }

func (p *fakeService) Name() kernel.Name                 { return p.name }
func (*fakeService) Needs() []kernel.Name                { return nil }
func (*fakeService) Provision(*kernel.Resolver) error    { return nil }
func (*fakeService) Start(context.Context) error         { return nil }
func (*fakeService) Stop(context.Context) error          { return nil }
func (*fakeService) Handle(*kernel.Turn, kernel.Message) {}

type fakePlatform struct {
	fakeService
	*platformapi.Fake
}

// subscriber records what the config service sends.
type subscriber struct {
	fakeService
	mu        sync.Mutex
	versions  []uint64
	tailReads int
}

func (l *subscriber) Handle(_ *kernel.Turn, m kernel.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch m := m.(type) {
	case service.ConfigChanged:
		l.versions = append(l.versions, m.Version)
	case service.LogRead:
		if m.AtTail {
			l.tailReads++
		}
	}
}

func (l *subscriber) received() ([]uint64, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]uint64(nil), l.versions...), l.tailReads
}

// network connects nodes by address, in place of the peer client and the peer server.
type network struct {
	fakeService
	mu    sync.Mutex
	nodes map[string]*node
	// relayedAge replaces the age in the peers' answers, if it is not zero.
	relayedAge time.Duration
}

var errUnreachable = errors.New("peer unreachable")

func (n *network) ask(ctx context.Context, address string, query kernel.Message) error {
	n.mu.Lock()
	peer, ok := n.nodes[address]
	n.mu.Unlock()
	if !ok {
		return errUnreachable
	}
	return peer.kernel.Deliver(ctx, service.Config, query)
}

func (n *network) Records(
	ctx context.Context, address string, _ platformapi.Stream, from entity.Offset, limit int,
) (service.RelayedBatch, error) {
	reply := make(chan service.RecordsAnswer, 1)
	if err := n.ask(ctx, address, service.RecordsQuery{From: from, Limit: limit, Reply: reply}); err != nil {
		return service.RelayedBatch{}, err
	}
	select {
	case a := <-reply:
		if !a.Available {
			return service.RelayedBatch{}, errUnreachable
		}
		if n.relayedAge != 0 {
			a.Age = n.relayedAge
		}
		return a.RelayedBatch, nil
	case <-ctx.Done():
		return service.RelayedBatch{}, ctx.Err()
	}
}

func (n *network) FetchConfigState(ctx context.Context, address string) ([]byte, entity.Offset, error) {
	reply := make(chan service.StateAnswer, 1)
	if err := n.ask(ctx, address, service.StateQuery{Reply: reply}); err != nil {
		return nil, 0, err
	}
	select {
	case a := <-reply:
		if !a.Available {
			return nil, 0, errUnreachable
		}
		return a.State, a.Offset, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

type node struct {
	kernel     *kernel.Kernel
	config     *config.Service
	subscriber *subscriber
	log        *platformapi.Fake
}

// start runs the service with its own connection to a platform.
func (n *network) start(t *testing.T, address string, log *platformapi.Fake, s config.Settings) *node {
	t.Helper()
	s.Subscribers = []kernel.Name{service.Lease}
	self := service.Self{ID: entity.InstanceID("id-" + address), Zone: "z", Address: address}
	peer := &node{
		config:     config.New(self, s, zap.NewNop(), metrics.NewRegistry()),
		subscriber: &subscriber{fakeService: fakeService{service.Lease}},
		log:        log,
	}
	k, err := kernel.New(kernel.NewSystemClock(), []kernel.Service{
		peer.config, peer.subscriber, &fakePlatform{fakeService{service.Platform}, log}, n,
	})
	require.NoError(t, err)
	peer.kernel = k
	require.NoError(t, k.Start(context.Background()))
	n.mu.Lock()
	n.nodes[address] = peer
	n.mu.Unlock()
	t.Cleanup(func() {
		n.mu.Lock()
		delete(n.nodes, address)
		n.mu.Unlock()
		require.NoError(t, k.Stop(context.Background()))
	})
	return peer
}

func newNetwork() *network {
	return &network{fakeService: fakeService{service.Peers}, nodes: map[string]*node{}}
}

func sample(t *testing.T, rate int) *operator.Config {
	t.Helper()
	c, err := operator.New().Zone("z").Customer("c", float64(rate), 1, operator.HashKey("k")).Build()
	require.NoError(t, err)
	return c
}

func publish(t *testing.T, log platformapi.Log, base uint64, rate int) uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	result, err := configlog.Publish(ctx, log, base, sample(t, rate), "operator")
	require.NoError(t, err)
	require.True(t, result.Accepted)
	return result.Version
}

func (n *node) waitForVersion(t *testing.T, version uint64) {
	t.Helper()
	require.Eventually(t, func() bool {
		s := n.config.ConfigStatus()
		return s != nil && s.Version == version
	}, waitTimeout, 5*time.Millisecond, "version %d", version)
}

// waitForFreshness waits until the node has a freshness proof of its configuration that is newer than now.
func (n *node) waitForFreshness(t *testing.T) {
	t.Helper()
	now := n.kernel.Now()
	require.Eventually(t, func() bool {
		s := n.config.ConfigStatus()
		return s != nil && s.FreshAt > now
	}, waitTimeout, 5*time.Millisecond)
}

// Guards against versions that subscribers miss or receive twice or out of order, and against reads that never prove
// the tail.
func TestSubscribersReceiveEachVersionOnce(t *testing.T) {
	log := platformapi.NewFake()
	n := newNetwork().start(t, "a", log, config.Settings{})
	first := publish(t, log, 0, 1)
	n.waitForVersion(t, first)
	_, err := log.Append(context.Background(), platformapi.StreamConfig, platformapi.Draft{Writer: "x", Payload: []byte("no record")})
	require.NoError(t, err)
	second := publish(t, log, first, 2)
	n.waitForVersion(t, second)
	n.waitForFreshness(t)
	versions, tailReads := n.subscriber.received()
	require.Equal(t, []uint64{first, second}, versions)
	require.Positive(t, tailReads)
	require.True(t, operator.Equal(sample(t, 2), n.config.ConfigStatus().Config))
}

// Guards against an instance that receives no more changes, or cannot start, because it alone cannot reach the
// platform.
func TestPeersReplaceThePlatform(t *testing.T) {
	log, net := platformapi.NewFake(), newNetwork()
	version := publish(t, log, 0, 1)
	healthy := net.start(t, "a", log, config.Settings{})
	healthy.waitForVersion(t, version)

	isolated := platformapi.NewFake()
	isolated.SetFaults(platformapi.Faults{Unavailable: true})
	late := net.start(t, "b", isolated, config.Settings{Peers: []string{"nowhere", "a"}})
	late.waitForVersion(t, version) // from the peer's state
	late.waitForFreshness(t)
	for rate := 2; rate < 5; rate++ {
		version = publish(t, log, version, rate)
		late.waitForVersion(t, version) // from the peer's records
	}
	versions, _ := late.subscriber.received()
	require.Len(t, versions, 4)
}

// Guards against a configuration that counts as fresher than it is, because the peer that measured its age has a slow clock.
func TestRelayedAgeAllowsForDrift(t *testing.T) {
	log, net := platformapi.NewFake(), newNetwork()
	net.relayedAge = 100 * time.Second
	version := publish(t, log, 0, 1)
	a := net.start(t, "a", log, config.Settings{})
	a.waitForVersion(t, version)
	isolated := platformapi.NewFake()
	isolated.SetFaults(platformapi.Faults{Unavailable: true})
	late := net.start(t, "b", isolated, config.Settings{Peers: []string{"a"}})
	late.waitForVersion(t, version)
	require.Eventually(t, func() bool {
		_, tailReads := late.subscriber.received()
		return tailReads > 0
	}, waitTimeout, 5*time.Millisecond)
	require.GreaterOrEqual(t, late.kernel.Now()-late.config.ConfigStatus().FreshAt, net.relayedAge*102/100)
}

// Guards against an outage that counts as a freshness proof: as no instance has read the log, no configuration may
// become fresher.
func TestNoFreshnessInAnOutage(t *testing.T) {
	log, net := platformapi.NewFake(), newNetwork()
	version := publish(t, log, 0, 1)
	a := net.start(t, "a", log, config.Settings{Peers: []string{"b"}})
	b := net.start(t, "b", log, config.Settings{Peers: []string{"a"}})
	a.waitForVersion(t, version)
	b.waitForVersion(t, version)
	log.SetFaults(platformapi.Faults{Unavailable: true})
	outageAt := max(a.kernel.Now(), b.kernel.Now())
	time.Sleep(time.Second) // several rounds of relays
	for _, n := range []*node{a, b} {
		require.Less(t, n.config.ConfigStatus().FreshAt, outageAt+100*time.Millisecond)
	}
	log.SetFaults(platformapi.Faults{})
	a.waitForFreshness(t)
}

// Guards against a stream that no instance can start from, because retention has dropped records that no checkpoint
// contains.
func TestCheckpointsOutliveRetention(t *testing.T) {
	log, net := platformapi.NewFake(), newNetwork()
	log.SetRetention(8)
	settings := config.Settings{CheckpointRecords: 4, CheckpointSpread: time.Millisecond}
	n := net.start(t, "a", log, settings)
	version := uint64(0)
	for i := range 20 {
		version = publish(t, log, version, i+1)
		n.waitForVersion(t, version)
	}
	for i := range 3 {
		fresh := net.start(t, fmt.Sprint("fresh", i), log, settings) // has no peer
		fresh.waitForVersion(t, version)
		fresh.waitForFreshness(t)
		_, err := log.Append(context.Background(), platformapi.StreamConfig, platformapi.Draft{Writer: "x", Payload: []byte("no record")})
		require.NoError(t, err)
	}
}
