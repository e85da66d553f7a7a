// Package platform is the service named "platform": it makes the client of the users' platform from the settings and
// counts and logs its failures.
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
	// RegisterInstance refreshes this instance's own entry in the list, for a platform that does not keep the list
	// itself, as the stand-in. Default false.
	RegisterInstance bool
	// RegisterInterval is the time between two refreshes. Default 1s.
	RegisterInterval time.Duration
}

// Service reaches the platform.
type Service struct {
	self     service.Self
	settings Settings
	logger   *zap.Logger
	client   *platformapi.HTTPClient
	down     atomic.Bool
	calls    callMetrics
	stop     context.CancelFunc
	workers  sync.WaitGroup
}

var (
	_ kernel.Service           = (*Service)(nil)
	_ kernel.Cleaner           = (*Service)(nil)
	_ platformapi.Log          = (*Service)(nil)
	_ platformapi.InstanceList = (*Service)(nil)
)

// callMetrics are the times in nanoseconds and the failures of the calls.
type callMetrics struct {
	appends, reads, lists metrics.Timer
	failures              metrics.Counter
}

// New returns the service.
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

// Name returns the service's name.
func (s *Service) Name() kernel.Name { return service.Platform }

// Needs returns nothing.
func (s *Service) Needs() []kernel.Name { return nil }

// Provision makes the client. It fails if the settings name no usable address.
func (s *Service) Provision(*kernel.Resolver) error {
	client, err := platformapi.NewHTTPClient(s.settings.ClientSettings)
	if err != nil {
		return err
	}
	s.client = client
	return nil
}

// Start begins to refresh the own entry if the settings ask for it.
func (s *Service) Start(context.Context) error {
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	if s.settings.RegisterInstance {
		s.workers.Go(func() { s.refresh(ctx) })
	}
	return nil
}

// Stop ends the refreshing and marks the own entry as leaving.
func (s *Service) Stop(ctx context.Context) error {
	s.stop()
	s.workers.Wait()
	if s.settings.RegisterInstance {
		s.register(ctx, platformapi.InstanceLeaving)
	}
	return nil
}

// Cleanup closes the connections.
func (s *Service) Cleanup() {
	if s.client != nil {
		s.client.Close()
	}
}

// Append adds a record to a stream.
func (s *Service) Append(ctx context.Context, stream platformapi.Stream, draft platformapi.Draft) (entity.Offset, error) {
	defer s.calls.appends.UpdateSince(time.Now())
	offset, err := s.client.Append(ctx, stream, draft)
	s.observe(ctx, err)
	return offset, err
}

// Read reads records of a stream.
func (s *Service) Read(
	ctx context.Context, stream platformapi.Stream, from entity.Offset, limit int, wait time.Duration,
) (platformapi.Batch, error) {
	defer s.calls.reads.UpdateSince(time.Now())
	batch, err := s.client.Read(ctx, stream, from, limit, wait)
	s.observe(ctx, err)
	return batch, err
}

// Instances reads the instance list.
func (s *Service) Instances(ctx context.Context) ([]platformapi.Instance, error) {
	defer s.calls.lists.UpdateSince(time.Now())
	list, err := s.client.Instances(ctx)
	s.observe(ctx, err)
	return list, err
}

// observe counts failures and logs when the platform becomes unavailable or available. A call that its own caller ended
// says nothing about the platform.
func (s *Service) observe(ctx context.Context, err error) {
	if err != nil && ctx.Err() != nil {
		return
	}
	if errors.Is(err, platformapi.ErrUnavailable) {
		s.calls.failures.Inc(1)
		if s.down.CompareAndSwap(false, true) {
			telemetry.EventPlatformUnavailable.Log(s.logger, zap.Error(err))
		}
		return
	}
	if s.down.CompareAndSwap(true, false) {
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
