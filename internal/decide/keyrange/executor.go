package keyrange

import (
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// Timing of grants.
type Timing struct {
	// GrantTTL is how long a grant lasts at the back end, and LongGrantTTL how long it does while no other instance could take over the
	// coordination.
	GrantTTL, LongGrantTTL time.Duration
	// Renew is the time between two grants of a held range.
	Renew time.Duration
	// Retry is the pause after an order that got no answer.
	Retry time.Duration
}

// Uncertainty of what others do with grants.
const (
	// clockDrift is by how much a back end's clock that measures a hold may be slow.
	clockDrift = 0.02
	// TableReadTTL is how long after a coordinator's last successful read of the table its grants may last. It is longer than the store's
	// outages, and bounds for how long a successor has to wait for owners that it cannot reach.
	TableReadTTL = 13 * time.Second
	// leastHold is the shortest hold that is worth granting.
	leastHold = time.Second
	// onTheWay is the longest time from the sending of an order until its exchange has ended, with an answer or with the reset of
	// its connection. Nothing of it reaches the back end later. An order without an answer may be carried out later still, but the
	// time of a hold counts from the arrival of the order.
	onTheWay = time.Second
)

// Kind of an order to a back end.
type Kind uint8

// Kinds of orders.
const (
	KindGrant Kind = iota + 1
	KindRelease
)

// Command is a call to a back end.
type Command struct {
	Kind     Kind
	Service  entity.ServiceName
	From, To uint32
	// Fence is that of the range. A release carries the fence of the next assignment, so that the back end refuses
	// renewals of the former one that are still on their way.
	Fence  uint64
	Target Holder
	// TTL is how long a grant lasts, from the time at which the order was decided on: what has passed until its sending is taken
	// off.
	TTL      time.Duration
	Handover string // passed from the release to the grant, so that the keys stay warm
}

// Outcome of an order.
type Outcome uint8

// Outcomes of orders.
const (
	// Done means that the back end has carried out the order.
	Done Outcome = iota + 1
	// Refused means that it has seen a higher fence.
	Refused
	// NotSent means that the order has certainly not reached the back end.
	NotSent
	// OtherProcess means that another process answers at the address, so that the target has ended.
	OtherProcess
	// NoAnswer means that the order may have arrived before the end of the exchange.
	NoAnswer
)

// Result is what became of an order.
type Result struct {
	Command
	Outcome  Outcome
	Handover string
}

type stage uint8

const (
	stageRelease stage = iota + 1
	stageGrant
	stageHeld
)

// progress is what the coordinator knows of one range's assignment.
type progress struct {
	stage    stage
	waiting  bool // an order is on its way
	next     time.Duration
	handover string
	// answeredUntil, unansweredUntil and pendingUntil are the latest times at which the owner can still hold the range by
	// the grants that were answered, that got no answer, and by the one on its way.
	answeredUntil, unansweredUntil, pendingUntil time.Duration
	// formerUntil is the latest time at which the former owner can still hold the range.
	formerUntil time.Duration
}

// holdUntil is the latest time at which the owner can still hold the range.
func (p *progress) holdUntil() time.Duration {
	return max(p.answeredUntil, p.unansweredUntil, p.pendingUntil)
}

type rangeID struct {
	service  entity.ServiceName
	from, to uint32
	fence    uint64
}

// Executor carries out a state at the back ends. It belongs to the coordinator and starts with no knowledge of the grants of
// its predecessor.
type Executor struct {
	timing Timing
	state  *State
	ranges map[rangeID]*progress
	// unknownUntil is the time until which the predecessor's grants may hold.
	unknownUntil time.Duration
	// confirmedAt is when the table was last known to be the newest.
	confirmedAt time.Duration
	longHolds   bool
	fenced      bool
	room        func(Holder) bool // whether one more order fits into the batch of a back end
}

// NewExecutor returns an executor of a coordinator that has just been elected.
func NewExecutor(timing Timing, now time.Duration) *Executor {
	return &Executor{
		timing:       timing,
		ranges:       map[rangeID]*progress{},
		confirmedAt:  now,
		unknownUntil: now + withDrift(TableReadTTL) + onTheWay,
	}
}

func withDrift(d time.Duration) time.Duration { return d + time.Duration(float64(d)*clockDrift) }

// UseLongTTL says whether the next grants last for the long hold.
func (e *Executor) UseLongTTL(use bool) { e.longHolds = use }

// ConfirmTable notes a time at which the table was known to be the newest.
func (e *Executor) ConfirmTable(at time.Duration) { e.confirmedAt = max(e.confirmedAt, at) }

// hold returns how long the next grants last: no longer than the horizon, since a successor counts on that.
func (e *Executor) hold(now time.Duration) time.Duration {
	hold := e.timing.GrantTTL
	if e.longHolds {
		hold = e.timing.LongGrantTTL
	}
	return min(hold, e.confirmedAt+TableReadTTL-now)
}

// SetState takes over a state that the store has accepted.
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
			e.ranges[idOf(table.Service, r)] = e.inherit(table.Service, r, before, old, previous == nil, now)
		}
	}
}

func idOf(service entity.ServiceName, r *Range) rangeID {
	return rangeID{service: service, from: r.From, to: r.To, fence: r.Fence}
}

// inherit returns the progress of a range from that of the range that contained its keys before. inherited is true if the state
// is that of a predecessor, whose grants are not known.
func (e *Executor) inherit(
	service entity.ServiceName, r *Range, before *Table, old map[rangeID]*progress, inherited bool, now time.Duration,
) *progress {
	fresh := &progress{stage: stageGrant, next: now, unansweredUntil: e.unknownUntil, formerUntil: e.unknownUntil}
	if r.PreviousOwner != (Holder{}) && !r.Granted {
		fresh.stage = stageRelease
	}
	if before == nil {
		if !inherited {
			fresh.unansweredUntil, fresh.formerUntil = 0, 0 // the service is new: nobody has granted its keys
		}
		return fresh
	}
	i, ok := before.Find(r.From)
	if !ok {
		return fresh
	}
	parent := before.Ranges[i]
	known := old[idOf(service, &parent)]
	if known == nil {
		return fresh
	}
	if parent.Fence == r.Fence {
		kept := *known
		if parent.From != r.From || parent.To != r.To {
			// The result of an order for the undivided range is not matched to its parts.
			kept.waiting, kept.unansweredUntil = false, max(kept.unansweredUntil, kept.pendingUntil)
			kept.next = min(kept.next, now+e.timing.Retry)
		}
		return &kept
	}
	fresh.unansweredUntil = 0
	fresh.formerUntil = known.holdUntil()
	if parent.Owner != r.PreviousOwner {
		fresh.formerUntil = max(known.holdUntil(), known.formerUntil)
	}
	return fresh
}

// DueCommands returns the orders to send now, at most perTarget for each back end. ended reports that a process has certainly ended,
// so that it holds nothing; ready reports that orders can be sent to it.
func (e *Executor) DueCommands(now time.Duration, ended, ready func(Holder) bool, perTarget int) []Command {
	if e.state == nil {
		return nil
	}
	var orders []Command
	room := map[Holder]int{}
	e.room = func(h Holder) bool {
		left, known := room[h]
		if !known && ready(h) {
			left = perTarget
		}
		room[h] = left - 1
		return left > 0
	}
	for t := range e.state.Tables {
		table := &e.state.Tables[t]
		for i := range table.Ranges {
			if order, ok := e.next(table.Service, &table.Ranges[i], now, ended); ok {
				orders = append(orders, order)
			}
		}
	}
	return orders
}

// next returns the order that a range needs now, if any.
func (e *Executor) next(service entity.ServiceName, r *Range, now time.Duration, ended func(Holder) bool) (Command, bool) {
	p := e.ranges[idOf(service, r)]
	if p == nil || p.waiting || ended(r.Owner) {
		return Command{}, false
	}
	if p.stage == stageRelease && (ended(r.PreviousOwner) || now >= p.formerUntil) {
		p.stage, p.next = stageGrant, now
	}
	target := r.Owner
	if p.stage == stageRelease {
		target = r.PreviousOwner
	}
	hold := e.hold(now)
	if now < p.next || (p.stage != stageRelease && hold < leastHold) || !e.room(target) {
		return Command{}, false
	}
	p.waiting = true
	order := Command{Service: service, From: r.From, To: r.To, Fence: r.Fence}
	order.Target = target
	if p.stage == stageRelease {
		order.Kind = KindRelease
		return order, true
	}
	order.Kind, order.TTL, order.Handover = KindGrant, hold, p.handover
	p.pendingUntil = now + onTheWay + withDrift(order.TTL)
	return order, true
}

// HandleResult takes the result of an order that was sent at the given time and ended now. It returns true if the owner holds the
// range for the first time under its fence.
func (e *Executor) HandleResult(result Result, sent, now time.Duration) bool {
	p := e.ranges[rangeID{service: result.Service, from: result.From, to: result.To, fence: result.Fence}]
	if p == nil {
		return false
	}
	p.waiting, p.pendingUntil = false, 0
	if result.Kind == KindRelease {
		e.released(p, result, now)
		return false
	}
	switch result.Outcome {
	case Done:
		first := p.stage != stageHeld
		p.stage, p.handover = stageHeld, ""
		p.next = sent + e.timing.Renew
		p.answeredUntil = now + withDrift(result.TTL)
		return first
	case Refused:
		// Either a successor has moved the range, or a part of it was released by a later plan. Both show in the table.
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

func (e *Executor) released(p *progress, result Result, now time.Duration) {
	switch result.Outcome {
	case Done:
		p.stage, p.next, p.handover = stageGrant, now, result.Handover
	case Refused, NotSent, OtherProcess, NoAnswer:
		p.next = now + e.timing.Retry
	}
}

// Fenced reports, once, that a back end has refused a grant because of a higher fence.
func (e *Executor) Fenced() bool {
	fenced := e.fenced
	e.fenced = false
	return fenced
}

// Expired reports whether an owner can no longer hold a range, although it was not released.
func (e *Executor) Expired(holder Holder, now time.Duration) bool {
	if e.state == nil {
		return false
	}
	for t := range e.state.Tables {
		table := &e.state.Tables[t]
		for i := range table.Ranges {
			r := &table.Ranges[i]
			if r.Owner != holder {
				continue
			}
			if p := e.ranges[idOf(table.Service, r)]; p == nil || now < p.holdUntil() {
				return false
			}
		}
	}
	return true
}

// GrantedState returns the state with the ranges marked that their owners hold.
func (e *Executor) GrantedState(state *State) *State {
	marked := state.Clone()
	for t := range marked.Tables {
		table := &marked.Tables[t]
		for i := range table.Ranges {
			r := &table.Ranges[i]
			if p := e.ranges[idOf(table.Service, r)]; p != nil && p.stage == stageHeld {
				r.Granted, r.PreviousOwner = true, Holder{}
			}
		}
	}
	return marked
}

// HeldFences returns the fences of the ranges that their owners hold but which the table does not mark yet.
func (e *Executor) HeldFences() []uint64 {
	var fences []uint64
	if e.state == nil {
		return nil
	}
	for t := range e.state.Tables {
		table := &e.state.Tables[t]
		for i := range table.Ranges {
			r := &table.Ranges[i]
			if p := e.ranges[idOf(table.Service, r)]; p != nil && p.stage == stageHeld && !r.Granted {
				fences = append(fences, r.Fence)
			}
		}
	}
	slices.Sort(fences)
	return slices.Compact(fences)
}
