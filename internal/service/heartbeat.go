package service

import (
	"context"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// UnknownAge is the age of a proof that the sender does not have. All negative ages have this meaning.
const UnknownAge = -time.Microsecond

// LeaseClaim asks a voter to promise a lease or, if Release is set, withdraws an earlier claim.
type LeaseClaim struct {
	Name    LeaseName
	Term    entity.Term
	Release bool
}

// LeaseResult is a voter's answer to a claim.
type LeaseResult struct {
	Name    LeaseName
	Granted bool
	// Holder is the instance to which the lease is promised. It is empty if the lease is free.
	Holder entity.InstanceID
	// Term is the claimed term or, if that is too low, the lowest that the voter accepts.
	Term entity.Term
}

// HeartbeatRequest carries the lease claims of one instance and the state of its view. Between instances of a lease group it
// carries the claims for the group; from a zone's delegate to another zone it carries the zone's claims.
type HeartbeatRequest struct {
	Instance entity.InstanceID
	Zone     entity.Zone
	// Address is empty if the sender is in the roster, because the roster contains its address.
	Address string
	Group   uint32
	// RosterVersion is the version of the lease group or, in a request to another zone, of the set of voting zones.
	RosterVersion uint64
	ControlOffset entity.Offset
	ConfigVersion uint64
	// FreshnessAge is the age of the proof that the log consisted of exactly the records before ControlOffset.
	FreshnessAge time.Duration
	// AuthorityAge is the time since the sender's zone sent the claims with which it last won its authority.
	AuthorityAge time.Duration
	Claims       []LeaseClaim
	Leaving      bool
}

// HeartbeatResponse answers a heartbeat. Its ages are defined as in HeartbeatRequest and apply at the time of the answer.
type HeartbeatResponse struct {
	Instance entity.InstanceID
	// Voter is the member on whose behalf the instance voted: the instance itself, or its zone if the instance is the delegate
	// and the request came from another zone. It is empty if the instance does not vote on the claims.
	Voter         string
	RosterVersion uint64
	ControlOffset entity.Offset
	ConfigVersion uint64
	FreshnessAge  time.Duration
	AuthorityAge  time.Duration
	// Results contain only the claims that were not granted with their term, which keeps heartbeats small. If Voter is set,
	// all other claims of the request were granted.
	Results []LeaseResult
	// Delegate is the holder of the delegate lease of the answering instance's zone, if known.
	Delegate entity.InstanceID
	Leaving  bool
}

// HeartbeatSender sends heartbeats to peers. The service Peers implements it.
type HeartbeatSender interface {
	Heartbeat(ctx context.Context, address string, req HeartbeatRequest) (HeartbeatResponse, error)
}

// HeartbeatReceived is delivered by the peer server to lease for each received heartbeat. Reply must have a free buffer slot;
// otherwise the answer is dropped.
type HeartbeatReceived struct {
	Request HeartbeatRequest
	Reply   chan<- HeartbeatResponse
}

// BeginLeaving is delivered to lease at the beginning of a planned stop. The instance then claims no new leases, renews those
// that it holds until StopLeases, and reports to its peers that it is leaving.
type BeginLeaving struct{}

// StopLeases is delivered to lease when dispatch has drained, and makes it release all leases. Done is closed when every other
// member of the group has received the release or could not be reached.
type StopLeases struct {
	Done chan<- struct{}
}

// HandOverLeases is delivered to lease for rebalancing. Lease releases those of the names that another live instance should
// hold. The sender must have stopped everything that relies on these leases.
type HandOverLeases struct {
	Names []LeaseName
}
