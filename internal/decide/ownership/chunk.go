package ownership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// MaxChunkBytes is the largest encoded size of a checkpoint chunk.
const MaxChunkBytes = 64 << 10

// Sizes by which chunks are cut, in bytes. Each is an upper bound of the encoded fixed part of one item: a tag and at most
// ten bytes for each number, and a tag and length for each text and message.
const (
	chunkBudget   = MaxChunkBytes - 4<<10 // leaves room for the envelope of the record
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

// WriterMark is the last sequence seen of a writer, and the offset where it was seen.
type WriterMark struct {
	Stamp
	Last entity.Offset
}

// ZoneVote is one zone's vote that another is lost.
type ZoneVote struct {
	From entity.Zone
	At   entity.Offset
}

// ZoneMark is the state of a zone that is lost or voted for.
type ZoneMark struct {
	Zone   entity.Zone
	LostAt entity.Offset // zero if not lost
	Votes  []ZoneVote
}

// ShareMark holds the shares of a customer.
type ShareMark struct {
	Customer  entity.CustomerID
	Version   entity.Offset
	Effective []ZoneShare
	Pending   []ZoneShare // empty if no move is under way
}

// HotMark is a hot key with its virtual partition.
type HotMark struct {
	Hash      entity.KeyHash
	Partition entity.Partition
}

// DownMark is a back end reported lost, and the offset of the report.
type DownMark struct {
	Backend entity.BackendID
	At      entity.Offset
}

// ServicePart is a slice of a service's assignment.
type ServicePart struct {
	Name    entity.ServiceName
	Count   uint32
	Version entity.Epoch
	// Total is the number of base and virtual partitions of the service, over all parts.
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
	// Index counts the chunks of a checkpoint from 0 to Total-1.
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

// cutter distributes items over chunks of bounded size.
type cutter struct {
	chunks []Chunk
	size   int
}

// next returns the chunk for an item of at most the given encoded size.
func (c *cutter) next(size int) *Chunk {
	if len(c.chunks) == 0 || c.size+size > chunkBudget {
		c.chunks = append(c.chunks, Chunk{})
		c.size = 0
	}
	c.size += size
	return &c.chunks[len(c.chunks)-1]
}

// Chunks returns the state as a checkpoint. Equal states give equal chunks.
func (s *State) Chunks() []Chunk {
	c := &cutter{}
	c.next(0)
	s.cutRoster(c)
	s.cutZones(c)
	s.cutShares(c)
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		cutService(c, name, s.services[name].view)
	}
	for i := range c.chunks {
		chunk := &c.chunks[i]
		chunk.At = s.next
		chunk.Index = uint32(i)
		chunk.Total = uint32(len(c.chunks))
		chunk.ZonesVersion = s.zones.version
	}
	return c.chunks
}

func (s *State) cutRoster(c *cutter) {
	for _, m := range s.members {
		chunk := c.next(memberBytes + len(m.ID) + len(m.Zone) + len(m.Address))
		chunk.Members = append(chunk.Members, m)
	}
	for _, key := range slices.SortedFunc(maps.Keys(s.groups), compareGroups) {
		chunk := c.next(markBytes + len(key.Zone))
		chunk.Groups = append(chunk.Groups, GroupVersion{GroupKey: key, Version: s.groups[key]})
	}
	for _, id := range slices.Sorted(maps.Keys(s.writers)) {
		mark := s.writers[id]
		chunk := c.next(markBytes + len(id))
		stamp := Stamp{Writer: id, Sequence: mark.sequence}
		chunk.Writers = append(chunk.Writers, WriterMark{Stamp: stamp, Last: mark.last})
	}
}

func compareGroups(a, b GroupKey) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Group, b.Group))
}

func (s *State) cutZones(c *cutter) {
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
		chunk := c.next(size)
		chunk.Zones = append(chunk.Zones, mark)
	}
}

func (s *State) cutShares(c *cutter) {
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
		chunk := c.next(size)
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

func cutService(c *cutter, name entity.ServiceName, v *ServiceView) {
	part := func(size int) *ServicePart { return servicePart(c.next(size), c, name, v) }
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

// servicePart returns the service's part in a chunk and starts it if there is none.
func servicePart(chunk *Chunk, c *cutter, name entity.ServiceName, v *ServiceView) *ServicePart {
	if n := len(chunk.Services); n > 0 && chunk.Services[n-1].Name == name {
		return &chunk.Services[n-1]
	}
	c.size += serviceBytes + len(name)
	chunk.Services = append(chunk.Services, ServicePart{
		Name: name, Count: v.Count, Version: v.Version, Total: uint32(len(v.Owners)),
	})
	return &chunk.Services[len(chunk.Services)-1]
}
