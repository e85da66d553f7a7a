package rollout_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/rendezvous"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/rollout"
)

const (
	orders entity.ServiceName = "orders"
	stock  entity.ServiceName = "stock" // partitioned by key
	step                      = 50 * time.Millisecond
	share                     = 0.1
	slack                     = 50.0
)

// status is a status record as the operator sees it.
type status struct {
	service entity.ServiceName
	to      string
	phase   service.RolloutPhase
}

// store is an in-memory document store that also records statuses.
type store struct {
	mu          sync.Mutex
	value       []byte
	version     service.Version
	unavailable bool
	noStatus    bool // statuses are not accepted
	statuses    []status
	calls       int
}

func (m *store) Load(_ context.Context, _ string, known service.Version) (service.Document, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.unavailable {
		return service.Document{}, service.ErrStoreRefused
	}
	if m.version == known {
		return service.Document{Version: known}, nil
	}
	return service.Document{Value: m.value, Version: m.version}, nil
}

func (m *store) Replace(_ context.Context, _ string, value []byte, known service.Version) (service.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.unavailable {
		return 0, service.ErrStoreRefused
	}
	if known != m.version {
		return 0, service.ErrConflict
	}
	m.version++
	m.value = value
	return m.version, nil
}

func (m *store) Register(context.Context, string, string, []byte) error { return nil }

func (m *store) ListRegistered(context.Context, string) (map[string][]byte, error) { return nil, nil }

func (m *store) WriteRolloutStatus(_ context.Context, order service.RolloutOrder, phase service.RolloutPhase) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.unavailable || m.noStatus {
		return service.ErrStoreRefused
	}
	m.statuses = append(m.statuses, status{order.Service, order.To, phase})
	return nil
}

func (m *store) set(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

// stub is a kernel service that ignores messages.
type stub struct{ name kernel.Name }

func (s stub) Name() kernel.Name                { return s.name }
func (s stub) Needs() []kernel.Name             { return nil }
func (s stub) Provision(*kernel.Resolver) error { return nil }
func (s stub) Start(context.Context) error      { return nil }
func (s stub) Stop(context.Context) error       { return nil }
func (s stub) Handle(_ *kernel.Turn, m kernel.Message) {
	if done, ok := m.(chan struct{}); ok {
		close(done)
	}
}

type storeStub struct {
	stub
	*store
}

// membersStub records that an immediate heartbeat is requested.
type membersStub struct {
	stub
	urgent *atomic.Bool
}

func (s membersStub) Handle(t *kernel.Turn, m kernel.Message) {
	if _, ok := m.(service.RolloutChanged); ok {
		s.urgent.Store(true)
		return
	}
	s.stub.Handle(t, m)
}

// instance is one instance of the deployment.
type instance struct {
	id      entity.InstanceID
	zone    string
	kernel  *kernel.Kernel
	rollout *rollout.Service
	metrics metrics.Registry
	leaving bool
	ended   bool
	// flying are the requests in progress.
	flying []request
	urgent atomic.Bool
	beatAt time.Duration // of the last heartbeat
}

type request struct {
	service entity.ServiceName
	backend *catalog.Backend
	sent    time.Duration
	until   time.Duration
	failed  bool
}

// sent is a request as it was sent.
type sent struct {
	at       time.Duration
	service  entity.ServiceName
	version  string
	instance entity.InstanceID
}

// deployment is a set of instances, their backends and callers in virtual time.
type deployment struct {
	t         *testing.T
	clock     *kernel.ManualClock
	store     *store
	instances []*instance
	random    *rand.Rand
	services  []*catalog.Service
	backends  []*catalog.Backend
	orders    map[entity.ServiceName]service.RolloutOrder
	bad       map[string]float64 // share of failures by version
	rate      int                // requests to each service at each instance and step
	took      time.Duration
	isolated  map[string]bool // zones
	beat      time.Duration   // interval of heartbeats
	// badAt limits the failures to the requests of one instance.
	badAt    entity.InstanceID
	noCounts bool // heartbeats carry no counts
	log      []sent
	// refused counts requests that MayUseOwner refused.
	refused int
}

func newDeployment(t *testing.T, instances int) *deployment {
	t.Helper()
	d := &deployment{
		t: t, clock: kernel.NewManualClock(), store: &store{}, random: rand.New(rand.NewPCG(1, 2)), rate: 3, took: 2 * step, beat: 2 * step,
		services: []*catalog.Service{{Name: orders}, {Name: stock, Partitioned: true}},
		orders:   map[entity.ServiceName]service.RolloutOrder{}, bad: map[string]float64{}, isolated: map[string]bool{},
	}
	for range instances {
		d.start(share)
	}
	return d
}

// start adds an instance.
func (d *deployment) start(exposure float64) *instance {
	d.t.Helper()
	n := len(d.instances)
	i := &instance{id: entity.InstanceID(fmt.Sprint("i", n)), zone: string(rune('a' + n%2))}
	config := service.InstanceConfig{ID: i.id, Zone: entity.Zone(i.zone), ExposureShare: exposure, ExposureSlack: slack}
	i.metrics = metrics.NewRegistry()
	i.rollout = rollout.New(config, zap.NewNop(), i.metrics)
	var err error
	i.kernel, err = kernel.New(d.clock, []kernel.Service{
		i.rollout, storeStub{stub{service.Store}, d.store}, membersStub{stub{service.Members}, &i.urgent},
	})
	require.NoError(d.t, err)
	require.NoError(d.t, i.kernel.Start(context.Background()))
	d.t.Cleanup(func() { d.end(i) })
	d.instances = append(d.instances, i)
	d.deliver(i, service.DirectoryChanged{View: d.view()})
	return i
}

// end ends an instance without a planned stop.
func (d *deployment) end(i *instance) {
	d.t.Helper()
	if !i.ended {
		i.ended = true
		require.NoError(d.t, i.kernel.Stop(context.Background()))
	}
}

func (d *deployment) deliver(i *instance, m kernel.Message) {
	d.t.Helper()
	if i.ended {
		return
	}
	require.NoError(d.t, i.kernel.Deliver(context.Background(), service.Rollout, m))
}

// settle waits until the control goroutines have handled all messages and the store has answered.
func (d *deployment) settle() {
	d.t.Helper()
	for range 2 {
		for _, i := range d.instances {
			if i.ended {
				continue
			}
			done := make(chan struct{})
			require.NoError(d.t, i.kernel.Deliver(context.Background(), service.Members, done))
			<-done
		}
		runtime.Gosched()
		time.Sleep(50 * time.Microsecond)
	}
}

// list adds backends of a version to a service.
func (d *deployment) list(name entity.ServiceName, version string, n int) {
	for i := range n {
		d.backends = append(d.backends, &catalog.Backend{
			ID: entity.BackendID(fmt.Sprint(name, "-", version, "-", i)), Service: name, Version: version, Slots: 4, Zone: entity.Zone(rune('a' + i%2)),
		})
	}
	d.publish()
}

func (d *deployment) unlist(version string) {
	d.backends = slices.DeleteFunc(d.backends, func(b *catalog.Backend) bool { return b.Version == version })
	d.publish()
}

func (d *deployment) view() *service.DirectoryView {
	config, err := catalog.New(1, nil, d.services, catalog.Access{Open: true}, catalog.CallerLimits{})
	require.NoError(d.t, err)
	view := &service.DirectoryView{Config: config, Services: map[entity.ServiceName][]*catalog.Backend{}}
	for _, b := range d.backends {
		view.Services[b.Service] = append(view.Services[b.Service], b)
	}
	return view
}

func (d *deployment) publish() {
	for _, i := range d.instances {
		d.deliver(i, service.DirectoryChanged{View: d.view()})
	}
}

// order sets the order of a service.
func (d *deployment) order(name entity.ServiceName, to string, duration time.Duration) {
	d.orders[name] = service.RolloutOrder{Service: name, To: to, Duration: duration}
}

// run lets time pass.
func (d *deployment) run(duration time.Duration) {
	d.t.Helper()
	for end := d.clock.Now() + duration; d.clock.Now() < end; {
		d.clock.Advance(step)
		now := d.clock.Now()
		if now%(300*time.Millisecond) == 0 {
			for _, i := range d.instances {
				read := map[entity.ServiceName]service.RolloutOrder{}
				for name, o := range d.orders {
					read[name] = o
				}
				if !d.store.unavailable {
					d.deliver(i, service.RolloutsOrdered{Orders: read, At: now})
				}
			}
		}
		d.settle()
		d.heartbeats(now)
		for _, i := range d.instances {
			if !i.ended {
				d.requests(i, now)
			}
		}
	}
}

func (d *deployment) heartbeats(now time.Duration) {
	for _, from := range d.instances {
		if urgent := from.urgent.Swap(false); from.ended || !urgent && now-from.beatAt < d.beat {
			continue
		}
		from.beatAt = now
		report := from.rollout.RolloutReport(now)
		if d.noCounts && report != nil {
			report.Counts = nil
		}
		for _, to := range d.instances {
			if to != from && !to.ended && d.isolated[from.zone] == d.isolated[to.zone] {
				to.rollout.ApplyRolloutReport(from.id, from.leaving, report, now)
			}
		}
	}
}

// requests ends the requests of an instance that are due and sends new ones.
func (d *deployment) requests(i *instance, now time.Duration) {
	i.flying = slices.DeleteFunc(i.flying, func(r request) bool {
		if now < r.until {
			return false
		}
		result := &service.DeliveryResult{Outcome: entity.Answered(), Status: 200}
		if r.failed {
			result.Status = 500
		}
		i.rollout.Finished(r.service, "route", r.backend, false, result, r.until-r.sent, now)
		return true
	})
	for _, svc := range d.services {
		var usable []*catalog.Backend
		for _, b := range d.backends {
			if b.Service == svc.Name {
				usable = append(usable, b)
			}
		}
		for range d.rate {
			if len(usable) == 0 {
				continue
			}
			b := d.choose(i, svc, usable, now)
			if b == nil {
				d.refused++
				continue
			}
			d.send(i, svc.Name, b, now, d.took)
		}
	}
}

// choose returns the backend of a request, nil if it is refused. An eighth of the keys of a partitioned service has new owners.
func (d *deployment) choose(i *instance, svc *catalog.Service, usable []*catalog.Backend, now time.Duration) *catalog.Backend {
	if !svc.Partitioned {
		usable = i.rollout.Candidates(svc.Name, usable, now)
		require.NotEmpty(d.t, usable)
		return usable[d.random.IntN(len(usable))]
	}
	owner := usable[d.random.IntN(len(usable))]
	if !i.rollout.MayUseOwner(svc.Name, owner, now) {
		return nil
	}
	return owner
}

func (d *deployment) send(i *instance, name entity.ServiceName, b *catalog.Backend, now, took time.Duration) {
	i.rollout.Sent(name, b)
	d.log = append(d.log, sent{now, name, b.Version, i.id})
	failed := d.random.Float64() < d.bad[b.Version] && (d.badAt == "" || d.badAt == i.id)
	i.flying = append(i.flying, request{name, b, now, now + took + time.Duration(d.random.IntN(2))*step, failed})
}

// until lets time pass until the condition holds, for 20 s at most.
func (d *deployment) until(what string, condition func() bool) {
	d.t.Helper()
	for end := d.clock.Now() + 20*time.Second; !condition(); {
		require.Less(d.t, d.clock.Now(), end, what)
		d.run(step)
	}
}

// phase returns the phase of a rollout at an instance, 0 if there is none.
func (d *deployment) phase(i *instance, name entity.ServiceName) service.RolloutPhase {
	if st := i.rollout.RolloutView().Services[name]; st != nil {
		return st.Phase
	}
	return 0
}

// everywhere reports whether all instances that run apply a phase.
func (d *deployment) everywhere(name entity.ServiceName, p service.RolloutPhase) bool {
	for _, i := range d.instances {
		if !i.ended && d.phase(i, name) != p {
			return false
		}
	}
	return true
}

// statuses returns the phases that the operator was told of an order.
func (d *deployment) statuses(name entity.ServiceName, to string) []service.RolloutPhase {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	var phases []service.RolloutPhase
	for _, s := range d.store.statuses {
		if s.service == name && s.to == to {
			phases = append(phases, s.phase)
		}
	}
	return phases
}

// count returns the requests to a version of a service in a period, sent by instances for which the filter is true.
func (d *deployment) count(name entity.ServiceName, version string, from, to time.Duration, by func(entity.InstanceID) bool) int {
	n := 0
	for _, s := range d.log {
		if s.service == name && s.version == version && s.at >= from && s.at < to && (by == nil || by(s.instance)) {
			n++
		}
	}
	return n
}

// coordinator returns the instance that coordinates the rollout of a service.
func (d *deployment) coordinator(name entity.ServiceName) *instance {
	var running []entity.InstanceID
	for _, i := range d.instances {
		if !i.ended {
			running = append(running, i.id)
		}
	}
	first := rendezvous.Order(string(name), running)[0]
	return d.instances[slices.IndexFunc(d.instances, func(i *instance) bool { return i.id == first })]
}

func withName(name entity.ServiceName) *catalog.Service { return &catalog.Service{Name: name} }
