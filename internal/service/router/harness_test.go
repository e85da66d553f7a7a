package router_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/loads"
	"github.com/pollenpier/pollenpier/internal/service/router"
)

// stub is a kernel service without behavior of its own.
type stub struct{ name kernel.Name }

func (s stub) Name() kernel.Name                { return s.name }
func (s stub) Needs() []kernel.Name             { return nil }
func (s stub) Provision(*kernel.Resolver) error { return nil }
func (s stub) Start(context.Context) error      { return nil }
func (s stub) Stop(context.Context) error       { return nil }

// fakeDirectory is a directory service with a fixed view.
type fakeDirectory struct {
	stub
	ready     chan struct{}
	checkedAt atomic.Int64 // in nanoseconds

	mu   sync.Mutex
	view *service.DirectoryView
}

func (f *fakeDirectory) Directory() *service.DirectoryView {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeDirectory) Ready() <-chan struct{} { return f.ready }

func (f *fakeDirectory) ConfigCheckedAt() time.Duration { return time.Duration(f.checkedAt.Load()) }

// fakeKeys is a keys service with a fixed table. It counts the reports of misdirected requests.
type fakeKeys struct {
	stub
	misdirected int
	viewed      func() // called after each reading of the view, if set

	mu   sync.Mutex
	view *service.KeyView
}

func (o *fakeKeys) KeyView() *service.KeyView {
	o.mu.Lock()
	view := o.view
	o.mu.Unlock()
	if o.viewed != nil {
		o.viewed()
	}
	return view
}

func (o *fakeKeys) ReportMisdirected(service.Version) { o.misdirected++ }

// fakeMembers is a members service of a lone instance.
type fakeMembers struct{ stub }

func (fakeMembers) MembersView() *service.MembersView {
	return &service.MembersView{ReachableShare: 1, ReachableCount: 1, KnownCount: 1}
}

// fakeEndpoints is an endpoints service that answers deliveries with a function.
type fakeEndpoints struct {
	stub
	answer    func(d service.Delivery) service.DeliveryResult
	delivered []entity.BackendID
}

func (s *fakeEndpoints) CheckWarmup(context.Context, *catalog.Backend, string) (time.Duration, error) {
	return 0, nil
}

func (s *fakeEndpoints) Deliver(_ context.Context, d service.Delivery) service.DeliveryResult {
	s.delivered = append(s.delivered, d.Backend.ID)
	return s.answer(d)
}

// testRouter is a router with fakes for all services except loads.
type testRouter struct {
	router    *router.Service
	clock     *kernel.ManualClock
	directory *fakeDirectory
	keys      *fakeKeys
	endpoints *fakeEndpoints
}

// Names and limits of the test's configuration.
const (
	lookups  = entity.ServiceName("lookups")
	orders   = entity.ServiceName("orders")
	host     = "api.test"
	attempts = 3
)

// newTestRouter returns a router with three backends of each service. The first backend of orders owns all its keys.
func newTestRouter(t testing.TB, customer *catalog.Customer) *testRouter {
	t.Helper()
	return newTestRouterWithLog(t, customer, zap.NewNop())
}

func newTestRouterWithLog(t testing.TB, customer *catalog.Customer, log *zap.Logger) *testRouter {
	t.Helper()
	instance := service.InstanceConfig{ID: "one", Zone: "a", RetryRatio: 1, RetrySlack: 100, DrainTime: 2 * time.Second}
	return newTestRouterOf(t, instance, customer, log)
}

func newTestRouterOf(t testing.TB, instance service.InstanceConfig, customer *catalog.Customer, log *zap.Logger, more ...kernel.Service) *testRouter {
	t.Helper()
	routes := []*catalog.Route{
		{Name: "lookups", Host: host, PathPrefix: "/lookups/", Targets: []catalog.Target{{Service: lookups, Weight: 1}}, Idempotent: true, Timeout: 2 * time.Second, MaxAttempts: attempts},
		{Name: "orders", Host: host, PathPrefix: "/orders/", Targets: []catalog.Target{{Service: orders, Weight: 1}}, Timeout: 2 * time.Second, MaxAttempts: 1},
	}
	services := []*catalog.Service{{Name: lookups}, {Name: orders, Partitioned: true}}
	config, err := catalog.New(1, routes, services, catalog.Access{Customers: []*catalog.Customer{customer}}, catalog.CallerLimits{})
	require.NoError(t, err)
	b := &testRouter{clock: kernel.NewManualClock()}
	b.directory = &fakeDirectory{stub: stub{service.Directory}, ready: make(chan struct{}), view: &service.DirectoryView{
		Config: config, Services: map[entity.ServiceName][]*catalog.Backend{}, Backends: map[entity.BackendID]*catalog.Backend{},
	}}
	for _, name := range []entity.ServiceName{lookups, orders} {
		for _, n := range []string{"1", "2", "3"} {
			e := &catalog.Backend{ID: entity.BackendID(string(name) + n), Service: name, Slots: 4, Incarnation: 1, Zone: "a"}
			b.directory.view.Services[name] = append(b.directory.view.Services[name], e)
			b.directory.view.Backends[e.ID] = e
		}
	}
	close(b.directory.ready)
	b.keys = &fakeKeys{stub: stub{service.Keys}, view: &service.KeyView{Version: 1, Changed: make(chan struct{}), State: ownedBy("orders1")}}
	b.endpoints = &fakeEndpoints{stub: stub{service.Endpoints}}
	b.router = router.New(instance, log, metrics.NewRegistry())
	k, err := kernel.New(b.clock, append(more,
		b.directory, b.keys, fakeMembers{stub{service.Members}}, loads.New(instance, metrics.NewRegistry()), b.endpoints, b.router,
	))
	require.NoError(t, err)
	require.NoError(t, k.Start(context.Background()))
	t.Cleanup(func() { require.NoError(t, k.Stop(context.Background())) })
	return b
}

// ownedBy returns a table in which one backend owns all keys of orders.
func ownedBy(id entity.BackendID) *keyrange.State {
	owner := keyrange.Holder{ID: id, Incarnation: 1}
	return &keyrange.State{Tables: []keyrange.Table{{Service: orders, Ranges: []keyrange.Range{{To: catalog.KeySpace - 1, Owner: owner, Fence: 1, Granted: true}}}}}
}

// call routes one request with a deadline in one second.
func (b *testRouter) call(path, key string, hasKey bool) service.Reply {
	now := b.clock.Now()
	return b.router.Route(context.Background(), &service.Call{
		ID: "r", Method: http.MethodGet, Host: host, Path: path, Target: path, Credential: key, HasKey: hasKey, Received: now, Deadline: now + time.Second,
	})
}

// failing answers with a server error.
func failing(service.Delivery) service.DeliveryResult {
	return service.DeliveryResult{Outcome: entity.Answered(), Status: http.StatusInternalServerError}
}

// connectionLost reports that the connection was lost after the request had been sent.
func connectionLost(service.Delivery) service.DeliveryResult {
	return service.DeliveryResult{Outcome: entity.Unknown(entity.ReasonBroken, "reset")}
}

func rejecting(service.Delivery) service.DeliveryResult {
	return service.DeliveryResult{Outcome: entity.NotRun(entity.ReasonShed, "full")}
}

func succeeding(service.Delivery) service.DeliveryResult {
	return service.DeliveryResult{Outcome: entity.Answered(), Status: http.StatusOK}
}
