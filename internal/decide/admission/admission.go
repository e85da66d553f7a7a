// Package admission enforces the rates of customers over many instances without a decision per request.
//
// The token server of a zone has a bucket per customer and leases whole tokens in batches that expire after TokenTTL. An
// instance spends its batch without asking, reports what it spent, and gives back what it no longer wants. Level plus
// outstanding tokens never exceed the burst, and only the rate adds to that sum; therefore the number of requests admitted
// in any window of length t is at most rate*t + burst.
package admission

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

const (
	// TokenTTL is how long a batch may be spent, counted by the holder from the moment it sent the request.
	TokenTTL = 200 * time.Millisecond
	// serverTTL is how long the server counts a batch as outstanding, from the grant on. It is longer than TokenTTL by the
	// drift of 1% of either clock.
	serverTTL = TokenTTL * 102 / 100
	// prefetch is the time for which an instance asks tokens ahead of its demand. It is several times the round trip within
	// a zone, and short against TokenTTL, so that hardly any token expires unused.
	prefetch = 50 * time.Millisecond
	// minRetry and maxRetry bound the pause that the server advises before the next request.
	minRetry = 2 * time.Millisecond
	maxRetry = TokenTTL
	// maxWant bounds one demand, in tokens.
	maxWant = 1 << 20
)

// Limits are the part of a customer's rate and burst that a zone may admit.
type Limits struct {
	Rate  float64 // tokens per second
	Burst int     // tokens
}

// Report says what became of a batch.
type Report struct {
	// Sequence is that of the request which the batch answered.
	Sequence uint64
	Spent    uint32
	// Closed means that the holder spends no more of the batch and gives back the rest.
	Closed bool
}

// Demand asks for tokens of one customer.
type Demand struct {
	Customer entity.CustomerID
	Want     uint32
	Reports  []Report
}

// Request asks the token server of a shard for tokens.
type Request struct {
	Instance entity.InstanceID
	Shard    uint32
	// Sequence grows with every request of an instance.
	Sequence uint64
	Demands  []Demand
}

// Grant is a batch of tokens.
type Grant struct {
	Customer entity.CustomerID
	Tokens   uint32
	// RetryAfter is the time after which more tokens can be expected, if fewer were granted than wanted.
	RetryAfter time.Duration
}

// Response answers a Request.
type Response struct {
	// Holder is false if the asked instance is not the token server.
	Holder bool
	// Redirect is the instance that may be the token server instead. Empty if unknown.
	Redirect entity.InstanceID
	Grants   []Grant
}
