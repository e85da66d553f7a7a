package outcome

import "github.com/pollenpier/pollenpier/internal/entity"

// Failure is the kind of failure of a call to a backend. It determines the outcome of the request.
type Failure uint8

const (
	// FailureNotSent means that no byte of the request was sent to the backend.
	FailureNotSent Failure = iota + 1
	// FailureShed means that the backend reported that it refused the request before running it.
	FailureShed
	// FailureFenced means that the backend refused the fencing token before running the request.
	FailureFenced
	// FailureBroken means that the connection was lost after the request may have reached the backend.
	FailureBroken
	// FailureMismatch means that the response carried another request's id.
	FailureMismatch
	// FailureTruncated means that the answer is truncated.
	FailureTruncated
	// FailureDeadline means that the deadline passed after the request may have reached the backend.
	FailureDeadline
	// FailureCanceled means that the caller gave up after the request may have reached the backend.
	FailureCanceled
)

// Arrived reports whether the request may have reached the backend and run there.
func (f Failure) Arrived() bool {
	switch f {
	case FailureNotSent, FailureShed, FailureFenced:
		return false
	default:
		return true
	}
}

// Retryable reports whether an idempotent request may succeed on another attempt. A fenced request cannot: its key has another
// owner.
func (f Failure) Retryable() bool {
	switch f {
	case FailureNotSent, FailureShed, FailureBroken, FailureMismatch:
		return true
	default:
		return false
	}
}

// Classify returns the outcome of a failed call. arrived is true if an earlier attempt of the same request may have reached
// the backend: then "not run" would be wrong, whatever the result of the last attempt.
func Classify(f Failure, arrived bool, detail string) entity.Outcome {
	reason := reasons[f]
	if reason == "" {
		reason = entity.ReasonBroken
	}
	if arrived || f.Arrived() {
		return entity.Unknown(reason, detail)
	}
	return entity.NotRun(reason, detail)
}

var reasons = map[Failure]entity.Reason{
	FailureNotSent:   entity.ReasonUnreachable,
	FailureShed:      entity.ReasonShed,
	FailureFenced:    entity.ReasonFenced,
	FailureBroken:    entity.ReasonBroken,
	FailureMismatch:  entity.ReasonMismatch,
	FailureTruncated: entity.ReasonTruncated,
	FailureDeadline:  entity.ReasonDeadline,
	FailureCanceled:  entity.ReasonCanceled,
}

// RefusalOf returns the outcome to report to the caller for a decision of the memory that refuses a request. DecideRun and
// DecideReplay are not refusals.
func RefusalOf(d Decision) entity.Outcome {
	switch d {
	case DecideOtherRequest:
		return entity.NotRun(entity.ReasonBadRequest, "the idempotency key was used for a different request")
	case DecideRepeatRunning:
		return entity.Unknown(entity.ReasonRepeatRunning, "the same request is running")
	case DecideIncomplete:
		return entity.Unknown(entity.ReasonMemoryIncomplete, "the request may have run before a failover")
	case DecideFull:
		return entity.NotRun(entity.ReasonQueueFull, "too many idempotency keys within the window")
	default:
		return entity.Unknown(entity.ReasonRepeatUnknown, "the same request may have run and its answer is not known")
	}
}
