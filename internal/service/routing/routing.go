// Package routing is the service of a log-based instance that publishes the snapshot with which traffic goroutines find the
// owner of a key. It builds a new snapshot whenever the configuration or the ownership changes.
package routing

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/decide/routing"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/operator"
)

// Service is the service named routing. The fields after snapshot belong to the control goroutine.
type Service struct {
	builds   metrics.Timer
	snapshot kernel.Snapshot[routing.Snapshot]

	builder routing.Builder
	config  *operator.Config
	version uint64
	view    *ownership.View
}

// New returns the routing service. It registers its metrics in registry.
func New(registry metrics.Registry) *Service {
	return &Service{builds: metrics.GetOrRegisterTimer("routing.builds", registry)}
}

// Name implements kernel.Service.
func (s *Service) Name() kernel.Name { return service.Routing }

// Needs implements kernel.Service. It returns nothing, because config and control send the inputs of the snapshot as messages.
func (s *Service) Needs() []kernel.Name { return nil }

// Provision publishes an empty snapshot, so that Routing never returns nil to traffic goroutines.
func (s *Service) Provision(*kernel.Resolver) error {
	s.snapshot.Publish(routing.Build(nil, 0, nil))
	return nil
}

// Start does nothing.
func (s *Service) Start(context.Context) error { return nil }

// Stop does nothing.
func (s *Service) Stop(context.Context) error { return nil }

// Routing returns the current snapshot. It is never nil after Provision.
func (s *Service) Routing() *routing.Snapshot { return s.snapshot.Load() }

// Handle implements kernel.Handler. It ignores configurations that are not newer than the current one.
func (s *Service) Handle(_ *kernel.Turn, msg kernel.Message) {
	switch m := msg.(type) {
	case service.ConfigChanged:
		if m.Version <= s.version {
			return
		}
		s.config, s.version = m.Config, m.Version
	case service.OwnershipChanged:
		s.view = m.View
	default:
		return
	}
	started := time.Now()
	s.snapshot.Publish(s.builder.Build(s.config, s.version, s.view))
	s.builds.UpdateSince(started)
}

var _ service.RoutingSource = (*Service)(nil)
