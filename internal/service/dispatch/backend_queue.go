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

// backendQueue is the traffic state of one backend at its primary. Its lock is held only for computation, never for I/O.
//
// Invariants under the lock: len(running) plus the orphans that occupy a slot never grows beyond the ramp's limit; while
// alone is set, at most one flight runs; open counts the requests between admission and the end of their answer.
type backendQueue struct {
	svc     *Service
	id      entity.BackendID
	service entity.ServiceName

	mu            sync.Mutex
	target        backend.Target
	rule          backendRule
	reportedSlots int // zero if the backend does not report them
	term          entity.Term
	heldAt        time.Duration // when this instance was last seen to hold the lease
	startID       string

	ramp    backpressure.Ramp
	latency *backpressure.Latency
	retries backpressure.RetryBudget
	queue   *backpressure.Queue[*flight]
	hot     *backpressure.HotKeys
	count   uint64 // requests in the current window

	running  map[*flight]struct{}
	orphans  []orphan
	next     *flight // suspect waiting until it can run alone
	alone    bool
	wakeAt   time.Duration // of the pending timer, zero if there is none
	open     int
	buffered int64 // bytes of request bodies
	stopped  bool
	idle     chan struct{} // closed when stopped and open is zero

	memory      *outcome.Memory
	evidence    outcome.Evidence
	collections map[outcome.PartitionKey]*collection
	outbox      []outcome.Record // records that are copied to a peer in the background
	copying     bool
	repairAt    time.Duration // when all records are copied to a member again, zero if that is not planned
	peer        atomic.Int32  // index of the peer that accepted the last copy

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

// setRule applies the backend's configuration. The caller holds the lock.
func (q *backendQueue) setRule(rule backendRule) {
	q.rule = rule
	q.target = rule.target
	q.applySlots()
}

// applySlots sets the smaller of the configured and the reported slots. The caller holds the lock.
func (q *backendQueue) applySlots() {
	slots := q.rule.slots
	if q.reportedSlots > 0 {
		slots = min(slots, q.reportedSlots)
	}
	q.ramp.SetSlots(slots, q.rule.maxConnections)
}

// setTerm records that this instance holds the lease. A new primary does not know the backend's load, so it starts with one
// request at a time. The caller holds the lock.
func (q *backendQueue) setTerm(term entity.Term, now time.Duration) {
	q.heldAt = now
	if term <= q.term {
		return
	}
	q.term = term
	q.memory.SetTerm(term)
	q.resetRamp(backpressure.CauseRestart, now)
	q.resumeRamp(now)
	telemetry.EventPrimary.Log(q.svc.log, zap.String("backend", string(q.id)), zap.Uint64("term", uint64(term)))
}

// memoryExpired reports whether the queue's idempotency memory is too old to be needed.
func (q *backendQueue) memoryExpired(now time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.open == 0 && now-q.heldAt > q.svc.settings.MemoryWindow
}

// resetRamp returns the concurrency limit to one. The caller holds the lock.
func (q *backendQueue) resetRamp(cause backpressure.Cause, now time.Duration) {
	if q.ramp.Limit() > 1 {
		telemetry.EventBackendCold.Log(q.svc.log,
			zap.String("backend", string(q.id)), zap.Stringer("cause", cause))
	}
	q.ramp.Reset(cause, now)
	q.svc.meters.cold(cause)
}

// observeStartID compares the start id with the last one seen. A change proves that the backend's process has terminated.
// The caller holds the lock.
func (q *backendQueue) observeStartID(id string, now time.Duration) {
	if id == "" || id == q.startID {
		return
	}
	known := q.startID != ""
	q.startID = id
	if !known {
		q.resumeRamp(now)
		return
	}
	q.resetRamp(backpressure.CauseRestart, now)
	blamed, ok := q.evidence.ProcessChanged(now)
	if ok {
		q.svc.blame(q, blamed, now)
	}
}

// stop refuses new requests and returns a channel that is closed when the last admitted request has ended.
func (q *backendQueue) stop() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.stopped {
		q.stopped = true
		q.closeIfIdle()
	}
	return q.idle
}

// resume accepts requests again after a stop, unless the whole service is stopping.
func (q *backendQueue) resume() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stopped && !q.svc.stopping.Load() {
		q.stopped = false
		q.idle = make(chan struct{})
	}
}

// admit counts a new request. It returns a refusal while the queue is stopped or buffers too many bytes of bodies.
func (q *backendQueue) admit(f *flight) (entity.Outcome, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.stopped {
		return entity.NotRun(entity.ReasonStopping, ""), false
	}
	size := int64(len(f.body))
	if q.buffered+size > q.svc.settings.BufferLimit {
		return entity.NotRun(entity.ReasonQueueFull, "too many bytes of request bodies are waiting"), false
	}
	q.buffered += size
	q.open++
	q.count++
	q.retries.Request()
	q.hot.Add(f.partition.Service, f.hash)
	return entity.Outcome{}, true
}

// leave removes a request from the counts of open requests and buffered bytes.
func (q *backendQueue) leave(f *flight) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leaveLocked(f)
}

func (q *backendQueue) leaveLocked(f *flight) {
	q.buffered -= int64(len(f.body))
	q.open--
	q.closeIfIdle()
}

func (q *backendQueue) closeIfIdle() {
	if q.stopped && q.open == 0 {
		close(q.idle)
	}
}
