// Package backend is the interface to the users' back ends: requests with a fencing token, session leases, grants, and the
// health and load reports. The HTTP client and the fake for tests stand beside it.
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

// Session is the lease by which a back end may serve any of its grants. The back end sets its end to Stamp + TTL on its own
// clock if that is later than before. A renewal that was delayed on its way, or in the queue of a frozen back end, therefore
// does not extend the session past the time that the sender counts from the receipt of the stamp.
type Session struct {
	Holder entity.InstanceID
	Term   entity.Term
	TTL    time.Duration
	// StartID and Stamp are those of the last SessionStatus received. Empty and zero before the first: such a renewal, and
	// one for another start of the process, is answered with a stamp but extends nothing.
	StartID string
	Stamp   uint64
}

// SessionStatus is a back end's answer to a renewal.
type SessionStatus struct {
	// StartID changes with every start of the back end's process.
	StartID string
	// Term is the highest term that the back end has accepted.
	Term entity.Term
	// Slots is the number of requests that the back end runs at once when warm. Zero if it does not say.
	Slots int
	// Stamp is the reading of the back end's monotonic clock in milliseconds when it answered.
	Stamp uint64
	// Lapses counts how often the session has lapsed since the start. A back end forgets its grants at a lapse, so a new
	// number means that they must be sent again.
	Lapses uint64
}

// Errors of control requests.
var (
	// ErrUnreachable means that the back end did not answer as agreed.
	ErrUnreachable = errors.New("back end unreachable")
	// ErrOutdatedTerm means that the back end has accepted a higher term.
	ErrOutdatedTerm = errors.New("back end has accepted a higher term")
	// ErrStillRunning means that a revoked partition still has a running request. Nothing new starts for it.
	ErrStillRunning = errors.New("revoked partition still has running requests")
	// ErrReservedPath means that a request's path belongs to the control requests.
	ErrReservedPath = errors.New("path reserved for control requests")
)

// ConnectionRefused reports whether an error says that nothing listened at the back end's address.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

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
	// Revoke withdraws partitions. After it returns nil, the back end runs nothing for them and starts nothing for them,
	// also if a grant of the same or an older epoch arrives late.
	Revoke(ctx context.Context, target Target, term entity.Term, grants []Grant) error
	Health(ctx context.Context, target Target) (Health, error)
	Load(ctx context.Context, target Target) (Load, error)
}

// Limiter is a Client that limits the connections to each back end.
type Limiter interface {
	// SetConnections sets the largest number of connections by back end and forgets back ends that are not listed.
	SetConnections(limits map[entity.BackendID]int)
}
