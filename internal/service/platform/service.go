// Package platform is the service of a log-based instance that provides the client of the platform's log and instance list. It
// creates the client from the settings, counts and logs failures, and registers the instance if the platform requires it.
package platform

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// DefaultRegisterInterval is the default of Settings.RegisterInterval.
const DefaultRegisterInterval = time.Second

// Settings configures the service.
type Settings struct {
	platformapi.ClientSettings
	// RegisterInstance makes the service refresh this instance's entry in the instance list. It is for platforms that do not
	// maintain the list themselves, like the simulated platform. Default false.
	RegisterInstance bool
	// RegisterInterval is the time between two refreshes. Default 1s.
	RegisterInterval time.Duration
}

// Service is the service named platform. Its methods that call the platform may be called from any goroutine.
type Service struct {
	self        service.Self
	settings    Settings
	logger      *zap.Logger
	client      *platformapi.HTTPClient
	unavailable atomic.Bool
	calls       callMetrics
	stop        context.CancelFunc
	workers     sync.WaitGroup
}

var (
	_ kernel.Service           = (*Service)(nil)
	_ kernel.Cleaner           = (*Service)(nil)
	_ platformapi.Log          = (*Service)(nil)
	_ platformapi.InstanceList = (*Service)(nil)
)

// callMetrics contains the durations of the calls in nanoseconds and the number of failures.
type callMetrics struct {
	appends, reads, lists metrics.Timer
	failures              metrics.Counter
}

// New returns the platform service of an instance. It registers its metrics in registry.
func New(self service.Self, settings Settings, logger *zap.Logger, registry metrics.Registry) *Service {
	if settings.RegisterInterval <= 0 {
		settings.RegisterInterval = DefaultRegisterInterval
	}
	return &Service{
		self: self, settings: settings, logger: logger,
		calls: callMetrics{
			appends:  metrics.GetOrRegisterTimer("platform.append", registry),
			reads:    metrics.GetOrRegisterTimer("platform.read", registry),
			lists:    metrics.GetOrRegisterTimer("platform.list", registry),
			failures: metrics.GetOrRegisterCounter("platform.failures", registry),
		},
	}
}

// Name implements kernel.Service.
func (s *Service) Name() kernel.Name { return service.Platform }

// Needs implements kernel.Service. It returns nothing.
func (s *Service) Needs() []kernel.Name { return nil }

// Provision creates the client. It fails if the settings contain no usable address.
func (s *Service) Provision(*kernel.Resolver) error {
	client, err := platformapi.NewHTTPClient(s.settings.ClientSettings)
	if err != nil {
		return err
	}
	s.client = client
	return nil
}

// Start begins to refresh this instance's entry if Settings.RegisterInstance is set.
func (s *Service) Start(context.Context) error {
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	if s.settings.RegisterInstance {
		s.workers.Go(func() { s.refresh(ctx) })
	}
	return nil
}

// Stop ends the refreshes and marks this instance's entry as leaving.
func (s *Service) Stop(ctx context.Context) error {
	s.stop()
	s.workers.Wait()
	if s.settings.RegisterInstance {
		s.register(ctx, platformapi.InstanceLeaving)
	}
	return nil
}

// Cleanup implements kernel.Cleaner. It closes the connections.
func (s *Service) Cleanup() {
	if s.client != nil {
		s.client.Close()
	}
}

// Append appends a record to a stream and returns its offset.
func (s *Service) Append(ctx context.Context, stream platformapi.Stream, draft platformapi.Draft) (entity.Offset, error) {
	defer s.calls.appends.UpdateSince(time.Now())
	offset, err := s.client.Append(ctx, stream, draft)
	s.observe(ctx, err)
	return offset, err
}

// Read returns up to limit records of a stream, starting at the offset. At the tail it waits up to wait for new records.
func (s *Service) Read(
	ctx context.Context, stream platformapi.Stream, from entity.Offset, limit int, wait time.Duration,
) (platformapi.Batch, error) {
	defer s.calls.reads.UpdateSince(time.Now())
	batch, err := s.client.Read(ctx, stream, from, limit, wait)
	s.observe(ctx, err)
	return batch, err
}

// Instances returns the instance list.
func (s *Service) Instances(ctx context.Context) ([]platformapi.Instance, error) {
	defer s.calls.lists.UpdateSince(time.Now())
	list, err := s.client.Instances(ctx)
	s.observe(ctx, err)
	return list, err
}

// observe counts failures and logs when the platform becomes unavailable or available. It ignores calls that failed because
// their own context ended, which does not show whether the platform is available.
func (s *Service) observe(ctx context.Context, err error) {
	if err != nil && ctx.Err() != nil {
		return
	}
	if errors.Is(err, platformapi.ErrUnavailable) {
		s.calls.failures.Inc(1)
		if s.unavailable.CompareAndSwap(false, true) {
			telemetry.EventPlatformUnavailable.Log(s.logger, zap.Error(err))
		}
		return
	}
	if s.unavailable.CompareAndSwap(true, false) {
		telemetry.EventPlatformAvailable.Log(s.logger)
	}
}

func (s *Service) refresh(ctx context.Context) {
	ticker := time.NewTicker(s.settings.RegisterInterval)
	defer ticker.Stop()
	for {
		s.register(ctx, platformapi.InstanceLive)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) register(ctx context.Context, state platformapi.InstanceState) {
	entry := platformapi.Instance{Address: s.self.Address, Zone: s.self.Zone, State: state}
	if err := s.client.Register(ctx, entry); err != nil && ctx.Err() == nil {
		telemetry.EventRegistrationFailed.Log(s.logger, zap.Error(err))
	}
}
