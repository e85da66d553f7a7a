// Package backends is the service of a log-based instance that provides the client of the backends. It creates the client from
// the settings and counts and logs failures. Dispatch and session use it.
package backends

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// Settings configures the service.
type Settings struct {
	backend.ClientSettings
}

// Service is the service named backends. It adds metrics and log events to requests of the embedded HTTP client, which
// implements the control calls.
type Service struct {
	*backend.HTTPClient
	logger   *zap.Logger
	requests metrics.Timer // nanoseconds until the answer's headers are received
	failures map[backend.FailureKind]metrics.Counter
	broken   metrics.Counter
}

var (
	_ kernel.Service  = (*Service)(nil)
	_ kernel.Cleaner  = (*Service)(nil)
	_ backend.Client  = (*Service)(nil)
	_ backend.Limiter = (*Service)(nil)
)

// New returns the service with the HTTP client for the settings. It registers its metrics in registry.
func New(settings Settings, logger *zap.Logger, registry metrics.Registry) *Service {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, registry) }
	return &Service{
		HTTPClient: backend.NewHTTPClient(settings.ClientSettings),
		logger:     logger,
		requests:   metrics.GetOrRegisterTimer("backends.requests", registry),
		failures: map[backend.FailureKind]metrics.Counter{
			backend.FailureNotSent:  counter("backends.failures.not-sent"),
			backend.FailureShed:     counter("backends.failures.shed"),
			backend.FailureFenced:   counter("backends.failures.fenced"),
			backend.FailureBroken:   counter("backends.failures.broken"),
			backend.FailureMismatch: counter("backends.failures.mismatch"),
		},
		broken: counter("backends.answers.broken"),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() kernel.Name { return service.Backends }

// Needs implements kernel.Service. It returns nothing.
func (s *Service) Needs() []kernel.Name { return nil }

// Provision implements kernel.Service. It does nothing.
func (s *Service) Provision(*kernel.Resolver) error { return nil }

// Start does nothing, because connections are opened on the first request.
func (s *Service) Start(context.Context) error { return nil }

// Stop does nothing, because running requests end with their contexts.
func (s *Service) Stop(context.Context) error { return nil }

// Cleanup implements kernel.Cleaner. It closes the connections.
func (s *Service) Cleanup() { s.Close() }

// Do sends a request at most once. The caller must close the body of the answer. Errors of type *backend.Failure are counted.
func (s *Service) Do(ctx context.Context, target backend.Target, call *backend.Call) (*backend.Answer, error) {
	defer s.requests.UpdateSince(time.Now())
	answer, err := s.HTTPClient.Do(ctx, target, call)
	if err != nil {
		s.observe(target, call, err)
		return nil, err
	}
	answer.Body = &watchedBody{ReadCloser: answer.Body, ctx: ctx, service: s, backend: target.ID, request: call.RequestID}
	return answer, nil
}

// observe counts a failure, and logs it if the backend answered with another request's id.
func (s *Service) observe(target backend.Target, call *backend.Call, err error) {
	var failure *backend.Failure
	if !errors.As(err, &failure) {
		return
	}
	s.failures[failure.Kind].Inc(1)
	if failure.Kind == backend.FailureMismatch {
		telemetry.EventAnswerMismatch.Log(s.logger, zap.String("backend", string(target.ID)),
			zap.String("request", call.RequestID), zap.Error(failure.Cause))
	}
}

// watchedBody counts and logs an answer that is truncated before the caller has given up.
type watchedBody struct {
	io.ReadCloser
	ctx     context.Context
	service *Service
	backend entity.BackendID
	request string
	counted bool
}

func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || errors.Is(err, io.EOF) || b.counted || b.ctx.Err() != nil {
		return n, err
	}
	b.counted = true
	b.service.broken.Inc(1)
	telemetry.EventAnswerTruncated.Log(b.service.logger, zap.String("backend", string(b.backend)),
		zap.String("request", b.request), zap.Error(err))
	return n, err
}
