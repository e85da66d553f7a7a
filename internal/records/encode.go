package records

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/records/pb"
)

// Encode returns the payload of a record. It fails with ErrTooLarge if the payload exceeds MaxPayload, and with
// ErrUnknownKind if the type of the record has no encoding.
func Encode(r ownership.Record) ([]byte, error) {
	message := &pb.Record{}
	if !setMembershipRecord(message, r) && !setPartitionRecord(message, r) && !setZoneRecord(message, r) {
		return nil, errors.Wrapf(ErrUnknownKind, "%T", r)
	}
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if len(payload) > MaxPayload {
		return nil, errors.Wrapf(ErrTooLarge, "%T of %d bytes", r, len(payload))
	}
	return payload, nil
}

// EncodeState returns all chunks of a checkpoint encoded as one message, to be sent to a peer.
func EncodeState(chunks []ownership.Chunk) ([]byte, error) {
	message := &pb.State{}
	for _, chunk := range chunks {
		message.Chunks = append(message.Chunks, chunkToPB(chunk))
	}
	state, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode state")
	}
	return state, nil
}

func setMembershipRecord(m *pb.Record, record ownership.Record) bool {
	switch r := record.(type) {
	case ownership.Join:
		m.Body = &pb.Record_Join{Join: &pb.Join{Version: r.Version, Member: memberToPB(r.Member)}}
	case ownership.JoinRequest:
		m.Body = &pb.Record_JoinRequest{JoinRequest: &pb.JoinRequest{Member: memberToPB(r.Member)}}
	case ownership.Leave:
		m.Body = &pb.Record_Leave{Leave: &pb.Leave{
			Group: groupToPB(r.Group), Version: r.Version, Instance: string(r.Instance),
		}}
	case ownership.ForcedLeave:
		m.Body = &pb.Record_ForcedLeave{ForcedLeave: &pb.ForcedLeave{
			Group: groupToPB(r.Group), Version: r.Version, Instances: toStrings(r.Instances),
		}}
	case ownership.Checkpoint:
		m.Body = &pb.Record_Checkpoint{Checkpoint: chunkToPB(r.Chunk)}
	default:
		return false
	}
	return true
}

func setPartitionRecord(m *pb.Record, record ownership.Record) bool {
	switch r := record.(type) {
	case ownership.Move:
		m.Body = &pb.Record_Move{Move: moveToPB(r)}
	case ownership.Release:
		release := &pb.Release{Service: string(r.Service), Waited: uint64(r.WaitedVersion)}
		for _, s := range r.Steps {
			step := &pb.ReleaseStep{Partition: uint32(s.Partition), Epoch: uint64(s.Epoch)}
			release.Steps = append(release.Steps, step)
		}
		m.Body = &pb.Record_Release{Release: release}
	case ownership.HotKeys:
		m.Body = &pb.Record_HotKeys{HotKeys: &pb.HotKeys{
			Service: string(r.Service), Version: uint64(r.Version), Add: hashesToPB(r.Add), Remove: hashesToPB(r.Remove),
		}}
	case ownership.RemoveService:
		m.Body = &pb.Record_RemoveService{RemoveService: &pb.RemoveService{
			Service: string(r.Service), Version: uint64(r.Version),
		}}
	default:
		return false
	}
	return true
}

func setZoneRecord(m *pb.Record, record ownership.Record) bool {
	switch r := record.(type) {
	case ownership.ZoneLost:
		m.Body = &pb.Record_ZoneLost{ZoneLost: &pb.ZoneLost{
			Zone: string(r.Zone), From: string(r.From), Confirmed: r.Confirmed, Version: uint64(r.Version),
		}}
	case ownership.ZoneBack:
		m.Body = &pb.Record_ZoneBack{ZoneBack: &pb.ZoneBack{
			Zone: string(r.Zone), From: string(r.From), Version: uint64(r.Version),
		}}
	case ownership.Shares:
		m.Body = &pb.Record_Shares{Shares: &pb.Shares{
			Customer: string(r.Customer), Version: uint64(r.Version),
			Current: sharesToPB(r.Current), Next: sharesToPB(r.Next),
		}}
	case ownership.SharesSettled:
		m.Body = &pb.Record_SharesSettled{SharesSettled: &pb.SharesSettled{
			Customer: string(r.Customer), Version: uint64(r.Version),
		}}
	default:
		return false
	}
	return true
}

func moveToPB(r ownership.Move) *pb.Move {
	move := &pb.Move{
		Service: string(r.Service), Version: uint64(r.Version), Count: r.Count, Down: toStrings(r.Down), Up: toStrings(r.Up),
		Slow: slowToPB(r.Slow),
	}
	for _, s := range r.Steps {
		move.Steps = append(move.Steps, &pb.MoveStep{Partition: uint32(s.Partition), To: string(s.To)})
	}
	return move
}

func slowToPB(marks []ownership.SlowMark) []*pb.SlowMark {
	list := make([]*pb.SlowMark, 0, len(marks))
	for _, mark := range marks {
		list = append(list, &pb.SlowMark{Backend: string(mark.Backend), Keep: mark.Keep})
	}
	return list
}

func toStrings[T ~string](ids []T) []string {
	list := make([]string, 0, len(ids))
	for _, id := range ids {
		list = append(list, string(id))
	}
	return list
}

func hashesToPB(hashes []entity.KeyHash) []uint64 {
	list := make([]uint64, 0, len(hashes))
	for _, hash := range hashes {
		list = append(list, uint64(hash))
	}
	return list
}

func memberToPB(m ownership.Member) *pb.Member {
	return &pb.Member{Id: string(m.ID), Zone: string(m.Zone), Address: m.Address, Group: m.Group}
}

func groupToPB(key ownership.GroupKey) *pb.GroupKey {
	return &pb.GroupKey{Zone: string(key.Zone), Group: key.Group}
}

func sharesToPB(shares []ownership.ZoneShare) []*pb.ZoneShare {
	list := make([]*pb.ZoneShare, 0, len(shares))
	for _, s := range shares {
		list = append(list, &pb.ZoneShare{Zone: string(s.Zone), Share: s.Share})
	}
	return list
}
