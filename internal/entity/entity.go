// Package entity defines the typed identifiers, outcomes and reasons that all packages of both kinds of instance share.
package entity

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Zone names an availability zone.
type Zone string

// CustomerID names a customer (tenant).
type CustomerID string

// ServiceName names a service behind the router.
type ServiceName string

// BackendID names one backend (endpoint) of a service. It is unique within a configuration.
type BackendID string

// InstanceID names one process of a router instance. It changes with each restart.
type InstanceID string

// Partition is the index of a slice of a service's key space.
type Partition uint32

// Epoch is the fencing token of an assignment, which is the log offset of the record that granted it. Zero means none.
type Epoch uint64

// Term orders the successive primaries of one backend.
type Term uint64

// Offset is a position in a stream of the platform's log.
type Offset uint64

// KeyHash is the 64-bit xxhash of a routed key.
type KeyHash uint64

// HashKey returns the hash that determines the partition of a routed key.
func HashKey(key string) KeyHash {
	return KeyHash(xxhash.Sum64String(key))
}

// PartitionOf maps a key hash to one of count partitions. Count must be a power of two.
func PartitionOf(h KeyHash, count uint32) Partition {
	return Partition(uint64(h) & uint64(count-1))
}

// OutcomeKind states what is known about the execution of a request.
type OutcomeKind uint8

const (
	// OutcomeAnswered means that the backend's complete answer is available.
	OutcomeAnswered OutcomeKind = iota + 1
	// OutcomeNotRun means that the request has certainly not run on any backend.
	OutcomeNotRun
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown
)

// String returns the machine-readable form that is sent to callers.
func (k OutcomeKind) String() string {
	switch k {
	case OutcomeAnswered:
		return "answered"
	case OutcomeNotRun:
		return "not-run"
	case OutcomeUnknown:
		return "unknown"
	default:
		return fmt.Sprintf("outcome(%d)", uint8(k))
	}
}

// Reason is the machine-readable cause of an outcome other than answered.
type Reason string

// Reasons of outcomes. They are part of the protocol with callers.
const (
	ReasonBadRequest       Reason = "bad-request"
	ReasonUnauthenticated  Reason = "unauthenticated"
	ReasonForbidden        Reason = "forbidden"
	ReasonUnknownService   Reason = "unknown-service"
	ReasonUnknownRoute     Reason = "unknown-route"
	ReasonNoOwner          Reason = "no-owner"
	ReasonNotHolder        Reason = "not-holder"
	ReasonRateLimited      Reason = "rate-limited"
	ReasonQueueFull        Reason = "queue-full"
	ReasonDeadline         Reason = "deadline"
	ReasonCanceled         Reason = "canceled"
	ReasonShed             Reason = "shed"
	ReasonFenced           Reason = "fenced"
	ReasonUnreachable      Reason = "unreachable"
	ReasonBroken           Reason = "broken"
	ReasonTruncated        Reason = "truncated"
	ReasonMismatch         Reason = "response-mismatch"
	ReasonRepeatRunning    Reason = "repeat-running"
	ReasonRepeatUnknown    Reason = "repeat-unknown"
	ReasonMemoryIncomplete Reason = "memory-incomplete"
	ReasonQuarantined      Reason = "quarantined"
	ReasonStopping         Reason = "stopping"
	ReasonStaleKeys        Reason = "stale-keys"
	ReasonStaleConfig      Reason = "stale-config"
	ReasonTooLarge         Reason = "too-large"
	ReasonLeaseLost        Reason = "lease-lost"
)

// Outcome is the result of a request: its kind and, unless it was answered, the reason and an optional detail for people.
type Outcome struct {
	Kind   OutcomeKind
	Reason Reason
	Detail string
}

// NotRun returns the outcome of a request that has certainly not run.
func NotRun(reason Reason, detail string) Outcome {
	return Outcome{Kind: OutcomeNotRun, Reason: reason, Detail: detail}
}

// Unknown returns the outcome of a request that may have run.
func Unknown(reason Reason, detail string) Outcome {
	return Outcome{Kind: OutcomeUnknown, Reason: reason, Detail: detail}
}

// IsCanceled reports whether this side gave the request up, so that the outcome says nothing about the backend.
func (o Outcome) IsCanceled() bool { return o.Reason == ReasonCanceled || o.Reason == ReasonStopping }

// Answered returns the outcome of a request whose answer is complete.
func Answered() Outcome { return Outcome{Kind: OutcomeAnswered} }

// String formats the outcome for logs.
func (o Outcome) String() string {
	parts := []string{o.Kind.String()}
	if o.Reason != "" {
		parts = append(parts, string(o.Reason))
	}
	if o.Detail != "" {
		parts = append(parts, o.Detail)
	}
	return strings.Join(parts, ": ")
}
