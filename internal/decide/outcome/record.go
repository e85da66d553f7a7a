// Package outcome decides what is known about the outcome of a request. It contains the idempotency memory of at-most-once
// requests with its copies and its completeness horizon, the classification of failures, and the quarantine of requests that
// crash backends. Log-based instances use all of it, store-based instances the quarantine.
package outcome

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// MaxStoredAnswer is the largest body, in bytes, of an answer that is stored for repeats.
const MaxStoredAnswer = 64 << 10

// Key identifies an at-most-once request of a customer.
type Key struct {
	Customer       entity.CustomerID
	Service        entity.ServiceName
	IdempotencyKey string
}

// PartitionKey identifies a partition of a service.
type PartitionKey struct {
	Service   entity.ServiceName
	Partition entity.Partition
}

// State is the state of a request or the kind of a record. The numbers are part of the protocol between instances.
type State uint8

const (
	// StateRunning means that the request may have been sent.
	StateRunning State = iota + 1
	// StateAnswered means that the request ran. The answer is missing if it was not stored or has been dropped.
	StateAnswered
	// StateUnknown means that the request may or may not have run.
	StateUnknown
	// StateForgotten means that the request has certainly not run: the record withdraws an earlier one.
	StateForgotten
	// StateHorizon marks a record that is not about a request: the memory of the partition has been complete for the record's
	// age.
	StateHorizon
	// StateBlamed marks a record that is not about a key: the request with the fingerprint crashed a backend.
	StateBlamed
)

// Version orders the records of one key. The epoch increases with each move of the partition, the term with each new primary of
// the backend, and the sequence with each record of one primary.
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

// Answer is the stored answer to a request.
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

// Record is one entry of the memory in the form that instances exchange. Times are sent as ages, since instances do not share a
// clock.
type Record struct {
	Key         Key
	Fingerprint uint64
	Partition   entity.Partition
	State       State
	Version     Version
	// Age is the time since the request began at the sender, or since the horizon.
	Age    time.Duration
	Answer *Answer // only if answered and stored
	// Confirmed is set in horizons that are sent with a complete copy of the partition's memory: the time since that copy was
	// made. Zero means that the holder has not received a complete copy.
	Confirmed time.Duration
}

// PartitionKey returns the partition that the record belongs to.
func (r *Record) PartitionKey() PartitionKey { return PartitionKey{r.Key.Service, r.Partition} }
