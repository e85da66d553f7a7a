package service

import (
	"context"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// UnknownAge is the age of evidence that a sender does not have. All negative ages mean the same.
const UnknownAge = -time.Microsecond

// LeaseClaim asks a voter to promise a lease, or takes a claim back.
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

// HeartbeatRequest carries the claims of one instance and its view. Between instances of a lease group it carries the claims
// for the group; from a zone's delegate to another zone it carries the zone's claims.
type HeartbeatRequest struct {
	Instance entity.InstanceID
	Zone     entity.Zone
	// Address is empty if the sender is in the roster, which has it.
	Address string
	Group   uint32
	// RosterVersion is the version of the lease group or, towards another zone, of the set of voting zones.
	RosterVersion uint64
	ControlOffset entity.Offset
	ConfigVersion uint64
	// FreshnessAge is the age of the proof that everything before ControlOffset, and nothing else, was in the log.
	FreshnessAge time.Duration
	// AuthorityAge is the time since the claims were sent with which the sender's zone last won its authority.
	AuthorityAge time.Duration
	Claims       []LeaseClaim
	Leaving      bool
}

// HeartbeatResponse answers a heartbeat. Ages are as in HeartbeatRequest, at the time of the answer.
type HeartbeatResponse struct {
	Instance entity.InstanceID
	// Voter is the member whose vote the results are: the instance itself, or its zone if the instance is the delegate and
	// the request came from another zone. It is empty if the instance does not vote on the claims.
	Voter         string
	RosterVersion uint64
	ControlOffset entity.Offset
	ConfigVersion uint64
	FreshnessAge  time.Duration
	AuthorityAge  time.Duration
	// Results hold only the claims that were not granted with their term, which keeps heartbeats small. If Voter is set, all
	// other claims of the request were granted.
	Results []LeaseResult
	// Delegate holds the delegate lease of the answering instance's zone, as far as it knows.
	Delegate entity.InstanceID
	Leaving  bool
}

// HeartbeatSender sends heartbeats to other instances. It is implemented by the service named Peers.
type HeartbeatSender interface {
	Heartbeat(ctx context.Context, address string, req HeartbeatRequest) (HeartbeatResponse, error)
}

// HeartbeatReceived is delivered by the peer server to lease for each received heartbeat. Reply needs room for one answer;
// an answer that finds none is dropped.
type HeartbeatReceived struct {
	Request HeartbeatRequest
	Reply   chan<- HeartbeatResponse
}

// BeginLeaving is delivered to lease at the beginning of a planned stop: the instance claims no new leases, renews those it
// holds until StopLeases, and tells the others that it leaves.
type BeginLeaving struct{}

// StopLeases is delivered to lease when dispatch has drained: it releases all leases. Done is closed when the other members
// of the group have been told or could not be reached.
type StopLeases struct {
	Done chan<- struct{}
}

// HandOverLeases is delivered to lease to rebalance: it releases those of the names that another live instance should hold.
// The sender has ended everything that relies on them.
type HandOverLeases struct {
	Names []LeaseName
}
