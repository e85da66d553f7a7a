package keys

import (
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/capacity"
	"github.com/pollenpier/pollenpier/internal/decide/keyrange"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// coordinator is the state that exists only while this instance is the coordinator.
type coordinator struct {
	term      uint64
	executor  *keyrange.Executor
	lastFence uint64
	nextPlan  time.Duration
	contacts  map[keyrange.Holder]*backendContact
	checks    map[string]*addressCheck // by address
	roles     tableRoles
	// previous is the table that a claim in a later era of the store has replaced by an empty one; nil if there is none.
	previous *keyrange.State
	// fenceUntil is when the grants of predecessors have expired. fenced means that all of them have expired or were dropped.
	fenceUntil time.Duration
	fenced     bool
	stages     map[entity.ServiceName]keyrange.Stage // of the rollouts at the last plan
}

// backendContact is what the results of commands have shown about a backend process.
type backendContact struct {
	busy     bool
	answered time.Duration
	failing  time.Duration // since when commands are not answered; zero if they are
	replaced bool          // another process answered a command at its address
	fenced   bool          // it refuses grants to earlier processes of its id
	// nextFence is the earliest time to raise the fence again.
	nextFence time.Duration
	resumedAt time.Duration // when a status check made it usable again
	absent    time.Duration // since when it is not listed; zero if it is
	// differs is since when its measured throughput per slot differs from the mean of its service; zero if it does not.
	differs time.Duration
	// terminated is true once its termination has been logged.
	terminated bool
}

// commandsDone is the result of a batch of commands to one backend.
type commandsDone struct {
	term    uint64
	target  keyrange.Holder
	results []timedResult
}

type timedResult struct {
	keyrange.Result
	sent, done time.Duration
}

func newCoordinator(term uint64, timing keyrange.Timing, confirmedAt, now time.Duration, state *keyrange.State) *coordinator {
	return &coordinator{
		term:      term,
		executor:  keyrange.NewExecutor(timing, confirmedAt, now),
		lastFence: state.LastFence,
		contacts:  map[keyrange.Holder]*backendContact{},
		checks:    map[string]*addressCheck{},
		// A predecessor that cannot be reached sends no grant that lasts longer than this.
		fenceUntil: now + keyrange.PredecessorTTL,
		stages:     map[entity.ServiceName]keyrange.Stage{},
	}
}

func (c *coordinator) contact(h keyrange.Holder) *backendContact {
	k := c.contacts[h]
	if k == nil {
		k = &backendContact{}
		c.contacts[h] = k
	}
	return k
}

// coordinate plans changes and sends the commands that are due.
func (s *Service) coordinate(t *kernel.Turn) {
	now := t.Now()
	s.updateAbsence(now)
	s.planAtNewStage(now)
	if now >= s.coordinator.nextPlan && !s.writing && !s.reading && s.seen <= s.version && s.era.seen <= s.version.Era() {
		s.plan(t)
	}
	if s.coordinator == nil {
		return // plan has found that its table is not the newest
	}
	s.checkSharedAddresses(t)
	s.checkLostBackends(t)
	s.fenceSuccessors(t)
	if !s.era.outdated { // another coordinator may hold its own table at the same version
		s.coordinator.executor.ConfirmTable(s.readAt)
	}
	if now-s.readAt > keyrange.TableReadTTL {
		telemetry.EventRenewalsPaused.Log(s.log, zap.Duration("confirmed_ago", now-s.readAt))
		s.resign("the table was not confirmed for too long")
		return
	}
	s.sendDue(t)
}

// updateAbsence records which owners are no longer listed.
func (s *Service) updateAbsence(now time.Duration) {
	for h, k := range s.coordinator.contacts {
		b := s.directory.Backends[h.ID]
		if b != nil && b.Incarnation == h.Incarnation {
			k.absent = 0
		} else if k.absent == 0 {
			k.absent = now
		}
	}
}

// plan writes a new table if one is needed.
func (s *Service) plan(t *kernel.Turn) {
	c := s.coordinator
	if s.era.outdated {
		if !s.inDoubt(t.Now()) {
			s.restoreTable(t)
		}
		return
	}
	if !s.earlierGrantsFenced(t) {
		return
	}
	c.nextPlan = t.Now() + planInterval
	next := s.state.Clone()
	next.LastFence = max(next.LastFence, c.lastFence)
	first := next.LastFence
	changed := false
	for _, svc := range s.directory.Config.Services {
		if svc.Partitioned && s.planService(next, svc.Name, t.Now()) {
			changed = true
		}
	}
	if !changed {
		return
	}
	c.lastFence = next.LastFence
	s.counters.moves.Inc(int64(next.LastFence - first))
	s.writeTable(t, c.executor.GrantedState(next))
}

func (s *Service) planService(next *keyrange.State, name entity.ServiceName, now time.Duration) bool {
	table, ok := next.Table(name)
	again := false
	if !ok {
		again = s.appendTable(next, name)
		table = &next.Tables[len(next.Tables)-1]
	}
	marked := s.coordinator.executor.GrantedState(&keyrange.State{Tables: []keyrange.Table{*table}})
	evidence := keyrange.Evidence{
		Terminated: s.terminated,
		Lapsed:     func(r *keyrange.Range) bool { return s.coordinator.executor.Lapsed(name, r, now) },

		PreviousFree: func(r *keyrange.Range) bool { return s.coordinator.executor.PreviousFree(name, r) },
	}
	rollout := s.rolloutOf(name)
	candidates := s.candidates(name, table, now)
	keyrange.Restrict(candidates, stageOf(rollout))
	planned := keyrange.PlanRollout(&marked.Tables[0], candidates, s.keyLoad.counts(now, keyrange.KeyLoadWindow), evidence,
		s.exposureOf(rollout, now), &next.LastFence)
	if planned == nil {
		return again
	}
	*table = *planned
	return true
}

// candidates returns the backends of a service, and the unlisted owners whose keys must not be moved yet: they are not confirmed
// terminated, their grants have not expired, and they have not answered a command since they were removed from the list.
func (s *Service) candidates(name entity.ServiceName, table *keyrange.Table, now time.Duration) []keyrange.Candidate {
	var list []keyrange.Candidate
	listed := map[keyrange.Holder]bool{}
	shares, rollout := s.shares(name, now), s.rolloutOf(name)
	for i, b := range s.directory.Services[name] {
		h := holderOf(b)
		listed[h] = true
		k := s.coordinator.contact(h)
		c := keyrange.Candidate{Holder: h, Zone: b.Zone, Capacity: shares[i], Slots: b.Slots, Cold: b.WarmUntil > now}
		markVersion(&c, b, rollout, now)
		switch {
		case s.isUnconfirmed(b):
			c.Usable = false
		case b.Draining || s.directory.Evacuated[b.Zone]:
			c.Usable = false
		case k.isUnreachable(now):
			c.Keep = !s.coordinator.executor.Expired(h, now)
		default:
			c.Usable = true
		}
		list = append(list, c)
	}
	for i := range table.Ranges {
		h := table.Ranges[i].Owner
		if listed[h] || s.terminated(h) {
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

// lastingDifference is how long the throughput of a backend must differ from that of the others before its share of the keys changes.
// Moving a range interrupts its keys, and load peaks last some 5 s.
const lastingDifference = 5 * time.Second

// shares returns the capacities of the backends of a service relative to one slot of mean speed, by what all instances have measured. A
// backend with too few measurements counts as one of mean speed.
func (s *Service) shares(name entity.ServiceName, now time.Duration) []float64 {
	list := s.directory.Services[name]
	slots, throughputs := make([]float64, len(list)), make([]float64, len(list))
	for i, b := range list {
		slots[i] = float64(max(b.Slots, 1))
		throughputs[i] = s.measurements.throughput(b.ID, slots[i], now)
	}
	shares := capacity.Shares(slots, throughputs)
	for i, b := range list {
		k := s.coordinator.contact(holderOf(b))
		switch {
		case shares[i] == slots[i]:
			k.differs = 0
		case k.differs == 0:
			k.differs = now
			shares[i] = slots[i]
		case now-k.differs < lastingDifference:
			shares[i] = slots[i]
		}
	}
	return shares
}

// sendDue passes the commands that are due to workers, one batch for each backend.
func (s *Service) sendDue(t *kernel.Turn) {
	c := s.coordinator
	batches := map[keyrange.Holder][]keyrange.Command{}
	ready := func(h keyrange.Holder) bool { return s.canSend(t, h) }
	for _, command := range c.executor.DueCommands(t.Now(), s.terminated, ready, batchSize) {
		batches[command.Target] = append(batches[command.Target], command)
	}
	for target, commands := range batches {
		s.sendBatch(t, target, commands)
	}
}
