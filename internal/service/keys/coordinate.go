package keys

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/balance"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// coordinator is what only the coordinating instance keeps.
type coordinator struct {
	term      uint64
	executor  *keyrange.Executor
	lastFence uint64
	nextPlan  time.Duration
	contacts  map[keyrange.Holder]*contact
}

// contact is what orders have told about a back end.
type contact struct {
	busy     bool
	answered time.Duration
	failing  time.Duration // since when orders get no answer; zero if they do
	gone     bool          // another process answers at its address
	fenced   bool          // grants to earlier processes of its id are refused
	absent   time.Duration // since when it is not listed; zero if it is
}

// ordersDone is the result of a batch of orders to one back end.
type ordersDone struct {
	term    uint64
	target  keyrange.Holder
	results []timedResult
}

type timedResult struct {
	keyrange.Result
	sent, done time.Duration
}

// fenced is the result of fencing off the earlier processes of a back end.
type fenced struct {
	target keyrange.Holder
	err    error
}

func newCoordinator(term uint64, timing keyrange.Timing, now time.Duration, state *keyrange.State) *coordinator {
	return &coordinator{
		term:      term,
		executor:  keyrange.NewExecutor(timing, now),
		lastFence: state.LastFence,
		contacts:  map[keyrange.Holder]*contact{},
	}
}

func (c *coordinator) contact(h keyrange.Holder) *contact {
	k := c.contacts[h]
	if k == nil {
		k = &contact{}
		c.contacts[h] = k
	}
	return k
}

// coordinate plans changes and sends the orders that are due.
func (s *Service) coordinate(t *kernel.Turn) {
	now := t.Now()
	s.observe(now)
	if now >= s.coordinator.nextPlan && !s.writing && !s.reading && s.seen <= s.version {
		s.plan(t)
	}
	s.coordinator.executor.ConfirmTable(s.readAt)
	if now-s.readAt > keyrange.TableReadTTL {
		telemetry.EventRenewalsPaused.Log(s.log, zap.Duration("confirmed_ago", now-s.readAt))
		s.resign("the table was not confirmed for too long")
		return
	}
	s.sendDue(t)
}

// observe notes which owners are no longer listed.
func (s *Service) observe(now time.Duration) {
	for h, k := range s.coordinator.contacts {
		b := s.fleet.Backends[h.ID]
		if b != nil && b.Incarnation == h.Incarnation {
			k.absent = 0
		} else if k.absent == 0 {
			k.absent = now
		}
	}
}

// ended reports whether a process has certainly ended: a later one runs under its id or at its address.
func (s *Service) ended(h keyrange.Holder) bool {
	if h == (keyrange.Holder{}) || s.coordinator.contact(h).gone {
		return true
	}
	if b := s.fleet.Backends[h.ID]; b != nil && b.Incarnation > h.Incarnation {
		return true
	}
	b := s.known[h]
	return b != nil && s.replaced(h, b)
}

// plan writes a new table if one is needed.
func (s *Service) plan(t *kernel.Turn) {
	c := s.coordinator
	c.nextPlan = t.Now() + planInterval
	next := s.state.Clone()
	next.LastFence = max(next.LastFence, c.lastFence)
	first := next.LastFence
	changed := false
	for _, svc := range s.fleet.Config.Services {
		if svc.Partitioned && s.planService(next, svc.Name, t.Now()) {
			changed = true
		}
	}
	if !changed {
		return
	}
	c.lastFence = next.LastFence
	s.counters.moves.Inc(int64(next.LastFence - first))
	s.write(t, c.executor.GrantedState(next))
}

func (s *Service) planService(next *keyrange.State, name entity.ServiceName, now time.Duration) bool {
	table, ok := next.Table(name)
	if !ok {
		next.Tables = append(next.Tables, keyrange.Table{Service: name})
		table = &next.Tables[len(next.Tables)-1]
	}
	marked := s.coordinator.executor.GrantedState(&keyrange.State{Tables: []keyrange.Table{*table}})
	planned := keyrange.Plan(&marked.Tables[0], s.candidates(name, table, now), s.heat.counts(), s.ended, &next.LastFence)
	if planned == nil {
		return false
	}
	*table = *planned
	return true
}

// candidates returns the back ends of a service, and the owners that are no longer listed but must not be moved away from yet.
func (s *Service) candidates(name entity.ServiceName, table *keyrange.Table, now time.Duration) []keyrange.Candidate {
	var list []keyrange.Candidate
	listed := map[keyrange.Holder]bool{}
	speeds := s.speeds(name)
	for i, b := range s.fleet.Services[name] {
		h := keyrange.Holder{ID: b.ID, Incarnation: b.Incarnation}
		listed[h] = true
		k := s.coordinator.contact(h)
		unreachable := k.failing > 0 && now-k.failing > unreachableAfter
		c := keyrange.Candidate{Holder: h, Zone: b.Zone, Capacity: float64(max(b.Slots, 1)) * speeds[i], Cold: b.WarmUntil > now}
		switch {
		case b.Draining || s.fleet.Evacuated[b.Zone]:
			c.Usable = false
		case unreachable:
			c.Keep = !s.coordinator.executor.Expired(h, now)
		default:
			c.Usable = true
		}
		list = append(list, c)
	}
	for i := range table.Ranges {
		h := table.Ranges[i].Owner
		if listed[h] || s.ended(h) {
			continue
		}
		listed[h] = true
		k := s.coordinator.contact(h)
		reached := k.absent > 0 && k.answered > k.absent
		if !reached && !s.coordinator.executor.Expired(h, now) {
			list = append(list, keyrange.Candidate{Holder: h, Capacity: 1, Keep: true})
		}
	}
	return list
}

// speeds returns the speeds of the back ends of a service relative to their mean.
func (s *Service) speeds(name entity.ServiceName) []float64 {
	ids := make([]entity.BackendID, len(s.fleet.Services[name]))
	for i, b := range s.fleet.Services[name] {
		ids[i] = b.ID
	}
	return balance.Speeds(s.work.ServiceTimes(ids))
}

// sendDue hands the orders that are due to workers, one batch for each back end.
func (s *Service) sendDue(t *kernel.Turn) {
	c := s.coordinator
	batches := map[keyrange.Holder][]keyrange.Command{}
	ready := func(h keyrange.Holder) bool { return s.canSend(t, h) }
	for _, order := range c.executor.DueCommands(t.Now(), s.ended, ready, batchSize) {
		batches[order.Target] = append(batches[order.Target], order)
	}
	for target, orders := range batches {
		s.sendBatch(t, target, orders)
	}
}

// canSend reports whether a back end's orders can be sent now, and fences off the earlier processes of its id first.
func (s *Service) canSend(t *kernel.Turn, h keyrange.Holder) bool {
	k := s.coordinator.contact(h)
	if k.busy {
		return false
	}
	if k.fenced || s.address(h) == nil {
		return true
	}
	if !s.ownsNothing(h) {
		k.fenced = true // it was granted keys in this life already
		return true
	}
	s.fenceOff(t, h, k)
	return false
}

// ownsNothing reports whether no settled range of the table belongs to the process.
func (s *Service) ownsNothing(h keyrange.Holder) bool {
	for i := range s.state.Tables {
		for _, r := range s.state.Tables[i].Ranges {
			if (r.Owner == h && r.Granted) || r.PreviousOwner == h {
				return false
			}
		}
	}
	return true
}

// fenceOff makes a process that has just appeared refuse grants that were sent to an earlier process at its address.
func (s *Service) fenceOff(t *kernel.Turn, h keyrange.Holder, k *contact) {
	lowest := ^uint64(0)
	for i := range s.state.Tables {
		for _, r := range s.state.Tables[i].Ranges {
			if r.Owner == h {
				lowest = min(lowest, r.Fence)
			}
		}
	}
	b := s.address(h)
	k.busy = true
	t.Go(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		return fenced{target: h, err: s.orders.RaiseFence(ctx, b, lowest)}
	})
}

func (s *Service) fencedOff(t *kernel.Turn, m fenced) {
	if s.coordinator == nil {
		return
	}
	k := s.coordinator.contact(m.target)
	k.busy = false
	if m.err != nil {
		telemetry.EventCommandFailed.Log(s.log, zap.String("order", "fence"), zap.String("backend", string(m.target.ID)), zap.Error(m.err))
		k.failed(t.Now())
		return
	}
	k.fenced = true
	k.answeredAt(t.Now())
	s.sendDue(t)
}

// address returns the back end of a process, or nil if it is not listed.
func (s *Service) address(h keyrange.Holder) *catalog.Backend {
	b := s.fleet.Backends[h.ID]
	if b == nil || b.Incarnation != h.Incarnation {
		return s.lastKnown(h)
	}
	return b
}
