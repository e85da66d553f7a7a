package keys

import (
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/balance"
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
	stages    map[entity.ServiceName]keyrange.Stage // of the rollouts at the last plan
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
		stages:    map[entity.ServiceName]keyrange.Stage{},
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
	if now >= s.coordinator.nextPlan && !s.writing && !s.reading && s.seen <= s.version {
		s.plan(t)
	}
	s.checkSharedAddresses(t)
	s.checkLostBackends(t)
	s.fenceSuccessors(t)
	s.coordinator.executor.ConfirmTable(s.readAt)
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
	if !ok {
		next.Tables = append(next.Tables, keyrange.Table{Service: name})
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
		return false
	}
	*table = *planned
	return true
}

// candidates returns the backends of a service, and the unlisted owners whose keys must not be moved yet: they are not confirmed
// terminated, their grants have not expired, and they have not answered a command since they were removed from the list.
func (s *Service) candidates(name entity.ServiceName, table *keyrange.Table, now time.Duration) []keyrange.Candidate {
	var list []keyrange.Candidate
	listed := map[keyrange.Holder]bool{}
	speeds, rollout := s.speeds(name), s.rolloutOf(name)
	for i, b := range s.directory.Services[name] {
		h := holderOf(b)
		listed[h] = true
		k := s.coordinator.contact(h)
		c := keyrange.Candidate{Holder: h, Zone: b.Zone, Capacity: float64(max(b.Slots, 1)) * speeds[i], Cold: b.WarmUntil > now}
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

// speeds returns the speeds of the backends of a service relative to their mean.
func (s *Service) speeds(name entity.ServiceName) []float64 {
	ids := make([]entity.BackendID, len(s.directory.Services[name]))
	for i, b := range s.directory.Services[name] {
		ids[i] = b.ID
	}
	return balance.Speeds(s.serviceTimes.ServiceTimes(ids))
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
