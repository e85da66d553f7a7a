package outcome

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// Decision is what the memory says about a request.
type Decision uint8

const (
	// DecideRun means that the request may be sent: it is now recorded as running.
	DecideRun Decision = iota + 1
	// DecideReplay means that the request ran and its answer is at hand.
	DecideReplay
	// DecideOtherRequest means that the key was used for a different request.
	DecideOtherRequest
	// DecideRepeatRunning means that the same request is running.
	DecideRepeatRunning
	// DecideRepeatUnknown means that the same request may have run, or ran and its answer was not kept.
	DecideRepeatUnknown
	// DecideIncomplete means that the request may be a repeat of one that the memory no longer has or never had.
	DecideIncomplete
	// DecideFull means that the memory has no room. The request has not run.
	DecideFull
)

// Limits bound a memory.
type Limits struct {
	// Window is how long a key is remembered.
	Window time.Duration
	// Entries bounds the number of keys. At the limit new at-most-once requests are refused, because forgetting a key
	// early would let its repeat run.
	Entries int
	// AnswerBytes bounds the stored bodies. At the limit the oldest answers are dropped; their keys stay.
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

// Verdict is the result of Begin. Record is to be copied to a peer before the request is sent; Answer is set for a replay.
type Verdict struct {
	Decision Decision
	Record   Record
	Answer   *Answer
}

// Memory is the idempotency memory of the primary of one back end.
//
// Invariant: an entry that is running or unknown is not dropped within the window, and only a running entry of this
// process can become forgotten.
type Memory struct {
	limits  Limits
	term    entity.Term
	seq     uint64
	entries map[Key]*entry
	ages    aging[*entry]
	kept    []*entry // entries with an answer, oldest first
	bytes   int
	since   map[PartitionKey]horizon
}

// horizon is the time since which the memory has every request of a partition.
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

// NewMemory returns an empty memory without a horizon for any partition.
func NewMemory(limits Limits) *Memory {
	return &Memory{
		limits:  limits,
		entries: map[Key]*entry{},
		ages:    newAging[*entry](limits.Window),
		since:   map[PartitionKey]horizon{},
	}
}

// SetTerm sets the term of the records that follow.
func (m *Memory) SetTerm(term entity.Term) { m.term = term }

// Len returns the number of keys.
func (m *Memory) Len() int { return len(m.entries) }

// SetHorizon says that the memory has every request of the partition since the given time, and returns the record by
// which copies learn it.
func (m *Memory) SetHorizon(p PartitionKey, epoch entity.Epoch, since, now time.Duration) Record {
	m.seq++
	h := horizon{since, Version{epoch, m.term, m.seq}}
	m.since[p] = h
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

// Begin decides whether a request may run and records it as running if so.
func (m *Memory) Begin(r *Request, now time.Duration) Verdict {
	m.expire(now)
	if e, ok := m.entries[r.Key]; ok {
		return m.repeat(e, r)
	}
	if !m.covers(r, now) {
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

func (m *Memory) repeat(e *entry, r *Request) Verdict {
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

// ageMargin is added to stated ages for the time that a request spends on the way between the caller and this memory. It
// also applies to an age of zero: a first attempt that was held up on the way can arrive after a later one that ran.
const ageMargin = time.Second

// covers reports whether the memory would know the request if another attempt of it had arrived before.
func (m *Memory) covers(r *Request, now time.Duration) bool {
	h, ok := m.since[PartitionKey{r.Key.Service, r.Partition}]
	if !ok {
		return false
	}
	if r.Age < 0 {
		return now-h.since >= m.limits.Window
	}
	first := r.Age + ageMargin
	return first < m.limits.Window && now-h.since >= first
}

// RecordAnswer records the complete answer of a running request; nil or a body over MaxStoredAnswer is not kept.
func (m *Memory) RecordAnswer(key Key, answer *Answer, now time.Duration) (Record, bool) {
	e, ok := m.running(key)
	if !ok {
		return Record{}, false
	}
	e.state = StateAnswered
	e.local = false
	m.stamp(e, e.version.Epoch)
	if answer != nil && len(answer.Body) <= MaxStoredAnswer {
		m.keep(e, answer)
	}
	return e.record(now), true
}

// MarkUnknown records that a running request may or may not have run.
func (m *Memory) MarkUnknown(key Key, now time.Duration) (Record, bool) {
	e, ok := m.running(key)
	if !ok {
		return Record{}, false
	}
	e.state = StateUnknown
	e.local = false
	m.stamp(e, e.version.Epoch)
	return e.record(now), true
}

// Forget withdraws a running request that has certainly not run, so that a repeat may run.
func (m *Memory) Forget(key Key, now time.Duration) (Record, bool) {
	e, ok := m.running(key)
	if !ok {
		return Record{}, false
	}
	e.state = StateForgotten
	e.local = false
	m.stamp(e, e.version.Epoch)
	delete(m.entries, key)
	return e.record(now), true
}

func (m *Memory) running(key Key) (*entry, bool) {
	e, ok := m.entries[key]
	if !ok || !e.local {
		return nil, false
	}
	return e, true
}

func (m *Memory) stamp(e *entry, epoch entity.Epoch) {
	m.seq++
	e.version = Version{epoch, m.term, m.seq}
}

func (m *Memory) keep(e *entry, answer *Answer) {
	e.answer = answer
	m.kept = append(m.kept, e)
	m.bytes += answer.size()
	for m.bytes > m.limits.AnswerBytes && len(m.kept) > 0 {
		oldest := m.kept[0]
		m.kept[0] = nil
		m.kept = m.kept[1:]
		m.drop(oldest)
	}
}

func (m *Memory) drop(e *entry) {
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
			// A request that is still running keeps its key for another window.
			m.ages.add(now, e)
			return
		}
		if m.entries[e.key] == e {
			delete(m.entries, e.key)
		}
		m.drop(e)
	})
	for len(m.kept) > 0 && m.kept[0].answer == nil {
		m.kept[0] = nil
		m.kept = m.kept[1:]
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
