package records

import (
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/records/pb"
)

func chunkToPB(c ownership.Chunk) *pb.Chunk {
	m := &pb.Chunk{At: uint64(c.At), Index: c.Index, Total: c.Total, ZonesVersion: uint64(c.ZonesVersion)}
	for _, member := range c.Members {
		m.Members = append(m.Members, memberToPB(member))
	}
	for _, g := range c.Groups {
		m.Groups = append(m.Groups, &pb.GroupVersion{Group: groupToPB(g.GroupKey), Version: g.Version})
	}
	for _, w := range c.Writers {
		mark := &pb.WriterMark{Writer: string(w.Writer), Sequence: w.Sequence, Last: uint64(w.Last)}
		m.Writers = append(m.Writers, mark)
	}
	for _, z := range c.Zones {
		mark := &pb.ZoneMark{Zone: string(z.Zone), LostAt: uint64(z.LostAt)}
		for _, vote := range z.Votes {
			mark.Votes = append(mark.Votes, &pb.ZoneVote{From: string(vote.From), At: uint64(vote.At)})
		}
		m.Zones = append(m.Zones, mark)
	}
	for _, s := range c.Shares {
		m.Shares = append(m.Shares, &pb.ShareMark{
			Customer: string(s.Customer), Version: uint64(s.Version),
			Effective: sharesToPB(s.Effective), Pending: sharesToPB(s.Pending),
		})
	}
	for _, part := range c.Services {
		m.Services = append(m.Services, servicePartToPB(part))
	}
	return m
}

func servicePartToPB(part ownership.ServicePart) *pb.ServicePart {
	m := &pb.ServicePart{
		Name: string(part.Name), Count: part.Count, Version: uint64(part.Version), Total: part.Total, First: part.First,
	}
	for _, owner := range part.Owners {
		m.Owners = append(m.Owners, &pb.Owner{
			Backend: string(owner.Backend), Epoch: uint64(owner.Epoch), To: string(owner.To),
		})
	}
	for _, hot := range part.Hot {
		m.Hot = append(m.Hot, &pb.HotMark{Hash: uint64(hot.Hash), Partition: uint32(hot.Partition)})
	}
	for _, down := range part.Down {
		m.Down = append(m.Down, &pb.DownMark{Backend: string(down.Backend), At: uint64(down.At)})
	}
	m.Slow = slowToPB(part.Slow)
	return m
}

func (d *decoder) chunk(m *pb.Chunk) ownership.Chunk {
	c := ownership.Chunk{
		At: entity.Offset(m.GetAt()), Index: m.GetIndex(), Total: m.GetTotal(), ZonesVersion: entity.Offset(m.GetZonesVersion()),
	}
	d.check(c.Index < c.Total, "chunk index %d of %d chunks", c.Index, c.Total)
	for _, member := range m.GetMembers() {
		c.Members = append(c.Members, d.member(member))
	}
	for _, g := range m.GetGroups() {
		c.Groups = append(c.Groups, ownership.GroupVersion{GroupKey: d.group(g.GetGroup()), Version: g.GetVersion()})
	}
	for _, w := range m.GetWriters() {
		stamp := ownership.Stamp{Writer: requiredText[entity.InstanceID](d, "writer", w.GetWriter()), Sequence: w.GetSequence()}
		c.Writers = append(c.Writers, ownership.WriterMark{Stamp: stamp, Last: entity.Offset(w.GetLast())})
	}
	for _, z := range m.GetZones() {
		c.Zones = append(c.Zones, d.zoneMark(z))
	}
	for _, s := range m.GetShares() {
		c.Shares = append(c.Shares, ownership.ShareMark{
			Customer: requiredText[entity.CustomerID](d, "customer", s.GetCustomer()), Version: entity.Offset(s.GetVersion()),
			Effective: d.shares(s.GetEffective()), Pending: d.shares(s.GetPending()),
		})
	}
	for _, part := range m.GetServices() {
		c.Services = append(c.Services, d.servicePart(part))
	}
	return c
}

func (d *decoder) zoneMark(m *pb.ZoneMark) ownership.ZoneMark {
	mark := ownership.ZoneMark{Zone: requiredText[entity.Zone](d, "zone", m.GetZone()), LostAt: entity.Offset(m.GetLostAt())}
	for _, vote := range m.GetVotes() {
		from := requiredText[entity.Zone](d, "voting zone", vote.GetFrom())
		mark.Votes = append(mark.Votes, ownership.ZoneVote{From: from, At: entity.Offset(vote.GetAt())})
	}
	return mark
}

func (d *decoder) servicePart(m *pb.ServicePart) ownership.ServicePart {
	part := ownership.ServicePart{
		Name:  requiredText[entity.ServiceName](d, "service", m.GetName()),
		Count: m.GetCount(), Version: entity.Epoch(m.GetVersion()), Total: m.GetTotal(), First: m.GetFirst(),
	}
	d.check(ownership.ValidCount(part.Count), "invalid number of partitions: %d", part.Count)
	for _, owner := range m.GetOwners() {
		part.Owners = append(part.Owners, ownership.Owner{
			Backend: optionalText[entity.BackendID](d, "owner", owner.GetBackend()),
			Epoch:   entity.Epoch(owner.GetEpoch()),
			To:      optionalText[entity.BackendID](d, "next owner", owner.GetTo()),
		})
	}
	for _, hot := range m.GetHot() {
		mark := ownership.HotMark{Hash: entity.KeyHash(hot.GetHash()), Partition: entity.Partition(hot.GetPartition())}
		part.Hot = append(part.Hot, mark)
	}
	for _, down := range m.GetDown() {
		id := requiredText[entity.BackendID](d, "backend", down.GetBackend())
		part.Down = append(part.Down, ownership.DownMark{Backend: id, At: entity.Offset(down.GetAt())})
	}
	part.Slow = d.slow(m.GetSlow())
	return part
}
