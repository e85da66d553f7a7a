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
	"github.com/pollenpier/pollenpier/internal/service/router"
)

// StoreInstance is one instance that reaches back ends directly and keeps the ownership of key ranges in the platform's store.
type StoreInstance struct{ app *fx.App }

// startTimeout bounds the start of the services, which opens listeners and sends nothing.
const startTimeout = 10 * time.Second

// NewStoreInstance builds the product's services together with those of an adapter: store, feed, endpoints and entry. It starts
// nothing.
func NewStoreInstance(site service.InstanceConfig, log *zap.Logger, adapter fx.Option) (*StoreInstance, error) {
	f := &StoreInstance{}
	f.app = fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.Supply(site, log),
		fx.Provide(
			func() kernel.Clock { return kernel.NewBootClock() },
			metrics.NewRegistry,
			newKernel,
			fx.Annotate(directory.New, asService...),
			fx.Annotate(keys.New, asService...),
			fx.Annotate(members.New, asService...),
			fx.Annotate(loads.New, asService...),
			fx.Annotate(router.New, asService...),
		),
		adapter,
		fx.Invoke(runKernel),
	)
	return f, f.app.Err()
}

// Start starts all services.
func (f *StoreInstance) Start(ctx context.Context) error { return f.app.Start(ctx) }

// Stop drains and stops all services.
func (f *StoreInstance) Stop(ctx context.Context) error { return f.app.Stop(ctx) }
