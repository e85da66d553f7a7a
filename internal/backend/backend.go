// Package backend is the interface to the users' back ends: requests with a fencing token, session leases, grants, and the
// health and load reports. The HTTP client and the fake for tests stand beside it.
package backend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// Target is a back end's address.
type Target struct {
	ID      entity.BackendID
	Address string // host:port
}

// Token fences a request: the partition's epoch and the primary's term.
type Token struct {
	Service   entity.ServiceName
	Partition entity.Partition
	Epoch     entity.Epoch
	Term      entity.Term
}

// Call is one request to a back end.
type Call struct {
	RequestID string
	Token     Token
	Key       string
	Method    string
	Path      string
	RawQuery  string
	Header    http.Header
	Body      io.Reader
	Length    int64 // -1 if unknown
	// Remaining is the time left until the caller's deadline. The back end must end the request by then.
	Remaining time.Duration
}

// Answer is a back end's response. Body ends with io.EOF only if the answer is complete; the receiver must close it.
type Answer struct {
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	Length  int64 // -1 if unknown
	StartID string
}

// FailureKind classifies a failed call by what it says about execution.
type FailureKind uint8

const (
	// FailureNotSent means that no byte of the request left this process for the back end.
	FailureNotSent FailureKind = iota + 1
	// FailureShed means that the back end declared that it refused the request before running it.
	FailureShed
	// FailureFenced means that the back end refused the token before running the request.
	FailureFenced
	// FailureBroken means that the connection broke after the request may have reached the back end.
	FailureBroken
	// FailureMismatch means that the response carried another request's id.
	FailureMismatch
)

// Failure is the error of a call without a usable answer.
type Failure struct {
	Kind  FailureKind
	Cause error
}

// Error describes the failure.
func (f *Failure) Error() string {
	switch f.Kind {
	case FailureNotSent:
		return fmt.Sprintf("request not sent: %v", f.Cause)
	case FailureShed:
		return fmt.Sprintf("back end shed the request: %v", f.Cause)
	case FailureFenced:
		return fmt.Sprintf("back end refused the fencing token: %v", f.Cause)
	case FailureMismatch:
		return fmt.Sprintf("response of another request: %v", f.Cause)
	default:
		return fmt.Sprintf("connection broke: %v", f.Cause)
	}
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Session is the lease by which a back end may serve any of its grants.
type Session struct {
	Holder entity.InstanceID
	Term   entity.Term
	TTL    time.Duration
}

// SessionStatus is a back end's answer to a renewal.
type SessionStatus struct {
	// StartID changes with every start of the back end's process.
	StartID string
	// Term is the highest term that the back end has accepted.
	Term entity.Term
	// Slots is the number of requests that the back end runs at once when warm. Zero if it does not say.
	Slots int
}

// Grant gives a partition to the back end from an epoch on.
type Grant struct {
	Service   entity.ServiceName
	Partition entity.Partition
	Epoch     entity.Epoch
}

// Health is the back end's own report, which may lag or mislead.
type Health struct {
	Ready    bool
	Draining bool
	StartID  string
}

// Load is the back end's own load report, which may lag or mislead.
type Load struct {
	InFlight    int
	Queued      int
	Connections int
	StartID     string
}

// Client talks to back ends.
type Client interface {
	// Do sends a request at most once. A failure is always a *Failure.
	Do(ctx context.Context, target Target, call *Call) (*Answer, error)
	// RenewSession extends the back end's session lease. It fails if the back end has accepted a higher term.
	RenewSession(ctx context.Context, target Target, s Session) (SessionStatus, error)
	// Grant adds partitions to those that the back end may serve. Repeating a grant changes nothing.
	Grant(ctx context.Context, target Target, term entity.Term, grants []Grant) error
	// Revoke withdraws partitions. After it returns nil, the back end runs nothing for them and starts nothing for them.
	Revoke(ctx context.Context, target Target, term entity.Term, grants []Grant) error
	Health(ctx context.Context, target Target) (Health, error)
	Load(ctx context.Context, target Target) (Load, error)
}
