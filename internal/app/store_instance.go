package app

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/directory"
	"github.com/pollenpier/pollenpier/internal/service/keys"
	"github.com/pollenpier/pollenpier/internal/service/loads"
	"github.com/pollenpier/pollenpier/internal/service/members"
	"github.com/pollenpier/pollenpier/internal/service/rollout"
	"github.com/pollenpier/pollenpier/internal/service/router"
)

// StoreInstance is one store-based instance: it reaches backends directly and keeps the ownership of key ranges in the store
// of the users' platform.
type StoreInstance struct{ app *fx.App }

// startTimeout limits the start of the services, which opens listeners and sends nothing.
const startTimeout = 10 * time.Second

// NewStoreInstance builds an instance from the services of this module and from those of a platform adapter: store, feed,
// endpoints and frontend. It starts nothing. It returns an error if a service cannot be built.
func NewStoreInstance(instance service.InstanceConfig, log *zap.Logger, adapter fx.Option) (*StoreInstance, error) {
	i := &StoreInstance{}
	rollouts := fx.Options() // without them no service looks for the one named rollout
	if instance.ExposureShare > 0 {
		rollouts = fx.Provide(fx.Annotate(rollout.New, asService...))
	}
	i.app = fx.New(
		fx.NopLogger,
		fx.Supply(instance, log),
		fx.Provide(
			func() kernel.Clock { return kernel.NewBootClock() },
			metrics.NewRegistry,
			newKernel,
			fx.Annotate(directory.New, asService...),
			fx.Annotate(keys.New, asService...),
			fx.Annotate(members.New, asService...),
			fx.Annotate(loads.NewWithLog, asService...),
			fx.Annotate(router.New, asService...),
		),
		rollouts,
		adapter,
		fx.Invoke(runKernel),
	)
	return i, i.app.Err()
}

// Start starts all services. It returns an error if a service fails to start, or ctx or startTimeout ends first.
func (i *StoreInstance) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return i.app.Start(ctx)
}

// Stop drains and then stops all services. It returns the errors of the services.
func (i *StoreInstance) Stop(ctx context.Context) error { return i.app.Stop(ctx) }
