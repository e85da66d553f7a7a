// Package ownership replays the control stream of the platform's log into the ownership state: owners and epochs of partitions,
// moves, the roster of instances, lost zones and zone shares of rates. Log-based instances use it, each for its own replica;
// replicas that replay the same records reach the same state.
package ownership

import "github.com/pollenpier/pollenpier/internal/entity"

// Owner is the assignment of one partition.
type Owner struct {
	// Backend owns the partition since Epoch. Empty if no backend does.
	Backend entity.BackendID
	Epoch   entity.Epoch
	// To is the next owner during a move, otherwise empty. A moving partition accepts no new requests.
	To entity.BackendID
}

// Moving reports whether the partition is between a Move and its Release.
func (o Owner) Moving() bool { return o.To != "" }

// ServiceView is the assignment of one service.
type ServiceView struct {
	// Count is the number of base partitions, a power of two.
	Count uint32
	// Hot maps hot keys to virtual partitions, which are numbered from Count on.
	Hot map[entity.KeyHash]entity.Partition
	// Owners is indexed by partition: first the base partitions, then the virtual ones.
	Owners []Owner
	// Down maps backends that were reported lost to the offset of the report. They get no partitions until they are recorded
	// as up again.
	Down map[entity.BackendID]entity.Offset
	// Slow maps stragglers to the fraction of their share that they keep, in thousandths.
	Slow map[entity.BackendID]uint32
	// Version is the offset of the last record that changed the service's assignment.
	Version entity.Epoch
}

// Locate returns the partition of a key.
func (v *ServiceView) Locate(h entity.KeyHash) entity.Partition {
	if p, ok := v.Hot[h]; ok {
		return p
	}
	return entity.PartitionOf(h, v.Count)
}

// Member is an instance in the roster.
type Member struct {
	ID      entity.InstanceID
	Zone    entity.Zone
	Address string // peer address, host:port
	Group   uint32 // lease group within the zone
}

// ClaimingGroup is the lease group of each zone whose members hold the zone's leases, and therefore the only one with primaries.
// Leases must not move between groups without a log record that both groups have received, so all belong to the first group.
// Members of other groups accept callers' requests and forward them.
const ClaimingGroup uint32 = 0

// GroupKey identifies a lease group.
type GroupKey struct {
	Zone  entity.Zone
	Group uint32
}

// View is an immutable copy of the replayed state for readers outside the control service.
type View struct {
	// Offset is the offset of the next record to apply.
	Offset   entity.Offset
	Services map[entity.ServiceName]*ServiceView
	// Members are ordered by the offset of their Join.
	Members []Member
	// GroupVersions maps each lease group to the offset of its last roster change.
	GroupVersions map[GroupKey]uint64
	// LostZones maps zones declared lost to the offset of their ZoneLost record.
	LostZones map[entity.Zone]entity.Offset
	// LostVotes maps zones that are not lost to the zones that have voted to declare them lost, with the offset of each vote.
	LostVotes map[entity.Zone]map[entity.Zone]entity.Offset
	// MembershipVersion is the offset of the last change of members, lost zones or votes to declare zones lost.
	MembershipVersion entity.Offset
	// ZonesVersion is the offset of the last record that changed LostZones or LostVotes.
	ZonesVersion entity.Offset
	// ZoneShares maps customers to the share of each zone in thousandths, which sum to 1000. Absent means even shares.
	// During a move they sum to less: the shrinking shares are already reduced and the growing ones not yet increased.
	ZoneShares map[entity.CustomerID]map[entity.Zone]uint32
	// ShareVersions maps customers to the offset of the last change of their shares.
	ShareVersions map[entity.CustomerID]entity.Offset
	// PendingShares maps customers with a move in progress to their shares after the move.
	PendingShares map[entity.CustomerID]map[entity.Zone]uint32
}

// Group returns the members of a lease group in roster order.
func (v *View) Group(key GroupKey) []Member {
	var members []Member
	for _, m := range v.Members {
		if m.Zone == key.Zone && m.Group == key.Group {
			members = append(members, m)
		}
	}
	return members
}

// Member returns the member with the given id, and false if there is none.
func (v *View) Member(id entity.InstanceID) (Member, bool) {
	for _, m := range v.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}
