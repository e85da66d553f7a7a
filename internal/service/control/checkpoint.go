package control

import (
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// checkpoints writes the state to the log before the log drops the records that led to it.
type checkpoints struct {
	every uint64
	// last is the offset of the newest complete checkpoint read from the log.
	last entity.Offset
	// expected holds, by writer, the index of the chunk that continues the writer's checkpoint.
	expected map[entity.InstanceID]chunkProgress
	// writing holds the chunks of the own checkpoint that are still to be written, in order.
	writing []ownership.Chunk
	state   func() []ownership.Chunk
}

// maxUnfinished bounds the writers with an unfinished checkpoint that are tracked.
const maxUnfinished = 64

type chunkProgress struct {
	at   entity.Offset
	next uint32
}

// observe tracks a chunk read from the log. Each writer appends its chunks in order.
func (c *checkpoints) observe(writer entity.InstanceID, chunk ownership.Chunk) {
	if c.expected == nil || len(c.expected) > maxUnfinished {
		c.expected = map[entity.InstanceID]chunkProgress{}
	}
	progress := c.expected[writer]
	switch {
	case chunk.Index == 0:
		progress = chunkProgress{at: chunk.At, next: 1}
	case progress.at == chunk.At && progress.next == chunk.Index:
		progress.next++
	default:
		return
	}
	c.expected[writer] = progress
	if progress.next == chunk.Total {
		c.last = max(c.last, chunk.At)
		delete(c.expected, writer)
	}
}

func (c *checkpoints) restored(at entity.Offset) { c.last = max(c.last, at) }

// written removes the own chunks up to and including the one that was replayed.
func (c *checkpoints) written(index uint32) {
	for len(c.writing) > 0 && c.writing[0].Index <= index {
		c.writing = c.writing[1:]
	}
}

// next returns the next chunk of the checkpoint in progress, or starts a checkpoint if one is due. Each instance after
// the coordinator in the succession order waits for another tenth of the checkpoint distance.
func (c *checkpoints) next(s *situation) ownership.Record {
	if len(c.writing) > 0 && c.writing[0].At <= c.last {
		c.writing = nil // another instance has written a checkpoint of this or a newer state
	}
	if len(c.writing) == 0 {
		rank, ok := s.ranks.rank(checkpointTask)
		due := c.every + uint64(rank)*(c.every/10+1)
		if !ok || uint64(s.view.Offset-c.last) < due {
			return nil
		}
		c.writing = c.state()
	}
	return ownership.Checkpoint{Chunk: c.writing[0]}
}
