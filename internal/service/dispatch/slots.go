package dispatch

import (
	"context"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/backpressure"
	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// minGrace is the shortest time for which a request without a known end occupies its slot. It covers the time until the
// close of a connection reaches the backend, and the scheduling there.
const minGrace = 100 * time.Millisecond

// acquire waits until the flight has a slot. It returns false with the refusal if it gets none; then nothing was sent.
func (q *backendQueue) acquire(ctx context.Context, f *flight) (entity.Outcome, bool) {
	now := q.svc.kernel.Now()
	q.mu.Lock()
	f.queuedAt = now
	if q.drainedAt(f) {
		q.mu.Unlock()
		return entity.NotRun(entity.ReasonFenced, "the partition is being released"), false
	}
	if q.grantAtOnce(f, now) {
		q.mu.Unlock()
		return entity.Outcome{}, true
	}
	q.enqueue(f, now)
	q.mu.Unlock()

	stopTimer := q.svc.kernel.AfterFunc(f.req.Deadline-now, func() {
		q.withdraw(f, entity.NotRun(entity.ReasonDeadline, "the deadline passed in the queue"))
	})
	defer stopTimer()
	select {
	case <-f.ready:
	case <-ctx.Done():
		q.withdraw(f, entity.NotRun(entity.ReasonCanceled, "canceled in the queue"))
		<-f.ready
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return f.refusal, f.state == flightRunning
}

// grantAtOnce grants a slot without queueing if no other flight waits. The caller holds the lock.
func (q *backendQueue) grantAtOnce(f *flight, now time.Duration) bool {
	if q.queue.Len() > 0 || q.next != nil || !q.capacity(now) {
		return false
	}
	if q.svc.treatmentOf(f.suspect, now) != outcome.TreatNormal {
		return false
	}
	if now+q.latency.Floor() > f.req.Deadline {
		return false
	}
	q.grant(f, now)
	return true
}

// enqueue puts the flight into the queue and starts the flights that can start. The caller holds the lock.
func (q *backendQueue) enqueue(f *flight, now time.Duration) {
	f.state = flightQueued
	f.ready = make(chan struct{})
	f.refusal = entity.Outcome{}
	f.ticket = backpressure.Ticket[*flight]{Value: f, Customer: f.req.Customer, Deadline: f.req.Deadline}
	if displaced := q.queue.Push(&f.ticket); displaced != nil {
		q.refuse(displaced.Value, entity.NotRun(entity.ReasonQueueFull, "the queue of the back end is full"))
	}
	q.startQueued(now)
}

// capacity reports whether one more flight may run. The caller holds the lock.
func (q *backendQueue) capacity(now time.Duration) bool {
	if q.alone {
		return false
	}
	ok, wait := q.ramp.Capacity(q.occupied(now), now)
	if !ok && wait > 0 {
		q.wake(wait, now)
	}
	return ok
}

// occupied counts the slots in use and drops the orphans whose deadline has passed. The caller holds the lock.
func (q *backendQueue) occupied(now time.Duration) int {
	n := len(q.running)
	keep := q.orphans[:0]
	for _, e := range q.orphans {
		if now >= e.until {
			continue
		}
		keep = append(keep, e)
		if now < e.slotUntil {
			n++
			q.wake(e.slotUntil-now, now)
		}
	}
	q.orphans = keep
	return n
}

// wake schedules startQueued after d if a flight waits. An earlier pending timer is kept. The caller holds the lock.
func (q *backendQueue) wake(d, now time.Duration) {
	at := now + d
	if q.queue.Len() == 0 && q.next == nil {
		return
	}
	if q.wakeAt > now && q.wakeAt <= at {
		return
	}
	q.wakeAt = at
	q.svc.kernel.AfterFunc(d, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.startQueued(q.svc.kernel.Now())
	})
}

// startQueued grants free slots to queued flights. The caller holds the lock.
func (q *backendQueue) startQueued(now time.Duration) {
	for {
		if q.next != nil {
			q.startNext(now)
			return
		}
		if q.queue.Len() == 0 || !q.capacity(now) {
			return
		}
		ticket := q.queue.Pop(now, q.latency.Floor(), q.refuseLate)
		if ticket == nil {
			return
		}
		q.start(ticket.Value, now)
	}
}

// start runs a flight that was removed from the queue, if the quarantine allows it; otherwise it refuses or delays it. The caller
// holds the lock.
func (q *backendQueue) start(f *flight, now time.Duration) {
	switch q.svc.treatmentOf(f.suspect, now) {
	case outcome.TreatQuarantined:
		q.refuse(f, quarantined())
	case outcome.TreatAlone:
		f.state = flightNext
		q.next = f
	default:
		q.grant(f, now)
		close(f.ready)
	}
}

// startNext runs the waiting suspect if no other request runs. The caller holds the lock.
func (q *backendQueue) startNext(now time.Duration) {
	f := q.next
	if q.occupied(now) > 0 || !q.capacity(now) {
		return
	}
	q.next = nil
	f.alone = true
	q.alone = true
	q.grant(f, now)
	close(f.ready)
}

func quarantined() entity.Outcome {
	return entity.NotRun(entity.ReasonQuarantined, "the request crashed back ends and is held back")
}

// grant assigns a slot to the flight. The caller holds the lock.
func (q *backendQueue) grant(f *flight, now time.Duration) {
	f.state = flightRunning
	f.grantedAt = now
	f.sentAt = 0
	f.answeredAt = 0
	f.until = min(f.req.Deadline, now+f.maxRun)
	f.generation = q.ramp.Generation()
	q.running[f] = struct{}{}
	q.svc.meters.granted(now - f.queuedAt)
}

func (q *backendQueue) refuseLate(t *backpressure.Ticket[*flight]) {
	q.refuse(t.Value, entity.NotRun(entity.ReasonDeadline, "the deadline cannot be met"))
}

// refuse ends the wait of a flight that was removed from the queue. The caller holds the lock.
func (q *backendQueue) refuse(f *flight, o entity.Outcome) {
	f.state = flightIdle
	f.refusal = o
	close(f.ready)
}

// withdraw removes a waiting flight from the queue. A flight that was granted its slot in the meantime keeps it.
func (q *backendQueue) withdraw(f *flight, o entity.Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch f.state {
	case flightQueued:
		q.queue.Remove(&f.ticket)
		q.refuse(f, o)
	case flightNext:
		q.next = nil
		q.refuse(f, o)
		q.startQueued(q.svc.kernel.Now())
	default:
	}
}

// refuseIf refuses the waiting flights for which drop is true. The caller holds the lock.
func (q *backendQueue) refuseIf(drop func(*flight) bool, o entity.Outcome) {
	for _, t := range q.queue.RemoveIf(drop) {
		q.refuse(t.Value, o)
	}
	if q.next != nil && drop(q.next) {
		f := q.next
		q.next = nil
		q.refuse(f, o)
	}
}

// freeSlot frees the flight's slot. A request that may still run on the backend keeps its slot for twice the time that a
// request usually takes, so that the backend does not get more requests than it has slots; keeping the slot until the
// deadline would let callers that cancel block the backend. The backend counts the remaining time from the arrival of the
// request, so its end comes later than the deadline by the network delay. The caller holds the lock.
func (q *backendQueue) freeSlot(f *flight, endKnown bool, now time.Duration) {
	delete(q.running, f)
	f.state = flightIdle
	if f.alone {
		f.alone = false
		q.alone = false
	}
	if until := f.until + minGrace; !endKnown && now < until {
		grace := max(2*q.latency.Baseline(), minGrace)
		q.orphans = append(q.orphans, orphan{
			partition: f.partition,
			epoch:     f.req.Epoch,
			hash:      f.hash,
			suspect:   f.suspect,
			startID:   q.startID,
			slotUntil: min(now+grace, until),
			until:     until,
		})
	}
	q.checkDrains(now)
	q.startQueued(now)
}
