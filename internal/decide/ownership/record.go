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
	// WholeShare is the part of its share that a back end keeps unless it is a straggler, in thousandths.
	WholeShare = 1000
	// MaxDown is the largest number of back ends of one service that can be recorded as down, and of stragglers.
	MaxDown = 16384
	// ShareTotal is the sum of a customer's zone shares.
	ShareTotal = 1000
)

// NoBackend is the target of a move that takes a partition from its owner without a new one. It is not a valid back end name.
const NoBackend entity.BackendID = "(nobody)"

// Record is a typed record of the control stream.
type Record interface{ isRecord() }

// Stamp identifies an append: a repeat of it after a lost answer has the same stamp.
type Stamp struct {
	Writer entity.InstanceID
	// Sequence grows with every record of a writer, from 1.
	Sequence uint64
}

// Join adds a member to the lease group that Member names. Version is the group's version on which it was decided.
type Join struct {
	Version uint64
	Member  Member
}

// JoinRequest asks the members of the zone to let an instance join once the group's last change is known to its majority.
// It changes nothing in replay.
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

// Move takes partitions from their owners for new ones. A partition without owner is granted at once. A partition that is
// already moving gets another next owner. The first Move of a service defines its number of partitions.
type Move struct {
	Service entity.ServiceName
	// Version is the service's version on which the move was decided.
	Version entity.Epoch
	// Count is the number of base partitions of the service.
	Count uint32
	Steps []MoveStep
	// Down are back ends found lost, and Up are back ends that answer again.
	Down []entity.BackendID
	Up   []entity.BackendID
	// Slow are back ends whose share changes because they are stragglers or no longer are.
	Slow []SlowMark
}

// SlowMark is the part of its share that a straggler keeps, in thousandths. 1000 ends the reduction.
type SlowMark struct {
	Backend entity.BackendID
	Keep    uint32
}

// ReleaseStep names the assignment that has ended.
type ReleaseStep struct {
	Partition entity.Partition
	Epoch     entity.Epoch
}

// Release grants moving partitions to their next owners. Steps whose epoch has passed are ignored.
type Release struct {
	Service entity.ServiceName
	Steps   []ReleaseStep
	// WaitedVersion is the MembershipVersion of the view on which the writer waited for owners that nobody attends to. If members or lost
	// zones have changed since, somebody may attend to them again, and replay drops the record. Zero means that the primary
	// of the owners gave the proof.
	WaitedVersion entity.Offset
}

// HotKeys adds and removes virtual partitions for single keys.
type HotKeys struct {
	Service entity.ServiceName
	Version entity.Epoch
	Add     []entity.KeyHash
	Remove  []entity.KeyHash
}

// RemoveService forgets a service without owners.
type RemoveService struct {
	Service entity.ServiceName
	Version entity.Epoch
}

// ZoneLost is the vote of zone From that a zone is lost. The zone is lost when a majority of the zones with members has
// voted, or at once if the operator has confirmed it.
type ZoneLost struct {
	Zone      entity.Zone
	From      entity.Zone
	Confirmed bool
	// Version is the ZonesVersion on which it was decided.
	Version entity.Offset
}

// ZoneBack by the zone itself ends its loss and all votes for it; by another zone it withdraws that zone's vote.
type ZoneBack struct {
	Zone    entity.Zone
	From    entity.Zone
	Version entity.Offset
}

// ZoneShare is a zone's part of a customer's rate in thousandths.
type ZoneShare struct {
	Zone  entity.Zone
	Share uint32
}

// Shares moves a customer's zone shares. It takes effect for the zones that lose a part; SharesSettled gives the part to
// the receivers. An empty Next forgets the customer.
type Shares struct {
	Customer entity.CustomerID
	Version  entity.Offset
	// Current are the shares before the move. They matter only for a customer without recorded shares.
	Current []ZoneShare
	Next    []ZoneShare
}

// SharesSettled says that all givers of a pending Shares have stopped spending what they gave.
type SharesSettled struct {
	Customer entity.CustomerID
	Version  entity.Offset
}

// Checkpoint carries one chunk of the state at an earlier offset. It changes nothing in replay.
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
