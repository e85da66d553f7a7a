package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

const (
	// rampStateMaxAge is how long a measurement of the previous primary is valid. A handover takes a few hundred
	// milliseconds; a backend that has served no request for longer than this may have become cold.
	rampStateMaxAge = 2 * time.Second
	// rampStateTimeout bounds the calls before a handover, because the backend serves no requests during them.
	rampStateTimeout = 50 * time.Millisecond
)

// rampStates stores the concurrency limits that previous primaries measured for backends that they handed over.
type rampStates struct {
	mu     sync.Mutex
	states map[entity.BackendID]storedRampState
}

type storedRampState struct {
	service.RampState

	at time.Duration
}

func (s *rampStates) store(m service.RampState, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.states == nil {
		s.states = map[entity.BackendID]storedRampState{}
	}
	for id, old := range s.states {
		if now-old.at > rampStateMaxAge {
			delete(s.states, id)
		}
	}
	s.states[m.Backend] = storedRampState{m, now}
}

// limit returns the measured concurrency limit of a backend's process, zero if there is no valid one.
func (s *rampStates) limit(id entity.BackendID, startID string, now time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.states[id]
	if !ok || startID == "" || m.StartID != startID || now-m.at > rampStateMaxAge {
		return 0
	}
	return m.Limit
}

// StoreRampState implements service.RampStateStore.
func (s *Service) StoreRampState(m service.RampState) { s.rampStates.store(m, s.kernel.Now()) }

// resumeRamp continues from the limit that the previous primary measured, if that primary handed the backend over and the
// process is the same. The caller holds the lock.
func (q *backendQueue) resumeRamp(now time.Duration) {
	q.ramp.Resume(q.svc.rampStates.limit(q.id, q.startID, now))
}

// sendRampState sends the measured limit to the other members of the lease group, since one of them is the backend's next
// primary.
func (q *backendQueue) sendRampState(ctx context.Context) {
	q.mu.Lock()
	m := service.RampState{Backend: q.id, StartID: q.startID, Limit: q.ramp.Limit()}
	q.mu.Unlock()
	p := q.svc.plan.Load()
	if p == nil || m.StartID == "" || m.Limit <= 1 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rampStateTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, member := range p.peers {
		// If the message is lost, the next primary only starts a new ramp.
		calls.Go(func() { _ = q.svc.rampStateSender.SendRampState(ctx, member.Address, m) })
	}
	calls.Wait()
}
