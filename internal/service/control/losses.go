package control

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/decide/placement"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// backendLosses records immediately which backends are down or up again, and moves the partitions of those that are
// down.
type backendLosses struct {
	logger *zap.Logger
	// reported maps backends to whether the last report declared them lost.
	reported map[entity.BackendID]bool
}

func newBackendLosses(logger *zap.Logger) *backendLosses {
	return &backendLosses{logger: logger, reported: map[entity.BackendID]bool{}}
}

func (l *backendLosses) lost(id entity.BackendID) {
	l.reported[id] = true
	telemetry.EventControlBackendLost.Log(l.logger, zap.String("backend", string(id)))
}

func (l *backendLosses) recovered(id entity.BackendID) {
	l.reported[id] = false
	telemetry.EventControlBackendRecovered.Log(l.logger, zap.String("backend", string(id)))
}

func (l *backendLosses) next(s *situation) ownership.Record {
	if len(l.reported) == 0 || !s.config.known {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(l.reported)) {
		backend, configured := s.config.backends[id]
		view := s.view.Services[backend.service]
		if !configured {
			delete(l.reported, id)
			continue
		}
		if view == nil {
			continue // before the first assignment there is no state to record it in
		}
		if _, down := view.Down[id]; down == l.reported[id] {
			delete(l.reported, id)
			continue
		}
		return l.record(s, id, backend.service, view)
	}
	return nil
}

func (l *backendLosses) record(
	s *situation, id entity.BackendID, name entity.ServiceName, view *ownership.ServiceView,
) ownership.Record {
	move := ownership.Move{Service: name, Version: view.Version, Count: view.Count}
	if !l.reported[id] {
		move.Up = []entity.BackendID{id}
		return move
	}
	move.Down = []entity.BackendID{id}
	input := placementInput(s, name, view)
	for i := range input.Backends {
		if input.Backends[i].ID == id {
			input.Backends[i].State = placement.Lost
		}
	}
	for _, m := range placement.Propose(input, placement.DefaultSettings()) {
		if m.Reason == placement.ReasonLost || m.Reason == placement.ReasonRedirect {
			move.Steps = append(move.Steps, ownership.MoveStep{Partition: m.Partition, To: m.To})
		}
	}
	move.Steps = limitSteps(move.Steps)
	return move
}

// maxStepsBytes bounds the encoded size of the steps of a Move, well below the largest record.
const maxStepsBytes = 48 << 10

// stepBytes is an upper bound of the encoded size of a step without the name of its backend.
const stepBytes = 16

// limitSteps returns the leading steps that fit into one record. The remaining ones are proposed again for the next
// record.
func limitSteps(steps []ownership.MoveStep) []ownership.MoveStep {
	size := 0
	for i, step := range steps {
		size += stepBytes + len(step.To)
		if size > maxStepsBytes {
			return steps[:i]
		}
	}
	return steps
}
