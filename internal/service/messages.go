package service

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/decide/routing"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/operator"
)

// Session renews the session leases and grants of the backends that this instance is primary of.
const Session kernel.Name = "session"

// ConfigChanged is sent by config to control, lease, session, routing, dispatch and admission when a newer configuration
// has become effective.
type ConfigChanged struct {
	Config  *operator.Config
	Version uint64
}

// ConfigStatus is the published state of the config service.
type ConfigStatus struct {
	Version uint64
	Config  *operator.Config
	// FreshAt is the time of the last proof that no newer configuration exists, on the kernel's clock.
	FreshAt time.Duration
}

// ConfigSource provides the current configuration to traffic goroutines.
type ConfigSource interface {
	ConfigStatus() *ConfigStatus
}

// OwnershipChanged is sent by control to lease, session, routing, dispatch and admission after it has applied records.
type OwnershipChanged struct {
	View *ownership.View
}

// LeaseChanged is sent by lease to control, session, dispatch and admission when a lease was gained or lost.
type LeaseChanged struct {
	View *LeaseView
}

// LogRead is sent by control and config to lease after each read of the log, as proof of freshness.
type LogRead struct {
	Stream platformapi.Stream
	// Started is when the read was sent, on the kernel's clock. If AtTail is set, all records appended before then are applied.
	Started time.Duration
	AtTail  bool
	Offset  entity.Offset
}

// BackendLost is sent by session to control when a backend has not answered for the detection time. Control then moves its
// partitions to other backends.
type BackendLost struct {
	Backend entity.BackendID
}

// BackendRecovered is sent by session to control when a lost backend answers again.
type BackendRecovered struct {
	Backend entity.BackendID
}

// PartitionEpoch names one assignment of a partition.
type PartitionEpoch struct {
	Service   entity.ServiceName
	Partition entity.Partition
	Epoch     entity.Epoch
}

// DrainPartitions is sent by session to dispatch, which then sends no more requests for these partitions and reports when none
// of their requests is in flight.
type DrainPartitions struct {
	Backend    entity.BackendID
	Partitions []PartitionEpoch
}

// PartitionsDrained is sent by dispatch to session. Until is zero if all requests have ended. Otherwise orphans may run on the
// backend until then, on the kernel's clock.
type PartitionsDrained struct {
	Backend    entity.BackendID
	Partitions []PartitionEpoch
	Until      time.Duration
}

// PartitionsLapsed is sent by session to dispatch together with a ReleaseReady whose proof is the lapse of the session.
// Requests that still run for these partitions will not be answered, or their answers have no effect, so dispatch ends them
// instead of letting their callers wait until the deadline.
type PartitionsLapsed struct {
	Backend    entity.BackendID
	Partitions []PartitionEpoch
}

// ReleaseReady is sent by session to control when it is proven that the previous owner of the moving partitions neither runs
// nor accepts requests for them.
type ReleaseReady struct {
	Backend    entity.BackendID
	Partitions []PartitionEpoch
	// Lapsed is true if the proof is the lapse of the session and not the backend's acknowledgement.
	Lapsed bool
}

// BackendStarted is sent by session to dispatch when a backend reports a new start id, which means that it is cold.
type BackendStarted struct {
	Backend entity.BackendID
	StartID string
	Slots   int // zero if the backend does not report it
}

// BackendLatency is posted by dispatch to control about once a second, for placement.
type BackendLatency struct {
	Backend  entity.BackendID
	Median   time.Duration
	Requests uint64
	// Hot lists the keys with the most requests, in descending order.
	Hot []HotKey
	// Straggler is true if the backend has been slower than the other backends of its service at this primary for
	// several windows.
	Straggler bool
}

// HotKey is a key that receives a large fraction of a backend's requests.
type HotKey struct {
	Service  entity.ServiceName
	Hash     entity.KeyHash
	Requests uint64
}

// RoutingSource provides the routing snapshot to traffic goroutines.
type RoutingSource interface {
	Routing() *routing.Snapshot
}

// RosterReport is sent by lease to control when a majority of the members of a lease group has reported the group's version.
// Since is when that majority was reached, on the kernel's clock. Control appends the next roster change of the group no
// earlier than lease_ttl after it.
type RosterReport struct {
	Group   ownership.GroupKey
	Version uint64
	Since   time.Duration
}

// PeerState is sent by lease to control and config for each heartbeat request or response received from a peer.
type PeerState struct {
	Instance      entity.InstanceID
	Zone          entity.Zone
	Address       string
	At            time.Duration
	ControlOffset entity.Offset
	ConfigVersion uint64
	Leaving       bool
}
