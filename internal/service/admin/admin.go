// Package admin is the service of a log-based instance that answers health, readiness, metrics, status and configuration
// requests over HTTP on its own listener. Operators, the balancer and monitoring use it.
package admin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// Settings configures the admin service.
type Settings struct {
	// Listen is the address of the admin listener, host:port.
	Listen string
}

// readHeaderTimeout bounds the time that a client may take to send the request headers.
const readHeaderTimeout = 5 * time.Second

// ReadyReporter reports whether the balancer should send callers to this instance. The gateway implements it.
type ReadyReporter interface {
	Ready() bool
}

// Admin is the service named admin.
type Admin struct {
	self     service.Self
	settings Settings
	log      *zap.Logger
	registry metrics.Registry

	kernel    *kernel.Kernel
	gateway   ReadyReporter
	config    service.ConfigSource
	leases    service.LeaseSource
	ownership service.OwnershipSource

	socket net.Listener
	server *http.Server
}

// New returns the admin service of an instance. GET /metrics reports the metrics in registry.
func New(self service.Self, settings Settings, log *zap.Logger, registry metrics.Registry) *Admin {
	return &Admin{self: self, settings: settings, log: log, registry: registry}
}

// Name implements kernel.Service.
func (a *Admin) Name() kernel.Name { return service.Admin }

// Needs implements kernel.Service.
func (a *Admin) Needs() []kernel.Name {
	return []kernel.Name{service.Gateway, service.Config, service.Lease, service.Control}
}

// Provision implements kernel.Service.
func (a *Admin) Provision(r *kernel.Resolver) error {
	a.kernel = r.Kernel()
	var err error
	if a.gateway, err = kernel.Lookup[ReadyReporter](r, service.Gateway); err != nil {
		return err
	}
	if a.config, err = kernel.Lookup[service.ConfigSource](r, service.Config); err != nil {
		return err
	}
	if a.leases, err = kernel.Lookup[service.LeaseSource](r, service.Lease); err != nil {
		return err
	}
	a.ownership, err = kernel.Lookup[service.OwnershipSource](r, service.Control)
	return err
}

// Start opens the listener and serves requests in the background. It fails if the listener cannot be opened.
func (a *Admin) Start(ctx context.Context) error {
	var config net.ListenConfig
	socket, err := config.Listen(ctx, "tcp", a.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for admin requests")
	}
	a.socket = socket
	a.server = &http.Server{Handler: a.routes(), ReadHeaderTimeout: readHeaderTimeout}
	telemetry.EventAdminListening.Log(a.log, zap.Stringer("address", socket.Addr()))
	go func() {
		if err := a.server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			telemetry.EventAdminFailed.Log(a.log, zap.Error(err))
		}
	}()
	return nil
}

// Stop closes the listener and waits for running requests until ctx ends.
func (a *Admin) Stop(ctx context.Context) error { return a.server.Shutdown(ctx) }

// Address returns the address of the listener, host:port. It may be called after Start.
func (a *Admin) Address() string { return a.socket.Addr().String() }

// routes returns the handler of the admin listener.
func (a *Admin) routes() http.Handler {
	engine := gin.New()
	engine.GET("/health", func(c *gin.Context) { c.Status(http.StatusOK) })
	engine.GET("/ready", a.ready)
	engine.GET("/metrics", a.metrics)
	engine.GET("/status", a.status)
	engine.GET("/config", a.printConfig)
	return engine
}

// ready answers 200 if the balancer should send callers to this instance and 503 otherwise.
func (a *Admin) ready(c *gin.Context) {
	if a.gateway.Ready() {
		c.Status(http.StatusOK)
		return
	}
	c.Status(http.StatusServiceUnavailable)
}

// metrics writes all metrics as JSON.
func (a *Admin) metrics(c *gin.Context) {
	c.Header("Content-Type", "application/json")
	c.Status(http.StatusOK)
	metrics.WriteJSONOnce(a.registry, c.Writer)
}

// printConfig writes the current configuration as YAML, preceded by a comment with its version. It answers 503 if there is no
// configuration yet.
func (a *Admin) printConfig(c *gin.Context) {
	status := a.config.ConfigStatus()
	if status == nil || status.Config == nil {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	c.Header("Content-Type", "application/yaml")
	c.Status(http.StatusOK)
	if _, err := c.Writer.WriteString(versionComment(status.Version)); err != nil {
		return
	}
	// This fails only if the connection is lost; the client then sees a truncated answer.
	_ = status.Config.Print(c.Writer)
}
