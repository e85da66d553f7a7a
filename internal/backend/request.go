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
)

// hopHeaders concern one connection only and are not passed on (RFC 9110, section 7.6.1). Expect is answered here.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// replayHeaders make net/http repeat a request of any method on another connection.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// connectionMark records whether a request obtained a connection. Before that no byte of it can have been sent.
type connectionMark struct{ obtained atomic.Bool }

func (m *connectionMark) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { m.obtained.Store(true) },
	})
}

func (m *connectionMark) failureKind() FailureKind {
	if m.obtained.Load() {
		return FailureBroken
	}
	return FailureNotSent
}

// newRequest encodes a call.
func newRequest(ctx context.Context, target Target, call *Call) (*http.Request, error) {
	if reserved(call.Path) {
		return nil, errors.Wrapf(ErrReservedPath, "path %q", call.Path)
	}
	where := url.URL{Scheme: "http", Host: target.Address, Path: call.Path, RawQuery: call.RawQuery}
	req, err := http.NewRequestWithContext(ctx, call.Method, where.String(), http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	req.Header = requestHeader(call)
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	setBody(req, call)
	preventReplay(req)
	return req, nil
}

// reserved reports whether a path reaches the control requests, also after a server has cleaned it.
func reserved(p string) bool {
	clean := strings.ToLower(path.Clean("/" + p))
	return clean == wire.ControlPrefix || strings.HasPrefix(clean, wire.ControlPrefix+"/")
}

func requestHeader(call *Call) http.Header {
	h := call.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	removeHop(h)
	if !has(h, "User-Agent") {
		h["User-Agent"] = nil // keeps net/http from adding its own
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

// removeHop removes the headers that concern one connection, also those that Connection names.
func removeHop(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

func has(h http.Header, name string) bool {
	_, ok := h[name]
	return ok
}

// onceBody is a request body of which net/http cannot get a second copy.
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

// preventReplay makes sure that net/http does not repeat the request when a reused connection breaks. It repeats one
// without a body, or with a body that it can get again, if the method is safe or an idempotency header is set. Requests
// with a body carry one that it cannot get again. For the others, a safe method gets an empty body of that kind, which
// net/http finds empty and does not send, and the idempotency headers are spelled so that it does not recognize them;
// header names ignore case on the wire.
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
