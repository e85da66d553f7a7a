package ownership

import (
	"maps"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// DropReason is the reason why a record was dropped.
type DropReason string

// Reasons for dropping a record.
const (
	// DropApplied means that the offset was applied before.
	DropApplied DropReason = "already applied"
	// DropGap means that records before the offset are missing. The state did not advance.
	DropGap DropReason = "gap in the stream"
	// DropOffsetZero means that the record has offset zero, which means "none" in epochs and versions.
	DropOffsetZero DropReason = "offset zero"
	// DropRepeated means that a record of the writer with this or a higher sequence number was replayed before.
	DropRepeated DropReason = "repeated append"
	// DropVersion means that the version on which the record is based is outdated.
	DropVersion DropReason = "outdated version"
	// DropInvalid means that the record contradicts the state or itself.
	DropInvalid DropReason = "invalid record"
	// DropGroupFull means that the lease group has MaxGroupSize members.
	DropGroupFull DropReason = "lease group full"
	// DropBaseMoving means that the base partition of a hot key is moving or unowned.
	DropBaseMoving DropReason = "base partition moving"
	// DropOwnersDiffer means that a hot key and its base partition have different owners.
	DropOwnersDiffer DropReason = "owners differ"
	// DropEpoch means that none of the released assignments is current and moving.
	DropEpoch DropReason = "outdated epoch"
	// DropUndecodable means that the record could not be decoded.
	DropUndecodable DropReason = "undecodable"
)

// Verdict is the result of applying a record. It is the same at every replica.
type Verdict struct {
	Applied bool
	Reason  DropReason // empty if applied
}

func applied() Verdict                  { return Verdict{Applied: true} }
func dropped(reason DropReason) Verdict { return Verdict{Reason: reason} }

// maxForeignWriters bounds the number of writers that are not members and whose sequence numbers are kept. A writer that was
// dropped can only repeat records whose versions are outdated.
const maxForeignWriters = 256

type writerState struct {
	sequence uint64
	last     entity.Offset
}

// State is the replayed state of the control stream. It is not safe for concurrent use.
type State struct {
	next    entity.Offset
	writers map[entity.InstanceID]writerState
	members []Member
	// groups holds the version of each group that has members, and that of the group that changed last.
	groups   map[GroupKey]uint64
	services map[entity.ServiceName]*serviceState
	zones    zoneState
	shares   map[entity.CustomerID]*shareState
	// cached contains the parts of the last view that have not changed since. Views share them.
	cached View
}

// New returns the state before the first record.
func New() *State {
	return &State{
		writers:  map[entity.InstanceID]writerState{},
		groups:   map[GroupKey]uint64{},
		services: map[entity.ServiceName]*serviceState{},
		zones:    newZoneState(),
		shares:   map[entity.CustomerID]*shareState{},
	}
}

// Next returns the offset of the next record to apply.
func (s *State) Next() entity.Offset { return s.next }

// LastSequence returns the sequence number of the last replayed record of a writer, whether it was applied or dropped, or zero if
// none is kept.
func (s *State) LastSequence(writer entity.InstanceID) uint64 { return s.writers[writer].sequence }

// Apply replays the record at the given offset. Offsets must be consecutive.
func (s *State) Apply(offset entity.Offset, stamp Stamp, record Record) Verdict {
	if verdict, ok := s.advance(offset); !ok {
		return verdict
	}
	if offset == 0 {
		return dropped(DropOffsetZero)
	}
	if s.isDuplicate(offset, stamp) {
		return dropped(DropRepeated)
	}
	return s.applyRecord(offset, record)
}

// Skip advances past a record that cannot be decoded.
func (s *State) Skip(offset entity.Offset) Verdict {
	if verdict, ok := s.advance(offset); !ok {
		return verdict
	}
	return dropped(DropUndecodable)
}

func (s *State) advance(offset entity.Offset) (Verdict, bool) {
	switch {
	case offset < s.next:
		return dropped(DropApplied), false
	case offset > s.next:
		return dropped(DropGap), false
	default:
		s.next = offset + 1
		return Verdict{}, true
	}
}

func (s *State) applyRecord(offset entity.Offset, record Record) Verdict {
	switch r := record.(type) {
	case Join:
		return s.applyJoin(offset, r)
	case Leave:
		return s.applyLeave(offset, r.Group, r.Version, []entity.InstanceID{r.Instance})
	case ForcedLeave:
		return s.applyLeave(offset, r.Group, r.Version, r.Instances)
	case Move:
		return s.applyMove(offset, r)
	case Release:
		return s.applyRelease(offset, r)
	case HotKeys:
		return s.applyHotKeys(offset, r)
	case RemoveService:
		return s.applyRemoveService(r)
	case ZoneLost:
		return s.applyZoneLost(offset, r)
	case ZoneBack:
		return s.applyZoneBack(offset, r)
	case Shares:
		return s.applyShares(offset, r)
	case SharesSettled:
		return s.applySharesSettled(offset, r)
	case Checkpoint, JoinRequest:
		return applied()
	default:
		return dropped(DropInvalid)
	}
}

// isDuplicate reports whether the stamp's sequence number is not above the writer's last one, and records the stamp otherwise. It
// is called before the record is checked, so the stamps of dropped records count too.
func (s *State) isDuplicate(offset entity.Offset, stamp Stamp) bool {
	if mark, ok := s.writers[stamp.Writer]; ok && stamp.Sequence <= mark.sequence {
		return true
	}
	s.writers[stamp.Writer] = writerState{sequence: stamp.Sequence, last: offset}
	s.dropOldestWriter()
	return false
}

// dropOldestWriter drops the writer that is not a member and wrote least recently, if there are too many such writers.
func (s *State) dropOldestWriter() {
	if len(s.writers) <= len(s.members)+maxForeignWriters {
		return
	}
	inRoster := make(map[entity.InstanceID]bool, len(s.members))
	for _, m := range s.members {
		inRoster[m.ID] = true
	}
	var oldest entity.InstanceID
	foreign := 0
	for id, mark := range s.writers {
		if inRoster[id] {
			continue
		}
		foreign++
		if foreign == 1 || mark.last < s.writers[oldest].last {
			oldest = id
		}
	}
	if foreign > maxForeignWriters {
		delete(s.writers, oldest)
	}
}

// View returns an immutable snapshot of the state. Parts that have not changed are shared with earlier views.
func (s *State) View() *View {
	if s.cached.Members == nil {
		s.cached.Members = append([]Member{}, s.members...)
		s.cached.GroupVersions = maps.Clone(s.groups)
		if empty, ok := s.emptyGroup(); ok {
			delete(s.cached.GroupVersions, empty)
		}
	}
	if s.cached.LostZones == nil {
		s.cached.LostZones, s.cached.LostVotes = s.zones.clone()
	}
	if s.cached.ZoneShares == nil {
		s.cacheShares()
	}
	view := s.cached
	view.Offset = s.next
	view.ZonesVersion = s.zones.version
	view.MembershipVersion = s.membershipVersion()
	view.Services = make(map[entity.ServiceName]*ServiceView, len(s.services))
	for name, service := range s.services {
		view.Services[name] = service.publish()
	}
	return &view
}
