package service

import (
	"context"
	"time"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
)

// Rollout moves the traffic of services to backends of another version, step by step, and decides whether the version is kept.
const Rollout kernel.Name = "rollout"

// RolloutOrder is an operator's request to move the traffic of a service to backends of another version.
type RolloutOrder struct {
	Service entity.ServiceName
	// To is the version of the backends that are to serve the traffic in the end.
	To string
	// Duration is the time from the order until the traffic must have been moved or the version rejected.
	Duration time.Duration
}

// RolloutsOrdered is sent by the feed to rollout after each read of the operator's records. It contains all orders in force.
type RolloutsOrdered struct {
	Orders map[entity.ServiceName]RolloutOrder
	At     time.Duration // when the read was sent
}

// RolloutKeysMoved is sent by keys to rollout while a rollout of a service that is partitioned by key is in the phase
// RolloutSwitching. Done is true if no range of the service has an owner of an old version and all ranges are granted.
type RolloutKeysMoved struct {
	Service entity.ServiceName
	To      string
	Done    bool
}

// RolloutChanged is sent by rollout to members when the state of a rollout has changed. It requests an immediate heartbeat.
type RolloutChanged struct{}

// RolloutPhase is the progress of a rollout. Phases only advance.
type RolloutPhase uint8

// Phases of a rollout.
const (
	// RolloutRunning means that the new version gets a small share of the requests, by which it is compared with the old one.
	RolloutRunning RolloutPhase = iota + 1
	// RolloutSwitching means that all new requests go to the new version while requests in progress at the old one end.
	RolloutSwitching
	// RolloutCompleted means that the new version serves all requests. The backends of the old one stop without draining.
	RolloutCompleted
	// RolloutRolledBack means that the new version gets no requests. Its backends drain.
	RolloutRolledBack
)

// RolloutState is what traffic goroutines need to know of the rollout of one service. It is immutable.
type RolloutState struct {
	Service entity.ServiceName
	To      string
	Phase   RolloutPhase
	// Share is the fraction of the service's requests that may go to the new version in the phase RolloutRunning.
	Share float64
	// Canaries are the backends of the new version that get this share. They are chosen from the directory's backends.
	Canaries map[entity.BackendID]bool
	// Rejected are versions of earlier rollouts that were rolled back. Their backends get no requests. It may be nil.
	Rejected map[string]bool
}

// IsNew reports whether a backend runs the version to which the rollout moves the traffic.
func (s *RolloutState) IsNew(b *catalog.Backend) bool { return b.Version == s.To }

// RolloutView is the published state of all rollouts. It is immutable.
type RolloutView struct {
	Services map[entity.ServiceName]*RolloutState
}

// RolloutTracker gives traffic goroutines the state of rollouts, limits the requests to new versions and counts answers by version.
// Its methods are safe for concurrent use and never wait for control state. Each is cheap for services without a rollout.
type RolloutTracker interface {
	RolloutView() *RolloutView
	// Candidates returns those of a service's usable backends to which a request may be sent now. In the phase RolloutRunning it
	// takes part of the limited share for a request that it gives to the new version. It never returns an empty list for a list that
	// is not empty: if no backend of the wanted version is usable, it returns the others.
	Candidates(service entity.ServiceName, usable []*catalog.Backend, now time.Duration) []*catalog.Backend
	// MayUseOwner reports whether a request may be sent to the owner of its key now, and counts it if so. It is false only for owners
	// of a new version beyond the exposure limit.
	MayUseOwner(service entity.ServiceName, owner *catalog.Backend, now time.Duration) bool
	// Sent counts a request that is sent to a backend, Finished its end.
	Sent(service entity.ServiceName, b *catalog.Backend)
	Finished(service entity.ServiceName, route string, b *catalog.Backend, cold bool, r *DeliveryResult, took time.Duration, now time.Duration)
}

// RolloutReport is the part of a heartbeat that concerns rollouts. It is nil if there is no order.
type RolloutReport struct {
	States []RolloutReportState
	Counts []RolloutCounts
}

// RolloutReportState is the newest state of a rollout that an instance knows and applies.
type RolloutReportState struct {
	Service entity.ServiceName
	To      string
	Phase   RolloutPhase
	// Version is the version of the document that contains the state, 0 if it has not been written.
	Version Version
	// Age is the time since the order was first seen by any instance.
	Age time.Duration
	// Duration is that of the order.
	Duration time.Duration
	// Confirmed is the time since the coordinator or the store confirmed the state, to the sender or to the instances from which the
	// sender knows it.
	Confirmed time.Duration
	// Reason explains the phase.
	Reason string
	// OldInFlight is the number of the sender's requests in progress at backends of the old version. One more is counted while its table
	// of key ranges names owners of old versions.
	OldInFlight int
}

// RolloutCounts are the answers that an instance has got from one version on one route since the order was seen.
type RolloutCounts struct {
	Service entity.ServiceName
	// To is the version of the rollout to which the counts belong.
	To    string
	Route string
	// Zone is that of the backends. Comparing within a zone keeps a slow zone from being taken for a slow version.
	Zone entity.Zone
	New  bool
	// Group divides the backends of the new version in two, numbered 0 and 1: a fault of one backend is then not taken for one of the
	// version.
	Group   int
	Answers uint64
	Failed  uint64
	// Latencies counts answers by latency, in buckets that the rollout decision defines.
	Latencies []uint32
}

// RolloutExchange is the interface through which members exchanges reports of rollouts with peers. Its methods are safe for
// concurrent use and never block.
type RolloutExchange interface {
	RolloutReport(now time.Duration) *RolloutReport
	// ApplyRolloutReport applies the report of a peer. It is called for each heartbeat, with nil if the heartbeat contains no report:
	// the first reachable instance in rendezvous order decides, whether or not it has seen the order. Leaving peers do not decide on
	// rollouts.
	ApplyRolloutReport(peer entity.InstanceID, leaving bool, r *RolloutReport, now time.Duration)
	ForgetRolloutPeer(peer entity.InstanceID)
}

// RolloutStatusWriter tells the operator the progress of a rollout.
type RolloutStatusWriter interface {
	WriteRolloutStatus(ctx context.Context, order RolloutOrder, phase RolloutPhase) error
}
