// Package platformapi is the interface to the users' platform: an append-only log with offsets and a lagging list of
// instances. The HTTP client and the fake for tests stand beside it.
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
	// StreamConfig carries the operators' configuration.
	StreamConfig Stream = "config"
	// StreamControl carries the system's own ownership records.
	StreamControl Stream = "control"
)

// Draft is a record that is not yet in the log. Writer and Sequence identify it, so that a repeat of the same append after
// a lost answer can be recognized in replay.
type Draft struct {
	Writer   string
	Sequence uint64
	Payload  []byte
}

// Record is a record of a stream.
type Record struct {
	Draft
	Offset entity.Offset
}

// Batch is the result of a read: consecutive records starting at the requested offset.
type Batch struct {
	// First is the offset of the oldest record that the stream still keeps.
	First entity.Offset
	// Next is the offset that the next append will get. A reader whose position equals Next has read everything.
	Next    entity.Offset
	Records []Record
}

// Errors of the log. An append that fails with any error other than ErrRejected may have taken effect.
var (
	// ErrUnavailable means that the platform could not be reached or did not answer in time.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrTruncated means that the requested offset is older than the stream's retention.
	ErrTruncated = errors.New("offset older than the log's retention")
	// ErrRejected means that the platform refused the append and it did not take effect.
	ErrRejected = errors.New("append rejected by the platform")
)

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record and returns its offset.
	Append(ctx context.Context, stream Stream, draft Draft) (entity.Offset, error)
	// Read returns at most limit records from the offset on. When there are none it waits up to wait for one.
	Read(ctx context.Context, stream Stream, from entity.Offset, limit int, wait time.Duration) (Batch, error)
}

// InstanceState is the platform's view of an instance.
type InstanceState string

// Instance states of the platform's list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's list, which may lag behind reality. The list knows addresses, not process
// starts: a replaced process at the same address looks the same in it.
type Instance struct {
	Address string
	Zone    entity.Zone
	State   InstanceState
}

// InstanceList is the platform's lagging list of live and leaving instances.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}
