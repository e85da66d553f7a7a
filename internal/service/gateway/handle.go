package gateway

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/routing"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/httpserver"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
	"github.com/pollenpier/pollenpier/operator"
)

// tracerName names the gateway's spans.
const tracerName = "pollenpier/gateway"

// handle serves one caller's request.
func (g *Gateway) handle(c *gin.Context, access operator.RouteAccess) {
	started := time.Now()
	g.metrics.requests.Inc(1)
	g.metrics.inFlight.Inc(1)
	defer g.metrics.inFlight.Dec(1)
	id := newRequestID()
	httpserver.Identify(c.Request.Context(), id)
	ctx := propagation.TraceContext{}.Extract(c.Request.Context(), propagation.HeaderCarrier(c.Request.Header))
	ctx, span := otel.Tracer(tracerName).Start(ctx, "gateway", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	resp, retryAfter := g.serve(ctx, c, access, id)
	span.SetAttributes(attribute.String("outcome", resp.Outcome.Kind.String()),
		attribute.String("reason", string(resp.Outcome.Reason)), attribute.String("request_id", id))
	g.respond(c, id, resp, retryAfter)
	g.metrics.record(resp.Outcome, time.Since(started))
}

// serve authenticates, admits and routes one request. The second result is the time after which a refused request may
// succeed, or zero if it is unknown.
func (g *Gateway) serve(ctx context.Context, c *gin.Context, access operator.RouteAccess, id string) (service.Response, time.Duration) {
	select {
	case g.slots <- struct{}{}:
		defer func() { <-g.slots }()
	default:
		return refused(entity.ReasonQueueFull, "too many requests in this instance"), 0
	}
	snapshot := g.routing.Routing()
	if snapshot == nil {
		return refused(entity.ReasonNoOwner, "no configuration yet"), 0
	}
	route, path, ok := snapshot.Route(c.Request.Method, c.Request.URL.Path)
	if !ok || route.Internal != (access == operator.AccessInternal) {
		return refused(entity.ReasonUnknownRoute, "no such route"), 0
	}
	customer, outcome := g.customer(c.Request, snapshot, access)
	if outcome.Kind != entity.OutcomeAnswered {
		return service.Response{Outcome: outcome}, 0
	}
	req, err := g.request(c.Request, route, path, id, customer)
	if err != nil {
		return service.Response{Outcome: err.outcome}, 0
	}
	ctx, cancel := context.WithTimeout(ctx, req.Deadline-g.kernel.Now())
	resp, wait := g.admitAndRoute(ctx, req)
	resp.Outcome = overallOutcome(req, resp)
	if resp.Body == nil {
		cancel()
		return resp, wait
	}
	resp.Body = &cancelOnClose{ReadCloser: resp.Body, cancel: cancel}
	return resp, 0
}

// admitAndRoute takes a token of the customer's rate and routes the request. If the rate is exhausted, the second result is the
// time after which a token may be available.
func (g *Gateway) admitAndRoute(ctx context.Context, req *service.Request) (service.Response, time.Duration) {
	if req.Customer != "" {
		admitted := g.admission.Admit(ctx, req.Customer)
		if admitted.Outcome.Kind != entity.OutcomeAnswered {
			return service.Response{Outcome: admitted.Outcome}, admitted.Wait
		}
	}
	return g.route(ctx, req), 0
}

// overallOutcome returns the outcome of a request over all its attempts, including earlier ones by the caller. A refusal of an
// at-most-once request for which the idempotency memory was not checked covers only this attempt: an earlier one may have run,
// unless the caller states that there was none.
func overallOutcome(req *service.Request, resp service.Response) entity.Outcome {
	refused := resp.Outcome.Kind == entity.OutcomeNotRun
	if refused && !req.Idempotent && req.Age != 0 && !resp.IdempotencyChecked {
		return entity.Unknown(resp.Outcome.Reason, resp.Outcome.Detail+"; an earlier attempt may have run")
	}
	return resp.Outcome
}

// customer returns the customer on whose behalf the request runs. On routes that are open to all callers, that is the customer
// whose key the request carries.
func (g *Gateway) customer(r *http.Request, snapshot *routing.Snapshot, access operator.RouteAccess) (entity.CustomerID, entity.Outcome) {
	if access == operator.AccessInternal {
		return entity.CustomerID(r.Header.Get(HeaderCustomer)), entity.Answered()
	}
	key := r.Header.Get(HeaderCustomerKey)
	if key == "" {
		return "", entity.NotRun(entity.ReasonUnauthenticated, "header "+HeaderCustomerKey+" is missing")
	}
	if strings.Contains(r.URL.RawQuery, key) || strings.Contains(r.URL.Path, key) {
		return "", entity.NotRun(entity.ReasonBadRequest, "the customer's key must not be part of the URL")
	}
	if g.keysStale() {
		return "", entity.NotRun(entity.ReasonStaleKeys, "withdrawn keys cannot be recognized at present")
	}
	customer, ok := snapshot.Customer(sha256.Sum256([]byte(key)))
	if !ok {
		return "", entity.NotRun(entity.ReasonUnauthenticated, "unknown or withdrawn customer's key")
	}
	return customer, entity.Answered()
}

// keysStale reports whether this instance may have missed the withdrawal of a key. A valid authority of the zone counts as
// fresh, since a majority of zones then has no newer configuration.
func (g *Gateway) keysStale() bool {
	fresh := g.config.ConfigStatus().FreshAt
	if view := g.leases.Leases(); view != nil {
		fresh = max(fresh, view.AuthorityUntil)
	}
	return g.kernel.Now()-fresh > g.settings.KeyStaleness
}

// requestError is the outcome of a request that is invalid.
type requestError struct{ outcome entity.Outcome }

func badRequest(format string, args ...any) *requestError {
	return &requestError{entity.NotRun(entity.ReasonBadRequest, fmt.Sprintf(format, args...))}
}

// request builds the typed request from the caller's headers. It returns an error if a header is missing or invalid or the body
// exceeds the route's limit.
func (g *Gateway) request(r *http.Request, route *routing.Route, path, id string, customer entity.CustomerID) (*service.Request, *requestError) {
	key := r.Header.Get(HeaderKey)
	if key == "" || len(key) > maxKeyLength {
		return nil, badRequest("header %s must have 1 to %d bytes", HeaderKey, maxKeyLength)
	}
	deadline, err := parseMillis(r.Header, HeaderDeadline, defaultDeadline)
	if err != nil {
		return nil, badRequest("%v", err)
	}
	age, err := parseMillis(r.Header, HeaderAge, -1)
	if err != nil {
		return nil, badRequest("%v", err)
	}
	idempotencyKey := r.Header.Get(HeaderIdempotencyKey)
	if len(idempotencyKey) > maxKeyLength {
		return nil, badRequest("header %s is longer than %d bytes", HeaderIdempotencyKey, maxKeyLength)
	}
	if !route.Idempotent && idempotencyKey == "" {
		return nil, badRequest("header %s is required on routes that run at most once", HeaderIdempotencyKey)
	}
	if r.ContentLength > route.MaxBody {
		return nil, tooLarge(route.MaxBody)
	}
	return &service.Request{
		ID:             id,
		Service:        route.Service,
		Customer:       customer,
		Key:            key,
		Method:         r.Method,
		Path:           path,
		RawQuery:       r.URL.RawQuery,
		Header:         forwardHeaders(r.Header, r.Header.Get(HeaderCustomerKey)),
		Body:           &limitedBody{body: r.Body, remaining: route.MaxBody},
		Length:         r.ContentLength,
		Deadline:       g.kernel.Now() + min(deadline, maxDeadline),
		Idempotent:     route.Idempotent,
		IdempotencyKey: idempotencyKey,
		Age:            age,
	}, nil
}

func tooLarge(limit int64) *requestError {
	return &requestError{entity.NotRun(entity.ReasonTooLarge, fmt.Sprintf("request body is larger than %d bytes", limit))}
}

func refused(reason entity.Reason, detail string) service.Response {
	return service.Response{Outcome: entity.NotRun(reason, detail)}
}

// limitedBody returns an error when a body exceeds its limit, so that the receiver never regards it as complete.
type limitedBody struct {
	body      io.Reader
	remaining int64
}

// errBodyTooLarge is the error of a streamed body that exceeds the route's limit.
var errBodyTooLarge = fmt.Errorf("request body is larger than the route allows")

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// cancelOnClose cancels a request's context when the body of its answer is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelOnClose) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// newRequestID returns 128 random bits in hexadecimal.
func newRequestID() string {
	var raw [16]byte
	_, _ = rand.Read(raw[:]) // never fails, see crypto/rand
	return hex.EncodeToString(raw[:])
}

// logOutcome logs the events of refused requests and of requests with an unknown outcome.
func (g *Gateway) logOutcome(id string, o entity.Outcome) {
	switch o.Kind {
	case entity.OutcomeNotRun:
		telemetry.EventRequestRefused.Log(g.log, zap.String("request", id), zap.Stringer("outcome", o))
	case entity.OutcomeUnknown:
		telemetry.EventRequestUnknown.Log(g.log, zap.String("request", id), zap.Stringer("outcome", o))
	case entity.OutcomeAnswered:
	}
}
