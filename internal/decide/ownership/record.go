package ownership

import "github.com/pollenpier/pollenpier/internal/entity"

// Limits of the replayed state.
const (
	// MaxGroupSize is the largest number of instances in a lease group.
	MaxGroupSize = 5
	// MaxHotKeys is the largest number of hot keys per service.
	MaxHotKeys = 1024
	// MaxPartitions is the largest number of base partitions per service.
	MaxPartitions = 1 << 20
	// FullShare is the fraction of its share that a backend keeps unless it is a straggler, in thousandths.
	FullShare = 1000
	// MaxDown is the largest number of backends of one service that can be recorded as down, and of those recorded as
	// stragglers.
	MaxDown = 16384
	// ShareTotal is the sum of a customer's zone shares, in thousandths.
	ShareTotal = 1000
)

// NoBackend is the target of a move that leaves a partition without an owner. It is not a valid backend name.
const NoBackend entity.BackendID = "(nobody)"

// Record is a typed record of the control stream.
type Record interface{ isRecord() }

// Stamp identifies an append. A retry after a lost answer has the same stamp.
type Stamp struct {
	Writer entity.InstanceID
	// Sequence increases with every record of a writer, starting from 1.
	Sequence uint64
}

// Join adds a member to the lease group named in Member. Version is the version of the group on which the decision is based.
type Join struct {
	Version uint64
	Member  Member
}

// JoinRequest asks the members of the zone to let an instance join once a majority of the group has received the group's last
// change. Replay ignores it.
type JoinRequest struct{ Member Member }

// Leave removes one member from its lease group.
type Leave struct {
	Group    GroupKey
	Version  uint64
	Instance entity.InstanceID
}

// ForcedLeave removes several members at once from a lease group that has lost its majority.
type ForcedLeave struct {
	Group     GroupKey
	Version   uint64
	Instances []entity.InstanceID
}

// MoveStep names a partition and its next owner.
type MoveStep struct {
	Partition entity.Partition
	To        entity.BackendID
}

// Move starts moving partitions to new owners. A partition without an owner is assigned at once. The next owner of a partition
// that is already moving is replaced. The first Move of a service defines its number of partitions.
type Move struct {
	Service entity.ServiceName
	// Version is the version of the service on which the decision is based.
	Version entity.Epoch
	// Count is the number of base partitions of the service.
	Count uint32
	Steps []MoveStep
	// Down are backends declared lost, and Up are backends that answer again.
	Down []entity.BackendID
	Up   []entity.BackendID
	// Slow are backends whose share changes because they have become stragglers or are no longer stragglers.
	Slow []SlowMark
}

// SlowMark is the fraction of its share that a straggler keeps, in thousandths. 1000 ends the reduction.
type SlowMark struct {
	Backend entity.BackendID
	Keep    uint32
}

// ReleaseStep identifies an assignment that has ended.
type ReleaseStep struct {
	Partition entity.Partition
	Epoch     entity.Epoch
}

// Release assigns moving partitions to their next owners. Steps with an outdated epoch are ignored.
type Release struct {
	Service entity.ServiceName
	Steps   []ReleaseStep
	// WaitedVersion is the MembershipVersion of the view on which the writer waited for owners without a primary. If it has
	// changed since, the owners may have a primary again, and replay drops the record. Zero means that the primary of the owners
	// provided the release proof.
	WaitedVersion entity.Offset
}

// HotKeys adds and removes virtual partitions for single keys.
type HotKeys struct {
	Service entity.ServiceName
	Version entity.Epoch
	Add     []entity.KeyHash
	Remove  []entity.KeyHash
}

// RemoveService removes a service that has no owners.
type RemoveService struct {
	Service entity.ServiceName
	Version entity.Epoch
}

// ZoneLost is the vote of zone From to declare another zone lost. The zone is declared lost when a majority of the zones with
// members has voted for it, or at once if the operator has confirmed the loss.
type ZoneLost struct {
	Zone      entity.Zone
	From      entity.Zone
	Confirmed bool
	// Version is the ZonesVersion on which the decision is based.
	Version entity.Offset
}

// ZoneBack reports that a zone has recovered. Written by the zone itself, it removes the zone from the lost zones and deletes
// all votes against it; written by another zone, it withdraws that zone's vote.
type ZoneBack struct {
	Zone    entity.Zone
	From    entity.Zone
	Version entity.Offset
}

// ZoneShare is the share of a customer's rate that a zone has, in thousandths.
type ZoneShare struct {
	Zone  entity.Zone
	Share uint32
}

// Shares moves a customer's rate between zones. It takes effect at once for the zones whose share shrinks; SharesSettled
// increases the shares of the others. An empty Next removes the customer.
type Shares struct {
	Customer entity.CustomerID
	Version  entity.Offset
	// Current are the shares before the move. They are used only for a customer without recorded shares.
	Current []ZoneShare
	Next    []ZoneShare
}

// SharesSettled reports that all zones whose share shrinks by a pending Shares apply their smaller share.
type SharesSettled struct {
	Customer entity.CustomerID
	Version  entity.Offset
}

// Checkpoint contains one chunk of the state at an earlier offset. Replay ignores it.
type Checkpoint struct{ Chunk Chunk }

func (Join) isRecord()          {}
func (JoinRequest) isRecord()   {}
func (Leave) isRecord()         {}
func (ForcedLeave) isRecord()   {}
func (Move) isRecord()          {}
func (Release) isRecord()       {}
func (HotKeys) isRecord()       {}
func (RemoveService) isRecord() {}
func (ZoneLost) isRecord()      {}
func (ZoneBack) isRecord()      {}
func (Shares) isRecord()        {}
func (SharesSettled) isRecord() {}
func (Checkpoint) isRecord()    {}
