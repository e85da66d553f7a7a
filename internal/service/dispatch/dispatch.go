package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"

	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

const (
	// tracerName names the spans of this service.
	tracerName = "pollenpier/dispatch"
	// maxAttempts bounds the sends of one idempotent request.
	maxAttempts = 3
	// maxArrivals bounds the sends that may have reached the backend. A request whose connection was lost may be the cause,
	// so it is not sent a third time.
	maxArrivals = 2
)

// Dispatch runs a request on its backend. Traffic goroutines call it, and it blocks until a slot is free and the head of
// the answer has arrived; the slot is occupied until the answer's body ends or is closed. The deadline of the request ends
// both. The trace span ends with the head of the answer.
func (s *Service) Dispatch(ctx context.Context, req *service.Request) service.Response {
	s.meters.requests.Inc(1)
	ctx, span := otel.Tracer(tracerName).Start(ctx, "dispatch")
	resp := s.dispatch(ctx, req)
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("backend", string(req.Backend)),
			attribute.String("outcome", resp.Outcome.String()))
	}
	span.End()
	if resp.Outcome.Kind == entity.OutcomeAnswered {
		return resp // counted when its body ends
	}
	if resp.Outcome.Reason == entity.ReasonNotHolder {
		resp.Holder = s.holderOf(req.Backend)
	}
	s.meters.outcome(resp.Outcome)
	return resp
}

func refused(o entity.Outcome) service.Response { return service.Response{Outcome: o} }

func (s *Service) dispatch(ctx context.Context, req *service.Request) service.Response {
	if s.stopping.Load() {
		return refused(s.stoppingRefusal(req.Backend))
	}
	p := s.plan.Load()
	if p == nil {
		return refused(entity.NotRun(entity.ReasonNotHolder, "not ready yet"))
	}
	now := s.kernel.Now()
	if now >= req.Deadline {
		return refused(entity.NotRun(entity.ReasonDeadline, ""))
	}
	term, o, ok := s.mayServe(p, req, now)
	if !ok {
		return refused(o)
	}
	q := p.queues[req.Backend]
	if q == nil {
		return refused(entity.NotRun(entity.ReasonNotHolder, "lease just gained"))
	}
	f, o, ok := s.newFlight(q, p, req)
	if !ok {
		return refused(o)
	}
	if o, ok := q.admit(f); !ok {
		return refused(o)
	}
	if !req.Idempotent {
		if resp, run := s.recordRequest(ctx, f, p, term); !run {
			q.leave(f)
			return resp
		}
	}
	resp := s.run(ctx, f)
	resp.IdempotencyChecked = !req.Idempotent
	return resp
}

// stoppingRefusal returns the refusal of an instance in a planned stop. Once the backend's lease is handed over, the sender must ask
// the new primary: after "stopping" it would send the request here again.
func (s *Service) stoppingRefusal(id entity.BackendID) entity.Outcome {
	if _, held := heldLease(s.leases.Leases(), id, s.kernel.Now()); held {
		return entity.NotRun(entity.ReasonStopping, "")
	}
	return entity.NotRun(entity.ReasonNotHolder, "the lease was handed over in a planned stop")
}

// newFlight reads the request's body and returns the flight. The body is read before the request is queued, so that a slow
// caller occupies no slot, and it is kept, because the fingerprint covers it and a retry sends it again.
func (s *Service) newFlight(q *backendQueue, p *plan, req *service.Request) (*flight, entity.Outcome, bool) {
	if !req.Idempotent && req.IdempotencyKey == "" {
		return nil, entity.NotRun(entity.ReasonBadRequest, "an at-most-once request needs an idempotency key"), false
	}
	body, err := s.readBody(req)
	if err != nil {
		return nil, bodyRefusal(err), false
	}
	f := &flight{
		queue:     q,
		req:       req,
		body:      body,
		partition: outcome.PartitionKey{Service: req.Service, Partition: req.Partition},
		hash:      entity.HashKey(req.Key),
		maxRun:    p.services[req.Service].maxRun,
	}
	f.suspect = outcome.Suspect{Customer: req.Customer, Fingerprint: fingerprint(req, body)}
	if !req.Idempotent {
		f.key = outcome.Key{Customer: req.Customer, Service: req.Service, IdempotencyKey: req.IdempotencyKey}
	}
	return f, entity.Outcome{}, true
}

// Errors of reading a request's body.
var (
	errBodyTooLarge = errors.New("request body too large")
	errBodyLength   = errors.New("request body differs from its stated length")
)

func bodyRefusal(err error) entity.Outcome {
	if errors.Is(err, errBodyTooLarge) {
		return entity.NotRun(entity.ReasonTooLarge, err.Error())
	}
	return entity.NotRun(entity.ReasonBadRequest, err.Error())
}

func (s *Service) readBody(req *service.Request) ([]byte, error) {
	if req.Body == nil || req.Length == 0 {
		return nil, nil
	}
	if req.Length > s.settings.MaxBody {
		return nil, errBodyTooLarge
	}
	var buffer bytes.Buffer
	if req.Length > 0 {
		// ReadFrom requires space for one more read, which returns the end of the body.
		buffer.Grow(int(req.Length) + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(req.Body, s.settings.MaxBody+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "read request body")
	case n > s.settings.MaxBody:
		return nil, errBodyTooLarge
	case req.Length >= 0 && n != req.Length:
		return nil, errBodyLength
	default:
		return buffer.Bytes(), nil
	}
}

// fingerprint identifies a request by everything that a backend's behavior can depend on, except for headers, which differ
// between repeats.
func fingerprint(req *service.Request, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{string(req.Service), req.Method, req.Path, req.RawQuery, req.Key} {
		// Write and WriteString of a digest never fail.
		_, _ = d.WriteString(part)
		_, _ = d.Write(separator)
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// separator separates adjacent parts of the fingerprint.
var separator = []byte{0}

// recordRequest records an at-most-once request before it is queued. It returns false with the response if the request
// must not be sent.
func (s *Service) recordRequest(ctx context.Context, f *flight, p *plan, term entity.Term) (service.Response, bool) {
	q := f.queue
	if o, ok := q.awaitMemory(ctx, f, p, term); !ok {
		return refused(o), false
	}
	verdict := q.begin(f)
	switch verdict.Decision {
	case outcome.DecideRun:
	case outcome.DecideReplay:
		s.meters.replays.Inc(1)
		return replay(verdict.Answer), false
	default:
		return service.Response{Outcome: outcome.RefusalOf(verdict.Decision), IdempotencyChecked: true}, false
	}
	if s.copyFirst(ctx, q, p.peers, verdict.Record) {
		return service.Response{}, true
	}
	q.discard(f)
	o := entity.NotRun(entity.ReasonUnreachable, "no instance could keep a copy of the request's key")
	if ctx.Err() != nil {
		o = entity.NotRun(entity.ReasonCanceled, "canceled before queueing")
	}
	return service.Response{Outcome: o, IdempotencyChecked: true}, false
}

// replay returns a recorded answer.
func replay(a *outcome.Answer) service.Response {
	return service.Response{
		Outcome: entity.Answered(),
		Status:  a.Status,
		Header:  http.Header(a.Header).Clone(),
		Length:  int64(len(a.Body)),
		Body:    io.NopCloser(bytes.NewReader(a.Body)),
	}
}

// run sends the request and retries it if that is allowed and can help.
func (s *Service) run(ctx context.Context, f *flight) service.Response {
	q := f.queue
	// An at-most-once request is quarantined only after the memory was checked, so that "not run" is true of its earlier
	// attempts as well.
	if s.treatmentOf(f.suspect, s.kernel.Now()) == outcome.TreatQuarantined {
		return refused(q.abandon(f, quarantined()))
	}
	for {
		if o, ok := q.acquire(ctx, f); !ok {
			return refused(q.abandon(f, o))
		}
		term, o, ok := s.mayServe(s.plan.Load(), f.req, s.kernel.Now())
		if !ok {
			return refused(q.abandon(f, o))
		}
		resp, failed := s.send(ctx, f, term)
		if failed == nil {
			return resp
		}
		if o, retry := q.handleFailure(f, failed); !retry {
			return refused(o)
		}
		s.meters.retries.Inc(1)
	}
}
