// Package backend is the client of log-based instances for the users' backends: it sends requests with a fencing token,
// renews session leases, sends grants, and reads health and load reports. The package also contains the HTTP client and a
// fake for tests.
package backend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// Target identifies a backend and its address.
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

// Call is one request to a backend.
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
	// Remaining is the time left until the caller's deadline. The backend must have finished the request by then.
	Remaining time.Duration
}

// Answer is a backend's response. Body returns io.EOF only if the answer is complete. The receiver must close Body.
type Answer struct {
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	Length  int64 // -1 if unknown
	StartID string
}

// FailureKind classifies a failed call by whether the request may have been executed.
type FailureKind uint8

const (
	// FailureNotSent means that this process sent no byte of the request to the backend.
	FailureNotSent FailureKind = iota + 1
	// FailureShed means that the backend reported that it refused the request without running it.
	FailureShed
	// FailureFenced means that the backend refused the token without running the request.
	FailureFenced
	// FailureBroken means that the connection was lost after the request may have reached the backend.
	FailureBroken
	// FailureMismatch means that the response carried the id of another request.
	FailureMismatch
)

// Failure is the error of a call that returned no usable answer.
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
		return fmt.Sprintf("backend shed the request: %v", f.Cause)
	case FailureFenced:
		return fmt.Sprintf("backend refused the fencing token: %v", f.Cause)
	case FailureMismatch:
		return fmt.Sprintf("response belongs to another request: %v", f.Cause)
	default:
		return fmt.Sprintf("connection lost: %v", f.Cause)
	}
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Session is the lease during which a backend may serve its grants. The backend sets the end of the session to Stamp +
// TTL on its own clock if that is later than the current end. A renewal that was delayed in the network, or in the queue
// of a frozen backend, therefore never extends the session past the end that the sender counts from receiving the stamp.
type Session struct {
	Holder entity.InstanceID
	Term   entity.Term
	TTL    time.Duration
	// StartID and Stamp are copied from the last SessionStatus received, and are empty and zero before the first. A
	// renewal without them, or with the StartID of another start of the process, is answered with a stamp but extends
	// nothing.
	StartID string
	Stamp   uint64
}

// SessionStatus is a backend's answer to a session renewal.
type SessionStatus struct {
	// StartID changes with every start of the backend's process.
	StartID string
	// Term is the highest term that the backend has accepted.
	Term entity.Term
	// Slots is the number of requests that a warm backend runs concurrently, zero if the backend does not report it.
	Slots int
	// Stamp is the backend's monotonic clock in milliseconds at the time of the answer.
	Stamp uint64
	// Lapses counts the lapses of the session since the start of the process. A backend drops its grants at a lapse, so a
	// changed number means that the grants must be sent again.
	Lapses uint64
}

// Errors of control requests.
var (
	// ErrUnreachable means that the backend did not answer, or sent an answer that does not follow the protocol.
	ErrUnreachable = errors.New("backend unreachable")
	// ErrOutdatedTerm means that the backend has accepted a higher term.
	ErrOutdatedTerm = errors.New("backend has accepted a higher term")
	// ErrStillRunning means that a revoked partition still has a running request. The backend starts no new request for
	// it.
	ErrStillRunning = errors.New("revoked partition still has running requests")
	// ErrReservedPath means that a request's path is reserved for control requests.
	ErrReservedPath = errors.New("path reserved for control requests")
)

// ConnectionRefused reports whether err means that no process listened at the backend's address.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Grant allows the backend to serve a partition from an epoch on.
type Grant struct {
	Service   entity.ServiceName
	Partition entity.Partition
	Epoch     entity.Epoch
}

// Health is the backend's own health report, which may be outdated or wrong.
type Health struct {
	Ready    bool
	Draining bool
	StartID  string
}

// Load is the backend's own load report, which may be outdated or wrong.
type Load struct {
	InFlight    int
	Queued      int
	Connections int
	StartID     string
}

// Client sends requests and control requests to backends.
type Client interface {
	// Do sends a request at most once. Its error is always a *Failure.
	Do(ctx context.Context, target Target, call *Call) (*Answer, error)
	// RenewSession extends the backend's session lease. It returns ErrOutdatedTerm if the backend has accepted a higher
	// term.
	RenewSession(ctx context.Context, target Target, s Session) (SessionStatus, error)
	// Grant adds partitions to those that the backend may serve. It is idempotent.
	Grant(ctx context.Context, target Target, term entity.Term, grants []Grant) error
	// Revoke withdraws partitions. After it returns nil, the backend runs no request for them and starts none, even if a
	// grant of the same or an older epoch arrives late.
	Revoke(ctx context.Context, target Target, term entity.Term, grants []Grant) error
	Health(ctx context.Context, target Target) (Health, error)
	Load(ctx context.Context, target Target) (Load, error)
}

// Limiter limits the number of connections to each backend. Clients may implement it.
type Limiter interface {
	// SetConnections sets the maximum number of connections by backend and drops the limits of backends that are not
	// listed.
	SetConnections(limits map[entity.BackendID]int)
}
