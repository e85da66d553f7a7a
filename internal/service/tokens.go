package service

import (
	"context"

	"github.com/pollenpier/pollenpier/internal/decide/admission"
)

// TokenRequest asks the token server of a customer shard for tokens.
type TokenRequest = admission.Request

// TokenResponse answers a TokenRequest.
type TokenResponse = admission.Response

// TokenLeaser sends requests for tokens to other instances. The service Peers implements it.
type TokenLeaser interface {
	// LeaseTokens asks the instance at the address. After an error the request may have taken effect; its tokens expire.
	LeaseTokens(ctx context.Context, address string, request TokenRequest) (TokenResponse, error)
}

// TokensQuery is sent by the peer server to admission to serve LeaseTokens. Reply must have room for one answer.
type TokensQuery struct {
	Request TokenRequest
	Reply   chan<- TokenResponse
}
