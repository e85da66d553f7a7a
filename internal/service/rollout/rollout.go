// Package rollout moves the traffic of a service to backends of another version. Every instance limits its own requests to the new
// version and counts the answers of both versions. One instance at a time, the coordinator of the service's rollout, compares the
// counts of all instances and writes each change of phase to a document in the store with a compare-and-set.
package rollout

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
)

// Service is the kernel service named rollout. Its control state belongs to the control goroutine; traffic goroutines read the
// published view.
type Service struct {
	instance service.InstanceConfig
	log      *zap.Logger
	registry metrics.Registry
	kernel   *kernel.Kernel
	store    service.DocumentStore
	status   service.RolloutStatusWriter
	view     kernel.Snapshot[service.RolloutView]
}

var (
	_ kernel.Handler          = (*Service)(nil)
	_ service.RolloutTracker  = (*Service)(nil)
	_ service.RolloutExchange = (*Service)(nil)
)

// New returns the rollout service of an instance. It registers its metrics in r.
func New(instance service.InstanceConfig, log *zap.Logger, r metrics.Registry) *Service {
	s := &Service{instance: instance, log: log, registry: r}
	s.view.Publish(&service.RolloutView{})
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() kernel.Name { return service.Rollout }

// Needs implements kernel.Service. Members needs this service, so that peers are known from their reports alone.
func (s *Service) Needs() []kernel.Name { return []kernel.Name{service.Store} }

// Provision implements kernel.Service.
func (s *Service) Provision(r *kernel.Resolver) error {
	s.kernel = r.Kernel()
	var err error
	if s.store, err = kernel.Lookup[service.DocumentStore](r, service.Store); err != nil {
		return err
	}
	s.status, err = kernel.Lookup[service.RolloutStatusWriter](r, service.Store)
	return err
}

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// Handle implements kernel.Handler.
func (s *Service) Handle(*kernel.Turn, kernel.Message) {}

// RolloutView implements service.RolloutTracker.
func (s *Service) RolloutView() *service.RolloutView { return s.view.Load() }

// Candidates implements service.RolloutTracker.
func (s *Service) Candidates(_ entity.ServiceName, usable []*catalog.Backend, _ time.Duration) []*catalog.Backend {
	return usable
}

// MayUseOwner implements service.RolloutTracker.
func (s *Service) MayUseOwner(entity.ServiceName, *catalog.Backend, time.Duration) bool { return true }

// Sent implements service.RolloutTracker.
func (s *Service) Sent(entity.ServiceName, *catalog.Backend) {}

// Finished implements service.RolloutTracker.
func (s *Service) Finished(
	entity.ServiceName, string, *catalog.Backend, bool, *service.DeliveryResult, time.Duration, time.Duration,
) {
}

// RolloutReport implements service.RolloutExchange.
func (s *Service) RolloutReport(time.Duration) *service.RolloutReport { return nil }

// ApplyRolloutReport implements service.RolloutExchange.
func (s *Service) ApplyRolloutReport(entity.InstanceID, bool, *service.RolloutReport, time.Duration) {
}

// ForgetRolloutPeer implements service.RolloutExchange.
func (s *Service) ForgetRolloutPeer(entity.InstanceID) {}
