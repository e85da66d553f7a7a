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

// Session keeps the session leases and grants of the back ends that this instance is primary of.
const Session kernel.Name = "session"

// ConfigChanged is sent by config to control, lease, session, routing, dispatch and admission when a newer configuration is
// in force.
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

// ConfigSource gives traffic goroutines the configuration in force.
type ConfigSource interface {
	ConfigStatus() *ConfigStatus
}

// OwnershipChanged is sent by control to lease, session, routing, dispatch and admission after it applied
// records.
type OwnershipChanged struct {
	View *ownership.View
}

// LeaseChanged is sent by lease to control, session, dispatch and admission when a lease was gained or lost.
type LeaseChanged struct {
	View *LeaseView
}

// LogRead is sent by control and config to lease after each read of the log, as evidence of freshness.
type LogRead struct {
	Stream platformapi.Stream
	// Started is when the read was sent, on the kernel's clock. Everything appended before it has been applied if AtTail.
	Started time.Duration
	AtTail  bool
	Offset  entity.Offset
}

// BackendLost is sent by session to control when a back end has not answered for the detection time. Its partitions are
// to be moved away.
type BackendLost struct {
	Backend entity.BackendID
}

// BackendRecovered is sent by session to control when a lost back end answers again.
type BackendRecovered struct {
	Backend entity.BackendID
}

// PartitionEpoch names one assignment of a partition.
type PartitionEpoch struct {
	Service   entity.ServiceName
	Partition entity.Partition
	Epoch     entity.Epoch
}

// DrainPartitions is sent by session to dispatch: send nothing more for these partitions and report when nothing is in
// flight for them.
type DrainPartitions struct {
	Backend    entity.BackendID
	Partitions []PartitionEpoch
}

// PartitionsDrained is sent by dispatch to session. Until is zero if everything ended; otherwise requests without a known
// end may run on the back end until then, on the kernel's clock.
type PartitionsDrained struct {
	Backend    entity.BackendID
	Partitions []PartitionEpoch
	Until      time.Duration
}

// PartitionsLapsed is sent by session to dispatch with a ReleaseReady by lapse: requests that still run for these partitions
// will not be answered, or their answers have no effect, so that nobody needs to wait for them.
type PartitionsLapsed struct {
	Backend    entity.BackendID
	Partitions []PartitionEpoch
}

// ReleaseReady is sent by session to control: the old owner of the moving partitions provably runs nothing for them any
// more and accepts nothing for them.
type ReleaseReady struct {
	Backend    entity.BackendID
	Partitions []PartitionEpoch
	// Lapsed is true if the proof is the lapse of the session and not the back end's acknowledgement.
	Lapsed bool
}

// BackendStarted is sent by session to dispatch when a back end shows a start id not seen before: it is cold.
type BackendStarted struct {
	Backend entity.BackendID
	StartID string
	Slots   int // zero if the back end does not say
}

// BackendLatency is posted by dispatch to control about once a second, for placement.
type BackendLatency struct {
	Backend  entity.BackendID
	Median   time.Duration
	Requests uint64
	// Hot are the keys with the largest part of the requests, largest first.
	Hot []HotKey
	// Straggler is true if the back end has been slower than its peers at this primary for several windows.
	Straggler bool
}

// HotKey is a key that gets a large part of a back end's requests.
type HotKey struct {
	Service  entity.ServiceName
	Hash     entity.KeyHash
	Requests uint64
}

// RoutingSource gives traffic goroutines the routing snapshot.
type RoutingSource interface {
	Routing() *routing.Snapshot
}

// RosterReport is sent by lease to control: a majority of the members of a lease group has reported the group's version,
// since the given time on the kernel's clock. Control appends the next roster change of the group only lease_ttl later.
type RosterReport struct {
	Group   ownership.GroupKey
	Version uint64
	Since   time.Duration
}

// PeerState is sent by lease to control and config for each heartbeat answer or request.
type PeerState struct {
	Instance      entity.InstanceID
	Zone          entity.Zone
	Address       string
	At            time.Duration
	ControlOffset entity.Offset
	ConfigVersion uint64
	Leaving       bool
}
