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
	ctx := propagation.TraceContext{}.Extract(c.Request.Context(), propagation.HeaderCarrier(c.Request.Header))
	ctx, span := otel.Tracer(tracerName).Start(ctx, "gateway", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	resp, retryAfter := g.serve(ctx, c, access, id)
	span.SetAttributes(attribute.String("outcome", resp.Outcome.Kind.String()),
		attribute.String("reason", string(resp.Outcome.Reason)), attribute.String("request_id", id))
	g.respond(c, id, resp, retryAfter)
	g.metrics.finished(resp.Outcome, time.Since(started))
}

// serve authenticates, admits and routes one request. The second result is the time after which a refused request may
// succeed, zero if unknown.
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
	route, rest, ok := snapshot.Route(c.Request.Method, c.Request.URL.Path)
	if !ok || route.Internal != (access == operator.AccessInternal) {
		return refused(entity.ReasonUnknownRoute, "no such route"), 0
	}
	customer, outcome := g.customer(c.Request, snapshot, access)
	if outcome.Kind != entity.OutcomeAnswered {
		return service.Response{Outcome: outcome}, 0
	}
	req, err := g.request(c.Request, route, rest, id, customer)
	if err != nil {
		return service.Response{Outcome: err.outcome}, 0
	}
	ctx, cancel := context.WithTimeout(ctx, req.Deadline-g.kernel.Now())
	resp, wait := g.admitAndRoute(ctx, req)
	resp.Outcome = ofAllAttempts(req, resp)
	if resp.Body == nil {
		cancel()
		return resp, wait
	}
	resp.Body = &cancelOnClose{ReadCloser: resp.Body, cancel: cancel}
	return resp, 0
}

// admitAndRoute takes a token of the customer's rate and sends the request on.
func (g *Gateway) admitAndRoute(ctx context.Context, req *service.Request) (service.Response, time.Duration) {
	if req.Customer != "" {
		admitted := g.admission.Admit(ctx, req.Customer)
		if admitted.Outcome.Kind != entity.OutcomeAnswered {
			return service.Response{Outcome: admitted.Outcome}, admitted.Wait
		}
	}
	return g.route(ctx, req), 0
}

// ofAllAttempts returns the outcome of an at-most-once request over all its attempts. A refusal that was given without asking
// the idempotency memory speaks of this attempt alone: an earlier one may have run, unless the caller states that there was
// none.
func ofAllAttempts(req *service.Request, resp service.Response) entity.Outcome {
	refused := resp.Outcome.Kind == entity.OutcomeNotRun
	if refused && !req.Idempotent && req.Age != 0 && !resp.IdempotencyChecked {
		return entity.Unknown(resp.Outcome.Reason, resp.Outcome.Detail+"; an earlier attempt may have run")
	}
	return resp.Outcome
}

// customer returns the customer on whose behalf the request runs. On routes open to all that is the one whose key came
// with the request.
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

// keysStale reports whether this instance may have missed a withdrawal. A valid authority of the zone counts as fresh:
// then a majority of zones knows of no newer configuration.
func (g *Gateway) keysStale() bool {
	fresh := g.config.ConfigStatus().FreshAt
	if view := g.leases.Leases(); view != nil {
		fresh = max(fresh, view.AuthorityUntil)
	}
	return g.kernel.Now()-fresh > g.settings.KeyStaleness
}

// requestError is a request that cannot be accepted as it stands.
type requestError struct{ outcome entity.Outcome }

func badRequest(format string, args ...any) *requestError {
	return &requestError{entity.NotRun(entity.ReasonBadRequest, fmt.Sprintf(format, args...))}
}

// request reads the caller's headers into a typed request.
func (g *Gateway) request(r *http.Request, route *routing.Route, rest, id string, customer entity.CustomerID) (*service.Request, *requestError) {
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
		Path:           rest,
		RawQuery:       r.URL.RawQuery,
		Header:         forwardHeaders(r.Header, r.Header.Get(HeaderCustomerKey)),
		Body:           &limitedBody{body: r.Body, left: route.MaxBody},
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

// limitedBody fails a body that grows beyond its limit, so that the receiver never takes it for whole.
type limitedBody struct {
	body io.Reader
	left int64
}

// errBodyTooLarge is the error of a streamed body beyond the route's limit.
var errBodyTooLarge = fmt.Errorf("request body is larger than the route allows")

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

// cancelOnClose ends a request's context when its answer is closed.
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

// logOutcome writes the events of refused and unknown requests.
func (g *Gateway) logOutcome(id string, o entity.Outcome) {
	switch o.Kind {
	case entity.OutcomeNotRun:
		telemetry.EventRequestRefused.Log(g.log, zap.String("request", id), zap.Stringer("outcome", o))
	case entity.OutcomeUnknown:
		telemetry.EventRequestUnknown.Log(g.log, zap.String("request", id), zap.Stringer("outcome", o))
	case entity.OutcomeAnswered:
	}
}
