// Package records encodes and decodes the records and checkpoints of the control stream as protobuf messages, and rejects
// invalid input. Log-based instances use it to append to the log, to replay it and to exchange state with peers.
package records

import (
	"unicode/utf8"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/records/pb"
)

// Limits of a record.
const (
	// MaxPayload is the maximum size of an encoded record in bytes.
	MaxPayload = ownership.MaxChunkBytes
	// maxTextBytes is the maximum size of a name or address in bytes. Addresses are host:port with a DNS name of at most
	// 253 bytes.
	maxTextBytes = 300
)

// Errors of encoding and decoding.
var (
	// ErrMalformed means that the payload is not a valid record.
	ErrMalformed = errors.New("malformed record")
	// ErrUnknownKind means that this version does not know the kind of the record.
	ErrUnknownKind = errors.New("unknown record kind")
	// ErrTooLarge means that a record exceeds MaxPayload.
	ErrTooLarge = errors.New("record too large")
)

// Decode returns the record encoded in a payload. It fails with ErrMalformed, ErrUnknownKind or ErrTooLarge.
func Decode(payload []byte) (ownership.Record, error) {
	if len(payload) > MaxPayload {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(payload))
	}
	message := &pb.Record{}
	if err := proto.Unmarshal(payload, message); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	d := &decoder{}
	record := d.record(message)
	if d.err != nil {
		return nil, d.err
	}
	return record, nil
}

// DecodeState returns the checkpoint chunks in a state that a peer sent. It fails with ErrMalformed.
func DecodeState(state []byte) ([]ownership.Chunk, error) {
	message := &pb.State{}
	if err := proto.Unmarshal(state, message); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	d := &decoder{}
	chunks := make([]ownership.Chunk, 0, len(message.GetChunks()))
	for _, m := range message.GetChunks() {
		chunks = append(chunks, d.chunk(m))
	}
	return chunks, d.err
}

// decoder converts protobuf messages to records and keeps the first error.
type decoder struct{ err error }

func (d *decoder) check(ok bool, format string, args ...any) {
	if !ok && d.err == nil {
		d.err = errors.Wrapf(ErrMalformed, format, args...)
	}
}

// requiredText converts a text and checks that it is not empty.
func requiredText[T ~string](d *decoder, field, text string) T {
	d.check(text != "", "%s is empty", field)
	return optionalText[T](d, field, text)
}

// optionalText converts a text that may be empty, and checks its size and that it is UTF-8.
func optionalText[T ~string](d *decoder, field, text string) T {
	d.check(len(text) <= maxTextBytes, "%s has %d bytes, more than the maximum", field, len(text))
	d.check(utf8.ValidString(text), "%s is not UTF-8", field)
	return T(text)
}

func requiredTexts[T ~string](d *decoder, field string, list []string) []T {
	return convertAll(list, func(text string) T { return requiredText[T](d, field, text) })
}

// convertAll converts a list. An empty list becomes nil, as in a record that was never encoded.
func convertAll[A, B any](list []A, convert func(A) B) []B {
	if len(list) == 0 {
		return nil
	}
	result := make([]B, 0, len(list))
	for _, item := range list {
		result = append(result, convert(item))
	}
	return result
}

func (d *decoder) record(m *pb.Record) ownership.Record {
	switch body := m.GetBody().(type) {
	case *pb.Record_Join:
		return ownership.Join{Version: body.Join.GetVersion(), Member: d.member(body.Join.GetMember())}
	case *pb.Record_JoinRequest:
		return ownership.JoinRequest{Member: d.member(body.JoinRequest.GetMember())}
	case *pb.Record_Leave:
		return d.leave(body.Leave)
	case *pb.Record_ForcedLeave:
		return d.forcedLeave(body.ForcedLeave)
	case *pb.Record_Move:
		return d.move(body.Move)
	case *pb.Record_Release:
		return d.release(body.Release)
	case *pb.Record_HotKeys:
		return d.hotKeys(body.HotKeys)
	case *pb.Record_RemoveService:
		return ownership.RemoveService{
			Service: requiredText[entity.ServiceName](d, "service", body.RemoveService.GetService()),
			Version: entity.Epoch(body.RemoveService.GetVersion()),
		}
	case *pb.Record_ZoneLost:
		return d.zoneLost(body.ZoneLost)
	case *pb.Record_ZoneBack:
		return d.zoneBack(body.ZoneBack)
	case *pb.Record_Shares:
		return d.sharesRecord(body.Shares)
	case *pb.Record_SharesSettled:
		return ownership.SharesSettled{
			Customer: requiredText[entity.CustomerID](d, "customer", body.SharesSettled.GetCustomer()),
			Version:  entity.Offset(body.SharesSettled.GetVersion()),
		}
	case *pb.Record_Checkpoint:
		return ownership.Checkpoint{Chunk: d.chunk(body.Checkpoint)}
	default:
		if d.err == nil {
			d.err = errors.Wrap(ErrUnknownKind, "record without a known body")
		}
		return nil
	}
}

func (d *decoder) member(m *pb.Member) ownership.Member {
	return ownership.Member{
		ID:      requiredText[entity.InstanceID](d, "member", m.GetId()),
		Zone:    requiredText[entity.Zone](d, "zone", m.GetZone()),
		Address: optionalText[string](d, "address", m.GetAddress()),
		Group:   m.GetGroup(),
	}
}

func (d *decoder) group(m *pb.GroupKey) ownership.GroupKey {
	return ownership.GroupKey{Zone: requiredText[entity.Zone](d, "zone", m.GetZone()), Group: m.GetGroup()}
}

func (d *decoder) leave(m *pb.Leave) ownership.Record {
	return ownership.Leave{
		Group: d.group(m.GetGroup()), Version: m.GetVersion(),
		Instance: requiredText[entity.InstanceID](d, "instance", m.GetInstance()),
	}
}

func (d *decoder) forcedLeave(m *pb.ForcedLeave) ownership.Record {
	d.check(len(m.GetInstances()) > 0, "forced leave without instances")
	d.check(len(m.GetInstances()) <= ownership.MaxGroupSize, "forced leave of %d instances", len(m.GetInstances()))
	return ownership.ForcedLeave{
		Group: d.group(m.GetGroup()), Version: m.GetVersion(),
		Instances: requiredTexts[entity.InstanceID](d, "instance", m.GetInstances()),
	}
}

func (d *decoder) move(m *pb.Move) ownership.Record {
	r := ownership.Move{
		Service: requiredText[entity.ServiceName](d, "service", m.GetService()),
		Version: entity.Epoch(m.GetVersion()),
		Count:   m.GetCount(),
		Down:    requiredTexts[entity.BackendID](d, "backend", m.GetDown()),
		Up:      requiredTexts[entity.BackendID](d, "backend", m.GetUp()),
		Slow:    d.slow(m.GetSlow()),
	}
	d.check(ownership.ValidCount(r.Count), "invalid number of partitions: %d", r.Count)
	d.check(len(m.GetSteps())+len(r.Down)+len(r.Up)+len(r.Slow) > 0, "move without steps or marks")
	for _, s := range m.GetSteps() {
		d.check(uint64(s.GetPartition()) < uint64(r.Count)+ownership.MaxHotKeys, "partition %d out of range", s.GetPartition())
		r.Steps = append(r.Steps, ownership.MoveStep{
			Partition: entity.Partition(s.GetPartition()), To: requiredText[entity.BackendID](d, "next owner", s.GetTo()),
		})
	}
	return r
}

func (d *decoder) slow(list []*pb.SlowMark) []ownership.SlowMark {
	return convertAll(list, func(m *pb.SlowMark) ownership.SlowMark {
		d.check(m.GetKeep() > 0 && m.GetKeep() <= ownership.FullShare, "straggler fraction of %d thousandths out of range", m.GetKeep())
		return ownership.SlowMark{Backend: requiredText[entity.BackendID](d, "backend", m.GetBackend()), Keep: m.GetKeep()}
	})
}

func (d *decoder) release(m *pb.Release) ownership.Record {
	r := ownership.Release{
		Service: requiredText[entity.ServiceName](d, "service", m.GetService()), WaitedVersion: entity.Offset(m.GetWaited()),
	}
	d.check(len(m.GetSteps()) > 0, "release without steps")
	for _, s := range m.GetSteps() {
		step := ownership.ReleaseStep{Partition: entity.Partition(s.GetPartition()), Epoch: entity.Epoch(s.GetEpoch())}
		d.check(step.Epoch > 0, "release without epoch")
		r.Steps = append(r.Steps, step)
	}
	return r
}

func (d *decoder) hotKeys(m *pb.HotKeys) ownership.Record {
	return ownership.HotKeys{
		Service: requiredText[entity.ServiceName](d, "service", m.GetService()),
		Version: entity.Epoch(m.GetVersion()),
		Add:     d.hashes(m.GetAdd()),
		Remove:  d.hashes(m.GetRemove()),
	}
}

func (d *decoder) hashes(list []uint64) []entity.KeyHash {
	d.check(len(list) <= ownership.MaxHotKeys, "%d hot keys, more than the maximum", len(list))
	return convertAll(list, func(hash uint64) entity.KeyHash { return entity.KeyHash(hash) })
}

func (d *decoder) zoneLost(m *pb.ZoneLost) ownership.Record {
	r := ownership.ZoneLost{
		Zone:      requiredText[entity.Zone](d, "zone", m.GetZone()),
		From:      optionalText[entity.Zone](d, "voting zone", m.GetFrom()),
		Confirmed: m.GetConfirmed(),
		Version:   entity.Offset(m.GetVersion()),
	}
	d.check(r.Confirmed || r.From != "", "unconfirmed zone loss without a voting zone")
	return r
}

func (d *decoder) zoneBack(m *pb.ZoneBack) ownership.Record {
	return ownership.ZoneBack{
		Zone:    requiredText[entity.Zone](d, "zone", m.GetZone()),
		From:    requiredText[entity.Zone](d, "voting zone", m.GetFrom()),
		Version: entity.Offset(m.GetVersion()),
	}
}

func (d *decoder) sharesRecord(m *pb.Shares) ownership.Record {
	return ownership.Shares{
		Customer: requiredText[entity.CustomerID](d, "customer", m.GetCustomer()),
		Version:  entity.Offset(m.GetVersion()),
		Current:  d.shares(m.GetCurrent()),
		Next:     d.shares(m.GetNext()),
	}
}

func (d *decoder) shares(list []*pb.ZoneShare) []ownership.ZoneShare {
	return convertAll(list, func(s *pb.ZoneShare) ownership.ZoneShare {
		d.check(s.GetShare() <= ownership.ShareTotal, "zone share %d out of range", s.GetShare())
		return ownership.ZoneShare{Zone: requiredText[entity.Zone](d, "zone", s.GetZone()), Share: s.GetShare()}
	})
}
