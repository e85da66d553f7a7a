package dispatch_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/dispatch"
	"github.com/pollenpier/pollenpier/operator"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testService = entity.ServiceName("orders")
	testBackend = entity.BackendID("b1")
	testEpoch   = entity.Epoch(7)
	testWait    = 5 * time.Second
)

// fakeService is a kernel service that forwards its messages to a channel.
type fakeService struct {
	name kernel.Name
	got  chan kernel.Message
}

func newFakeService(name kernel.Name) fakeService {
	return fakeService{name, make(chan kernel.Message, 1000)}
}

func (s fakeService) Name() kernel.Name                { return s.name }
func (s fakeService) Needs() []kernel.Name             { return nil }
func (s fakeService) Provision(*kernel.Resolver) error { return nil }
func (s fakeService) Start(context.Context) error      { return nil }
func (s fakeService) Stop(context.Context) error       { return nil }
func (s fakeService) Handle(_ *kernel.Turn, m kernel.Message) {
	select {
	case s.got <- m:
	default:
	}
}

type leases struct {
	fakeService
	view atomic.Pointer[service.LeaseView]
}

func (l *leases) Leases() *service.LeaseView { return l.view.Load() }

// backends calls do for each request and records the largest number of concurrent calls.
type backends struct {
	fakeService
	backend.Client
	do         func(ctx context.Context, call *backend.Call) (*backend.Answer, error)
	sends      atomic.Int64
	running    atomic.Int64
	maxRunning atomic.Int64
}

func (b *backends) Do(ctx context.Context, _ backend.Target, call *backend.Call) (*backend.Answer, error) {
	b.sends.Add(1)
	running := b.running.Add(1)
	defer b.running.Add(-1)
	for {
		highest := b.maxRunning.Load()
		if running <= highest || b.maxRunning.CompareAndSwap(highest, running) {
			break
		}
	}
	return b.do(ctx, call)
}

// network connects the nodes of a test by address.
type network struct {
	mu      sync.Mutex
	nodes   map[string]*node
	down    map[string]bool
	zeroAge bool // new nodes have the age zero instead of processAge
}

var errDown = errors.New("peer down")

func (n *network) store(address string) (service.OutcomeStore, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down[address] || n.nodes[address] == nil {
		return nil, errDown
	}
	return n.nodes[address].service, nil
}

func (n *network) disconnect(address string) { n.setDown(address, true) }

func (n *network) setDown(address string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[address] = down
}

type peers struct {
	fakeService
	net *network
}

func (p *peers) CopyOutcomes(_ context.Context, address string, b entity.BackendID, term entity.Term,
	entries []outcome.Record) error {
	store, err := p.net.store(address)
	if err != nil {
		return err
	}
	if !store.StoreOutcomes(b, term, entries) {
		return errDown
	}
	return nil
}

func (p *peers) CollectOutcomes(_ context.Context, address string, name entity.ServiceName,
	partitions []entity.Partition) ([]outcome.Record, time.Duration, error) {
	store, err := p.net.store(address)
	if err != nil {
		return nil, 0, err
	}
	records, age := store.KnownOutcomes(name, partitions)
	return records, age, nil
}

func (p *peers) SendRampState(_ context.Context, address string, w service.RampState) error {
	store, err := p.net.store(address)
	if err != nil {
		return err
	}
	store.(service.RampStateStore).StoreRampState(w)
	return nil
}

// agedClock is a clock that can be moved forward, so that a process and its memory are old immediately.
type agedClock struct {
	*kernel.SystemClock
	ahead atomic.Int64
}

// Now returns the system's time plus the time by which the clock was moved forward.
func (c *agedClock) Now() time.Duration { return c.SystemClock.Now() + time.Duration(c.ahead.Load()) }

const (
	processAge = time.Hour
	farFuture  = 100 * time.Hour
)

// node is one instance: the dispatch service with fakes of the services that it uses.
type node struct {
	t        testing.TB
	id       entity.InstanceID
	kernel   *kernel.Kernel
	clock    *agedClock
	service  *dispatch.Service
	leases   *leases
	backends *backends
	session  fakeService
	control  fakeService
	registry metrics.Registry
	stopped  bool
}

func newNetwork() *network { return &network{nodes: map[string]*node{}, down: map[string]bool{}} }

func (n *network) node(t testing.TB, id entity.InstanceID, adjust func(*dispatch.Settings)) *node {
	settings := dispatch.DefaultSettings()
	if adjust != nil {
		adjust(&settings)
	}
	nd := &node{
		t:        t,
		id:       id,
		leases:   &leases{fakeService: newFakeService(service.Lease)},
		backends: &backends{fakeService: newFakeService(service.Backends), do: answerOK},
		session:  newFakeService(service.Session),
		control:  newFakeService(service.Control),
		clock:    &agedClock{SystemClock: kernel.NewSystemClock()},
		registry: metrics.NewRegistry(),
	}
	self := service.Self{ID: id, Zone: "z1", Address: string(id)}
	nd.service = dispatch.New(self, settings, zap.NewNop(), nd.registry)
	var err error
	nd.kernel, err = kernel.New(nd.clock, []kernel.Service{
		nd.service, nd.leases, nd.backends, nd.session, nd.control, &peers{newFakeService(service.Peers), n},
	})
	require.NoError(t, err)
	require.NoError(t, nd.kernel.Start(context.Background()))
	if !n.zeroAge {
		nd.clock.ahead.Store(int64(processAge))
	}
	n.mu.Lock()
	n.nodes[string(id)] = nd
	n.mu.Unlock()
	t.Cleanup(nd.stop)
	return nd
}

func (n *node) stop() {
	if n.stopped {
		return
	}
	n.stopped = true
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	require.NoError(n.t, n.kernel.Stop(ctx))
}

func (n *node) deliver(m kernel.Message) {
	require.NoError(n.t, n.kernel.Deliver(context.Background(), service.Dispatch, m))
}

// setUp sends the node a configuration with one backend, a view in which the partition has no owner, and a view in which the
// backend owns it.
func (n *node) setUp(slots int, members ...entity.InstanceID) {
	n.leases.view.Store(&service.LeaseView{FreshUntil: farFuture})
	n.deliver(service.ConfigChanged{Config: testConfig(slots), Version: 1})
	n.deliver(service.OwnershipChanged{View: testView("", 0, members)})
	n.deliver(service.OwnershipChanged{View: testView(testBackend, testEpoch, members)})
	n.flush()
}

// flush waits until the node has handled all earlier messages: they are handled in order, and the last one is answered.
func (n *node) flush() {
	n.deliver(service.DrainPartitions{Backend: "other"})
	n.await(n.session)
}

// becomePrimary makes the node the primary.
func (n *node) becomePrimary(term entity.Term) {
	n.leases.view.Store(&service.LeaseView{
		Held:       map[service.LeaseName]service.HeldLease{service.BackendLease(testBackend): {Term: term, Until: farFuture}},
		FreshUntil: farFuture,
	})
	n.deliver(service.LeaseChanged{View: n.leases.view.Load()})
	n.flush()
}

// loseLease makes another instance the holder of the lease. An empty id means that the holder is unknown.
func (n *node) loseLease(to entity.InstanceID) {
	n.leases.view.Store(&service.LeaseView{
		Holders:    map[service.LeaseName]entity.InstanceID{service.BackendLease(testBackend): to},
		FreshUntil: farFuture,
	})
	n.deliver(service.LeaseChanged{View: n.leases.view.Load()})
}

func (n *node) await(s fakeService) kernel.Message {
	select {
	case m := <-s.got:
		return m
	case <-time.After(testWait):
		n.t.Fatal("no message received in time")
		return nil
	}
}

func testConfig(slots int) *operator.Config {
	return &operator.Config{Services: []operator.Service{{
		Name:       string(testService),
		Partitions: 1,
		Backends:   []operator.Backend{{Name: string(testBackend), Zone: "z1", Address: "x", Slots: slots}},
	}}}
}

func testView(owner entity.BackendID, epoch entity.Epoch, members []entity.InstanceID) *ownership.View {
	v := &ownership.View{Services: map[entity.ServiceName]*ownership.ServiceView{
		testService: {Count: 1, Owners: []ownership.Owner{{Backend: owner, Epoch: epoch}}, Version: epoch},
	}}
	for _, id := range members {
		v.Members = append(v.Members, ownership.Member{ID: id, Zone: "z1", Address: string(id)})
	}
	return v
}

func answerOK(context.Context, *backend.Call) (*backend.Answer, error) { return answer("ok"), nil }

func answer(body string) *backend.Answer {
	return &backend.Answer{
		Status: http.StatusOK,
		Header: http.Header{},
		Body:   io.NopCloser(strings.NewReader(body)),
		Length: int64(len(body)),
	}
}

func (n *node) request(key string) *service.Request {
	return &service.Request{
		ID:       "r-" + key,
		Service:  testService,
		Customer: "c1",
		Key:      key,
		Epoch:    testEpoch,
		Backend:  testBackend,
		Method:   http.MethodPost,
		Path:     "/orders",
		Deadline: n.kernel.Now() + testWait,
		Age:      -1,
		Length:   0,
	}
}

// get returns an idempotent request.
func (n *node) get(key string) *service.Request {
	r := n.request(key)
	r.Idempotent = true
	return r
}

// order returns an at-most-once request of age zero, as its caller sends it for the first time.
func (n *node) order(key string) *service.Request {
	r := n.request(key)
	r.Age = 0
	r.IdempotencyKey = "order-" + key
	return r
}

// do dispatches a request and reads the answer.
func (n *node) do(req *service.Request) (entity.Outcome, string) {
	return n.doContext(context.Background(), req)
}

func (n *node) doContext(ctx context.Context, req *service.Request) (entity.Outcome, string) {
	resp := n.service.Dispatch(ctx, req)
	if resp.Outcome.Kind != entity.OutcomeAnswered {
		return resp.Outcome, ""
	}
	body, err := io.ReadAll(resp.Body)
	closeErr := resp.Body.Close()
	if err != nil {
		return entity.Unknown(entity.ReasonTruncated, err.Error()), string(body)
	}
	require.NoError(n.t, closeErr)
	return resp.Outcome, string(body)
}

func failure(kind backend.FailureKind) error {
	return &backend.Failure{Kind: kind, Cause: errDown}
}

// receive receives one value, and fails the test if there is none within testWait.
func receive[T any](t testing.TB, from <-chan T) T {
	select {
	case v := <-from:
		return v
	case <-time.After(testWait):
		t.Fatal("nothing received in time")
		panic("unreachable")
	}
}
