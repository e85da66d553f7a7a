package control

import (
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// checkpoints writes the state to the log before the records that led to it are forgotten there.
type checkpoints struct {
	every uint64
	// last is the offset of the last complete checkpoint seen.
	last entity.Offset
	// expected is the index of the chunk that completes what a writer has written so far.
	expected map[entity.InstanceID]chunkProgress
	// writing are the chunks of the own checkpoint under way, from the next one on.
	writing []ownership.Chunk
	state   func() []ownership.Chunk
}

// maxUnfinished bounds the writers that began a checkpoint and did not finish it.
const maxUnfinished = 64

type chunkProgress struct {
	at   entity.Offset
	next uint32
}

// seen follows the chunks in the log. Each writer appends its chunks in order.
func (c *checkpoints) seen(writer entity.InstanceID, chunk ownership.Chunk) {
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

// written drops the own chunks up to the one that was replayed.
func (c *checkpoints) written(index uint32) {
	for len(c.writing) > 0 && c.writing[0].Index <= index {
		c.writing = c.writing[1:]
	}
}

// next returns the next chunk of the checkpoint under way, or starts one if it is due. Those that follow the coordinator
// wait for a tenth of the distance each.
func (c *checkpoints) next(s *situation) ownership.Record {
	if len(c.writing) > 0 && c.writing[0].At <= c.last {
		c.writing = nil // another instance was faster
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
