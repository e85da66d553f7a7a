package dispatch

import (
	"context"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/backpressure"
	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// flightState is the state of a request between admission and the end of its answer. The queue's lock guards it.
type flightState uint8

const (
	flightIdle      flightState = iota // not queued and without a slot
	flightQueued                       // in the queue
	flightNext                         // removed from the queue, waits until it can run alone
	flightRunning                      // has a slot
	flightStreaming                    // has a slot, and its answer is being read
)

// flight is one request at the primary, from admission until its answer has ended.
type flight struct {
	queue     *backendQueue
	req       *service.Request
	body      []byte
	partition outcome.PartitionKey
	hash      entity.KeyHash
	suspect   outcome.Suspect
	key       outcome.Key // set for at-most-once requests
	maxRun    time.Duration

	// The queue's lock guards the following fields.
	state    flightState
	ticket   backpressure.Ticket[*flight]
	ready    chan struct{} // closed when a queued flight gets a slot or is refused
	refusal  entity.Outcome
	recorded bool // recorded in the memory as running
	arrivals int  // attempts that may have reached the backend
	alone    bool // runs alone
	attempt  int  // number of sends
	// cancelCall ends the call in progress. Nil before the first send.
	cancelCall context.CancelCauseFunc
	queuedAt   time.Duration
	grantedAt  time.Duration
	sentAt     time.Duration // zero until this attempt is sent
	answeredAt time.Duration // when the head of the answer arrived, zero before
	failed     bool          // the answer's status is 500 or above
	until      time.Duration // deadline sent to the backend
	generation uint64        // of the ramp, when the slot was granted
}

// orphan is a request without a connection that may still run on the backend. It counts against the slots until slotUntil
// and against drains until its deadline has passed at the backend too.
type orphan struct {
	partition outcome.PartitionKey
	epoch     entity.Epoch
	hash      entity.KeyHash
	suspect   outcome.Suspect
	startID   string // of the backend's process when the connection ended
	slotUntil time.Duration
	until     time.Duration
}
