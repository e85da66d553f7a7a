package dispatch

import (
	"strings"
	"time"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/operator"
)

// Defaults of the configuration, as documented in operator.Config.
const (
	defaultMaxRun         = 10 * time.Second
	defaultCutoffHold     = 30 * time.Second
	defaultWindow         = 10 * time.Minute
	defaultMaxConnections = 130
)

// serviceRule is the part of a service's configuration that this service uses.
type serviceRule struct {
	maxRun     time.Duration
	cutoffHold time.Duration
	window     time.Duration
}

// backendRule is the part of a backend's configuration that this service uses.
type backendRule struct {
	service        entity.ServiceName
	zone           entity.Zone
	target         backend.Target
	slots          int
	maxConnections int
}

// plan is the immutable state that traffic goroutines read.
type plan struct {
	services map[entity.ServiceName]serviceRule
	backends map[entity.BackendID]backendRule
	// queues holds the backends that this instance is or was the primary of.
	queues map[entity.BackendID]*backendQueue
	view   *ownership.View
	// peers are the other members of this instance's lease group.
	peers []ownership.Member
	// removed holds the members that left the group within the last memory window.
	removed   []removedMember
	histories map[outcome.PartitionKey]history
}

// controlState is the state from which the control goroutine builds the plan.
type controlState struct {
	config    *operator.Config
	rules     *operator.Config // the configuration that services and backends were derived from
	view      *ownership.View
	viewAt    time.Duration // when the view was last known to be the end of the log, negative if never
	removed   []removedMember
	histories map[outcome.PartitionKey]history

	services map[entity.ServiceName]serviceRule
	backends map[entity.BackendID]backendRule
	queues   map[entity.BackendID]*backendQueue
}

// rebuild publishes a new plan after a change of configuration, ownership or leases.
func (s *Service) rebuild(now time.Duration) {
	st := &s.state
	if st.config == nil || st.view == nil {
		return
	}
	if st.rules != st.config {
		st.services, st.backends = rulesOf(st.config)
		st.rules = st.config
	}
	leases := s.leases.Leases()
	queues := make(map[entity.BackendID]*backendQueue, len(st.queues)+1)
	for id, q := range st.queues {
		if _, configured := st.backends[id]; configured && !q.memoryExpired(now) {
			queues[id] = q
		}
	}
	for _, id := range heldBackends(leases) {
		if rule, configured := st.backends[id]; configured && queues[id] == nil {
			queues[id] = newBackendQueue(s, id, rule, st.services[rule.service], now)
		}
	}
	for id, q := range queues {
		q.update(st.backends[id], leases, now)
	}
	st.queues = queues
	peers := s.peersIn(st.view)
	if old := s.plan.Load(); old != nil && !sameMembers(old.peers, peers) {
		planRepairs(queues, now)
	}
	s.plan.Publish(&plan{
		services:  st.services,
		backends:  st.backends,
		queues:    queues,
		view:      st.view,
		peers:     peers,
		removed:   st.removed,
		histories: st.histories,
	})
	s.prepare(leases, now)
}

// heldBackends returns the backends whose leases this instance holds or was the last to hold.
func heldBackends(leases *service.LeaseView) []entity.BackendID {
	if leases == nil {
		return nil
	}
	prefix := string(service.BackendLease(""))
	var ids []entity.BackendID
	for name := range leases.Held {
		if id, ok := strings.CutPrefix(string(name), prefix); ok {
			ids = append(ids, entity.BackendID(id))
		}
	}
	return ids
}

// update applies changes of the configuration and the lease to the queue.
func (q *backendQueue) update(rule backendRule, leases *service.LeaseView, now time.Duration) {
	held, primary := heldLease(leases, q.id, now)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.setRule(rule)
	if primary {
		q.setTerm(held.Term, now)
		return
	}
	q.refuseIf(func(*flight) bool { return true }, entity.NotRun(entity.ReasonNotHolder, "lease lost while queued"))
}

func heldLease(v *service.LeaseView, id entity.BackendID, now time.Duration) (service.HeldLease, bool) {
	if v == nil {
		return service.HeldLease{}, false
	}
	held, ok := v.Held[service.BackendLease(id)]
	return held, ok && now < held.Until
}

// prepare starts to collect the memory for the partitions of the backends that this instance is the primary of.
func (s *Service) prepare(leases *service.LeaseView, now time.Duration) {
	p := s.plan.Load()
	primary := map[entity.BackendID]*backendQueue{}
	names := map[entity.ServiceName]bool{}
	for id, q := range p.queues {
		if _, held := heldLease(leases, id, now); held {
			primary[id] = q
			names[q.service] = true
		}
	}
	needed := map[*backendQueue][]assignment{}
	for name := range names {
		view := p.view.Services[name]
		if view == nil {
			continue
		}
		for i, owner := range view.Owners {
			q := primary[owner.Backend]
			if q == nil || owner.Moving() {
				continue
			}
			key := outcome.PartitionKey{Service: name, Partition: entity.Partition(i)}
			needed[q] = append(needed[q], assignment{key, owner.Epoch, p.histories[key].revision})
		}
	}
	for q, assignments := range needed {
		q.mu.Lock()
		q.startCollecting(p, assignments)
		q.mu.Unlock()
	}
}

func rulesOf(c *operator.Config) (map[entity.ServiceName]serviceRule, map[entity.BackendID]backendRule) {
	services := make(map[entity.ServiceName]serviceRule, len(c.Services))
	backends := map[entity.BackendID]backendRule{}
	for i := range c.Services {
		svc := &c.Services[i]
		name := entity.ServiceName(svc.Name)
		services[name] = serviceRule{
			maxRun:     orDefault(svc.MaxRun, defaultMaxRun),
			cutoffHold: orDefault(svc.CutoffHold, defaultCutoffHold),
			window:     orDefault(svc.IdempotencyWindow, defaultWindow),
		}
		for j := range svc.Backends {
			b := &svc.Backends[j]
			id := entity.BackendID(b.Name)
			backends[id] = backendRule{
				service:        name,
				zone:           entity.Zone(b.Zone),
				target:         backend.Target{ID: id, Address: b.Address},
				slots:          b.Slots,
				maxConnections: orDefault(b.MaxConnections, defaultMaxConnections),
			}
		}
	}
	return services, backends
}

func orDefault[T int | time.Duration](v, fallback T) T {
	if v <= 0 {
		return fallback
	}
	return v
}

// peersIn returns the other members of this instance's lease group.
func (s *Service) peersIn(v *ownership.View) []ownership.Member {
	for _, m := range v.Members {
		if m.ID != s.self.ID {
			continue
		}
		group := v.Group(ownership.GroupKey{Zone: m.Zone, Group: m.Group})
		return s.withoutSelf(group)
	}
	return nil
}

// withoutSelf returns the members without this instance.
func (s *Service) withoutSelf(members []ownership.Member) []ownership.Member {
	var others []ownership.Member
	for _, m := range members {
		if m.ID != s.self.ID {
			others = append(others, m)
		}
	}
	return others
}

// mayServe reports whether this instance may send the request now: it must be the primary, and the backend must own the
// request's partition at the request's epoch. It returns the term to send with, or the refusal.
func (s *Service) mayServe(p *plan, req *service.Request, now time.Duration) (entity.Term, entity.Outcome, bool) {
	rule, ok := p.services[req.Service]
	if !ok {
		return 0, entity.NotRun(entity.ReasonUnknownService, ""), false
	}
	leases := s.leases.Leases()
	term, ok := leases.MayAct(req.Backend, now, rule.cutoffHold)
	if !ok {
		return 0, noLease(leases, req.Backend, now), false
	}
	if !ownedAt(p.view, req) {
		return 0, entity.NotRun(entity.ReasonFenced, "the key has another owner or is moving"), false
	}
	return term, entity.Outcome{}, true
}

// noLease returns the refusal of an instance that may not act. It distinguishes a primary whose view of the log is too old
// from an instance that is not the primary.
func noLease(leases *service.LeaseView, id entity.BackendID, now time.Duration) entity.Outcome {
	if _, held := heldLease(leases, id, now); held {
		return entity.NotRun(entity.ReasonLeaseLost, "the zone is cut off for longer than the hold")
	}
	return entity.NotRun(entity.ReasonNotHolder, "another instance is the primary")
}

// ownedAt reports whether the request's backend owns the request's key at the request's epoch in the view.
func ownedAt(v *ownership.View, req *service.Request) bool {
	view, ok := v.Services[req.Service]
	if !ok || int(req.Partition) >= len(view.Owners) {
		return false
	}
	if view.Locate(entity.HashKey(req.Key)) != req.Partition {
		return false
	}
	owner := view.Owners[req.Partition]
	return !owner.Moving() && owner.Backend == req.Backend && owner.Epoch == req.Epoch
}

// holderOf returns the instance that holds the backend's lease, empty if it is unknown or this instance.
func (s *Service) holderOf(id entity.BackendID) entity.InstanceID {
	leases := s.leases.Leases()
	if leases == nil {
		return ""
	}
	holder := leases.Holders[service.BackendLease(id)]
	if holder == s.self.ID {
		return ""
	}
	return holder
}
