package service

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/balance"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// Attempt is a request that is counted as in flight at a backend.
type Attempt struct {
	Backend     entity.BackendID
	Incarnation int64 // of the backend process
	Position    int   // requests at the backend when it was sent, itself included
	Sent        time.Duration
	// Cold means that the backend was cold, as far as this instance knew.
	Cold bool
	// Warmup is how long a backend of the service is cold after its start.
	Warmup time.Duration
	// Service, Route and Work are those of the request.
	Service entity.ServiceName
	Route   string
	Work    balance.Work
}

// Choice is the backend chosen for a request, or the reason why there is none.
type Choice struct {
	Backend *catalog.Backend // nil if there is none
	Reason  entity.Reason
	// ExpectedLatency is the time until the answer is expected. RetryAfter is the time until a slot is likely to be free if
	// there is none now.
	ExpectedLatency, RetryAfter time.Duration
	// Checks are backends whose warm-up is to be checked now, see WarmupChecker. AwaitsCheck is true if there is no backend now but may
	// be one as soon as a check is answered.
	Checks      []*catalog.Backend
	AwaitsCheck bool
}

// LoadTracker tracks the load of backends and customers as measured by this instance and reported by its peers. It admits
// requests and chooses backends on that basis. Its methods are safe for concurrent use and never wait for control state.
type LoadTracker interface {
	// Admit takes a token from the customer's rate. If there is none, the second result is the time until the next token.
	Admit(customer *catalog.Customer, members *MembersView, now time.Duration) (bool, time.Duration)
	// RefundToken refunds the token of a request that no backend has run.
	RefundToken(customer *catalog.Customer)
	// Choose chooses one of the candidates and counts the request there.
	Choose(q LoadQuery) (Choice, Attempt)
	// FinishAttempt records the result of an attempt.
	FinishAttempt(a Attempt, r *DeliveryResult, now time.Duration)
	// FinishWarmupCheck records the result of a check that Choose has asked for. If ok is set, the backend has answered that it stays
	// cold for the remaining time.
	FinishWarmupCheck(backend *catalog.Backend, remaining time.Duration, ok bool, now time.Duration)
	// TakeRetryToken takes a token from the retry budget of a service and returns false if there is none.
	TakeRetryToken(service entity.ServiceName) bool
	// CountRequest counts a request for a service, which adds to the service's retry budget, and the key that it requests.
	CountRequest(service entity.ServiceName, instances int, key uint32, hasKey bool)
	// Quarantined reports whether a request is quarantined because backends crashed while they ran it.
	Quarantined(fingerprint uint64, now time.Duration) bool
	// ConnectionLost records that the connection of a request to a backend was lost.
	ConnectionLost(fingerprint uint64, b *catalog.Backend, now time.Duration)
	// BackendTerminated records that a backend has terminated. It returns the blamed request, if there is one.
	BackendTerminated(id entity.BackendID, now time.Duration) (uint64, bool)
	// ReconcileBackends records the termination of each backend that is missing from backends or runs there as another process.
	// It returns the blamed requests.
	ReconcileBackends(backends map[entity.BackendID]*catalog.Backend, now time.Duration) []uint64
	// RequestAnswered records that a request was answered.
	RequestAnswered(fingerprint uint64, now time.Duration)
	// NextTarget returns the index of the next target of a route by weighted round robin.
	NextTarget(route *catalog.Route) int
}

// LoadQuery contains the criteria by which LoadTracker chooses a backend.
type LoadQuery struct {
	Service    *catalog.Service
	Route      string
	Candidates []*catalog.Backend
	// Excluded contains backends that were already tried.
	Excluded map[entity.BackendID]bool
	Zone     entity.Zone
	Members  *MembersView
	Goal     balance.LatencyGoal
	Now      time.Duration
}
