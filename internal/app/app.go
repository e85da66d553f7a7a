// Package app builds the two kinds of instance from their services and runs them on a kernel: Instance, which is log-based
// (`pollenpier serve`), and StoreInstance, which is store-based (`pollenpier platform`). The services are wired with fx. The
// commands and the tests of complete instances use it.
package app

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/network"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/admin"
	"github.com/pollenpier/pollenpier/internal/service/gateway"
	"github.com/pollenpier/pollenpier/internal/settings"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// Instance is one log-based instance of pollenpier.
type Instance struct {
	app     *fx.App
	kernel  *kernel.Kernel
	gateway *gateway.Gateway
	admin   *admin.Admin
	self    service.Self
	log     *zap.Logger
}

// options are the parts of an instance that tests replace.
type options struct {
	clock kernel.Clock
	dial  network.DialFunc
}

// Option replaces a part of the instance's environment.
type Option func(*options)

// WithDial sets the function that opens connections to the platform, to backends and to peers.
func WithDial(dial network.DialFunc) Option { return func(o *options) { o.dial = dial } }

// WithClock sets the monotonic clock of the kernel.
func WithClock(clock kernel.Clock) Option { return func(o *options) { o.clock = clock } }

// New builds an instance from validated settings. It opens the peer listener, because the instance must know its own address
// before any service starts, and starts nothing else. It returns an error if the listener cannot be opened or a service cannot
// be built.
func New(s *settings.Settings, log *zap.Logger, opts ...Option) (*Instance, error) {
	i := &Instance{log: log}
	o := options{clock: kernel.NewSystemClock()}
	for _, opt := range opts {
		opt(&o)
	}
	i.app = fx.New(
		fx.NopLogger,
		fx.Supply(s, log),
		fx.Provide(func() kernel.Clock { return o.clock }, func() network.DialFunc { return o.dial }),
		fx.Provide(newPeerSocket, newSelf, metrics.NewRegistry, newKernel),
		services,
		fx.Populate(&i.kernel, &i.gateway, &i.admin, &i.self),
		fx.Invoke(runKernel),
	)
	if err := i.app.Err(); err != nil {
		return nil, errors.Wrap(err, "build instance")
	}
	return i, nil
}

// Start starts all services. It returns an error if a service fails to start or ctx ends first.
func (i *Instance) Start(ctx context.Context) error {
	telemetry.EventStarting.Log(i.log, i.fields()...)
	if err := i.app.Start(ctx); err != nil {
		telemetry.EventStartFailed.Log(i.log, zap.Error(err))
		return errors.Wrap(err, "start instance")
	}
	telemetry.EventStarted.Log(i.log, i.fields()...)
	return nil
}

// Stop performs a planned stop: the instance hands over its leases, completes running requests and leaves the roster. It
// returns an error if a service fails to stop or ctx ends first.
func (i *Instance) Stop(ctx context.Context) error {
	telemetry.EventStopping.Log(i.log, i.fields()...)
	if err := i.kernel.Deliver(ctx, service.Lease, service.BeginLeaving{}); err != nil {
		return errors.Wrap(err, "announce planned stop")
	}
	err := i.app.Stop(ctx)
	telemetry.EventStopped.Log(i.log, append(i.fields(), zap.Error(err))...)
	return err
}

// ID returns the id of the instance, which changes with each start of the process.
func (i *Instance) ID() entity.InstanceID { return i.self.ID }

// CallersAddress returns the address to which the callers' listener is bound.
func (i *Instance) CallersAddress() string { return i.gateway.Address() }

// AdminAddress returns the address to which the admin listener is bound.
func (i *Instance) AdminAddress() string { return i.admin.Address() }

// PeerAddress returns the address at which peers reach this instance.
func (i *Instance) PeerAddress() string { return i.self.Address }

// Ready reports whether the instance accepts callers' requests.
func (i *Instance) Ready() bool { return i.gateway.Ready() }

func (i *Instance) fields() []zap.Field {
	return []zap.Field{
		zap.String("instance", string(i.self.ID)),
		zap.String("zone", string(i.self.Zone)),
		zap.String("peer_address", i.self.Address),
	}
}

// kernelParams are the dependencies of the kernel.
type kernelParams struct {
	fx.In

	Clock    kernel.Clock
	Services []kernel.Service `group:"services"`
	Registry metrics.Registry
	Log      *zap.Logger
}

func newKernel(p kernelParams) (*kernel.Kernel, error) {
	dropped := metrics.GetOrRegisterCounter("kernel.dropped_messages", p.Registry)
	return kernel.New(p.Clock, p.Services,
		kernel.WithDropHandler(func(kernel.Name) { dropped.Inc(1) }),
		kernel.WithInvariantHandler(func(err error) { telemetry.EventInvariantViolated.Log(p.Log, zap.Error(err)) }),
	)
}

// runKernel starts and stops the kernel with the fx application.
func runKernel(lc fx.Lifecycle, k *kernel.Kernel) {
	lc.Append(fx.Hook{OnStart: k.Start, OnStop: k.Stop})
}

// newPeerSocket opens the listener for peers.
func newPeerSocket(s *settings.Settings) (net.Listener, error) {
	var config net.ListenConfig
	socket, err := config.Listen(context.Background(), "tcp", s.Listen.Peer)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	return socket, nil
}

// newSelf returns the identity of this process. The id is random, so that a replacement process at the same address counts as
// a new instance.
func newSelf(s *settings.Settings, socket net.Listener) service.Self {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // never fails, see crypto/rand
	address := s.Advertise
	if address == "" {
		address = socket.Addr().String()
	}
	return service.Self{ID: entity.InstanceID(hex.EncodeToString(raw[:])), Zone: entity.Zone(s.Zone), Address: address}
}
