package rollout

import (
	"sync"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/rollout"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
)

// Times by which peers are judged.
const (
	// minTimeout and maxTimeout bound the time after its last heartbeat for which a peer is reachable. It is missedHeartbeats of its
	// intervals, which grow with the number of instances.
	minTimeout       = 1200 * time.Millisecond
	maxTimeout       = 4 * time.Second
	missedHeartbeats = 4
	// appliedTimeout is how long an unresponsive peer prevents the end of a switch: it may send requests to old backends.
	appliedTimeout = 2 * time.Second
	// majorityWindow is how long an unresponsive peer counts as one that may be isolated from this instance.
	majorityWindow = 30 * time.Second
	// gapDecay is the weight of the longest interval between two heartbeats at each further one.
	gapDecay = 0.9
	// assumedInstances is the number of instances assumed within startDelay after the start, before peers are known.
	assumedInstances = 200
	// maxPending bounds the reports that wait for the control goroutine. Later ones repeat what a dropped one contains.
	maxPending = 4096
	// maxRollouts bounds the rollouts whose counts are kept. Peers may report some that this instance does not follow yet.
	maxRollouts = 256
)

// exchange contains what peers have reported. Its methods may be called from any goroutine.
type exchange struct {
	mu      sync.Mutex
	peers   map[entity.InstanceID]*peer
	counts  map[countsKey]*peerCounts
	pending []peerStates
	self    kernel.Snapshot[[]published]
}

// peer is what is known of another instance.
type peer struct {
	at, gap time.Duration
	leaving bool
	states  []service.RolloutReportState
}

// countsKey names a rollout.
type countsKey struct {
	service entity.ServiceName
	to      string
}

// peerCounts are the last counts of each peer for one rollout, and their sum. Those of instances that have ended are kept.
type peerCounts struct {
	sum   rollout.Totals
	peers map[entity.InstanceID]rollout.Totals
}

// peerStates are reported states that the control goroutine has not applied yet.
type peerStates struct {
	states []service.RolloutReportState
	at     time.Duration
}

func (e *exchange) init() {
	e.peers = map[entity.InstanceID]*peer{}
	e.counts = map[countsKey]*peerCounts{}
}

// ApplyRolloutReport implements service.RolloutExchange.
func (s *Service) ApplyRolloutReport(id entity.InstanceID, leaving bool, r *service.RolloutReport, now time.Duration) {
	if !s.enabled() || id == s.instance.ID {
		return
	}
	if s.exchange.apply(id, leaving, r, now) {
		// If the mailbox is full, the next tick applies the report.
		s.kernel.Post(service.Rollout, reported{})
	}
}

// apply records a report. It returns true if the control goroutine has to apply states.
func (e *exchange) apply(id entity.InstanceID, leaving bool, r *service.RolloutReport, now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[id]
	if p == nil {
		p = &peer{at: now}
		e.peers[id] = p
	}
	p.gap = max(time.Duration(gapDecay*float64(p.gap)), min(now-p.at, maxTimeout))
	p.at, p.leaving, p.states = now, leaving, nil
	if r == nil {
		return false
	}
	p.states = r.States
	e.applyCounts(id, r.Counts)
	first := len(e.pending) == 0
	if len(e.pending) < maxPending {
		e.pending = append(e.pending, peerStates{r.States, now})
	}
	return first
}

// applyCounts replaces the counts of a peer by later ones. Those that a report leaves out, since its size is bounded, stay.
func (e *exchange) applyCounts(id entity.InstanceID, counts []service.RolloutCounts) {
	for i := range counts {
		c := &counts[i]
		key := countsKey{c.Service, c.To}
		all := e.counts[key]
		if all == nil {
			if len(e.counts) >= maxRollouts {
				continue
			}
			all = &peerCounts{sum: rollout.Totals{}, peers: map[entity.InstanceID]rollout.Totals{}}
			e.counts[key] = all
		}
		if all.peers[id] == nil {
			all.peers[id] = rollout.Totals{}
		}
		stratum := rollout.Stratum{Route: c.Route, Zone: string(c.Zone)}
		known, sum := countsOf(all.peers[id].At(stratum), c), countsOf(all.sum.At(stratum), c)
		if c.Answers < known.Answers {
			continue // an earlier report
		}
		later := rollout.Counts{Answers: c.Answers, Failed: c.Failed}
		copy(later.Latencies[:], c.Latencies)
		sum.Subtract(known)
		sum.Add(&later)
		*known = later
	}
}

// countsOf returns the counts in a pair to which reported ones belong.
func countsOf(p *rollout.Pair, c *service.RolloutCounts) *rollout.Counts {
	if c.New {
		return &p.New[min(max(c.Group, 0), rollout.Groups-1)]
	}
	return &p.Old
}

// ForgetRolloutPeer implements service.RolloutExchange. The counts of the peer are kept until the rollout ends.
func (s *Service) ForgetRolloutPeer(id entity.InstanceID) {
	s.exchange.mu.Lock()
	defer s.exchange.mu.Unlock()
	delete(s.exchange.peers, id)
}

// forget discards the counts of a rollout.
func (e *exchange) forget(name entity.ServiceName, to string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.counts, countsKey{name, to})
}

// retain discards the counts of all rollouts but the given ones. Peers report their counts again as long as they follow a rollout.
func (e *exchange) retain(followed map[entity.ServiceName]*state) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key := range e.counts {
		if r := followed[key.service]; r == nil || r.to != key.to {
			delete(e.counts, key)
		}
	}
}

// totals returns the sum of the counts of all peers for a rollout.
func (e *exchange) totals(name entity.ServiceName, to string) rollout.Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := rollout.Totals{}
	if all := e.counts[countsKey{name, to}]; all != nil {
		sum.Add(all.sum)
	}
	return sum
}

// timeout returns how long after its last heartbeat a peer is reachable.
func (p *peer) timeout() time.Duration {
	return min(max(minTimeout, missedHeartbeats*p.gap), maxTimeout)
}

// reachable returns the peers that may coordinate.
func (e *exchange) reachable(now time.Duration) []entity.InstanceID {
	e.mu.Lock()
	defer e.mu.Unlock()
	ids := make([]entity.InstanceID, 0, len(e.peers))
	for id, p := range e.peers {
		if !p.leaving && now-p.at < p.timeout() {
			ids = append(ids, id)
		}
	}
	return ids
}

// majority reports whether at least half of the instances that were reachable recently still are.
func (e *exchange) majority(now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	reachable, known := 1, 1
	for _, p := range e.peers {
		if now-p.at < p.timeout() {
			reachable++
		}
		if now-p.at < majorityWindow && !p.leaving {
			known++
		}
	}
	return 2*reachable >= known
}

// known returns the number of instances, itself included.
func (e *exchange) known() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return 1 + len(e.peers)
}

// applied reports whether all reachable peers send only to the new version and have no request in progress at old backends.
func (e *exchange) applied(name entity.ServiceName, to string, now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		if now-p.at >= max(appliedTimeout, p.timeout()) {
			continue
		}
		applies := false
		for i := range p.states {
			st := &p.states[i]
			if st.Service == name && st.To == to {
				applies = rollout.Phase(st.Phase) >= rollout.Switching && rollout.Phase(st.Phase) != rollout.RolledBack && st.OldInFlight == 0
			}
		}
		if !applies {
			return false
		}
	}
	return true
}

// applyReports applies the states that peers have reported.
func (s *Service) applyReports(t *kernel.Turn) {
	s.exchange.mu.Lock()
	pending := s.exchange.pending
	s.exchange.pending = nil
	s.exchange.mu.Unlock()
	for _, p := range pending {
		for i := range p.states {
			st := &p.states[i]
			s.seen = max(s.seen, st.Version)
			s.adopt(t, reportedState{
				service: st.Service, to: st.To, duration: st.Duration, phase: rollout.Phase(st.Phase), reason: st.Reason, version: st.Version,
				seenAt: p.at - st.Age, confirmedAt: p.at - st.Confirmed,
			})
		}
	}
}

// published is the state of a rollout as reports contain it.
type published struct {
	state               service.RolloutReportState
	seenAt, confirmedAt time.Duration
	traffic             *traffic // nil if the rollout has ended
	// keysAtOld means that the table of key ranges of this instance names owners of old versions, to which it may send requests at any
	// time, whatever the coordinator's table says. It counts as a request in progress there.
	keysAtOld bool
}

// RolloutReport implements service.RolloutExchange.
func (s *Service) RolloutReport(now time.Duration) *service.RolloutReport {
	list := s.exchange.self.Load()
	if list == nil || len(*list) == 0 {
		return nil
	}
	r := &service.RolloutReport{}
	for i := range *list {
		p := &(*list)[i]
		st := p.state
		st.Age, st.Confirmed = now-p.seenAt, now-p.confirmedAt
		st.OldInFlight = s.flights.old(st.Service, st.To)
		if p.keysAtOld {
			st.OldInFlight++
		}
		r.States = append(r.States, st)
		if p.traffic != nil {
			r.Counts = append(r.Counts, p.traffic.counts(st.Service, st.To)...)
		}
	}
	return r
}
