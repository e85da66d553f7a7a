// Package gateway is the HTTP frontend of a log-based instance. It accepts the callers' requests, checks the customer's key
// and rate, and sends each request to the primary of the backend that owns its key.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/httpserver"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
	"github.com/pollenpier/pollenpier/operator"
)

// Settings are the settings of the gateway.
type Settings struct {
	// Listen is the address of the callers' listener, host:port.
	Listen string
	// ListenInternal is the address of the listener for internal routes, host:port. Empty means none.
	ListenInternal string
	// KeyStaleness is the maximum age of the freshness proof of the configuration on routes that are open to all callers.
	KeyStaleness time.Duration
	// StopDelay is the time between reporting not ready and refusing connections in a planned stop. It gives the balancer
	// time to stop sending callers here.
	StopDelay time.Duration
	// DrainTimeout bounds the wait for running requests in a planned stop.
	DrainTimeout time.Duration
}

// maxInFlight bounds the requests in progress in one gateway. Each buffers at most 64 KiB of its body for retries.
const maxInFlight = 4096

// readHeaderTimeout bounds the time in which a connection must send the headers of a request. Slower connections are closed.
const readHeaderTimeout = 10 * time.Second

// Gateway is the kernel service named gateway.
type Gateway struct {
	settings  Settings
	self      service.Self
	log       *zap.Logger
	registry  metrics.Registry
	metrics   *meters
	kernel    *kernel.Kernel
	routing   service.RoutingSource
	config    service.ConfigSource
	leases    service.LeaseSource
	admission service.Admitter
	dispatch  service.Dispatcher
	forward   service.Forwarder

	open, internal *listener
	slots          chan struct{}
	primaryHints   sync.Map // entity.BackendID to entity.InstanceID: the last known primary
	retryBudget    retryBudget
	stopping       atomic.Bool
}

// listener is one HTTP server with its bound address.
type listener struct {
	server *httpserver.Server
	socket net.Listener
}

// New returns the gateway service of an instance. It registers its metrics in registry.
func New(self service.Self, settings Settings, log *zap.Logger, registry metrics.Registry) *Gateway {
	return &Gateway{
		self:     self,
		settings: settings,
		log:      log,
		registry: registry,
		metrics:  newMeters(registry),
		slots:    make(chan struct{}, maxInFlight),
	}
}

// Name implements kernel.Service.
func (g *Gateway) Name() kernel.Name { return service.Gateway }

// Needs implements kernel.Service.
func (g *Gateway) Needs() []kernel.Name {
	return []kernel.Name{
		service.Routing, service.Config, service.Lease, service.Admission, service.Dispatch, service.Peers,
		service.PeerServer,
	}
}

// Provision implements kernel.Service.
func (g *Gateway) Provision(r *kernel.Resolver) error {
	g.kernel = r.Kernel()
	var err error
	if g.routing, err = kernel.Lookup[service.RoutingSource](r, service.Routing); err != nil {
		return err
	}
	if g.config, err = kernel.Lookup[service.ConfigSource](r, service.Config); err != nil {
		return err
	}
	if g.leases, err = kernel.Lookup[service.LeaseSource](r, service.Lease); err != nil {
		return err
	}
	if g.admission, err = kernel.Lookup[service.Admitter](r, service.Admission); err != nil {
		return err
	}
	if g.dispatch, err = kernel.Lookup[service.Dispatcher](r, service.Dispatch); err != nil {
		return err
	}
	g.forward, err = kernel.Lookup[service.Forwarder](r, service.Peers)
	return err
}

// Start opens the listeners. It returns an error if an address cannot be bound.
func (g *Gateway) Start(ctx context.Context) error {
	var err error
	if g.open, err = g.listen(ctx, g.settings.Listen, operator.AccessOpen); err != nil {
		return err
	}
	if g.settings.ListenInternal == "" {
		return nil
	}
	g.internal, err = g.listen(ctx, g.settings.ListenInternal, operator.AccessInternal)
	return err
}

// listen starts an HTTP server for the routes of one access kind.
func (g *Gateway) listen(ctx context.Context, address string, access operator.RouteAccess) (*listener, error) {
	var config net.ListenConfig
	socket, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s routes", access)
	}
	engine := gin.New()
	engine.NoRoute(func(c *gin.Context) { g.handle(c, access) })
	server := httpserver.New(httpserver.Options{
		Handler: engine, ReadHeaderTimeout: readHeaderTimeout, Name: "gateway." + string(access), Log: g.log, Registry: g.registry,
	})
	telemetry.EventListening.Log(g.log, zap.String("access", string(access)), zap.Stringer("address", socket.Addr()))
	go func() {
		if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			telemetry.EventListenerFailed.Log(g.log, zap.Error(err))
		}
	}()
	return &listener{server: server, socket: socket}, nil
}

// Ready reports whether this instance can serve callers: it is not stopping, it listens, and it has a configuration.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.open != nil && g.routing.Routing() != nil && g.config.ConfigStatus() != nil
}

// Address returns the bound address of the callers' listener, host:port. It may be called only after Start.
func (g *Gateway) Address() string { return g.open.socket.Addr().String() }

// Stop implements kernel.Service. Drain has closed the listeners.
func (g *Gateway) Stop(context.Context) error { return nil }

// Drain makes Ready return false, waits for StopDelay, closes the listeners and answers the running requests. It returns an error
// if requests are still running after DrainTimeout or when ctx ends; they are then canceled.
func (g *Gateway) Drain(ctx context.Context) error {
	g.stopping.Store(true)
	listeners := g.listeners()
	for _, l := range listeners {
		l.server.Leave()
	}
	select {
	case <-time.After(g.settings.StopDelay):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(ctx, g.settings.DrainTimeout)
	defer cancel()
	results := make(chan error, len(listeners))
	for _, l := range listeners {
		go func() { results <- l.server.Shutdown(ctx) }()
	}
	var failed error
	for range listeners {
		failed = errors.Join(failed, <-results)
	}
	if failed != nil {
		telemetry.EventGatewayDrainTimeout.Log(g.log, zap.Error(failed))
		return failed
	}
	telemetry.EventGatewayDrained.Log(g.log)
	return nil
}

// listeners returns the open listeners.
func (g *Gateway) listeners() []*listener {
	if g.internal == nil {
		return []*listener{g.open}
	}
	return []*listener{g.open, g.internal}
}
