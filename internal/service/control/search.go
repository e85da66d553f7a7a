package control

import (
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/records"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// gap starts the search for a checkpoint at the oldest record that the log still has.
func (s *Service) gap(oldest entity.Offset) {
	if !s.reader.searching {
		telemetry.EventControlGap.Log(s.logger,
			zap.Uint64("next", uint64(s.state.Next())), zap.Uint64("oldest", uint64(oldest)))
	}
	s.reader.searching = true
	s.reader.scan = oldest
	s.reader.collector = ownership.NewCollector()
}

// search reads records until a complete checkpoint is found whose following records are still in the log. The state
// keeps its old value until then.
func (s *Service) search(turn *kernel.Turn, batch platformapi.Batch) {
	for _, record := range batch.Records {
		s.reader.scan = record.Offset + 1
		decoded, err := records.Decode(record.Payload)
		checkpoint, ok := decoded.(ownership.Checkpoint)
		if err != nil || !ok || checkpoint.Chunk.At < batch.First {
			continue
		}
		chunks, complete := s.reader.collector.Add(entity.InstanceID(record.Writer), checkpoint.Chunk)
		if complete && s.restore(turn, chunks) {
			s.checkpoints.restored(checkpoint.Chunk.At)
			return
		}
	}
}

// restore replaces the state by a checkpoint that is not older than it, and reports whether it did.
func (s *Service) restore(turn *kernel.Turn, chunks []ownership.Chunk) bool {
	state, err := ownership.Restore(chunks)
	if err != nil {
		telemetry.EventControlStateRefused.Log(s.logger, zap.Error(err))
		return false
	}
	if state.Next() < s.state.Next() {
		return false
	}
	s.state = state
	s.reader.searching = false
	s.reader.recent.reset()
	s.finishReplayed()
	telemetry.EventControlRestored.Log(s.logger, zap.Uint64("offset", uint64(state.Next())))
	s.publish(turn)
	return true
}
