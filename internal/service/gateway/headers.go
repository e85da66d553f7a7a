package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Headers of the callers' protocol, described in docs/protocols.md.
const (
	// HeaderCustomerKey carries the customer's key on routes open to all.
	HeaderCustomerKey = "Pollenpier-Customer-Key"
	// HeaderKey carries the routed key.
	HeaderKey = "Pollenpier-Key"
	// HeaderIdempotencyKey identifies a request that must not run twice.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline is the time that the caller waits, in milliseconds.
	HeaderDeadline = "Pollenpier-Deadline-Ms"
	// HeaderAge is the time since the caller first sent this request, in milliseconds.
	HeaderAge = "Pollenpier-Age-Ms"
	// HeaderRequestID is the request's id, chosen by the gateway.
	HeaderRequestID = "Pollenpier-Request-Id"
	// HeaderOutcome is the outcome: answered, not-run or unknown.
	HeaderOutcome = "Pollenpier-Outcome"
	// HeaderReason is the reason of an outcome other than answered.
	HeaderReason = "Pollenpier-Reason"
	// HeaderRetry is the time after which a refused request may succeed, in milliseconds.
	HeaderRetry = "Pollenpier-Retry-Ms"
	// HeaderCustomer names the customer on internal routes, where no key is needed.
	HeaderCustomer = "Pollenpier-Customer"
)

// ownHeaderPrefix starts every header of pollenpier's own protocols.
const ownHeaderPrefix = "Pollenpier-"

// Deadlines of callers.
const (
	defaultDeadline = 10 * time.Second
	maxDeadline     = 60 * time.Second
)

// maxKeyLength bounds routed and idempotency keys, in bytes.
const maxKeyLength = 1024

// hopHeaders belong to one connection and are not forwarded (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// forwardHeaders returns the headers that go on to the back end: without those of the hop, without pollenpier's own, and
// without any header that contains the customer's key.
func forwardHeaders(h http.Header, customerKey string) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if strings.HasPrefix(name, ownHeaderPrefix) || containsKey(values, customerKey) {
			continue
		}
		out[name] = values
	}
	dropHopHeaders(out)
	return out
}

// answerHeaders returns the headers of an answer that go on to the caller.
func answerHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, ownHeaderPrefix) {
			out[name] = values
		}
	}
	dropHopHeaders(out)
	return out
}

// dropHopHeaders removes the standard hop headers and those that Connection names.
func dropHopHeaders(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// containsKey reports whether any value contains a non-empty customer's key.
func containsKey(values []string, key string) bool {
	if key == "" {
		return false
	}
	for _, value := range values {
		if strings.Contains(value, key) {
			return true
		}
	}
	return false
}

// parseMillis reads a header with a whole number of milliseconds. Absent gives the fallback.
func parseMillis(h http.Header, name string, fallback time.Duration) (time.Duration, error) {
	value := h.Get(name)
	if value == "" {
		return fallback, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 || ms > int64(24*time.Hour/time.Millisecond) {
		return 0, errors.Errorf("header %s: %q is not a number of milliseconds between 0 and one day", name, value)
	}
	return time.Duration(ms) * time.Millisecond, nil
}
