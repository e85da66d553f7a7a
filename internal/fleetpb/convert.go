package fleetpb

import (
	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/entity"

	"google.golang.org/protobuf/proto"
)

// ErrBadTable means that a table of key ranges has gaps or names holders that it does not list.
var ErrBadTable = errors.New("table of key ranges is not consistent")

// EncodeState returns the stored form of the ownership state.
func EncodeState(s *keyrange.State) ([]byte, error) {
	out := &State{Coordinator: string(s.Coordinator), Term: s.Term, LastFence: s.LastFence}
	for i := range s.Tables {
		out.Tables = append(out.Tables, encodeTable(&s.Tables[i]))
	}
	return proto.Marshal(out)
}

// holderList numbers the holders of a table, so that ranges name them by a small number.
type holderList struct {
	list  []*Holder
	index map[keyrange.Holder]uint32
}

func (l *holderList) place(h keyrange.Holder) uint32 {
	i, ok := l.index[h]
	if !ok {
		i = uint32(len(l.list))
		l.index[h] = i
		l.list = append(l.list, &Holder{Id: string(h.ID), Born: h.Incarnation})
	}
	return i
}

func (l *holderList) encode(r *keyrange.Range) *Range {
	coded := &Range{To: r.To, Owner: l.place(r.Owner), Fence: r.Fence, Settled: r.Granted}
	if r.PreviousOwner != (keyrange.Holder{}) {
		coded.Former = l.place(r.PreviousOwner) + 1
	}
	return coded
}

func encodeTable(t *keyrange.Table) *Table {
	holders := holderList{index: map[keyrange.Holder]uint32{}}
	out := &Table{Service: string(t.Service)}
	for i := range t.Ranges {
		out.Ranges = append(out.Ranges, holders.encode(&t.Ranges[i]))
	}
	out.Holders = holders.list
	return out
}

// EncodeDelta returns the message that tells a difference between two versions.
func EncodeDelta(d keyrange.Delta, from, to uint64) *Delta {
	out := &Delta{
		FromVersion: from, ToVersion: to, Coordinator: string(d.State.Coordinator), Term: d.State.Term, LastFence: d.State.LastFence,
	}
	for i := range d.State.Tables {
		holders := holderList{index: map[keyrange.Holder]uint32{}}
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

// DecodeDelta returns the difference that a message tells.
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

// DecodeState returns the ownership state of a stored record.
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
