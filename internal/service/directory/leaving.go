package directory

import (
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// rememberLeaving is how long a backend process that has terminated, or that was never listed, is remembered as leaving. A delayed
// record, or one that the store returns after it was removed, may still show the process as ready.
const rememberLeaving = 10 * time.Minute

// leavingProcess is a backend process that is known to be leaving.
type leavingProcess struct {
	lastActiveAt time.Duration // see catalog.Backend
	reportedAt   time.Duration // when this was last reported
}

// leavingProcesses contains the backend processes that are known to be leaving, from their records or from their answers, by
// keyrange.Holder.Hash. Leaving is final for a process.
type leavingProcesses map[uint64]leavingProcess

// record records that a process is leaving and was still active at lastActiveAt. It reports whether this is news.
func (l leavingProcesses) record(process uint64, lastActiveAt, now time.Duration) bool {
	old, known := l[process]
	if !known {
		l.forgetOld(now)
	}
	next := leavingProcess{lastActiveAt: lastActiveAt, reportedAt: now}
	if known {
		// Records and answers report it at different times; the earliest one counts.
		next.lastActiveAt = min(old.lastActiveAt, lastActiveAt)
	}
	l[process] = next
	return !known || next.lastActiveAt != old.lastActiveAt
}

// since returns the time at which a leaving process was still active, and whether the process is leaving.
func (l leavingProcesses) since(process uint64) (time.Duration, bool) {
	p, known := l[process]
	return p.lastActiveAt, known
}

func (l leavingProcesses) forgetOld(now time.Duration) {
	for process, p := range l {
		if now-p.reportedAt > rememberLeaving {
			delete(l, process)
		}
	}
}

func processHash(b *catalog.Backend) uint64 {
	return keyrange.Holder{ID: b.ID, Incarnation: b.Incarnation}.Hash()
}

// backendsLeaving applies what backends have stated in answers, whatever their records say.
func (s *Service) backendsLeaving(t *kernel.Turn, m service.BackendsLeaving) {
	changed := map[uint64]bool{}
	for _, process := range m.Processes {
		if s.leaving.record(process, m.At, t.Now()) {
			changed[process] = true
		}
	}
	if len(changed) == 0 {
		return
	}
	applied := false
	for id, b := range s.backends {
		process := processHash(b)
		if !changed[process] {
			continue
		}
		next := *b
		next.LastActiveAt, next.Draining = s.leaving.since(process)
		s.backends[id] = &next
		applied = true
		if !b.Draining {
			telemetry.EventBackendLeaving.Log(s.log, zap.String("backend", string(id)), zap.String("service", string(b.Service)),
				zap.Int64("born", b.Incarnation))
		}
	}
	if applied {
		s.publish(t)
	}
}
