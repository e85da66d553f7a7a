package keyrange

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// Timing holds the durations of grants.
type Timing struct {
	// GrantTTL is how long a grant is valid at the backend. LongGrantTTL is used instead while no other instance could take
	// over as coordinator.
	GrantTTL, LongGrantTTL time.Duration
	// Renew is the time between two grants of a granted range.
	Renew time.Duration
	// Retry is the pause after a command that was not delivered or got no answer, and after a refused release.
	Retry time.Duration
}

// Bounds on how long a grant can be valid at a backend.
const (
	// clockDrift is the fraction by which the clock of a backend that measures a grant TTL may be slow.
	clockDrift = 0.02
	// TableReadTTL is the time after a coordinator's last successful read of the table by which its grants must end. It is
	// longer than the store's outages, and it bounds the time that a successor waits for owners that it cannot reach.
	TableReadTTL = 13 * time.Second
	// PredecessorTTL is the time after a change of the coordinator by which the grants of its predecessors have expired.
	PredecessorTTL = TableReadTTL + TableReadTTL/50 + maxCommandTime
	// minGrantTTL is the shortest TTL that is worth granting.
	minGrantTTL = time.Second
	// maxCommandTime is the longest time from sending a command until its exchange has finished, with an answer or with the
	// reset of its connection. No part of the command reaches the backend after that. A command without an answer may be
	// executed even later, but the TTL of a grant counts from the arrival of the command.
	maxCommandTime = time.Second
)

type stage uint8

const (
	stageRelease stage = iota + 1
	stageGrant
	stageGranted
)

// progress is the coordinator's knowledge of the assignment of one range.
type progress struct {
	stage    stage
	inFlight bool // a command is in flight
	next     time.Duration
	handover string
	basis    Basis
	// answeredUntil, unansweredUntil and pendingUntil are the latest times at which the owner can still have a valid grant:
	// by the grants that were answered, by those that got no answer, and by the one in flight.
	answeredUntil, unansweredUntil, pendingUntil time.Duration
	// previousOwnerUntil is the latest time at which the previous owner can still have a valid grant.
	previousOwnerUntil time.Duration
}

// grantedUntil returns the latest time at which the owner can still have a valid grant.
func (p *progress) grantedUntil() time.Duration {
	return max(p.answeredUntil, p.unansweredUntil, p.pendingUntil)
}

// endWait lets the range be granted if its previous owner has terminated or its last grant has expired.
func (p *progress) endWait(terminated bool, now time.Duration) {
	switch {
	case terminated:
		p.basis = BasisTerminated
	case now >= p.previousOwnerUntil:
		p.basis = BasisExpired
	default:
		return
	}
	p.stage, p.next = stageGrant, now
}

type rangeID struct {
	service  entity.ServiceName
	from, to uint32
	fence    uint64
}

// Executor decides which grants and releases put a state into effect at the backends. It belongs to the coordinator and starts
// without knowledge of the grants of its predecessor. It is not safe for concurrent use.
type Executor struct {
	timing Timing
	state  *State
	ranges map[rangeID]*progress
	// unknownGrantsUntil is the time until which the predecessor's grants may be valid.
	unknownGrantsUntil time.Duration
	// confirmedAt is when the table was last known to be the newest.
	confirmedAt   time.Duration
	longTTL       bool
	fenced        bool
	batchHasSpace func(Holder) bool // whether one more command fits into the batch of a backend
}

// NewExecutor returns an executor of a coordinator that has just been elected. confirmedAt is when the call to the store was sent
// that showed the table to be its own: another instance may have replaced the table since then.
func NewExecutor(timing Timing, confirmedAt, now time.Duration) *Executor {
	return &Executor{
		timing:             timing,
		ranges:             map[rangeID]*progress{},
		confirmedAt:        confirmedAt,
		unknownGrantsUntil: now + PredecessorTTL,
	}
}

func withDrift(d time.Duration) time.Duration { return d + time.Duration(float64(d)*clockDrift) }

// UseLongTTL sets whether the next grants use LongGrantTTL. It reports whether that is a change.
func (e *Executor) UseLongTTL(use bool) bool {
	changed := e.longTTL != use
	e.longTTL = use
	return changed
}

// ConfirmTable records a time at which the table was known to be the newest.
func (e *Executor) ConfirmTable(at time.Duration) { e.confirmedAt = max(e.confirmedAt, at) }

// IsConfirmed reports whether no successor can rely yet on the end of the grants.
func (e *Executor) IsConfirmed(now time.Duration) bool { return now-e.confirmedAt <= TableReadTTL }

// grantTTL returns the TTL of the next grants. They end within TableReadTTL of the last confirmation of the table, because a
// successor relies on that.
func (e *Executor) grantTTL(now time.Duration) time.Duration {
	ttl := e.timing.GrantTTL
	if e.longTTL {
		ttl = e.timing.LongGrantTTL
	}
	return min(ttl, e.confirmedAt+TableReadTTL-now)
}

// SetState installs a state that the store has accepted.
func (e *Executor) SetState(state *State, now time.Duration) {
	previous, old := e.state, e.ranges
	e.state, e.ranges = state, map[rangeID]*progress{}
	for t := range state.Tables {
		table := &state.Tables[t]
		var before *Table
		if previous != nil {
			before, _ = previous.Table(table.Service)
		}
		for i := range table.Ranges {
			r := &table.Ranges[i]
			e.ranges[idOf(table.Service, r)] = e.carryOver(table.Service, r, before, old, previous == nil, now)
		}
	}
}

func idOf(service entity.ServiceName, r *Range) rangeID {
	return rangeID{service: service, from: r.From, to: r.To, fence: r.Fence}
}

// carryOver returns the progress of a range, derived from that of the range that contained its keys before. fromPredecessor is
// true if the state is that of a predecessor, whose grants are not known.
func (e *Executor) carryOver(
	service entity.ServiceName, r *Range, before *Table, old map[rangeID]*progress, fromPredecessor bool, now time.Duration,
) *progress {
	fresh := &progress{stage: stageGrant, next: now, unansweredUntil: e.unknownGrantsUntil, previousOwnerUntil: e.unknownGrantsUntil}
	if r.PreviousOwner != (Holder{}) && !r.Granted {
		fresh.stage = stageRelease
	}
	if before == nil {
		if !fromPredecessor {
			fresh.unansweredUntil, fresh.previousOwnerUntil = 0, 0 // the service is new: no instance has granted its keys
		}
		return fresh
	}
	i, ok := before.Find(r.From)
	if !ok {
		return fresh
	}
	parent := before.Ranges[i]
	previous := old[idOf(service, &parent)]
	if previous == nil {
		return fresh
	}
	if parent.Fence == r.Fence {
		kept := *previous
		if parent.From != r.From || parent.To != r.To {
			// The result of a command for the undivided range is not matched to its parts.
			kept.inFlight, kept.unansweredUntil = false, max(kept.unansweredUntil, kept.pendingUntil)
			kept.next = min(kept.next, now+e.timing.Retry)
		}
		return &kept
	}
	fresh.unansweredUntil = 0
	if parent.PreviousOwner == r.Owner {
		fresh.unansweredUntil = previous.previousOwnerUntil // it may still have grants from before its keys were moved away
	}
	fresh.previousOwnerUntil = previous.grantedUntil()
	if parent.Owner != r.PreviousOwner {
		fresh.previousOwnerUntil = max(previous.grantedUntil(), previous.previousOwnerUntil)
	}
	return fresh
}

// DueCommands returns the commands to send now, at most perTarget for each backend. terminated reports whether a process has
// certainly terminated, so that it owns nothing; ready reports whether commands can be sent to it.
func (e *Executor) DueCommands(now time.Duration, terminated, ready func(Holder) bool, perTarget int) []Command {
	if e.state == nil {
		return nil
	}
	var commands []Command
	remaining := map[Holder]int{}
	e.batchHasSpace = func(h Holder) bool {
		left, known := remaining[h]
		if !known && ready(h) {
			left = perTarget
		}
		remaining[h] = left - 1
		return left > 0
	}
	for t := range e.state.Tables {
		table := &e.state.Tables[t]
		for i := range table.Ranges {
			if command, ok := e.nextCommand(table.Service, &table.Ranges[i], now, terminated); ok {
				commands = append(commands, command)
			}
		}
	}
	return commands
}

// nextCommand returns the command that a range requires now, if any.
func (e *Executor) nextCommand(service entity.ServiceName, r *Range, now time.Duration, terminated func(Holder) bool) (Command, bool) {
	p := e.ranges[idOf(service, r)]
	if p == nil || p.inFlight || terminated(r.Owner) {
		return Command{}, false
	}
	if p.stage == stageRelease {
		p.endWait(terminated(r.PreviousOwner), now)
	}
	target := r.Owner
	if p.stage == stageRelease {
		target = r.PreviousOwner
	}
	ttl := e.grantTTL(now)
	if now < p.next || (p.stage != stageRelease && ttl < minGrantTTL) || !e.batchHasSpace(target) {
		return Command{}, false
	}
	p.inFlight = true
	command := Command{Service: service, From: r.From, To: r.To, Fence: r.Fence}
	command.Target = target
	if p.stage == stageRelease {
		command.Kind = KindRelease
		return command, true
	}
	command.Kind, command.TTL, command.Handover = KindGrant, ttl, p.handover
	command.Basis, command.PreviousUntil = p.basis, p.previousOwnerUntil
	p.pendingUntil = now + maxCommandTime + withDrift(command.TTL)
	return command, true
}

// HandleResult applies the result of a command that was sent at the given time and has finished now. It returns true if the
// owner has been granted the range for the first time under its fence.
func (e *Executor) HandleResult(result Result, sent, now time.Duration) bool {
	p := e.ranges[rangeID{service: result.Service, from: result.From, to: result.To, fence: result.Fence}]
	if p == nil {
		return false
	}
	p.inFlight, p.pendingUntil = false, 0
	if result.Kind == KindRelease {
		e.handleRelease(p, result, now)
		return false
	}
	switch result.Outcome {
	case Done:
		first := p.stage != stageGranted
		p.stage, p.handover = stageGranted, ""
		p.next = sent + e.timing.Renew
		// A shorter renewal may leave the backend with the end of a longer grant before it.
		p.answeredUntil = max(p.answeredUntil, now+withDrift(result.TTL))
		return first
	case Refused:
		// Either a successor has moved the range, or a later plan has released a part of it. Both are visible in the table.
		e.fenced = true
		p.next = now + e.timing.Renew
	case NotSent, OtherProcess:
		p.next = now + e.timing.Retry
	case NoAnswer:
		p.unansweredUntil = max(p.unansweredUntil, now+withDrift(result.TTL))
		p.next = now + e.timing.Retry
	}
	return false
}

func (e *Executor) handleRelease(p *progress, result Result, now time.Duration) {
	switch result.Outcome {
	case Done:
		p.stage, p.next, p.handover, p.basis = stageGrant, now, result.Handover, BasisReleased
	case Refused, NotSent, OtherProcess, NoAnswer:
		p.next = now + e.timing.Retry
	}
}

// Fenced reports whether a backend has refused a grant because of a higher fence since the last call.
func (e *Executor) Fenced() bool {
	fenced := e.fenced
	e.fenced = false
	return fenced
}
