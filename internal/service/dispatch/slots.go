package dispatch

import (
	"context"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/backpressure"
	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// minGrace is the shortest time for which a request without a known end keeps its slot. It covers the way of a closed
// connection to the back end and the scheduling there.
const minGrace = 100 * time.Millisecond

// acquire waits until the flight has a slot. It reports false with the refusal if it gets none; then nothing was sent.
func (l *backendQueue) acquire(ctx context.Context, f *flight) (entity.Outcome, bool) {
	now := l.svc.kernel.Now()
	l.mu.Lock()
	f.queuedAt = now
	if l.drainedAt(f) {
		l.mu.Unlock()
		return entity.NotRun(entity.ReasonFenced, "the partition is being released"), false
	}
	if l.grantAtOnce(f, now) {
		l.mu.Unlock()
		return entity.Outcome{}, true
	}
	l.enqueue(f, now)
	l.mu.Unlock()

	stopTimer := l.svc.kernel.AfterFunc(f.req.Deadline-now, func() {
		l.withdraw(f, entity.NotRun(entity.ReasonDeadline, "the deadline passed in the queue"))
	})
	defer stopTimer()
	select {
	case <-f.ready:
	case <-ctx.Done():
		l.withdraw(f, entity.NotRun(entity.ReasonCanceled, "canceled in the queue"))
		<-f.ready
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return f.refusal, f.state == flightRunning
}

// grantAtOnce gives a slot without queueing if nobody waits. The caller holds the lock.
func (l *backendQueue) grantAtOnce(f *flight, now time.Duration) bool {
	if l.queue.Len() > 0 || l.next != nil || !l.capacity(now) {
		return false
	}
	if l.svc.treat(f.suspect, now) != outcome.TreatNormal {
		return false
	}
	if now+l.latency.Floor() > f.req.Deadline {
		return false
	}
	l.grant(f, now)
	return true
}

// enqueue puts the flight into the queue and starts what can start. The caller holds the lock.
func (l *backendQueue) enqueue(f *flight, now time.Duration) {
	f.state = flightQueued
	f.ready = make(chan struct{})
	f.refusal = entity.Outcome{}
	f.ticket = backpressure.Ticket[*flight]{Value: f, Customer: f.req.Customer, Deadline: f.req.Deadline}
	if displaced := l.queue.Push(&f.ticket); displaced != nil {
		l.refuse(displaced.Value, entity.NotRun(entity.ReasonQueueFull, "the queue of the back end is full"))
	}
	l.pump(now)
}

// capacity reports whether one more flight may run. The caller holds the lock.
func (l *backendQueue) capacity(now time.Duration) bool {
	if l.alone {
		return false
	}
	ok, wait := l.ramp.Capacity(l.occupied(now), now)
	if !ok && wait > 0 {
		l.wake(wait, now)
	}
	return ok
}

// occupied counts the slots in use and drops the orphaned requests whose deadline has passed. The caller holds the lock.
func (l *backendQueue) occupied(now time.Duration) int {
	n := len(l.running)
	keep := l.orphans[:0]
	for _, e := range l.orphans {
		if now >= e.until {
			continue
		}
		keep = append(keep, e)
		if now < e.heldTill {
			n++
			l.wake(e.heldTill-now, now)
		}
	}
	l.orphans = keep
	return n
}

// wake starts what can start after d, if anybody waits. The earliest timer counts. The caller holds the lock.
func (l *backendQueue) wake(d, now time.Duration) {
	at := now + d
	if l.queue.Len() == 0 && l.next == nil {
		return
	}
	if l.wakeAt > now && l.wakeAt <= at {
		return
	}
	l.wakeAt = at
	l.svc.kernel.AfterFunc(d, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.pump(l.svc.kernel.Now())
	})
}

// pump gives free slots to queued flights. The caller holds the lock.
func (l *backendQueue) pump(now time.Duration) {
	for {
		if l.next != nil {
			l.startNext(now)
			return
		}
		if l.queue.Len() == 0 || !l.capacity(now) {
			return
		}
		ticket := l.queue.Pop(now, l.latency.Floor(), l.refuseLate)
		if ticket == nil {
			return
		}
		l.start(ticket.Value, now)
	}
}

// start runs a flight that left the queue, as the quarantine demands. The caller holds the lock.
func (l *backendQueue) start(f *flight, now time.Duration) {
	switch l.svc.treat(f.suspect, now) {
	case outcome.TreatHeld:
		l.refuse(f, heldBack())
	case outcome.TreatAlone:
		f.state = flightNext
		l.next = f
	default:
		l.grant(f, now)
		close(f.ready)
	}
}

// startNext runs the suspect once nothing else runs. The caller holds the lock.
func (l *backendQueue) startNext(now time.Duration) {
	f := l.next
	if l.occupied(now) > 0 || !l.capacity(now) {
		return
	}
	l.next = nil
	f.alone = true
	l.alone = true
	l.grant(f, now)
	close(f.ready)
}

func heldBack() entity.Outcome {
	return entity.NotRun(entity.ReasonQuarantined, "the request crashed back ends and is held back")
}

// grant gives the flight a slot. The caller holds the lock.
func (l *backendQueue) grant(f *flight, now time.Duration) {
	f.state = flightRunning
	f.grantedAt = now
	f.sentAt = 0
	f.answeredAt = 0
	f.until = min(f.req.Deadline, now+f.maxRun)
	f.generation = l.ramp.Generation()
	l.running[f] = struct{}{}
	l.svc.meters.granted(now - f.queuedAt)
}

func (l *backendQueue) refuseLate(t *backpressure.Ticket[*flight]) {
	l.refuse(t.Value, entity.NotRun(entity.ReasonDeadline, "the deadline cannot be met"))
}

// refuse ends the wait of a flight that is out of the queue. The caller holds the lock.
func (l *backendQueue) refuse(f *flight, o entity.Outcome) {
	f.state = flightIdle
	f.refusal = o
	close(f.ready)
}

// withdraw takes a waiting flight out of the queue. A flight that has got its slot meanwhile keeps it.
func (l *backendQueue) withdraw(f *flight, o entity.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch f.state {
	case flightQueued:
		l.queue.Remove(&f.ticket)
		l.refuse(f, o)
	case flightNext:
		l.next = nil
		l.refuse(f, o)
		l.pump(l.svc.kernel.Now())
	default:
	}
}

// refuseIf refuses the waiting flights for which drop is true. The caller holds the lock.
func (l *backendQueue) refuseIf(drop func(*flight) bool, o entity.Outcome) {
	for _, t := range l.queue.RemoveIf(drop) {
		l.refuse(t.Value, o)
	}
	if l.next != nil && drop(l.next) {
		f := l.next
		l.next = nil
		l.refuse(f, o)
	}
}

// vacate frees the flight's slot. A request that may still run on the back end keeps it for the time that a request
// usually takes, so that the back end is not given more than its slots; holding it until the deadline would let
// callers that cancel block the back end. The back end counts the remaining time from the arrival of the request, so its
// end lags behind the deadline by the way there. The caller holds the lock.
func (l *backendQueue) vacate(f *flight, endKnown bool, now time.Duration) {
	delete(l.running, f)
	f.state = flightIdle
	if f.alone {
		f.alone = false
		l.alone = false
	}
	if until := f.until + minGrace; !endKnown && now < until {
		grace := max(2*l.latency.Baseline(), minGrace)
		l.orphans = append(l.orphans, orphan{
			part:     f.part,
			epoch:    f.req.Epoch,
			hash:     f.hash,
			suspect:  f.suspect,
			startID:  l.startID,
			heldTill: min(now+grace, until),
			until:    until,
		})
	}
	l.checkDrains(now)
	l.pump(now)
}
