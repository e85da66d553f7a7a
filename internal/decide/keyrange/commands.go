package keyrange

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// Kind distinguishes grants from releases.
type Kind uint8

// Kinds of commands.
const (
	KindGrant Kind = iota + 1
	KindRelease
)

// Basis is the reason why the previous owner of a range can have no valid grant any more.
type Basis uint8

// Bases of a grant.
const (
	// BasisUnowned means that the range had no previous owner, or that the table does not name it any more.
	BasisUnowned Basis = iota
	// BasisReleased means that the previous owner has acknowledged the release.
	BasisReleased
	// BasisExpired means that the last grant of the previous owner has expired.
	BasisExpired
	// BasisTerminated means that the process of the previous owner has terminated.
	BasisTerminated
)

// String returns the name used in log lines.
func (b Basis) String() string {
	switch b {
	case BasisReleased:
		return "released"
	case BasisExpired:
		return "expired"
	case BasisTerminated:
		return "terminated"
	default:
		return "unowned"
	}
}

// Command is a call to a backend.
type Command struct {
	Kind     Kind
	Service  entity.ServiceName
	From, To uint32
	// Fence is the fencing token of the range. A release carries the fence of the next assignment, so that the backend
	// refuses renewals of the previous assignment that are still in flight.
	Fence  uint64
	Target Holder
	// TTL is how long a grant is valid, counted from the decision to send the command. The sender subtracts the time that has
	// passed until it sends the command.
	TTL      time.Duration
	Handover string // passed from the release to the grant, so that the keys stay warm at the new owner
	// Basis is why a grant may be sent. PreviousUntil is the latest time at which the previous owner could have a valid grant, as
	// far as the coordinator knows. Both are for the log.
	Basis         Basis
	PreviousUntil time.Duration
}

// Outcome describes what the coordinator knows about the execution of a command.
type Outcome uint8

// Outcomes of commands.
const (
	// Done means that the backend has executed the command.
	Done Outcome = iota + 1
	// Refused means that the backend has seen a higher fence.
	Refused
	// NotSent means that the command has certainly not reached the backend.
	NotSent
	// OtherProcess means that another process answers at the address, so the target has terminated.
	OtherProcess
	// NoAnswer means that the command may have arrived before the exchange finished.
	NoAnswer
)

// Result is a command with its outcome and the handover that the backend returned for a release.
type Result struct {
	Command
	Outcome  Outcome
	Handover string
	// Leaving means that the backend stated in the answer that it is leaving.
	Leaving bool
}
