// Package platformapi is the client of log-based instances and operators for the users' platform, which provides an
// append-only log with offsets and a list of instances that may lag. The package also contains the HTTP client and a fake
// for tests.
package platformapi

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// Stream names a stream of the log.
type Stream string

// Streams that pollenpier uses.
const (
	// StreamConfig contains the operators' configuration.
	StreamConfig Stream = "config"
	// StreamControl contains the ownership records that instances write.
	StreamControl Stream = "control"
)

// Draft is a record that is not yet in the log. Writer and Sequence identify it, so that a replay can recognize an append
// that was repeated after a lost answer.
type Draft struct {
	Writer   string
	Sequence uint64
	Payload  []byte
}

// Record is a record of a stream with its offset.
type Record struct {
	Draft
	Offset entity.Offset
}

// Batch is the result of a read: consecutive records from the requested offset on.
type Batch struct {
	// First is the offset of the oldest record in the stream.
	First entity.Offset
	// Next is the offset of the next append. A reader whose position equals Next has read all records.
	Next    entity.Offset
	Records []Record
}

// Errors of the log. An append that fails with another error than ErrRejected may have taken effect.
var (
	// ErrUnavailable means that the platform could not be reached or did not answer in time.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrTruncated means that the requested offset is older than the stream's retention.
	ErrTruncated = errors.New("offset older than the log's retention")
	// ErrRejected means that the platform refused the append and that it did not take effect.
	ErrRejected = errors.New("append rejected by the platform")
)

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record to a stream and returns its offset.
	Append(ctx context.Context, stream Stream, draft Draft) (entity.Offset, error)
	// Read returns at most limit records from the offset on. If there are none, it waits for a record for at most wait.
	Read(ctx context.Context, stream Stream, from entity.Offset, limit int, wait time.Duration) (Batch, error)
}

// InstanceState is the state of an instance according to the platform.
type InstanceState string

// Instance states of the platform's list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's list, which may be outdated. The list contains addresses but not process
// starts, so a new process at the same address cannot be distinguished from the previous one.
type Instance struct {
	Address string
	Zone    entity.Zone
	State   InstanceState
}

// InstanceList is the platform's list of live and leaving instances, which may be outdated.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}
