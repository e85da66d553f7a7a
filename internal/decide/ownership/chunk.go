package ownership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// MaxChunkBytes is the largest encoded size of a checkpoint chunk.
const MaxChunkBytes = 64 << 10

// Sizes in bytes that limit the content of a chunk. Each item size is an upper bound of the fixed part of one encoded item: a
// tag and at most ten bytes for each number, and a tag and length for each string and message.
const (
	chunkBudget   = MaxChunkBytes - 4<<10 // leaves space for the envelope of the record
	memberBytes   = 64
	markBytes     = 48
	ownerBytes    = 32
	serviceBytes  = 80
	zoneBytes     = 64
	zoneItemBytes = 24
)

// GroupVersion is the version of one lease group.
type GroupVersion struct {
	GroupKey
	Version uint64
}

// WriterMark is the last sequence number received from a writer, and the offset of its record.
type WriterMark struct {
	Stamp
	Last entity.Offset
}

// ZoneVote is the vote of one zone to declare another lost.
type ZoneVote struct {
	From entity.Zone
	At   entity.Offset
}

// ZoneMark is the state of a zone that is lost or that other zones have voted to declare lost.
type ZoneMark struct {
	Zone   entity.Zone
	LostAt entity.Offset // zero if not lost
	Votes  []ZoneVote
}

// ShareMark contains the zone shares of a customer.
type ShareMark struct {
	Customer  entity.CustomerID
	Version   entity.Offset
	Effective []ZoneShare
	Pending   []ZoneShare // empty if no move is in progress
}

// HotMark is a hot key with its virtual partition.
type HotMark struct {
	Hash      entity.KeyHash
	Partition entity.Partition
}

// DownMark is a backend reported lost, and the offset of the report.
type DownMark struct {
	Backend entity.BackendID
	At      entity.Offset
}

// ServicePart is a slice of a service's assignment.
type ServicePart struct {
	Name    entity.ServiceName
	Count   uint32
	Version entity.Epoch
	// Total is the number of base and virtual partitions of the service in all parts.
	Total uint32
	// First is the partition of Owners[0].
	First  uint32
	Owners []Owner
	Hot    []HotMark
	Down   []DownMark
	Slow   []SlowMark
}

// Chunk is a bounded part of a checkpoint.
type Chunk struct {
	// At is the offset of the next record to apply to the state.
	At entity.Offset
	// Index numbers the chunks of a checkpoint from 0 to Total-1.
	Index        uint32
	Total        uint32
	ZonesVersion entity.Offset
	Members      []Member
	Groups       []GroupVersion
	Writers      []WriterMark
	Zones        []ZoneMark
	Shares       []ShareMark
	Services     []ServicePart
}

// chunkBuilder distributes the items of a checkpoint over chunks of bounded size.
type chunkBuilder struct {
	chunks []Chunk
	size   int
}

// chunkFor returns the chunk for an item of at most the given encoded size in bytes, and starts a new chunk if necessary.
func (b *chunkBuilder) chunkFor(size int) *Chunk {
	if len(b.chunks) == 0 || b.size+size > chunkBudget {
		b.chunks = append(b.chunks, Chunk{})
		b.size = 0
	}
	b.size += size
	return &b.chunks[len(b.chunks)-1]
}

// Chunks returns the state as a checkpoint. Equal states have equal chunks.
func (s *State) Chunks() []Chunk {
	b := &chunkBuilder{}
	b.chunkFor(0)
	s.addRoster(b)
	s.addZones(b)
	s.addShares(b)
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		addService(b, name, s.services[name].view)
	}
	for i := range b.chunks {
		chunk := &b.chunks[i]
		chunk.At = s.next
		chunk.Index = uint32(i)
		chunk.Total = uint32(len(b.chunks))
		chunk.ZonesVersion = s.zones.version
	}
	return b.chunks
}

func (s *State) addRoster(b *chunkBuilder) {
	for _, m := range s.members {
		chunk := b.chunkFor(memberBytes + len(m.ID) + len(m.Zone) + len(m.Address))
		chunk.Members = append(chunk.Members, m)
	}
	for _, key := range slices.SortedFunc(maps.Keys(s.groups), compareGroups) {
		chunk := b.chunkFor(markBytes + len(key.Zone))
		chunk.Groups = append(chunk.Groups, GroupVersion{GroupKey: key, Version: s.groups[key]})
	}
	for _, id := range slices.Sorted(maps.Keys(s.writers)) {
		mark := s.writers[id]
		chunk := b.chunkFor(markBytes + len(id))
		stamp := Stamp{Writer: id, Sequence: mark.sequence}
		chunk.Writers = append(chunk.Writers, WriterMark{Stamp: stamp, Last: mark.last})
	}
}

func compareGroups(a, b GroupKey) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Group, b.Group))
}

func (s *State) addZones(b *chunkBuilder) {
	zones := maps.Clone(s.zones.lost)
	for zone := range s.zones.votes {
		zones[zone] = 0
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		mark := ZoneMark{Zone: zone, LostAt: zones[zone]}
		size := zoneBytes + len(zone)
		for _, from := range slices.Sorted(maps.Keys(s.zones.votes[zone])) {
			mark.Votes = append(mark.Votes, ZoneVote{From: from, At: s.zones.votes[zone][from]})
			size += zoneItemBytes + len(from)
		}
		chunk := b.chunkFor(size)
		chunk.Zones = append(chunk.Zones, mark)
	}
}

func (s *State) addShares(b *chunkBuilder) {
	for _, customer := range slices.Sorted(maps.Keys(s.shares)) {
		state := s.shares[customer]
		mark := ShareMark{Customer: customer, Version: state.version}
		mark.Effective = sortedShares(state.effective)
		mark.Pending = sortedShares(state.pending)
		size := markBytes + len(customer)
		for _, z := range mark.Effective {
			size += zoneItemBytes + len(z.Zone)
		}
		for _, z := range mark.Pending {
			size += zoneItemBytes + len(z.Zone)
		}
		chunk := b.chunkFor(size)
		chunk.Shares = append(chunk.Shares, mark)
	}
}

func sortedShares(shares map[entity.Zone]uint32) []ZoneShare {
	list := make([]ZoneShare, 0, len(shares))
	for _, zone := range slices.Sorted(maps.Keys(shares)) {
		list = append(list, ZoneShare{Zone: zone, Share: shares[zone]})
	}
	return list
}

func addService(b *chunkBuilder, name entity.ServiceName, v *ServiceView) {
	part := func(size int) *ServicePart { return servicePart(b.chunkFor(size), b, name, v) }
	part(0)
	for p, owner := range v.Owners {
		dst := part(ownerBytes + len(owner.Backend) + len(owner.To))
		if len(dst.Owners) == 0 {
			dst.First = uint32(p)
		}
		dst.Owners = append(dst.Owners, owner)
	}
	for _, hash := range slices.Sorted(maps.Keys(v.Hot)) {
		dst := part(markBytes)
		dst.Hot = append(dst.Hot, HotMark{Hash: hash, Partition: v.Hot[hash]})
	}
	for _, id := range slices.Sorted(maps.Keys(v.Down)) {
		dst := part(markBytes + len(id))
		dst.Down = append(dst.Down, DownMark{Backend: id, At: v.Down[id]})
	}
	for _, id := range slices.Sorted(maps.Keys(v.Slow)) {
		dst := part(markBytes + len(id))
		dst.Slow = append(dst.Slow, SlowMark{Backend: id, Keep: v.Slow[id]})
	}
}

// servicePart returns the service's part in a chunk and adds it if there is none.
func servicePart(chunk *Chunk, b *chunkBuilder, name entity.ServiceName, v *ServiceView) *ServicePart {
	if n := len(chunk.Services); n > 0 && chunk.Services[n-1].Name == name {
		return &chunk.Services[n-1]
	}
	b.size += serviceBytes + len(name)
	chunk.Services = append(chunk.Services, ServicePart{
		Name: name, Count: v.Count, Version: v.Version, Total: uint32(len(v.Owners)),
	})
	return &chunk.Services[len(chunk.Services)-1]
}
