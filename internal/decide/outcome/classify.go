package outcome

import "github.com/pollenpier/pollenpier/internal/entity"

// Failure says how a call to a back end failed, as far as it matters for what is known of the request.
type Failure uint8

const (
	// FailureNotSent means that no byte of the request left this process for the back end.
	FailureNotSent Failure = iota + 1
	// FailureShed means that the back end declared that it refused the request before running it.
	FailureShed
	// FailureFenced means that the back end refused the token before running the request.
	FailureFenced
	// FailureBroken means that the connection broke after the request may have reached the back end.
	FailureBroken
	// FailureMismatch means that the response carried another request's id.
	FailureMismatch
	// FailureTruncated means that the answer ended early.
	FailureTruncated
	// FailureDeadline means that the time ran out after the request may have reached the back end.
	FailureDeadline
	// FailureCanceled means that the caller gave up after the request may have reached the back end.
	FailureCanceled
)

// Arrived reports whether the request may have reached the back end and run there.
func (f Failure) Arrived() bool {
	switch f {
	case FailureNotSent, FailureShed, FailureFenced:
		return false
	default:
		return true
	}
}

// Retryable reports whether another attempt of an idempotent request can help. A fenced request cannot be helped here: its
// key has another owner.
func (f Failure) Retryable() bool {
	switch f {
	case FailureNotSent, FailureShed, FailureBroken, FailureMismatch:
		return true
	default:
		return false
	}
}

// Classify returns the outcome of a failed call. Arrived is true if an earlier attempt of the same request may have reached
// the back end: then "not run" would be false, whatever became of the last attempt.
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

// RefusalOf returns the outcome that the memory's decision means for the caller. Run and replay are no refusals.
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
