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

// coordinator is the state that exists only while this instance is the coordinator.
type coordinator struct {
	term      uint64
	executor  *keyrange.Executor
	lastFence uint64
	nextPlan  time.Duration
	contacts  map[keyrange.Holder]*backendContact
}

// backendContact is what the results of commands have shown about a backend process.
type backendContact struct {
	busy     bool
	answered time.Duration
	failing  time.Duration // since when commands are not answered; zero if they are
	replaced bool          // another process answered at its address
	fenced   bool          // it refuses grants to earlier processes of its id
	// nextFence is the earliest time to raise the fence again.
	nextFence time.Duration
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

// fenceRaised is the result of raising the fence at a backend against grants to its earlier processes.
type fenceRaised struct {
	target keyrange.Holder
	err    error
}

func newCoordinator(term uint64, timing keyrange.Timing, confirmedAt, now time.Duration, state *keyrange.State) *coordinator {
	return &coordinator{
		term:      term,
		executor:  keyrange.NewExecutor(timing, confirmedAt, now),
		lastFence: state.LastFence,
		contacts:  map[keyrange.Holder]*backendContact{},
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
	if now >= s.coordinator.nextPlan && !s.writing && !s.reading && s.seen <= s.version {
		s.plan(t)
	}
	s.fenceNextProcesses(t)
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

// terminated reports whether a process is confirmed terminated: a later process runs under its id or at its address.
func (s *Service) terminated(h keyrange.Holder) bool {
	if h == (keyrange.Holder{}) {
		return true
	}
	evidence := s.terminationEvidence(h)
	if k := s.coordinator.contact(h); evidence != "" && !k.terminated {
		k.terminated = true
		telemetry.EventBackendTerminated.Log(s.log, zap.String("backend", string(h.ID)), zap.Int64("born", h.Incarnation),
			zap.String("evidence", evidence))
	}
	return evidence != ""
}

// terminationEvidence returns what shows that a process has terminated. It is empty if nothing does.
func (s *Service) terminationEvidence(h keyrange.Holder) string {
	if s.coordinator.contact(h).replaced {
		return "another process answered at its address"
	}
	if h.Incarnation == 0 {
		return "" // its entry stated no birth time, so any entry of the same process would look later
	}
	if next, ok := s.nextProcess(h); ok {
		if !s.coordinator.contact(next).fenced {
			return "" // it may have taken renewals
		}
		return "a later process is listed under its id"
	}
	if b := s.processes[h]; b != nil && s.replaced(h, b) {
		return "a later process is listed at its address"
	}
	return ""
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
	planned := keyrange.Plan(&marked.Tables[0], s.candidates(name, table, now), s.keyLoad.counts(), s.terminated, &next.LastFence)
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
	speeds := s.speeds(name)
	for i, b := range s.directory.Services[name] {
		h := keyrange.Holder{ID: b.ID, Incarnation: b.Incarnation}
		listed[h] = true
		k := s.coordinator.contact(h)
		unreachable := k.failing > 0 && now-k.failing > unreachableAfter
		c := keyrange.Candidate{Holder: h, Zone: b.Zone, Capacity: float64(max(b.Slots, 1)) * speeds[i], Cold: b.WarmUntil > now}
		switch {
		case b.Draining || s.directory.Evacuated[b.Zone]:
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

// canSend reports whether commands can be sent to a backend now. A process that was not granted anything yet needs its fence
// raised against grants to earlier processes; canSend starts that and returns false until it is done.
func (s *Service) canSend(t *kernel.Turn, h keyrange.Holder) bool {
	k := s.coordinator.contact(h)
	if k.busy {
		return false
	}
	if k.fenced || s.address(h) == nil {
		return true
	}
	if !s.ownsNothing(h) {
		k.fenced = true // this process has been granted keys already
		return true
	}
	s.raiseFence(t, h, k)
	return false
}

// ownsNothing reports whether the table names the process neither as owner of a granted range nor as the previous owner of any.
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

// nextProcess returns the process that is listed under the id of a process and has started later.
func (s *Service) nextProcess(h keyrange.Holder) (keyrange.Holder, bool) {
	b := s.directory.Backends[h.ID]
	if h.Incarnation == 0 || b == nil || b.Incarnation <= h.Incarnation {
		return keyrange.Holder{}, false
	}
	return keyrange.Holder{ID: b.ID, Incarnation: b.Incarnation}, true
}

// fenceNextProcesses raises the fence at the processes that run under the id of an owner. Until its entry was read, such a process may
// have taken renewals that were meant for the owner, so the owner's keys are free only when it has dropped them.
func (s *Service) fenceNextProcesses(t *kernel.Turn) {
	for i := range s.state.Tables {
		for j := range s.state.Tables[i].Ranges {
			r := &s.state.Tables[i].Ranges[j]
			for _, h := range []keyrange.Holder{r.Owner, r.PreviousOwner} {
				if next, ok := s.nextProcess(h); ok {
					s.fenceProcess(t, next)
				}
			}
		}
	}
}

// fenceProcess raises the fence at a process that was not granted anything yet, once. Those that were are fenced.
func (s *Service) fenceProcess(t *kernel.Turn, h keyrange.Holder) {
	k := s.coordinator.contact(h)
	switch {
	case k.fenced || k.busy || t.Now() < k.nextFence:
	case s.ownsNothing(h):
		s.raiseFence(t, h, k)
	default:
		k.fenced = true
	}
}

// raiseFence makes a new process drop and reject grants that were sent to an earlier process at its address. Ranges that are assigned
// to it later have higher fences.
func (s *Service) raiseFence(t *kernel.Turn, h keyrange.Holder, k *backendContact) {
	lowest := s.state.LastFence + 1
	for i := range s.state.Tables {
		for _, r := range s.state.Tables[i].Ranges {
			if r.Owner == h {
				lowest = min(lowest, r.Fence)
			}
		}
	}
	b := s.address(h)
	k.busy, k.nextFence = true, t.Now()+commandRetryDelay
	t.Go(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		return fenceRaised{target: h, err: s.commands.RaiseFence(ctx, b, lowest)}
	})
}

func (s *Service) fenceRaised(t *kernel.Turn, m fenceRaised) {
	if s.coordinator == nil {
		return
	}
	k := s.coordinator.contact(m.target)
	k.busy = false
	if m.err != nil {
		telemetry.EventCommandFailed.Log(s.log, zap.String("order", "fence"), zap.String("backend", string(m.target.ID)), zap.Error(m.err))
		k.recordFailure(t.Now())
		return
	}
	k.fenced = true
	k.recordAnswer(t.Now())
	s.sendDue(t)
}

// address returns the backend record of a process: the listed one, or the last known one. It returns nil if there is none.
func (s *Service) address(h keyrange.Holder) *catalog.Backend {
	b := s.directory.Backends[h.ID]
	if b == nil || b.Incarnation != h.Incarnation {
		return s.lastKnown(h)
	}
	return b
}
