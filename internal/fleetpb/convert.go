package fleetpb

import (
	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/entity"

	"google.golang.org/protobuf/proto"
)

// ErrBadTable means that a table of key ranges has gaps or overlaps, or refers to holders that it does not list.
var ErrBadTable = errors.New("table of key ranges is inconsistent")

// EncodeState encodes the ownership state as it is stored.
func EncodeState(s *keyrange.State) ([]byte, error) {
	out := &State{Coordinator: string(s.Coordinator), Term: s.Term, LastFence: s.LastFence}
	for i := range s.Tables {
		out.Tables = append(out.Tables, encodeTable(&s.Tables[i]))
	}
	return proto.Marshal(out)
}

// holderList assigns indexes to the holders of a table, so that ranges can refer to them by small numbers.
type holderList struct {
	list    []*Holder
	indexes map[keyrange.Holder]uint32
}

func (l *holderList) indexOf(h keyrange.Holder) uint32 {
	i, ok := l.indexes[h]
	if !ok {
		i = uint32(len(l.list))
		l.indexes[h] = i
		l.list = append(l.list, &Holder{Id: string(h.ID), Born: h.Incarnation})
	}
	return i
}

func (l *holderList) encode(r *keyrange.Range) *Range {
	encoded := &Range{To: r.To, Owner: l.indexOf(r.Owner), Fence: r.Fence, Settled: r.Granted}
	if r.PreviousOwner != (keyrange.Holder{}) {
		encoded.Former = l.indexOf(r.PreviousOwner) + 1
	}
	return encoded
}

func encodeTable(t *keyrange.Table) *Table {
	holders := holderList{indexes: map[keyrange.Holder]uint32{}}
	out := &Table{Service: string(t.Service)}
	for i := range t.Ranges {
		out.Ranges = append(out.Ranges, holders.encode(&t.Ranges[i]))
	}
	out.Holders = holders.list
	return out
}

// EncodeDelta returns the message for the difference between the versions from and to of the ownership state.
func EncodeDelta(d keyrange.Delta, from, to uint64) *Delta {
	out := &Delta{
		FromVersion: from, ToVersion: to, Coordinator: string(d.State.Coordinator), Term: d.State.Term, LastFence: d.State.LastFence,
	}
	for i := range d.State.Tables {
		holders := holderList{indexes: map[keyrange.Holder]uint32{}}
		table := &ChangedTable{Service: string(d.State.Tables[i].Service)}
		for j := range d.State.Tables[i].Ranges {
			r := &d.State.Tables[i].Ranges[j]
			table.Ranges = append(table.Ranges, &ChangedRange{From: r.From, Range: holders.encode(r)})
		}
		table.Holders = holders.list
		out.Tables = append(out.Tables, table)
	}
	return out
}

// DecodeDelta decodes a message of EncodeDelta. It returns ErrBadTable if a range is invalid.
func DecodeDelta(in *Delta) (keyrange.Delta, error) {
	d := keyrange.Delta{State: keyrange.State{
		Coordinator: entity.InstanceID(in.Coordinator), Term: in.Term, LastFence: in.LastFence,
	}}
	for _, t := range in.Tables {
		table := keyrange.Table{Service: entity.ServiceName(t.Service)}
		for _, c := range t.Ranges {
			r, err := decodeRange(c.GetFrom(), c.GetRange(), t.Holders)
			if err != nil {
				return keyrange.Delta{}, errors.Wrapf(err, "service %q", t.Service)
			}
			table.Ranges = append(table.Ranges, r)
		}
		d.State.Tables = append(d.State.Tables, table)
	}
	return d, nil
}

func decodeRange(from uint32, r *Range, holders []*Holder) (keyrange.Range, error) {
	if r == nil || r.To < from || r.To >= catalog.KeySpace || int(r.Owner) >= len(holders) || int(r.Former) > len(holders) {
		return keyrange.Range{}, ErrBadTable
	}
	holder := func(i uint32) keyrange.Holder {
		return keyrange.Holder{ID: entity.BackendID(holders[i].Id), Incarnation: holders[i].Born}
	}
	decoded := keyrange.Range{From: from, To: r.To, Owner: holder(r.Owner), Fence: r.Fence, Granted: r.Settled}
	if r.Former > 0 {
		decoded.PreviousOwner = holder(r.Former - 1)
	}
	return decoded, nil
}

// DecodeState decodes a stored ownership state. It returns ErrBadTable if the ranges of a table are invalid or do not cover the
// key space.
func DecodeState(raw []byte) (*keyrange.State, error) {
	in := &State{}
	if err := proto.Unmarshal(raw, in); err != nil {
		return nil, errors.Wrap(err, "decode ownership state")
	}
	s := &keyrange.State{Coordinator: entity.InstanceID(in.Coordinator), Term: in.Term, LastFence: in.LastFence}
	for _, t := range in.Tables {
		table, err := decodeTable(t)
		if err != nil {
			return nil, errors.Wrapf(err, "service %q", t.Service)
		}
		s.Tables = append(s.Tables, table)
	}
	return s, nil
}

func decodeTable(in *Table) (keyrange.Table, error) {
	table := keyrange.Table{Service: entity.ServiceName(in.Service), Ranges: make([]keyrange.Range, 0, len(in.Ranges))}
	from := uint32(0)
	for _, r := range in.Ranges {
		decoded, err := decodeRange(from, r, in.Holders)
		if err != nil {
			return keyrange.Table{}, err
		}
		table.Ranges = append(table.Ranges, decoded)
		from = r.To + 1
	}
	if len(table.Ranges) > 0 && from != catalog.KeySpace {
		return keyrange.Table{}, ErrBadTable
	}
	return table, nil
}
