package outcome

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

const (
	// QuarantineTime is how long a request that crashed back ends is held back, and how long a suspicion lasts.
	QuarantineTime = 10 * time.Minute
	// blamesToHold is the number of crashes blamed on a request that hold it back.
	blamesToHold = 2
	// maxMarks bounds the marked requests. Suspicions are dropped first; a crash marks as many requests as were in
	// flight, so the bound is not reached by real crashes.
	maxMarks = 4096
	// crashSpread is the time within which a crash breaks all connections of a back end.
	crashSpread = time.Second
	// evidenceTime is how long broken requests wait for the proof of a crash, a changed start id.
	evidenceTime = 30 * time.Second
)

// Suspect identifies a request by its fingerprint. The customer is part of it, so that no customer can get another's
// request held back by a collision.
type Suspect struct {
	Customer    entity.CustomerID
	Fingerprint uint64
}

// Treatment says how a request may be sent.
type Treatment uint8

const (
	// TreatNormal means that the request may run beside others.
	TreatNormal Treatment = iota
	// TreatAlone means that the request is suspected of a crash and runs alone on its back end.
	TreatAlone
	// TreatHeld means that the request is held back.
	TreatHeld
)

type mark struct {
	blames int
	until  time.Duration
}

// Quarantine remembers which requests are suspected of crashing back ends or blamed for it.
type Quarantine struct{ marks map[Suspect]mark }

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine { return &Quarantine{marks: map[Suspect]mark{}} }

// Treat says how a request may be sent.
func (q *Quarantine) Treat(s Suspect, now time.Duration) Treatment {
	m, ok := q.marks[s]
	switch {
	case !ok:
		return TreatNormal
	case now >= m.until:
		delete(q.marks, s)
		return TreatNormal
	case m.blames >= blamesToHold:
		return TreatHeld
	default:
		return TreatAlone
	}
}

// Suspect makes a request run alone from now on.
func (q *Quarantine) Suspect(s Suspect, now time.Duration) { q.add(s, 0, now) }

// Blame counts a crash against a request.
func (q *Quarantine) Blame(s Suspect, now time.Duration) { q.add(s, 1, now) }

func (q *Quarantine) add(s Suspect, blames int, now time.Duration) {
	if _, ok := q.marks[s]; !ok && len(q.marks) >= maxMarks {
		q.makeRoom(now)
	}
	m := q.marks[s]
	if now >= m.until {
		m.blames = 0
	}
	m.blames += blames
	m.until = now + QuarantineTime
	q.marks[s] = m
}

// makeRoom drops what has expired, and all mere suspicions if that is not enough.
func (q *Quarantine) makeRoom(now time.Duration) {
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

// Clear removes the mark of a request that was answered: it does not crash every back end that runs it.
func (q *Quarantine) Clear(s Suspect) { delete(q.marks, s) }

// Empty reports whether no request is marked.
func (q *Quarantine) Empty() bool { return len(q.marks) == 0 }

// Evidence collects the requests that broke at one back end until a changed start id proves a crash.
type Evidence struct{ broken []casualty }

type casualty struct {
	suspect Suspect
	at      time.Duration
	others  int
}

// RecordBroken records a request whose connection broke. Others is the number of other requests that may still have been running
// there without a connection.
func (e *Evidence) RecordBroken(s Suspect, others int, now time.Duration) {
	e.expire(now)
	if len(e.broken) < maxMarks {
		e.broken = append(e.broken, casualty{s, now, others})
	}
}

func (e *Evidence) expire(now time.Duration) {
	keep := e.broken[:0]
	for _, c := range e.broken {
		if now-c.at <= evidenceTime {
			keep = append(keep, c)
		}
	}
	e.broken = keep
}

// ProcessChanged is called when the back end shows another start id. It returns the request to blame if exactly one was in
// flight when the connections broke, and else none: the others remain suspects.
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
		if c.suspect != last.suspect || c.others > 0 {
			return Suspect{}, false
		}
	}
	return last.suspect, true
}
