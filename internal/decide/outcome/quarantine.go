package outcome

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

const (
	// QuarantineTime is how long a request that crashed backends is quarantined, and how long a suspicion lasts.
	QuarantineTime = 10 * time.Minute
	// blamesToQuarantine is the number of blamed crashes after which a request is quarantined.
	blamesToQuarantine = 2
	// maxMarks bounds the number of marked requests. Suspicions are dropped first. A crash marks as many requests as were in
	// flight, so crashes alone do not reach the bound.
	maxMarks = 4096
	// crashSpread is the time within which all connections of a crashed backend are lost.
	crashSpread = time.Second
	// blameWindow is how long requests with lost connections are kept until a changed start id proves a crash.
	blameWindow = 30 * time.Second
)

// Suspect identifies a request by its fingerprint. The customer is part of the identity, so that a customer's request cannot be
// quarantined because its fingerprint collides with that of another customer.
type Suspect struct {
	Customer    entity.CustomerID
	Fingerprint uint64
}

// Treatment is the way in which a request may be sent.
type Treatment uint8

const (
	// TreatNormal means that the request may run concurrently with others.
	TreatNormal Treatment = iota
	// TreatAlone means that the request is suspected of a crash and must run alone on its backend.
	TreatAlone
	// TreatQuarantined means that the request is quarantined and must not be sent.
	TreatQuarantined
)

type mark struct {
	blames int
	until  time.Duration
}

// Quarantine records which requests are suspected of crashing backends or blamed for crashes. It is not safe for concurrent use.
type Quarantine struct{ marks map[Suspect]mark }

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine { return &Quarantine{marks: map[Suspect]mark{}} }

// Treat returns how a request may be sent.
func (q *Quarantine) Treat(s Suspect, now time.Duration) Treatment {
	m, ok := q.marks[s]
	switch {
	case !ok:
		return TreatNormal
	case now >= m.until:
		delete(q.marks, s)
		return TreatNormal
	case m.blames >= blamesToQuarantine:
		return TreatQuarantined
	default:
		return TreatAlone
	}
}

// Suspect marks a request as suspected of a crash. It runs alone from now on.
func (q *Quarantine) Suspect(s Suspect, now time.Duration) { q.add(s, 0, now) }

// Blame counts a crash against a request.
func (q *Quarantine) Blame(s Suspect, now time.Duration) { q.add(s, 1, now) }

func (q *Quarantine) add(s Suspect, blames int, now time.Duration) {
	if _, ok := q.marks[s]; !ok && len(q.marks) >= maxMarks {
		q.evictMarks(now)
	}
	m := q.marks[s]
	if now >= m.until {
		m.blames = 0
	}
	m.blames += blames
	m.until = now + QuarantineTime
	q.marks[s] = m
}

// evictMarks drops expired marks and, if that is not enough, all marks without a blamed crash.
func (q *Quarantine) evictMarks(now time.Duration) {
	for s, m := range q.marks {
		if now >= m.until {
			delete(q.marks, s)
		}
	}
	if len(q.marks) < maxMarks {
		return
	}
	for s, m := range q.marks {
		if m.blames == 0 {
			delete(q.marks, s)
		}
	}
}

// Clear removes the mark of a request that was answered, since it does not crash every backend that runs it.
func (q *Quarantine) Clear(s Suspect) { delete(q.marks, s) }

// Empty reports whether no request is marked.
func (q *Quarantine) Empty() bool { return len(q.marks) == 0 }

// Evidence collects the requests whose connection to one backend was lost, until a changed start id proves a crash.
type Evidence struct{ broken []brokenRequest }

type brokenRequest struct {
	suspect      Suspect
	at           time.Duration
	otherRunning int
}

// RecordBroken records a request whose connection was lost. otherRunning is the number of other requests that may still have been
// running at the backend without a connection.
func (e *Evidence) RecordBroken(s Suspect, otherRunning int, now time.Duration) {
	e.expire(now)
	if len(e.broken) < maxMarks {
		e.broken = append(e.broken, brokenRequest{s, now, otherRunning})
	}
}

func (e *Evidence) expire(now time.Duration) {
	recent := e.broken[:0]
	for _, c := range e.broken {
		if now-c.at <= blameWindow {
			recent = append(recent, c)
		}
	}
	e.broken = recent
}

// ProcessChanged must be called when the backend reports another start id. It returns the request to blame if exactly one was in
// flight when the connections were lost. Otherwise it reports false, and the requests remain suspects.
func (e *Evidence) ProcessChanged(now time.Duration) (blamed Suspect, ok bool) {
	e.expire(now)
	broken := e.broken
	e.broken = nil
	if len(broken) == 0 {
		return Suspect{}, false
	}
	last := broken[len(broken)-1]
	for _, c := range broken {
		if last.at-c.at > crashSpread {
			continue
		}
		if c.suspect != last.suspect || c.otherRunning > 0 {
			return Suspect{}, false
		}
	}
	return last.suspect, true
}
