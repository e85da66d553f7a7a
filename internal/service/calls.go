package service

import (
	"context"
	"net/http"
	"time"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/shutdown"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// Call is a caller's request, independent of any wire format.
type Call struct {
	ID     string
	Method string
	Host   string
	Path   string
	Target string // path and query as sent by the caller
	// Credential is the customer's API key; empty if the request has none.
	Credential string
	// Key is the routed key; HasKey is false if the request has none.
	Key    uint32
	HasKey bool
	Header http.Header // without hop-by-hop headers and headers of the router's own protocol
	Body   []byte
	// Received is when the request was read, and Deadline when the caller stops waiting, both on the kernel's clock.
	Received, Deadline time.Duration
	// Stop is the schedule of the instance's planned stop at the time at which the request was read.
	Stop shutdown.Schedule
}

// Reply is the result of a call.
type Reply struct {
	Outcome entity.Outcome
	Status  int // of the backend, if answered
	Header  http.Header
	Body    []byte
	// RetryAfter is the time after which a retry may succeed if the call was not run; zero if unknown.
	RetryAfter time.Duration
}

// CallRouter routes calls to backends.
type CallRouter interface {
	// Route sends a call to a backend and returns the result.
	Route(ctx context.Context, call *Call) Reply
	// Authorize checks the route and the customer's key of a call whose body has not been read. It returns the reply and false if
	// the call is refused.
	Authorize(call *Call) (Reply, bool)
	// Ready reports whether calls can be served.
	Ready() bool
}

// Delivery is one attempt to send a call to a backend.
type Delivery struct {
	Backend   *catalog.Backend
	Call      *Call
	Customer  entity.CustomerID
	Remaining time.Duration
}

// BackendLoad is the load that a backend reports with an answer.
type BackendLoad struct {
	Running, Waiting, Slots int
	// Slowdown is the ratio of the current to the usual service time; 1 if the backend does not report it.
	Slowdown float64
}

// DeliveryResult is the result of a delivery.
type DeliveryResult struct {
	// Outcome is answered, not run or unknown.
	Outcome entity.Outcome
	Status  int
	Header  http.Header
	Body    []byte
	Load    *BackendLoad
	// Misdirected means that the backend has no valid grant for the key, or that another backend answered.
	Misdirected bool
	// Leaving means that the backend stated in the answer that it is leaving.
	Leaving bool
	// HoldOff is how long the backend asks to be sent no requests; zero if it does not.
	HoldOff time.Duration
	// ConnectionRefused means that no process listened at the backend's address.
	ConnectionRefused bool
}

// Deliverer sends calls to backends.
type Deliverer interface {
	Deliver(ctx context.Context, d Delivery) DeliveryResult
}

// WarmupChecker asks backends for their warm-up.
type WarmupChecker interface {
	// CheckWarmup returns how much longer a backend is cold. Path is the status path of the backend's service. An answer of another
	// process at its address is an error.
	CheckWarmup(ctx context.Context, backend *catalog.Backend, path string) (time.Duration, error)
}
