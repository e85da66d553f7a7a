package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/app"
	"github.com/pollenpier/pollenpier/internal/configlog"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/records"
	"github.com/pollenpier/pollenpier/internal/settings"
	"github.com/pollenpier/pollenpier/internal/standin/backend"
	platformstandin "github.com/pollenpier/pollenpier/internal/standin/platform"
	"github.com/pollenpier/pollenpier/operator"
)

const (
	loopback    = "127.0.0.1:0"
	customerKey = "key-of-the-measurement"
	// readyTimeout limits the wait until a deployment accepts requests.
	readyTimeout = 40 * time.Second
	stopTimeout  = 20 * time.Second
	// instancesPerZone is the number of instances in each zone: 12 in three zones.
	instancesPerZone = 4
	// work is the service time of a request on a simulated backend. With 100 ms, a deployment with all its slots in use stays
	// within maxProcessors; with 20 ms, the processors of a shared machine were the limit and not the slots.
	work = 100 * time.Millisecond
	// standinQueue is long enough for a simulated backend to shed no request of the direct load.
	standinQueue = 1 << 16
)

// deployment is the size of a deployment of one user.
type deployment struct {
	name     string
	slots    int
	services []serviceSize
}

// serviceSize is the number of backends of a service.
type serviceSize struct {
	name     string
	backends int
}

// deployments are the two deployments of the design page, section 2.
var deployments = []deployment{
	{"ziedlapu", 2, []serviceSize{{"stock", 25}, {"order", 10}, {"shipping", 6}}},
	{"kitabi", 3, []serviceSize{{"catalogue", 20}, {"order", 10}, {"dispatch", 6}}},
}

// capacity returns the number of requests per second that the backends can answer.
func (d deployment) capacity() float64 { return float64(d.totalSlots()) / work.Seconds() }

func (d deployment) totalSlots() int {
	total := 0
	for _, s := range d.services {
		total += s.backends * d.slots
	}
	return total
}

// site is a running deployment. The simulated platform and backends run in this process, and so do the instances unless they
// are started as child processes.
type site struct {
	deployment deployment
	zones      []string
	platform   *platformstandin.Server
	client     *platformapi.HTTPClient
	backends   []*backend.Server
	addresses  map[entity.BackendID]string
	instances  []*app.Instance
}

// startStandins starts the simulated platform and backends and publishes the configuration. The returned site is not nil, so
// that it can be stopped also after an error.
func startStandins(ctx context.Context, d deployment) (*site, error) {
	s := &site{deployment: d, zones: []string{"a", "b", "c"}, addresses: map[entity.BackendID]string{}}
	var err error
	if s.platform, err = platformstandin.Start(loopback, platformstandin.Options{ListExpiry: 5 * time.Second}); err != nil {
		return s, errors.Wrap(err, "start simulated platform")
	}
	s.client, err = platformapi.NewHTTPClient(platformapi.ClientSettings{Addresses: []string{s.platform.Address()}})
	if err != nil {
		return s, err
	}
	config, err := s.configure()
	if err != nil {
		return s, err
	}
	result, err := configlog.Publish(ctx, s.client, 0, config, "bench")
	if err != nil {
		return s, errors.Wrap(err, "publish configuration")
	}
	if !result.Accepted {
		return s, errors.Errorf("configuration refused: %s", result.Reason)
	}
	return s, nil
}

// configure starts the backends and returns the configuration that lists them.
func (s *site) configure() (*operator.Config, error) {
	const rate, burst = 100_000, 100_000 // far above the load, so that no request is refused
	builder := operator.New().Zone(s.zones...).Customer("caller", rate, burst, operator.HashKey(customerKey))
	for _, size := range s.deployment.services {
		service := operator.Service{Name: size.name, Routes: []operator.Route{
			{Path: "/items", Kind: operator.RouteIdempotent, Access: operator.AccessOpen},
		}}
		for n := range size.backends {
			b, err := s.startBackend(size.name, n)
			if err != nil {
				return nil, err
			}
			service.Backends = append(service.Backends, b)
		}
		builder.Service(service)
	}
	return builder.Build()
}

func (s *site) startBackend(service string, n int) (operator.Backend, error) {
	server, err := backend.Start(loopback, backend.Options{Slots: s.deployment.slots, Queue: standinQueue})
	if err != nil {
		return operator.Backend{}, errors.Wrap(err, "start simulated backend")
	}
	s.backends = append(s.backends, server)
	name := fmt.Sprintf("%s-%d", service, n)
	s.addresses[entity.BackendID(name)] = server.Address()
	return operator.Backend{
		Name: name, Zone: s.zones[n%len(s.zones)], Address: server.Address(), Slots: s.deployment.slots, ChecksTokens: true,
	}, nil
}

// setWork sets the service time of a request on the simulated backends.
func (s *site) setWork(d time.Duration) {
	for _, b := range s.backends {
		b.SetFaults(backend.Faults{LatencyMs: int(d.Milliseconds())})
	}
}

// startInstances starts the instances in this process and waits until all partitions are assigned.
func (s *site) startInstances(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, zone := range s.zones {
		for range instancesPerZone {
			i, err := app.New(&settings.Settings{
				Zone:             zone,
				Listen:           settings.Listen{Callers: loopback, Internal: loopback, Peer: loopback, Admin: loopback},
				Platform:         settings.Platform{Addresses: []string{s.platform.Address()}},
				KeyStaleness:     settings.DefaultKeyStaleness,
				DrainTimeout:     settings.DefaultDrainTimeout,
				RegisterInstance: true,
			}, zap.NewNop())
			if err != nil {
				return errors.Wrap(err, "build instance")
			}
			if err := i.Start(ctx); err != nil {
				return errors.Wrap(err, "start instance")
			}
			s.instances = append(s.instances, i)
		}
	}
	return s.awaitAssigned(ctx)
}

// awaitAssigned waits until every partition of all services has an owner and the assignments have not changed for 3 s.
func (s *site) awaitAssigned(ctx context.Context) error {
	const stableTime = 3 * time.Second
	last, since := entity.Offset(0), time.Now()
	for {
		view, err := s.view(ctx)
		if err != nil {
			return err
		}
		if view.Offset != last || !s.assigned(view) {
			last, since = view.Offset, time.Now()
		}
		if time.Since(since) >= stableTime {
			return nil
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "partitions are not assigned")
		}
	}
}

// assigned reports whether every partition has an owner and none is moving.
func (s *site) assigned(view *ownership.View) bool {
	for _, size := range s.deployment.services {
		v := view.Services[entity.ServiceName(size.name)]
		if v == nil {
			return false
		}
		for i := range v.Owners {
			if v.Owners[i].Backend == "" || v.Owners[i].Moving() {
				return false
			}
		}
	}
	return true
}

// view returns the ownership view after a replay of the complete control stream.
func (s *site) view(ctx context.Context) (*ownership.View, error) {
	const batchSize = 500
	state := ownership.New()
	state.Skip(0)
	for from := entity.Offset(0); ; {
		batch, err := s.client.Read(ctx, platformapi.StreamControl, from, batchSize, 0)
		if err != nil {
			return nil, errors.Wrap(err, "read control stream")
		}
		for i := range batch.Records {
			apply(state, &batch.Records[i])
			from = batch.Records[i].Offset + 1
		}
		if len(batch.Records) == 0 || from >= batch.Next {
			return state.View(), nil
		}
	}
}

func apply(state *ownership.State, r *platformapi.Record) {
	record, err := records.Decode(r.Payload)
	if err != nil {
		state.Skip(r.Offset)
		return
	}
	state.Apply(r.Offset, ownership.Stamp{Writer: entity.InstanceID(r.Writer), Sequence: r.Sequence}, record)
}

// stop stops the instances and then everything else that was started. It returns the joined errors.
func (s *site) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	results := make(chan error, len(s.instances))
	for _, i := range s.instances {
		go func() { results <- i.Stop(ctx) }()
	}
	var failed error
	for range s.instances {
		failed = errors.Join(failed, <-results)
	}
	for _, b := range s.backends {
		failed = errors.Join(failed, b.Close())
	}
	if s.client != nil {
		s.client.Close()
	}
	if s.platform != nil {
		failed = errors.Join(failed, s.platform.Close())
	}
	http.DefaultClient.CloseIdleConnections()
	return failed
}
