// Package outcome decides what is known of a request: the idempotency memory of at-most-once requests with its copies and
// its horizon, the classification of failures, and the quarantine of requests that crash back ends.
package outcome

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// MaxStoredAnswer is the size in bytes up to which the body of an answer is kept for repeats.
const MaxStoredAnswer = 64 << 10

// Key identifies an at-most-once request of a customer.
type Key struct {
	Customer       entity.CustomerID
	Service        entity.ServiceName
	IdempotencyKey string
}

// PartitionKey names a partition of a service.
type PartitionKey struct {
	Service   entity.ServiceName
	Partition entity.Partition
}

// State is what a record says. The numbers are part of the protocol between instances.
type State uint8

const (
	// StateRunning means that the request may have been sent.
	StateRunning State = iota + 1
	// StateAnswered means that the request ran. The answer may be missing if it was too large to keep.
	StateAnswered
	// StateUnknown means that the request may or may not have run.
	StateUnknown
	// StateForgotten means that the request has certainly not run: the record withdraws an earlier one.
	StateForgotten
	// StateHorizon is not about a request: the memory of the partition begins at the record's age.
	StateHorizon
	// StateBlamed is not about a key: the request with the fingerprint crashed a back end.
	StateBlamed
)

// Version orders the records of one key. Epochs grow with each move of the partition, terms with each primary of one back
// end, and the sequence with each record of one primary.
type Version struct {
	Epoch    entity.Epoch
	Term     entity.Term
	Sequence uint64
}

// Less reports whether v is older than other.
func (v Version) Less(other Version) bool {
	if v.Epoch != other.Epoch {
		return v.Epoch < other.Epoch
	}
	if v.Term != other.Term {
		return v.Term < other.Term
	}
	return v.Sequence < other.Sequence
}

// Answer is a stored answer.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	return len(a.Body)
}

// Record is one entry of the memory in the form that instances exchange. Ages are relative, since clocks are not shared.
type Record struct {
	Key         Key
	Fingerprint uint64
	Partition   entity.Partition
	State       State
	Version     Version
	// Age is the time since the request began here, or since the horizon.
	Age    time.Duration
	Answer *Answer // only if answered and kept
	// Confirmed is set in horizons that come with a complete copy of the partition's memory: the time since that copy was
	// made. Zero means that the holder was not given a complete copy.
	Confirmed time.Duration
}

// PartitionKey returns the partition that the record belongs to.
func (r *Record) PartitionKey() PartitionKey { return PartitionKey{r.Key.Service, r.Partition} }
