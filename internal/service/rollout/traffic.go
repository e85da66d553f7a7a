package rollout

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollenpier/pollenpier/internal/catalog"
	"github.com/pollenpier/pollenpier/internal/decide/rollout"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

const (
	// serverErrors is the lowest HTTP status that reports a failure of the backend.
	serverErrors = 500
	// crashWindow is the time within which broken answers of one backend count as one failure: a process that ends breaks all that it
	// is giving.
	crashWindow = 500 * time.Millisecond
)

// traffic contains what traffic goroutines need for the rollout of one service, and what they count.
type traffic struct {
	to          string
	partitioned bool
	// limit is the exposure limit, a fraction.
	limit float64
	rules atomic.Pointer[rules]

	mu     sync.Mutex
	meter  *rollout.Meter
	totals rollout.Totals
	broken map[entity.BackendID]time.Duration // when the last broken answer of a backend was counted
}

// rules is what the control goroutine has decided. It is immutable.
type rules struct {
	phase      rollout.Phase
	share      float64
	freshUntil time.Duration
	tripped    bool
	canaries   map[entity.BackendID]bool
	groups     map[entity.BackendID]int
	rejected   map[string]bool
	// oldListed means that there are backends of the old version.
	oldListed bool
}

func newTraffic(to string, partitioned bool, limit, burst float64) *traffic {
	t := &traffic{to: to, partitioned: partitioned, limit: limit, totals: rollout.Totals{}, broken: map[entity.BackendID]time.Duration{}}
	if partitioned {
		t.meter = rollout.NewOwnerMeter(burst)
	} else {
		t.meter = rollout.NewMeter(burst)
	}
	t.rules.Store(&rules{phase: rollout.Running, oldListed: true})
	return t
}

// of returns the traffic of a service with a rollout, nil for other services.
func (s *Service) of(name entity.ServiceName) *traffic {
	all := s.traffic.Load()
	if all == nil {
		return nil
	}
	return (*all)[name]
}

// RolloutView implements service.RolloutTracker.
func (s *Service) RolloutView() *service.RolloutView { return s.view.Load() }

// Candidates implements service.RolloutTracker.
func (s *Service) Candidates(name entity.ServiceName, usable []*catalog.Backend, now time.Duration) []*catalog.Backend {
	t := s.of(name)
	if t == nil || len(usable) == 0 {
		return usable
	}
	return t.candidates(usable, now)
}

func (t *traffic) candidates(usable []*catalog.Backend, now time.Duration) []*catalog.Backend {
	r := t.rules.Load()
	newer, older, canaries := make([]*catalog.Backend, 0, len(usable)), make([]*catalog.Backend, 0, len(usable)), []*catalog.Backend(nil)
	for _, b := range usable {
		switch {
		case r.rejected[b.Version]:
		case b.Version != t.to:
			older = append(older, b)
		default:
			newer = append(newer, b)
			if r.canaries[b.ID] {
				canaries = append(canaries, b)
			}
		}
	}
	switch {
	case r.phase == rollout.Running && len(canaries) > 0 && len(older) > 0 && r.allowed(now) && t.reserve(now):
		return canaries
	case r.phase == rollout.Running || r.phase == rollout.RolledBack || r.tripped && r.phase == rollout.Switching:
		return firstOf(older, newer, usable)
	default:
		return firstOf(newer, older, usable)
	}
}

// allowed reports whether the new version may get requests in the phase Running.
func (r *rules) allowed(now time.Duration) bool { return !r.tripped && now < r.freshUntil }

// firstOf returns the first list that is not empty. Serving takes precedence over the version.
func firstOf(lists ...[]*catalog.Backend) []*catalog.Backend {
	for _, l := range lists {
		if len(l) > 0 {
			return l
		}
	}
	return nil
}

func (t *traffic) reserve(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.meter.Reserve(now)
}

// MayUseOwner implements service.RolloutTracker.
func (s *Service) MayUseOwner(name entity.ServiceName, owner *catalog.Backend, now time.Duration) bool {
	t := s.of(name)
	if t == nil {
		return true
	}
	r := t.rules.Load()
	switch {
	case !r.oldListed:
		return true // serving takes precedence over comparing
	case r.rejected[owner.Version]:
		return false
	case owner.Version != t.to:
		return true
	case r.phase == rollout.RolledBack || r.tripped:
		return false
	case r.phase == rollout.Running:
		return r.allowed(now) && t.reserve(now)
	default:
		return true
	}
}

// Sent implements service.RolloutTracker.
func (s *Service) Sent(name entity.ServiceName, b *catalog.Backend) {
	if !s.enabled() {
		return
	}
	s.flights.add(name, b.Version, 1)
	t := s.of(name)
	if t == nil {
		return
	}
	share := t.rules.Load().share
	if t.partitioned {
		share = t.limit
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.meter.Sent(b.Version == t.to, share)
}

// Finished implements service.RolloutTracker.
func (s *Service) Finished(
	name entity.ServiceName, route string, b *catalog.Backend, cold bool, result *service.DeliveryResult, took, now time.Duration,
) {
	if !s.enabled() {
		return
	}
	s.flights.add(name, b.Version, -1)
	t := s.of(name)
	if t == nil || cold {
		return
	}
	if kind := classify(result); kind != ignored {
		t.count(kind, route, b, took, now)
	}
}

// answer is what an answer says about the version of its backend.
type answer uint8

const (
	// ignored answers say nothing: the request has not run, or the caller or this instance ended it.
	ignored answer = iota
	succeeded
	failed
	// broken answers were not complete. A process that ends breaks several at one time.
	broken
)

func classify(r *service.DeliveryResult) answer {
	switch {
	case r.Misdirected || r.Outcome.Kind == entity.OutcomeNotRun || r.Outcome.IsCanceled():
		return ignored
	case r.Status >= serverErrors:
		return failed
	case r.Outcome.Kind == entity.OutcomeAnswered || r.Outcome.Reason == entity.ReasonDeadline:
		return succeeded // an answer that did not come in time counts by its latency
	case r.Outcome.Reason == entity.ReasonShed:
		return ignored
	default:
		return broken
	}
}

// count counts an answer.
func (t *traffic) count(kind answer, route string, b *catalog.Backend, took, now time.Duration) {
	r := t.rules.Load()
	if r.rejected[b.Version] || r.phase.Ended() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if kind == broken {
		if last, ok := t.broken[b.ID]; ok && now-last < crashWindow {
			return
		}
		t.broken[b.ID] = now
	}
	pair := t.totals.At(rollout.Stratum{Route: route, Zone: string(b.Zone)})
	n := &pair.Old
	if b.Version == t.to {
		n = &pair.New[r.groups[b.ID]]
	}
	n.Answers++
	if kind == succeeded {
		n.Latencies[rollout.Bucket(took)]++
	} else {
		n.Failed++
	}
}

// copyTotals returns a copy of the counts.
func (t *traffic) copyTotals() rollout.Totals {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := rollout.Totals{}
	sum.Add(t.totals)
	return sum
}

// counts returns the counts as reports contain them. Their order differs from call to call (that of a map), so that each is reported
// again and again even if a report has no room for all.
func (t *traffic) counts(name entity.ServiceName, to string) []service.RolloutCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]service.RolloutCounts, 0, 2*len(t.totals))
	add := func(s rollout.Stratum, isNew bool, group int, n *rollout.Counts) {
		if n.Answers == 0 {
			return
		}
		last := len(n.Latencies)
		for last > 0 && n.Latencies[last-1] == 0 {
			last--
		}
		list = append(list, service.RolloutCounts{
			Service: name, To: to, Route: s.Route, Zone: entity.Zone(s.Zone), New: isNew, Group: group, Answers: n.Answers, Failed: n.Failed,
			Latencies: slices.Clone(n.Latencies[:last]),
		})
	}
	for s, p := range t.totals {
		add(s, false, 0, &p.Old)
		for g := range p.New {
			add(s, true, g, &p.New[g])
		}
	}
	return list
}

// flights counts the requests in progress by service and version. It counts them also without a rollout: requests that were sent before
// an order was seen must have ended before old backends stop.
type flights struct {
	services sync.Map // of entity.ServiceName to *versionFlights
}

// versionFlights contains the counters of one service. Versions are added to a new copy of the list.
type versionFlights struct {
	mu   sync.Mutex
	list atomic.Pointer[[]*flight]
}

type flight struct {
	version string
	n       atomic.Int64
}

// maxVersions bounds the versions of a service that are counted apart. Further ones are counted together with the last.
const maxVersions = 32

func (f *flights) add(name entity.ServiceName, version string, n int64) {
	v, ok := f.services.Load(name)
	if !ok {
		v, _ = f.services.LoadOrStore(name, &versionFlights{})
	}
	v.(*versionFlights).of(version).n.Add(n)
}

func (v *versionFlights) of(version string) *flight {
	if found := v.find(version); found != nil {
		return found
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if found := v.find(version); found != nil {
		return found
	}
	added := &flight{version: version}
	var list []*flight
	if old := v.list.Load(); old != nil {
		list = append(list, *old...)
	}
	list = append(list, added)
	v.list.Store(&list)
	return added
}

// find returns the counter of a version, or nil if it has none yet.
func (v *versionFlights) find(version string) *flight {
	list := v.list.Load()
	if list == nil {
		return nil
	}
	for _, f := range *list {
		if f.version == version {
			return f
		}
	}
	if len(*list) >= maxVersions {
		return (*list)[maxVersions-1]
	}
	return nil
}

// old returns the number of requests in progress at backends of other versions than to.
func (f *flights) old(name entity.ServiceName, to string) int {
	v, ok := f.services.Load(name)
	if !ok {
		return 0
	}
	list := v.(*versionFlights).list.Load()
	if list == nil {
		return 0
	}
	sum := int64(0)
	for _, x := range *list {
		if x.version != to {
			sum += x.n.Load()
		}
	}
	return int(max(sum, 0))
}
