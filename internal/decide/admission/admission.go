// Package admission enforces customers' rates across many instances without a decision per request. The admission service of a
// log-based instance uses it.
//
// The token server of a zone has a bucket per customer and leases whole tokens in batches that expire after TokenTTL. An
// instance spends its batch without asking, reports what it has spent, and refunds what it no longer needs. Level plus
// outstanding tokens never exceed the burst, and only the rate adds to that sum; therefore at most rate*t + burst requests are
// admitted in any window of length t.
package admission

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

const (
	// TokenTTL is how long the tokens of a batch may be spent. The holder measures it from the moment it sent the request.
	TokenTTL = 200 * time.Millisecond
	// serverTTL is how long the server counts a batch as outstanding, measured from the grant. It exceeds TokenTTL by a clock
	// drift of 1% on either side.
	serverTTL = TokenTTL * 102 / 100
	// prefetch is how far ahead of its demand an instance requests tokens. It is several times the round-trip time within a
	// zone, and short compared with TokenTTL, so that hardly any tokens expire unused.
	prefetch = 50 * time.Millisecond
	// minRetry and maxRetry bound the time that the server advises to wait before the next request.
	minRetry = 2 * time.Millisecond
	maxRetry = TokenTTL
	// maxWant bounds one demand, in tokens.
	maxWant = 1 << 20
)

// Limits are the share of a customer's rate and burst that a zone may admit.
type Limits struct {
	Rate  float64 // tokens per second
	Burst int     // tokens
}

// Report is the usage of a batch.
type Report struct {
	// Sequence is the sequence of the request that the batch answered.
	Sequence uint64
	Spent    uint32
	// Closed means that the holder spends no more tokens of the batch and refunds the remainder.
	Closed bool
}

// Demand requests tokens for one customer and reports the usage of earlier batches.
type Demand struct {
	Customer entity.CustomerID
	Want     uint32
	Reports  []Report
}

// Request asks the token server of a shard for tokens.
type Request struct {
	Instance entity.InstanceID
	Shard    uint32
	// Sequence increases with every request of an instance.
	Sequence uint64
	Demands  []Demand
}

// Grant is a batch of tokens.
type Grant struct {
	Customer entity.CustomerID
	Tokens   uint32
	// RetryAfter is the time after which more tokens can be expected, if fewer were granted than requested.
	RetryAfter time.Duration
}

// Response answers a Request.
type Response struct {
	// Holder is false if the instance that received the request is not the token server.
	Holder bool
	// Redirect is the instance that may be the token server instead; empty if unknown.
	Redirect entity.InstanceID
	Grants   []Grant
}
