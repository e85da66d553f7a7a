package service

import (
	"context"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// RampState is what a primary has measured of a back end that it hands over.
type RampState struct {
	Backend entity.BackendID
	// StartID is that of the process that was measured. For another process the rest means nothing.
	StartID string
	// Limit is the number of requests that the back end has borne at once.
	Limit int
}

// RampStateSender tells another instance of a back end that is handed over. Dispatch looks it up under Peers.
type RampStateSender interface {
	SendRampState(ctx context.Context, address string, w RampState) error
}

// RampStateStore is the receiving side of RampStateSender. The peer server looks it up under Dispatch. Its method may be called
// from any goroutine.
type RampStateStore interface {
	StoreRampState(w RampState)
}
