// Package peer implements the calls between log-based instances over drpc: heartbeats, forwarded requests, token leases, copies
// of outcomes, ramp states and relayed log records. It converts between the types of package service and the messages of
// package pb, and decides nothing.
package peer

import (
	"net/http"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/peer/pb"
	"github.com/pollenpier/pollenpier/internal/service"
)

// unstated marks a duration field as absent on the wire.
const unstated = -1

// toHeaders converts HTTP headers to their wire form.
func toHeaders(h http.Header) []*pb.Header {
	headers := make([]*pb.Header, 0, len(h))
	for name, values := range h {
		headers = append(headers, &pb.Header{Name: name, Values: values})
	}
	return headers
}

// fromHeaders converts wire headers to HTTP headers.
func fromHeaders(headers []*pb.Header) http.Header {
	h := make(http.Header, len(headers))
	for _, header := range headers {
		h[http.CanonicalHeaderKey(header.GetName())] = header.GetValues()
	}
	return h
}

// toMicros converts a duration to microseconds, and negative durations to unstated.
func toMicros(d time.Duration) int64 {
	if d < 0 {
		return unstated
	}
	return d.Microseconds()
}

// fromMicros converts microseconds to a duration, and negative values to -1 ns.
func fromMicros(us int64) time.Duration {
	if us < 0 {
		return unstated
	}
	return time.Duration(us) * time.Microsecond
}

// toHead converts a request without its body to a forward head. remaining is the time until the request's deadline.
func toHead(req *service.Request, remaining time.Duration, traceparent string) *pb.ForwardHead {
	return &pb.ForwardHead{
		RequestId:      req.ID,
		Service:        string(req.Service),
		Customer:       string(req.Customer),
		Key:            req.Key,
		Partition:      uint32(req.Partition),
		Epoch:          uint64(req.Epoch),
		Backend:        string(req.Backend),
		Method:         req.Method,
		Path:           req.Path,
		RawQuery:       req.RawQuery,
		Headers:        toHeaders(req.Header),
		BodyLength:     req.Length,
		RemainingUs:    max(0, remaining.Microseconds()),
		Idempotent:     req.Idempotent,
		IdempotencyKey: req.IdempotencyKey,
		AgeUs:          toMicros(req.Age),
		Traceparent:    traceparent,
	}
}

// fromHead converts a forward head to a request without a body. now is the time of the receiver's clock.
func fromHead(head *pb.ForwardHead, now time.Duration) *service.Request {
	return &service.Request{
		ID:             head.GetRequestId(),
		Service:        entity.ServiceName(head.GetService()),
		Customer:       entity.CustomerID(head.GetCustomer()),
		Key:            head.GetKey(),
		Partition:      entity.Partition(head.GetPartition()),
		Epoch:          entity.Epoch(head.GetEpoch()),
		Backend:        entity.BackendID(head.GetBackend()),
		Method:         head.GetMethod(),
		Path:           head.GetPath(),
		RawQuery:       head.GetRawQuery(),
		Header:         fromHeaders(head.GetHeaders()),
		Length:         head.GetBodyLength(),
		Deadline:       now + fromMicros(head.GetRemainingUs()),
		Idempotent:     head.GetIdempotent(),
		IdempotencyKey: head.GetIdempotencyKey(),
		Age:            fromMicros(head.GetAgeUs()),
	}
}

// toRefusal converts a response without an answer to a refusal of the request with the given ID.
func toRefusal(id string, resp service.Response) *pb.ForwardResponse {
	return &pb.ForwardResponse{Frame: &pb.ForwardResponse_Refusal{Refusal: &pb.Refusal{
		RequestId:  id,
		Kind:       uint32(resp.Outcome.Kind),
		Reason:     string(resp.Outcome.Reason),
		Detail:     resp.Outcome.Detail,
		Holder:     string(resp.Holder),
		Remembered: resp.IdempotencyChecked,
	}}}
}

// fromRefusal converts a refusal. Every outcome kind other than "not run" becomes unknown, since only the sender can know that
// the request did not run.
func fromRefusal(r *pb.Refusal) service.Response {
	outcome := entity.Unknown(entity.Reason(r.GetReason()), r.GetDetail())
	if entity.OutcomeKind(r.GetKind()) == entity.OutcomeNotRun {
		outcome.Kind = entity.OutcomeNotRun
	}
	return service.Response{
		Outcome: outcome, Holder: entity.InstanceID(r.GetHolder()), IdempotencyChecked: r.GetRemembered(),
	}
}
