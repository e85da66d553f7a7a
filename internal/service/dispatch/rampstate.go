package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

const (
	// warmthAge is how long a measurement of a former primary counts. A handover takes a few hundred milliseconds; a back
	// end that has served nobody for longer may have cooled down.
	warmthAge = 2 * time.Second
	// warmthTimeout bounds the calls before a handover, which keep the back end without service.
	warmthTimeout = 50 * time.Millisecond
)

// warmths keeps what former primaries have measured of back ends that they handed over.
type warmths struct {
	mu   sync.Mutex
	kept map[entity.BackendID]keptWarmth
}

type keptWarmth struct {
	service.RampState

	at time.Duration
}

func (w *warmths) keep(m service.RampState, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.kept == nil {
		w.kept = map[entity.BackendID]keptWarmth{}
	}
	for id, old := range w.kept {
		if now-old.at > warmthAge {
			delete(w.kept, id)
		}
	}
	w.kept[m.Backend] = keptWarmth{m, now}
}

// limit returns the measured limit of a back end's process, zero if none is known that still counts.
func (w *warmths) limit(id entity.BackendID, startID string, now time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	m, ok := w.kept[id]
	if !ok || startID == "" || m.StartID != startID || now-m.at > warmthAge {
		return 0
	}
	return m.Limit
}

// StoreRampState implements service.RampStateStore.
func (s *Service) StoreRampState(m service.RampState) { s.warmths.keep(m, s.kernel.Now()) }

// resumeRamp takes over what the former primary has measured, if it handed the back end over and the process is the same. The
// caller holds the lock.
func (l *backendQueue) resumeRamp(now time.Duration) {
	l.ramp.Resume(l.svc.warmths.limit(l.id, l.startID, now))
}

// sendWarmth tells the other members of the lease group how warm the back end is, since one of them is its next primary.
func (l *backendQueue) sendWarmth(ctx context.Context) {
	l.mu.Lock()
	m := service.RampState{Backend: l.id, StartID: l.startID, Limit: l.ramp.Limit()}
	l.mu.Unlock()
	p := l.svc.plan.Load()
	if p == nil || m.StartID == "" || m.Limit <= 1 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, warmthTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, member := range p.peers {
		// A lost message costs only a new ramp.
		calls.Go(func() { _ = l.svc.warmthSender.SendRampState(ctx, member.Address, m) })
	}
	calls.Wait()
}
