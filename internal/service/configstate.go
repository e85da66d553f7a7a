package service

import (
	"context"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// ConfigStateSource fetches the replayed configuration from a peer, for an instance that starts while the platform is
// unavailable. The service Peers implements it. On the peer, the peer server answers with the reply of config to a StateQuery.
type ConfigStateSource interface {
	// FetchConfigState returns the encoded state and the offset of the next record to apply to it. It fails if the peer
	// cannot be reached or has no state.
	FetchConfigState(ctx context.Context, address string) ([]byte, entity.Offset, error)
}
