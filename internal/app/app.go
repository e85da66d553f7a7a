// Package app wires the services of one instance with fx and runs them on a kernel.
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

// Instance is one instance of pollenpier.
type Instance struct {
	app     *fx.App
	kernel  *kernel.Kernel
	gateway *gateway.Gateway
	admin   *admin.Admin
	self    service.Self
	log     *zap.Logger
}

// options are what tests replace.
type options struct {
	clock kernel.Clock
	dial  network.DialFunc
}

// Option replaces a part of the instance's surroundings.
type Option func(*options)

// WithDial sets how the instance opens connections to platform, back ends and other instances.
func WithDial(dial network.DialFunc) Option { return func(o *options) { o.dial = dial } }

// WithClock sets the monotonic clock.
func WithClock(clock kernel.Clock) Option { return func(o *options) { o.clock = clock } }

// New builds an instance from checked settings. It opens the peer listener, since the instance's own address must be known
// before anything starts, and starts nothing else.
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

// Start starts all services.
func (i *Instance) Start(ctx context.Context) error {
	telemetry.EventStarting.Log(i.log, i.fields()...)
	if err := i.app.Start(ctx); err != nil {
		telemetry.EventStartFailed.Log(i.log, zap.Error(err))
		return errors.Wrap(err, "start instance")
	}
	telemetry.EventStarted.Log(i.log, i.fields()...)
	return nil
}

// Stop is the planned stop: it hands leases over, lets running requests end and leaves the roster.
func (i *Instance) Stop(ctx context.Context) error {
	telemetry.EventStopping.Log(i.log, i.fields()...)
	if err := i.kernel.Deliver(ctx, service.Lease, service.BeginLeaving{}); err != nil {
		return errors.Wrap(err, "announce planned stop")
	}
	err := i.app.Stop(ctx)
	telemetry.EventStopped.Log(i.log, append(i.fields(), zap.Error(err))...)
	return err
}

// ID returns the instance's id, which is new with each process start.
func (i *Instance) ID() entity.InstanceID { return i.self.ID }

// CallersAddress returns the bound address of the callers' listener.
func (i *Instance) CallersAddress() string { return i.gateway.Address() }

// AdminAddress returns the bound address of the admin listener.
func (i *Instance) AdminAddress() string { return i.admin.Address() }

// PeerAddress returns the address at which other instances reach this one.
func (i *Instance) PeerAddress() string { return i.self.Address }

// Ready reports whether the instance takes callers' requests.
func (i *Instance) Ready() bool { return i.gateway.Ready() }

func (i *Instance) fields() []zap.Field {
	return []zap.Field{
		zap.String("instance", string(i.self.ID)),
		zap.String("zone", string(i.self.Zone)),
		zap.String("peer_address", i.self.Address),
	}
}

// kernelParams collects what the kernel is made of.
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
		kernel.WithInvariantHandler(func(err error) { telemetry.EventInvariantBroken.Log(p.Log, zap.Error(err)) }),
	)
}

// runKernel ties the kernel to the life cycle of the application.
func runKernel(lc fx.Lifecycle, k *kernel.Kernel) {
	lc.Append(fx.Hook{OnStart: k.Start, OnStop: k.Stop})
}

// newPeerSocket opens the peer listener.
func newPeerSocket(s *settings.Settings) (net.Listener, error) {
	var config net.ListenConfig
	socket, err := config.Listen(context.Background(), "tcp", s.Listen.Peer)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	return socket, nil
}

// newSelf gives the process its identity. The id is random, so that a replaced process at the same address is a new
// instance.
func newSelf(s *settings.Settings, socket net.Listener) service.Self {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // never fails, see crypto/rand
	address := s.Advertise
	if address == "" {
		address = socket.Addr().String()
	}
	return service.Self{ID: entity.InstanceID(hex.EncodeToString(raw[:])), Zone: entity.Zone(s.Zone), Address: address}
}
