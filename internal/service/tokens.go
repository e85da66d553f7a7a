package service

import (
	"context"

	"github.com/pollenpier/pollenpier/internal/decide/admission"
)

// TokenRequest asks the token server of a customer shard for tokens.
type TokenRequest = admission.Request

// TokenResponse answers a TokenRequest.
type TokenResponse = admission.Response

// TokenLeaser requests tokens from peers. The service Peers implements it.
type TokenLeaser interface {
	// LeaseTokens requests tokens from the instance at the address. After an error the request may have taken effect; tokens
	// granted by it expire.
	LeaseTokens(ctx context.Context, address string, request TokenRequest) (TokenResponse, error)
}

// TokensQuery is sent by the peer server to admission to serve LeaseTokens. Reply must have a free buffer slot.
type TokensQuery struct {
	Request TokenRequest
	Reply   chan<- TokenResponse
}
