package ownership

import (
	"slices"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// ErrCheckpoint means that a set of chunks is not a complete and consistent checkpoint.
var ErrCheckpoint = errors.New("checkpoint incomplete or inconsistent")

// Restore returns the state stored in a complete checkpoint. The order of the chunks does not matter. The error wraps
// ErrCheckpoint if a chunk is missing or the chunks contradict each other.
func Restore(chunks []Chunk) (*State, error) {
	ordered, err := orderChunks(chunks)
	if err != nil {
		return nil, err
	}
	s := New()
	s.next = ordered[0].At
	s.zones.version = ordered[0].ZonesVersion
	filled := map[entity.ServiceName]int{}
	for _, chunk := range ordered {
		s.restoreRoster(chunk)
		s.restoreZones(chunk)
		if err := s.restoreShares(chunk); err != nil {
			return nil, err
		}
		for _, part := range chunk.Services {
			if err := s.restoreService(part, filled); err != nil {
				return nil, err
			}
		}
	}
	for name, service := range s.services {
		if filled[name] != len(service.view.Owners) {
			return nil, errors.Wrapf(ErrCheckpoint, "service %q has %d of %d partitions", name, filled[name],
				len(service.view.Owners))
		}
	}
	return s, nil
}

func orderChunks(chunks []Chunk) ([]Chunk, error) {
	if len(chunks) == 0 {
		return nil, errors.Wrap(ErrCheckpoint, "no chunks")
	}
	total, at := chunks[0].Total, chunks[0].At
	if uint64(total) != uint64(len(chunks)) {
		return nil, errors.Wrapf(ErrCheckpoint, "got %d of %d chunks", len(chunks), total)
	}
	ordered := slices.Clone(chunks)
	slices.SortFunc(ordered, func(a, b Chunk) int { return int(a.Index) - int(b.Index) })
	for i, chunk := range ordered {
		if chunk.At != at || chunk.Total != total || int(chunk.Index) != i {
			return nil, errors.Wrapf(ErrCheckpoint, "chunk %d at offset %d has index %d or belongs to another checkpoint", i, chunk.At, chunk.Index)
		}
	}
	return ordered, nil
}

func (s *State) restoreRoster(chunk Chunk) {
	s.members = append(s.members, chunk.Members...)
	for _, g := range chunk.Groups {
		s.groups[g.GroupKey] = g.Version
	}
	for _, w := range chunk.Writers {
		s.writers[w.Writer] = writerState{sequence: w.Sequence, last: w.Last}
	}
}

func (s *State) restoreZones(chunk Chunk) {
	for _, mark := range chunk.Zones {
		if mark.LostAt != 0 {
			s.zones.lost[mark.Zone] = mark.LostAt
		}
		if len(mark.Votes) == 0 {
			continue
		}
		votes := make(map[entity.Zone]entity.Offset, len(mark.Votes))
		for _, vote := range mark.Votes {
			votes[vote.From] = vote.At
		}
		s.zones.votes[mark.Zone] = votes
	}
}

func (s *State) restoreShares(chunk Chunk) error {
	for _, mark := range chunk.Shares {
		effective, valid := shareMap(mark.Effective)
		state := &shareState{version: mark.Version, effective: effective}
		if len(mark.Pending) > 0 {
			state.pending, valid = shareMap(mark.Pending)
		}
		if !valid || effective == nil {
			return errors.Wrapf(ErrCheckpoint, "invalid zone shares of customer %q", mark.Customer)
		}
		s.shares[mark.Customer] = state
	}
	return nil
}

func (s *State) restoreService(part ServicePart, filled map[entity.ServiceName]int) error {
	service, known := s.services[part.Name]
	if !known {
		if !ValidCount(part.Count) || part.Total < part.Count || part.Total > part.Count+MaxHotKeys {
			return errors.Wrapf(ErrCheckpoint, "service %q has invalid partition counts: base %d, total %d", part.Name, part.Count, part.Total)
		}
		view := newServiceView(part.Count)
		view.Owners = make([]Owner, part.Total)
		view.Version = part.Version
		service = &serviceState{view: view}
		s.services[part.Name] = service
	}
	view := service.view
	end := uint64(part.First) + uint64(len(part.Owners))
	if view.Count != part.Count || view.Version != part.Version || end > uint64(len(view.Owners)) {
		return errors.Wrapf(ErrCheckpoint, "service %q: part with partitions %d to %d does not match the other parts", part.Name, part.First, end)
	}
	copy(view.Owners[part.First:], part.Owners)
	filled[part.Name] += len(part.Owners)
	for _, hot := range part.Hot {
		if uint32(hot.Partition) < view.Count || int(hot.Partition) >= len(view.Owners) {
			return errors.Wrapf(ErrCheckpoint, "service %q: hot key in partition %d, which is not virtual", part.Name, hot.Partition)
		}
		view.Hot[hot.Hash] = hot.Partition
	}
	for _, down := range part.Down {
		view.Down[down.Backend] = down.At
	}
	for _, slow := range part.Slow {
		view.Slow[slow.Backend] = slow.Keep
	}
	return nil
}

// maxPartial bounds the number of incomplete checkpoints that a Collector keeps.
const maxPartial = 4

type partialKey struct {
	writer entity.InstanceID
	at     entity.Offset
}

// Collector finds complete checkpoints among the records of a stream.
type Collector struct {
	order   []partialKey
	partial map[partialKey]map[uint32]Chunk
}

// NewCollector returns an empty collector.
func NewCollector() *Collector { return &Collector{partial: map[partialKey]map[uint32]Chunk{}} }

// Add adds a chunk. When the chunk completes a checkpoint, Add returns all its chunks and true. Only the most recent incomplete
// checkpoints are kept.
func (c *Collector) Add(writer entity.InstanceID, chunk Chunk) ([]Chunk, bool) {
	key := partialKey{writer: writer, at: chunk.At}
	received, known := c.partial[key]
	if !known {
		received = map[uint32]Chunk{}
		c.partial[key] = received
		c.order = append(c.order, key)
	}
	if len(c.order) > maxPartial {
		delete(c.partial, c.order[0])
		c.order = c.order[1:]
	}
	received[chunk.Index] = chunk
	if uint64(len(received)) < uint64(chunk.Total) {
		return nil, false
	}
	delete(c.partial, key)
	c.order = slices.DeleteFunc(c.order, func(k partialKey) bool { return k == key })
	chunks := make([]Chunk, 0, len(received))
	for _, part := range received {
		chunks = append(chunks, part)
	}
	return chunks, true
}
