package dispatch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

const (
	// maxZoneMembers bounds the instances of a former owner's zone that are asked.
	maxZoneMembers = 16
	// collectBatch is the number of partitions in one call, which keeps an answer under the peer protocol's limit.
	collectBatch = 16
)

// assignment is a partition whose memory is needed.
type assignment struct {
	part     outcome.PartitionKey
	epoch    entity.Epoch
	revision int // of its history
}

// collection is the gathering of a partition's memory at the start of a primary's term or of an epoch.
type collection struct {
	assignment
	term entity.Term
	done chan struct{} // closed when the memory is in place
}

// startCollecting begins to gather the memory of the assignments for which that has not been done. The caller holds the
// lock.
func (l *lane) startCollecting(p *plan, assignments []assignment) {
	var needed []assignment
	done := make(chan struct{})
	for _, a := range assignments {
		c := l.collections[a.part]
		if c != nil && c.assignment == a && c.term == l.term {
			continue
		}
		l.collections[a.part] = &collection{a, l.term, done}
		needed = append(needed, a)
	}
	if len(needed) == 0 {
		return
	}
	l.svc.work(func(ctx context.Context) {
		l.collect(ctx, p, needed)
		close(done)
	})
}

// awaitMemory waits until the memory of the flight's partition is in place.
func (l *lane) awaitMemory(ctx context.Context, f *flight, p *plan, term entity.Term) (entity.Outcome, bool) {
	l.mu.Lock()
	l.setTerm(term, l.svc.kernel.Now())
	l.startCollecting(p, []assignment{{f.part, f.req.Epoch, p.past[f.part].revision}})
	done := l.collections[f.part].done
	l.mu.Unlock()
	select {
	case <-done:
		return entity.Outcome{}, true
	case <-ctx.Done():
		return entity.NotRun(entity.ReasonCanceled, "canceled before queueing"), false
	case <-l.svc.ctx.Done():
		return entity.NotRun(entity.ReasonStopping, ""), false
	}
}

// begin asks the memory whether the flight may run.
func (l *lane) begin(f *flight) outcome.Verdict {
	now := l.svc.kernel.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.memory.Begin(&outcome.Request{
		Key:         f.key,
		Fingerprint: f.suspect.Fingerprint,
		Partition:   f.part.Partition,
		Epoch:       f.req.Epoch,
		Age:         f.req.Age,
	}, now)
	f.recorded = v.Decision == outcome.DecideRun
	return v
}

// forget withdraws a request that is not sent.
func (l *lane) forget(f *flight) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(f, l.svc.kernel.Now())
}

// collect asks the members that can know requests of the partitions and adds what they know to the memory.
func (l *lane) collect(ctx context.Context, p *plan, needed []assignment) {
	s := l.svc
	ctx, cancel := context.WithTimeout(ctx, s.settings.CollectTimeout)
	defer cancel()
	partitions := partitionsOf(p, needed)
	own, self := s.KnownOutcomes(l.service, partitions)
	groups := s.groupsToAsk(p, needed)
	reports := s.askAll(ctx, l.service, partitions, groups)
	records := own
	for _, r := range reports {
		records = append(records, r.records...)
	}
	now := s.kernel.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.memory.Import(records, now)
	for _, a := range needed {
		since := horizonOf(p, a.part, groups, reports, records, now-self, now)
		l.memory.SetHorizon(a.part, a.epoch, since, now)
	}
	// The new primary and one more member hold all records again, so that another loss is survived.
	if len(p.peers) > 0 {
		l.post(l.memory.Export(keysOf(l.service, partitions), now)...)
	}
	telemetry.EventCollected.Log(s.log, zap.String("backend", string(l.id)),
		zap.Int("partitions", len(needed)), zap.Int("members", len(reports)), zap.Int("records", len(records)))
}

// partitionsOf returns the partitions to ask for: the needed ones and those that shared keys with them.
func partitionsOf(p *plan, needed []assignment) []entity.Partition {
	seen := map[entity.Partition]bool{}
	var partitions []entity.Partition
	add := func(q entity.Partition) {
		if !seen[q] {
			seen[q] = true
			partitions = append(partitions, q)
		}
	}
	for _, a := range needed {
		add(a.part.Partition)
		for _, q := range p.past[a.part].also {
			add(q)
		}
	}
	return partitions
}

func keysOf(name entity.ServiceName, partitions []entity.Partition) []outcome.PartitionKey {
	keys := make([]outcome.PartitionKey, 0, len(partitions))
	for _, q := range partitions {
		keys = append(keys, outcome.PartitionKey{Service: name, Partition: q})
	}
	return keys
}

// memberGroup is a set of members that share the records of a back end. The own lease group has an empty zone.
type memberGroup struct {
	zone    entity.Zone
	members []ownership.Member
}

// groupsToAsk returns the own lease group and the members of the zones of former owners.
func (s *Service) groupsToAsk(p *plan, needed []assignment) []memberGroup {
	groups := []memberGroup{{members: p.peers}}
	asked := map[entity.Zone]bool{s.self.Zone: true, "": true}
	for _, a := range needed {
		zone := p.past[a.part].zone
		if asked[zone] {
			continue
		}
		asked[zone] = true
		g := memberGroup{zone: zone}
		for _, m := range p.view.Members {
			if m.Zone == zone {
				g.members = append(g.members, m)
			}
		}
		groups = append(groups, g)
	}
	return groups
}

// memberReport is what one member answered.
type memberReport struct {
	records []outcome.Record
	since   time.Duration // it has everything that it was given since then
}

// askAll asks all members at once. Members that do not answer in time are absent from the result.
func (s *Service) askAll(ctx context.Context, name entity.ServiceName, partitions []entity.Partition,
	groups []memberGroup) map[entity.InstanceID]memberReport {
	var mu sync.Mutex
	var asking sync.WaitGroup
	reports := map[entity.InstanceID]memberReport{}
	for _, g := range groups {
		for _, m := range g.members[:min(len(g.members), maxZoneMembers)] {
			asking.Go(func() {
				r, err := s.ask(ctx, m.Address, name, partitions)
				if err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				reports[m.ID] = r
			})
		}
	}
	asking.Wait()
	return reports
}

// ask collects from one member, some partitions at a time.
func (s *Service) ask(ctx context.Context, address string, name entity.ServiceName, partitions []entity.Partition) (
	memberReport, error) {
	var report memberReport
	for len(partitions) > 0 {
		n := min(len(partitions), collectBatch)
		records, age, err := s.copier.CollectOutcomes(ctx, address, name, partitions[:n])
		if err != nil {
			return memberReport{}, err
		}
		partitions = partitions[n:]
		report.records = append(report.records, records...)
		report.since = max(report.since, s.kernel.Now()-age)
	}
	return report, nil
}

// horizonOf returns the time since which the memory of the partition is complete.
func horizonOf(p *plan, part outcome.PartitionKey, groups []memberGroup, reports map[entity.InstanceID]memberReport,
	records []outcome.Record, self, now time.Duration) time.Duration {
	past := p.past[part]
	since := time.Duration(0)
	for _, g := range groups {
		if g.zone != "" && g.zone != past.zone {
			continue
		}
		var members []time.Duration
		if g.zone == "" {
			members = append(members, self)
			for _, r := range p.removed {
				members = append(members, r.at)
			}
		}
		for _, m := range g.members {
			if r, ok := reports[m.ID]; ok {
				members = append(members, r.since)
			} else {
				members = append(members, now)
			}
		}
		since = max(since, outcome.Horizon(members, records, part, now))
		for _, q := range past.also {
			other := outcome.PartitionKey{Service: part.Service, Partition: q}
			since = max(since, outcome.Horizon(members, records, other, now))
		}
	}
	if past.born && since <= past.bornAt {
		// No request can have run on the partition before it was born.
		return -unlimited
	}
	return since
}

// unlimited is longer than any idempotency window.
const unlimited = 365 * 24 * time.Hour
