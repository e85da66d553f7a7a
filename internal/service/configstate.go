package service

import (
	"context"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// ConfigStateSource fetches the replayed configuration of another instance, for a start while the platform is down. The
// service Peers implements it. The peer server answers with what config returns for a StateQuery.
type ConfigStateSource interface {
	// FetchConfigState returns the encoded state and the offset of the next record to apply to it. It fails if the peer
	// cannot be reached or has no state.
	FetchConfigState(ctx context.Context, address string) ([]byte, entity.Offset, error)
}
