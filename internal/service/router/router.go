// Package router routes the calls of a store-based instance, from arrival to reply: it checks and admits a call, chooses a
// backend, waits for the owner of a key if necessary, sends the call and records the result. The frontend uses it. It decides on
// immutable views and on the counts of the service named loads, and does not depend on a wire format.
package router

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// tracerName names the router's spans.
const tracerName = "pollenpier/router"

// Service is the kernel service named router.
type Service struct {
	instance  service.InstanceConfig
	log       *zap.Logger
	kernel    *kernel.Kernel
	directory service.DirectorySource
	keys      service.KeySource
	members   service.MembersSource
	loads     service.LoadTracker
	forecasts service.LoadForecaster
	endpoints service.Deliverer
	checker   service.WarmupChecker
	rollout   service.RolloutTracker // nil if the platform knows no rollouts
	checks    sync.WaitGroup         // warm-up checks in flight
	meters    meters
}

// meters count calls by outcome and measure the time until the reply, in nanoseconds.
type meters struct {
	calls, answered, notRun, unknown, retries, sentCold, warmupChecks metrics.Counter
	took                                                              metrics.Timer
	registry                                                          metrics.Registry
}

// New returns the router service of an instance. It registers its metrics in r.
func New(instance service.InstanceConfig, log *zap.Logger, r metrics.Registry) *Service {
	return &Service{instance: instance, log: log, meters: meters{
		calls:    metrics.GetOrRegisterCounter("router.calls", r),
		answered: metrics.GetOrRegisterCounter("router.answered", r),
		notRun:   metrics.GetOrRegisterCounter("router.not_run", r),
		unknown:  metrics.GetOrRegisterCounter("router.unknown", r),
		retries:  metrics.GetOrRegisterCounter("router.repeats", r),
		sentCold: metrics.GetOrRegisterCounter("router.sent_cold", r),

		warmupChecks: metrics.GetOrRegisterCounter("router.warmup_checks", r),

		took:     metrics.GetOrRegisterTimer("router.took", r),
		registry: r,
	}}
}

// Name implements kernel.Service.
func (s *Service) Name() kernel.Name { return service.Router }

// Needs implements kernel.Service.
func (s *Service) Needs() []kernel.Name {
	needs := []kernel.Name{service.Directory, service.Keys, service.Members, service.Loads, service.Endpoints}
	if s.instance.ExposureShare > 0 {
		needs = append(needs, service.Rollout)
	}
	return needs
}

// Provision implements kernel.Service.
func (s *Service) Provision(r *kernel.Resolver) error {
	s.kernel = r.Kernel()
	var err error
	if s.directory, err = kernel.Lookup[service.DirectorySource](r, service.Directory); err != nil {
		return err
	}
	if s.keys, err = kernel.Lookup[service.KeySource](r, service.Keys); err != nil {
		return err
	}
	if s.members, err = kernel.Lookup[service.MembersSource](r, service.Members); err != nil {
		return err
	}
	if s.loads, err = kernel.Lookup[service.LoadTracker](r, service.Loads); err != nil {
		return err
	}
	if s.forecasts, err = kernel.Lookup[service.LoadForecaster](r, service.Loads); err != nil {
		return err
	}
	if s.endpoints, err = kernel.Lookup[service.Deliverer](r, service.Endpoints); err != nil {
		return err
	}
	if s.checker, err = kernel.Lookup[service.WarmupChecker](r, service.Endpoints); err != nil {
		return err
	}
	if s.instance.ExposureShare > 0 {
		s.rollout, err = kernel.Lookup[service.RolloutTracker](r, service.Rollout)
	}
	return err
}

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error { return nil }

// Stop waits for the warm-up checks in flight.
func (s *Service) Stop(context.Context) error {
	s.checks.Wait()
	return nil
}

// Ready reports whether a configuration is effective and, if a service is partitioned, the table of key ranges is known.
func (s *Service) Ready() bool {
	view := s.directory.Directory()
	if view.Config == nil {
		return false
	}
	for _, svc := range view.Config.Services {
		if svc.Partitioned && s.keys.KeyView().State == nil {
			return false
		}
	}
	return true
}

// Route serves a call and returns its reply. It may be called from any traffic goroutine.
func (s *Service) Route(ctx context.Context, call *service.Call) service.Reply {
	s.meters.calls.Inc(1)
	ctx, span := otel.Tracer(tracerName).Start(ctx, "route")
	defer span.End()
	c := &request{call: call, view: s.directory.Directory()}
	reply := s.serve(ctx, c)
	span.SetAttributes(attribute.String("outcome", reply.Outcome.String()))
	s.finish(c, reply)
	return reply
}

// Authorize implements service.CallRouter. Without a configuration it refuses nothing, since Route waits for one.
func (s *Service) Authorize(call *service.Call) (service.Reply, bool) {
	c := &request{call: call, view: s.directory.Directory()}
	if c.view.Config == nil {
		return service.Reply{}, true
	}
	outcome, ok := s.authorize(c)
	if ok {
		return service.Reply{}, true
	}
	s.meters.calls.Inc(1)
	reply := service.Reply{Outcome: outcome, RetryAfter: c.retryElsewhere(outcome)}
	s.finish(c, reply)
	return reply, false
}

// request is the state of a call in progress.
type request struct {
	call     *service.Call
	view     *service.DirectoryView
	route    *catalog.Route
	service  *catalog.Service
	customer *catalog.Customer
	priority int
	deadline time.Duration
	tried    map[entity.BackendID]bool
	arrivals int // attempts that reached a backend, or may have
	runs     int // attempts that a backend may have run
	last     entity.BackendID
	lastCold bool // the last backend was cold, as far as this instance knew
	// fingerprint identifies the request when it is sent again.
	fingerprint uint64
	version     service.Version
	phase       service.RolloutPhase // of the service's rollout when the candidates were chosen
}

// serve runs the steps of a call.
func (s *Service) serve(ctx context.Context, c *request) service.Reply {
	s.awaitViews(ctx, c)
	if outcome, ok := s.check(c); !ok {
		return service.Reply{Outcome: outcome, RetryAfter: c.retryElsewhere(outcome)}
	}
	if s.isQuarantined(c) {
		return service.Reply{Outcome: entity.NotRun(entity.ReasonQuarantined, "backends crashed while they ran the request"), RetryAfter: crashRetry}
	}
	if wait, ok := s.admit(c); !ok {
		return service.Reply{Outcome: entity.NotRun(entity.ReasonRateLimited, "the customer's rate is exhausted"), RetryAfter: wait}
	}
	ctx, cancel := context.WithTimeout(ctx, c.deadline-s.kernel.Now())
	defer cancel()
	reply := s.attempts(ctx, c)
	if c.runs == 0 && c.customer != nil {
		s.loads.RefundToken(c.customer)
	}
	return reply
}

// stoppingRetry is the time after which a caller may retry at another instance if this one is stopping.
const stoppingRetry = 10 * time.Millisecond

// retryElsewhere returns the time after which a caller may retry a request that was refused before it was admitted. It is zero unless
// this instance is stopping or its configuration may be outdated: instances without a configuration have all just started, so the others
// may have none either.
func (c *request) retryElsewhere(o entity.Outcome) time.Duration {
	switch {
	case c.call.Stop.StopBy != 0 && o.Reason == entity.ReasonStopping:
		return stoppingRetry
	case o.Reason == entity.ReasonStaleConfig:
		return staleConfigRetry
	default:
		return 0
	}
}

// finish logs and counts a reply.
func (s *Service) finish(c *request, reply service.Reply) {
	took := s.kernel.Now() - c.call.Received
	s.meters.took.Update(took)
	event := telemetry.EventCallAnswered
	switch reply.Outcome.Kind {
	case entity.OutcomeNotRun:
		event = telemetry.EventCallNotRun
		s.meters.notRun.Inc(1)
		metrics.GetOrRegisterCounter("router.not_run."+string(reply.Outcome.Reason), s.meters.registry).Inc(1)
	case entity.OutcomeUnknown:
		event = telemetry.EventCallUnknown
		s.meters.unknown.Inc(1)
		metrics.GetOrRegisterCounter("router.unknown."+string(reply.Outcome.Reason), s.meters.registry).Inc(1)
	default:
		s.meters.answered.Inc(1)
	}
	if s.log.Core().Enabled(event.Level) {
		event.Log(s.log, c.fields(reply, took)...)
	}
}

func (c *request) fields(reply service.Reply, took time.Duration) []zap.Field {
	fields := []zap.Field{
		zap.String("request", c.call.ID), zap.Duration("took", took), zap.String("outcome", reply.Outcome.String()),
		zap.Int("status", reply.Status), zap.String("backend", string(c.last)), zap.Int("arrivals", c.arrivals),
		zap.Uint64("table", uint64(c.version)), zap.Uint64("view", c.view.Generation),
	}
	if c.view.Config != nil {
		fields = append(fields, zap.Uint64("config", c.view.Config.Version))
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name))
	}
	if c.service != nil {
		fields = append(fields, zap.String("service", string(c.service.Name)))
	}
	if c.customer != nil {
		fields = append(fields, zap.String("customer", string(c.customer.ID)))
	}
	if c.lastCold {
		fields = append(fields, zap.Bool("cold", true))
	}
	if c.call.HasKey {
		fields = append(fields, zap.Uint32("key", c.call.Key))
	}
	if reply.RetryAfter > 0 {
		fields = append(fields, zap.Duration("retry_after", reply.RetryAfter))
	}
	return fields
}

var _ service.CallRouter = (*Service)(nil)
