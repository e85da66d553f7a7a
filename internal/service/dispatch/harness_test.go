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

// part is a service of the kernel that only has a name, and passes messages to a channel.
type part struct {
	name kernel.Name
	got  chan kernel.Message
}

func newPart(name kernel.Name) part { return part{name, make(chan kernel.Message, 1000)} }

func (p part) Name() kernel.Name                { return p.name }
func (p part) Needs() []kernel.Name             { return nil }
func (p part) Provision(*kernel.Resolver) error { return nil }
func (p part) Start(context.Context) error      { return nil }
func (p part) Stop(context.Context) error       { return nil }
func (p part) Handle(_ *kernel.Turn, m kernel.Message) {
	select {
	case p.got <- m:
	default:
	}
}

type leases struct {
	part
	view atomic.Pointer[service.LeaseView]
}

func (l *leases) Leases() *service.LeaseView { return l.view.Load() }

// backends calls do for each request and counts those that run at once.
type backends struct {
	part
	backend.Client
	do      func(ctx context.Context, call *backend.Call) (*backend.Answer, error)
	sends   atomic.Int64
	running atomic.Int64
	most    atomic.Int64
}

func (b *backends) Do(ctx context.Context, _ backend.Target, call *backend.Call) (*backend.Answer, error) {
	b.sends.Add(1)
	now := b.running.Add(1)
	defer b.running.Add(-1)
	for {
		most := b.most.Load()
		if now <= most || b.most.CompareAndSwap(most, now) {
			break
		}
	}
	return b.do(ctx, call)
}

// network connects the nodes of a test by address.
type network struct {
	mu    sync.Mutex
	nodes map[string]*node
	down  map[string]bool
	young bool // new nodes have just started
}

var errDown = errors.New("peer down")

func (n *network) keeper(address string) (service.OutcomeStore, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down[address] || n.nodes[address] == nil {
		return nil, errDown
	}
	return n.nodes[address].service, nil
}

func (n *network) cut(address string) { n.set(address, true) }

func (n *network) set(address string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[address] = down
}

type peers struct {
	part
	net *network
}

func (p *peers) CopyOutcomes(_ context.Context, address string, b entity.BackendID, term entity.Term,
	entries []outcome.Record) error {
	k, err := p.net.keeper(address)
	if err != nil {
		return err
	}
	if !k.StoreOutcomes(b, term, entries) {
		return errDown
	}
	return nil
}

func (p *peers) CollectOutcomes(_ context.Context, address string, name entity.ServiceName,
	partitions []entity.Partition) ([]outcome.Record, time.Duration, error) {
	k, err := p.net.keeper(address)
	if err != nil {
		return nil, 0, err
	}
	records, age := k.KnownOutcomes(name, partitions)
	return records, age, nil
}

func (p *peers) SendRampState(_ context.Context, address string, w service.RampState) error {
	k, err := p.net.keeper(address)
	if err != nil {
		return err
	}
	k.(service.RampStateStore).StoreRampState(w)
	return nil
}

// agedClock is a clock that can be moved forward, so that a process and its memory are old at once.
type agedClock struct {
	*kernel.SystemClock
	ahead atomic.Int64
}

// Now returns the system's time plus what the clock was moved forward by.
func (c *agedClock) Now() time.Duration { return c.SystemClock.Now() + time.Duration(c.ahead.Load()) }

const (
	processAge = time.Hour
	farAway    = 100 * time.Hour
)

// node is one instance with fakes around dispatch.
type node struct {
	t        testing.TB
	id       entity.InstanceID
	kernel   *kernel.Kernel
	clock    *agedClock
	service  *dispatch.Service
	leases   *leases
	backends *backends
	session  part
	control  part
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
		leases:   &leases{part: newPart(service.Lease)},
		backends: &backends{part: newPart(service.Backends), do: answerOK},
		session:  newPart(service.Session),
		control:  newPart(service.Control),
		clock:    &agedClock{SystemClock: kernel.NewSystemClock()},
		registry: metrics.NewRegistry(),
	}
	self := service.Self{ID: id, Zone: "z1", Address: string(id)}
	nd.service = dispatch.New(self, settings, zap.NewNop(), nd.registry)
	var err error
	nd.kernel, err = kernel.New(nd.clock, []kernel.Service{
		nd.service, nd.leases, nd.backends, nd.session, nd.control, &peers{newPart(service.Peers), n},
	})
	require.NoError(t, err)
	require.NoError(t, nd.kernel.Start(context.Background()))
	if !n.young {
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

// setUp gives the node a configuration with one back end, and a view in which the partitions first had no owner.
func (n *node) setUp(slots int, members ...entity.InstanceID) {
	n.leases.view.Store(&service.LeaseView{FreshUntil: farAway})
	n.deliver(service.ConfigChanged{Config: testConfig(slots), Version: 1})
	n.deliver(service.OwnershipChanged{View: testView("", 0, members)})
	n.deliver(service.OwnershipChanged{View: testView(testBackend, testEpoch, members)})
	n.settle()
}

// settle waits until the node has handled all earlier messages: they are handled in order, and the last one is answered.
func (n *node) settle() {
	n.deliver(service.DrainPartitions{Backend: "other"})
	n.await(n.session)
}

// lead makes the node the primary.
func (n *node) lead(term entity.Term) {
	n.leases.view.Store(&service.LeaseView{
		Held:       map[service.LeaseName]service.HeldLease{service.BackendLease(testBackend): {Term: term, Until: farAway}},
		FreshUntil: farAway,
	})
	n.deliver(service.LeaseChanged{View: n.leases.view.Load()})
	n.settle()
}

// yield takes the lease away.
func (n *node) yield(to entity.InstanceID) {
	n.leases.view.Store(&service.LeaseView{
		Holders:    map[service.LeaseName]entity.InstanceID{service.BackendLease(testBackend): to},
		FreshUntil: farAway,
	})
	n.deliver(service.LeaseChanged{View: n.leases.view.Load()})
}

func (n *node) await(p part) kernel.Message {
	select {
	case m := <-p.got:
		return m
	case <-time.After(testWait):
		n.t.Fatal("no message in time")
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

// order returns an at-most-once request that its caller sends for the first time.
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

// receive fails the test instead of waiting for ever.
func receive[T any](t testing.TB, from <-chan T) T {
	select {
	case v := <-from:
		return v
	case <-time.After(testWait):
		t.Fatal("nothing received in time")
		panic("unreachable")
	}
}
