package backend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"path"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/propagation"

	"github.com/pollenpier/pollenpier/internal/backend/wire"
	"github.com/pollenpier/pollenpier/internal/httpheader"
)

// replayHeaders make net/http retry a request of any method on another connection.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// connectionTracker records whether a request obtained a connection, and whether that carried other requests before. No byte of
// the request can have been sent before it obtained one.
type connectionTracker struct{ obtained, reused atomic.Bool }

func (t *connectionTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			t.obtained.Store(true)
			t.reused.Store(info.Reused)
		},
	})
}

func (t *connectionTracker) failureKind() FailureKind {
	if t.obtained.Load() {
		return FailureBroken
	}
	return FailureNotSent
}

// newRequest returns the HTTP request of a call.
func newRequest(ctx context.Context, target Target, call *Call) (*http.Request, error) {
	if isReserved(call.Path) {
		return nil, errors.Wrapf(ErrReservedPath, "path %q", call.Path)
	}
	address := url.URL{Scheme: "http", Host: target.Address, Path: call.Path, RawQuery: call.RawQuery}
	req, err := http.NewRequestWithContext(ctx, call.Method, address.String(), http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	req.Header = requestHeader(call)
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	setBody(req, call)
	preventReplay(req)
	return req, nil
}

// isReserved reports whether a path addresses control requests, including after a server has normalized it.
func isReserved(p string) bool {
	clean := strings.ToLower(path.Clean("/" + p))
	return clean == wire.ControlPrefix || strings.HasPrefix(clean, wire.ControlPrefix+"/")
}

func requestHeader(call *Call) http.Header {
	h := call.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	httpheader.DropHopByHop(h)
	h.Del("Expect") // this router answers it
	if !hasHeader(h, "User-Agent") {
		h["User-Agent"] = nil // prevents net/http from adding its own value
	}
	h.Set(wire.HeaderRequestID, call.RequestID)
	h.Set(wire.HeaderKey, url.PathEscape(call.Key))
	h.Set(wire.HeaderService, string(call.Token.Service))
	h.Set(wire.HeaderPartition, strconv.FormatUint(uint64(call.Token.Partition), 10))
	h.Set(wire.HeaderEpoch, strconv.FormatUint(uint64(call.Token.Epoch), 10))
	h.Set(wire.HeaderTerm, strconv.FormatUint(uint64(call.Token.Term), 10))
	h.Set(wire.HeaderRemaining, strconv.FormatInt(call.Remaining.Milliseconds(), 10))
	return h
}

func hasHeader(h http.Header, name string) bool {
	_, ok := h[name]
	return ok
}

// onceBody is a request body that net/http cannot rewind, so it cannot send it twice.
type onceBody struct{ io.Reader }

// Close does nothing: the caller owns the reader.
func (onceBody) Close() error { return nil }

func setBody(req *http.Request, call *Call) {
	if call.Body == nil || call.Length == 0 {
		return
	}
	req.Body = onceBody{call.Body}
	req.ContentLength = call.Length
}

// preventReplay prevents net/http from retrying the request when a reused connection is lost. net/http retries a request
// that has no body, or a body that it can obtain again, if the method is safe or an idempotency header is set. A body set
// by setBody cannot be obtained again. A request without a body is protected in two ways. With a safe method it gets an
// empty body of the same kind, which net/http detects as empty and does not send. The names of the idempotency headers
// are changed to lower case, which net/http does not recognize; header names are case-insensitive on the wire.
func preventReplay(req *http.Request) {
	req.GetBody = nil
	if req.Body != http.NoBody {
		return
	}
	for _, name := range replayHeaders {
		if values, ok := req.Header[name]; ok {
			delete(req.Header, name)
			req.Header[strings.ToLower(name)] = values
		}
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		req.Body = onceBody{strings.NewReader("")}
	}
}
