package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/decide/backpressure"
	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// backendQueue is the traffic state of one back end at its primary. Its lock is held only for computation, never for I/O.
//
// Invariants under the lock: len(running) plus the orphaned requests that hold a slot never grows beyond the ramp's limit; while
// alone is set, at most one flight runs; open counts the requests between admission and the end of their answer.
type backendQueue struct {
	svc     *Service
	id      entity.BackendID
	service entity.ServiceName

	mu            sync.Mutex
	target        backend.Target
	rule          backendRule
	reportedSlots int // zero if the back end does not say
	term          entity.Term
	heldAt        time.Duration // when the lease was last seen held
	startID       string

	ramp    backpressure.Ramp
	latency *backpressure.Latency
	retries backpressure.RetryBudget
	queue   *backpressure.Queue[*flight]
	hot     *backpressure.HotKeys
	count   uint64 // requests of the current window

	running  map[*flight]struct{}
	orphans  []orphan
	next     *flight // suspect that waits until it can run alone
	alone    bool
	wakeAt   time.Duration // of the pending timer, zero if none
	open     int
	buffered int64 // bytes of request bodies
	stopped  bool
	idle     chan struct{} // closed when stopped and open is zero

	memory      *outcome.Memory
	evidence    outcome.Evidence
	collections map[outcome.PartitionKey]*collection
	outbox      []outcome.Record // records to copy to a peer in the background
	copying     bool
	repairAt    time.Duration // when all records are given to a member again, zero if that is not planned
	peer        atomic.Int32  // index of the peer that took the last copy

	drained map[outcome.PartitionKey]entity.Epoch // nothing is sent up to these epochs
	drains  []*pendingDrain
}

func newBackendQueue(s *Service, id entity.BackendID, rule backendRule, svc serviceRule, now time.Duration) *backendQueue {
	return &backendQueue{
		svc:         s,
		id:          id,
		service:     rule.service,
		target:      rule.target,
		rule:        rule,
		ramp:        backpressure.NewRamp(rule.slots, rule.maxConnections),
		latency:     backpressure.NewLatency(now),
		queue:       backpressure.NewQueue[*flight](s.settings.QueueLimit),
		hot:         backpressure.NewHotKeys(),
		running:     map[*flight]struct{}{},
		idle:        make(chan struct{}),
		collections: map[outcome.PartitionKey]*collection{},
		drained:     map[outcome.PartitionKey]entity.Epoch{},
		memory: outcome.NewMemory(outcome.Limits{
			Window:      svc.window,
			Entries:     s.settings.MemoryEntries,
			AnswerBytes: s.settings.MemoryAnswerBytes,
		}),
	}
}

// setRule applies the configuration. The caller holds the lock.
func (l *backendQueue) setRule(rule backendRule) {
	l.rule = rule
	l.target = rule.target
	l.applySlots()
}

// applySlots takes the smaller of the configured and the reported slots. The caller holds the lock.
func (l *backendQueue) applySlots() {
	slots := l.rule.slots
	if l.reportedSlots > 0 {
		slots = min(slots, l.reportedSlots)
	}
	l.ramp.SetSlots(slots, l.rule.maxConnections)
}

// setTerm notes that the lease is held. A new primary knows nothing of the back end's load, so it begins with one request
// at a time. The caller holds the lock.
func (l *backendQueue) setTerm(term entity.Term, now time.Duration) {
	l.heldAt = now
	if term <= l.term {
		return
	}
	l.term = term
	l.memory.SetTerm(term)
	l.cold(backpressure.CauseRestart, now)
	l.resumeRamp(now)
	telemetry.EventPrimary.Log(l.svc.log, zap.String("backend", string(l.id)), zap.Uint64("term", uint64(term)))
}

// forgotten reports whether the queue's memory is too old to be asked for.
func (l *backendQueue) forgotten(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open == 0 && now-l.heldAt > l.svc.settings.MemoryWindow
}

// cold returns the ramp to one. The caller holds the lock.
func (l *backendQueue) cold(cause backpressure.Cause, now time.Duration) {
	if l.ramp.Limit() > 1 {
		telemetry.EventBackendCold.Log(l.svc.log,
			zap.String("backend", string(l.id)), zap.Stringer("cause", cause))
	}
	l.ramp.Reset(cause, now)
	l.svc.meters.cold(cause)
}

// sawStartID compares the start id with the last one seen. A change proves that the back end's process ended. The caller
// holds the lock.
func (l *backendQueue) sawStartID(id string, now time.Duration) {
	if id == "" || id == l.startID {
		return
	}
	known := l.startID != ""
	l.startID = id
	if !known {
		l.resumeRamp(now)
		return
	}
	l.cold(backpressure.CauseRestart, now)
	blamed, ok := l.evidence.ProcessChanged(now)
	if ok {
		l.svc.blame(l, blamed, now)
	}
}

// stop refuses new requests and returns a channel that is closed when the last admitted one has ended.
func (l *backendQueue) stop() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped {
		l.stopped = true
		l.closeIfIdle()
	}
	return l.idle
}

// resume takes requests again after a stop, unless the whole service stops.
func (l *backendQueue) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped && !l.svc.stopping.Load() {
		l.stopped = false
		l.idle = make(chan struct{})
	}
}

// admit counts a request in. It fails while the queue stops or holds too many bytes of bodies.
func (l *backendQueue) admit(f *flight) (entity.Outcome, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return entity.NotRun(entity.ReasonStopping, ""), false
	}
	size := int64(len(f.body))
	if l.buffered+size > l.svc.settings.BufferLimit {
		return entity.NotRun(entity.ReasonQueueFull, "too many bytes of request bodies are waiting"), false
	}
	l.buffered += size
	l.open++
	l.count++
	l.retries.Request()
	l.hot.Add(f.part.Service, f.hash)
	return entity.Outcome{}, true
}

// leave counts a request out.
func (l *backendQueue) leave(f *flight) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaveLocked(f)
}

func (l *backendQueue) leaveLocked(f *flight) {
	l.buffered -= int64(len(f.body))
	l.open--
	l.closeIfIdle()
}

func (l *backendQueue) closeIfIdle() {
	if l.stopped && l.open == 0 {
		close(l.idle)
	}
}
