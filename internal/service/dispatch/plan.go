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

// serviceRule is the part of a service's configuration that dispatch needs.
type serviceRule struct {
	maxRun     time.Duration
	cutoffHold time.Duration
	window     time.Duration
}

// backendRule is the part of a back end's configuration that dispatch needs.
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
	// queues holds the back ends that this instance is or was primary of.
	queues map[entity.BackendID]*backendQueue
	view   *ownership.View
	// peers are the other members of this instance's lease group.
	peers []ownership.Member
	// removed are members that left the group within the last memory window.
	removed []removedMember
	past    map[outcome.PartitionKey]history
}

// controlState is what the control goroutine builds the plan from.
type controlState struct {
	config  *operator.Config
	rules   *operator.Config // the configuration that services and backends were made from
	view    *ownership.View
	viewAt  time.Duration // when the view was last known to be the end of the log; negative if never
	removed []removedMember
	past    map[outcome.PartitionKey]history

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
	for id, l := range st.queues {
		if _, configured := st.backends[id]; configured && !l.forgotten(now) {
			queues[id] = l
		}
	}
	for _, id := range heldBackends(leases) {
		if rule, configured := st.backends[id]; configured && queues[id] == nil {
			queues[id] = newBackendQueue(s, id, rule, st.services[rule.service], now)
		}
	}
	for id, l := range queues {
		l.update(st.backends[id], leases, now)
	}
	st.queues = queues
	peers := s.peersIn(st.view)
	if old := s.plan.Load(); old != nil && !sameMembers(old.peers, peers) {
		planRepairs(queues, now)
	}
	s.plan.Publish(&plan{
		services: st.services,
		backends: st.backends,
		queues:   queues,
		view:     st.view,
		peers:    peers,
		removed:  st.removed,
		past:     st.past,
	})
	s.prepare(leases, now)
}

// heldBackends returns the back ends whose leases this instance holds or held last.
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

// update passes changes of the configuration and the lease to the queue.
func (l *backendQueue) update(rule backendRule, leases *service.LeaseView, now time.Duration) {
	held, primary := heldLease(leases, l.id, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setRule(rule)
	if primary {
		l.setTerm(held.Term, now)
		return
	}
	l.refuseIf(func(*flight) bool { return true }, entity.NotRun(entity.ReasonNotHolder, "lease lost while queued"))
}

func heldLease(v *service.LeaseView, id entity.BackendID, now time.Duration) (service.HeldLease, bool) {
	if v == nil {
		return service.HeldLease{}, false
	}
	held, ok := v.Held[service.BackendLease(id)]
	return held, ok && now < held.Until
}

// prepare starts the collection of the memory for the partitions of the back ends that this instance is primary of.
func (s *Service) prepare(leases *service.LeaseView, now time.Duration) {
	p := s.plan.Load()
	primary := map[entity.BackendID]*backendQueue{}
	names := map[entity.ServiceName]bool{}
	for id, l := range p.queues {
		if _, held := heldLease(leases, id, now); held {
			primary[id] = l
			names[l.service] = true
		}
	}
	wanted := map[*backendQueue][]assignment{}
	for name := range names {
		view := p.view.Services[name]
		if view == nil {
			continue
		}
		for i, owner := range view.Owners {
			l := primary[owner.Backend]
			if l == nil || owner.Moving() {
				continue
			}
			part := outcome.PartitionKey{Service: name, Partition: entity.Partition(i)}
			wanted[l] = append(wanted[l], assignment{part, owner.Epoch, p.past[part].revision})
		}
	}
	for l, assignments := range wanted {
		l.mu.Lock()
		l.startCollecting(p, assignments)
		l.mu.Unlock()
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
		return s.others(group)
	}
	return nil
}

// others returns the members without this instance.
func (s *Service) others(members []ownership.Member) []ownership.Member {
	var others []ownership.Member
	for _, m := range members {
		if m.ID != s.self.ID {
			others = append(others, m)
		}
	}
	return others
}

// mayServe reports whether this instance may send the request now: it is the primary and the request's partition belongs
// to the back end at the request's epoch. It returns the term to send with.
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

// noLease tells a primary whose view of the log is too old from an instance that is not the primary.
func noLease(leases *service.LeaseView, id entity.BackendID, now time.Duration) entity.Outcome {
	if _, held := heldLease(leases, id, now); held {
		return entity.NotRun(entity.ReasonLeaseLost, "the zone is cut off for longer than the hold")
	}
	return entity.NotRun(entity.ReasonNotHolder, "another instance is the primary")
}

// ownedAt reports whether the view gives the request's key to its back end at its epoch.
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

// holderOf names the instance to ask instead, empty if unknown.
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
