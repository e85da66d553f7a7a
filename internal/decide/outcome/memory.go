package outcome

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// Decision is the memory's decision on a request.
type Decision uint8

const (
	// DecideRun means that the request may be sent. It is now recorded as running.
	DecideRun Decision = iota + 1
	// DecideReplay means that the request ran and its answer is stored.
	DecideReplay
	// DecideOtherRequest means that the key was used for a different request.
	DecideOtherRequest
	// DecideRepeatRunning means that the same request is running.
	DecideRepeatRunning
	// DecideRepeatUnknown means that the same request may have run, or that it ran and its answer is not stored (any more).
	DecideRepeatUnknown
	// DecideIncomplete means that the request may be a repeat of one that the memory has dropped or has never received.
	DecideIncomplete
	// DecideFull means that the memory is full. The request has not run.
	DecideFull
)

// Limits are the limits of a Memory or of Copies.
type Limits struct {
	// Window is how long a key is kept.
	Window time.Duration
	// Entries bounds the number of keys. At the limit new at-most-once requests are refused, because a repeat of a request
	// could run if its key were dropped early.
	Entries int
	// AnswerBytes bounds the total size of the stored bodies, in bytes. At the limit the oldest answers are dropped; their
	// keys are kept.
	AnswerBytes int
}

// Request is an at-most-once request.
type Request struct {
	Key         Key
	Fingerprint uint64
	Partition   entity.Partition
	Epoch       entity.Epoch
	Age         time.Duration // since the caller first sent it; negative if not stated
}

// Verdict is the result of Begin. For DecideRun, Record must be copied to a peer before the request is sent; Answer is set for
// DecideReplay.
type Verdict struct {
	Decision Decision
	Record   Record
	Answer   *Answer
}

// Memory is the idempotency memory of the primary of one backend. It is not safe for concurrent use.
//
// Invariant: an entry that is running or unknown is not dropped within the window, and only a running entry of this
// process can become forgotten.
type Memory struct {
	limits     Limits
	term       entity.Term
	seq        uint64
	entries    map[Key]*entry
	ages       aging[*entry]
	withAnswer []*entry // entries with an answer, oldest first
	bytes      int
	horizons   map[PartitionKey]horizon
}

// horizon is the completeness horizon of a partition: the time since which the memory has every request.
type horizon struct {
	since   time.Duration
	version Version
}

type entry struct {
	key         Key
	fingerprint uint64
	partition   entity.Partition
	state       State
	version     Version
	at          time.Duration
	answer      *Answer
	local       bool // running in this process
}

// NewMemory returns an empty memory. No partition has a completeness horizon.
func NewMemory(limits Limits) *Memory {
	return &Memory{
		limits:   limits,
		entries:  map[Key]*entry{},
		ages:     newAging[*entry](limits.Window),
		horizons: map[PartitionKey]horizon{},
	}
}

// SetTerm sets the term of the records that follow.
func (m *Memory) SetTerm(term entity.Term) { m.term = term }

// Len returns the number of keys.
func (m *Memory) Len() int { return len(m.entries) }

// SetHorizon sets the completeness horizon of the partition: the memory has every request since the given time. It returns the
// record to send to the copies.
func (m *Memory) SetHorizon(p PartitionKey, epoch entity.Epoch, since, now time.Duration) Record {
	m.seq++
	h := horizon{since, Version{epoch, m.term, m.seq}}
	m.horizons[p] = h
	return h.record(p, now)
}

func (h horizon) record(p PartitionKey, now time.Duration) Record {
	return Record{
		Key:       Key{Service: p.Service},
		Partition: p.Partition,
		State:     StateHorizon,
		Version:   h.version,
		Age:       now - h.since,
	}
}

// Begin decides whether a request may run and, if so, records it as running.
func (m *Memory) Begin(r *Request, now time.Duration) Verdict {
	m.expire(now)
	if e, ok := m.entries[r.Key]; ok {
		return m.checkDuplicate(e, r)
	}
	if !m.isComplete(r, now) {
		return Verdict{Decision: DecideIncomplete}
	}
	if len(m.entries) >= m.limits.Entries {
		return Verdict{Decision: DecideFull}
	}
	e := &entry{
		key:         r.Key,
		fingerprint: r.Fingerprint,
		partition:   r.Partition,
		state:       StateRunning,
		at:          now,
		local:       true,
	}
	m.entries[r.Key] = e
	m.ages.add(now, e)
	m.stamp(e, r.Epoch)
	return Verdict{Decision: DecideRun, Record: e.record(now)}
}

func (m *Memory) checkDuplicate(e *entry, r *Request) Verdict {
	switch {
	case e.fingerprint != r.Fingerprint:
		return Verdict{Decision: DecideOtherRequest}
	case e.state == StateAnswered && e.answer != nil:
		return Verdict{Decision: DecideReplay, Answer: e.answer}
	case e.state == StateRunning:
		return Verdict{Decision: DecideRepeatRunning}
	default:
		return Verdict{Decision: DecideRepeatUnknown}
	}
}

// ageMargin is added to stated ages for the time that a request is in flight between the caller and this memory. It also applies
// to an age of zero: a delayed first attempt can arrive after a later one that ran.
const ageMargin = time.Second

// isComplete reports whether the memory would have a record of the request if another attempt of it had arrived before.
func (m *Memory) isComplete(r *Request, now time.Duration) bool {
	h, ok := m.horizons[PartitionKey{r.Key.Service, r.Partition}]
	if !ok {
		return false
	}
	if r.Age < 0 {
		return now-h.since >= m.limits.Window
	}
	first := r.Age + ageMargin
	return first < m.limits.Window && now-h.since >= first
}

// RecordAnswer records that a running request was answered. The answer is stored unless it is nil or its body exceeds
// MaxStoredAnswer. RecordAnswer reports false if the request is not running in this process.
func (m *Memory) RecordAnswer(key Key, answer *Answer, now time.Duration) (Record, bool) {
	e, ok := m.endRun(key, StateAnswered)
	if !ok {
		return Record{}, false
	}
	if answer != nil && len(answer.Body) <= MaxStoredAnswer {
		m.storeAnswer(e, answer)
	}
	return e.record(now), true
}

// MarkUnknown records that a running request may or may not have run. It reports false if the request is not running in this
// process.
func (m *Memory) MarkUnknown(key Key, now time.Duration) (Record, bool) {
	e, ok := m.endRun(key, StateUnknown)
	if !ok {
		return Record{}, false
	}
	return e.record(now), true
}

// Forget withdraws a running request that has certainly not run, so that a repeat may run. It reports false if the request is not
// running in this process.
func (m *Memory) Forget(key Key, now time.Duration) (Record, bool) {
	e, ok := m.endRun(key, StateForgotten)
	if !ok {
		return Record{}, false
	}
	delete(m.entries, key)
	return e.record(now), true
}

// endRun records how a running request ended. It returns false if the request is not running in this process.
func (m *Memory) endRun(key Key, state State) (*entry, bool) {
	e, ok := m.entries[key]
	if !ok || !e.local {
		return nil, false
	}
	e.state = state
	e.local = false
	m.stamp(e, e.version.Epoch)
	return e, true
}

func (m *Memory) stamp(e *entry, epoch entity.Epoch) {
	m.seq++
	e.version = Version{epoch, m.term, m.seq}
}

func (m *Memory) storeAnswer(e *entry, answer *Answer) {
	e.answer = answer
	m.withAnswer = append(m.withAnswer, e)
	m.bytes += answer.size()
	for m.bytes > m.limits.AnswerBytes && len(m.withAnswer) > 0 {
		oldest := m.withAnswer[0]
		m.withAnswer[0] = nil
		m.withAnswer = m.withAnswer[1:]
		m.dropAnswer(oldest)
	}
}

func (m *Memory) dropAnswer(e *entry) {
	m.bytes -= e.answer.size()
	e.answer = nil
}

// expire drops the keys whose window has passed.
func (m *Memory) expire(now time.Duration) {
	if now < m.limits.Window {
		return
	}
	m.ages.expire(now-m.limits.Window, func(e *entry) {
		if e.local {
			// The key of a request that is still running is kept for another window.
			m.ages.add(now, e)
			return
		}
		if m.entries[e.key] == e {
			delete(m.entries, e.key)
		}
		m.dropAnswer(e)
	})
	for len(m.withAnswer) > 0 && m.withAnswer[0].answer == nil {
		m.withAnswer[0] = nil
		m.withAnswer = m.withAnswer[1:]
	}
}

func (e *entry) record(now time.Duration) Record {
	return Record{
		Key:         e.key,
		Fingerprint: e.fingerprint,
		Partition:   e.partition,
		State:       e.state,
		Version:     e.version,
		Age:         now - e.at,
		Answer:      e.answer,
	}
}
