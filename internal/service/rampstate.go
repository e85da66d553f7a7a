package service

import (
	"context"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// RampState is the concurrency limit that a primary has measured at a backend and sends when it hands the backend over.
type RampState struct {
	Backend entity.BackendID
	// StartID identifies the measured process. The limit does not apply to any other process.
	StartID string
	// Limit is the number of concurrent requests that the backend has handled.
	Limit int
}

// RampStateSender sends the ramp state of a backend that is handed over to a peer, which may become its next primary. Dispatch
// looks it up under Peers.
type RampStateSender interface {
	// SendRampState sends the state to the instance at the address.
	SendRampState(ctx context.Context, address string, state RampState) error
}

// RampStateStore is the receiving side of RampStateSender. The peer server looks it up under Dispatch. Its method may be called
// from any goroutine.
type RampStateStore interface {
	// StoreRampState keeps the state in case this instance becomes primary of the backend.
	StoreRampState(state RampState)
}
