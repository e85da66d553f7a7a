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
	// maxAsked bounds the instances that are asked: the own lease group and a few groups of former owners. A member that is
	// not asked counts as one that did not answer.
	maxAsked = 32
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
func (l *backendQueue) startCollecting(p *plan, assignments []assignment) {
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
func (l *backendQueue) awaitMemory(ctx context.Context, f *flight, p *plan, term entity.Term) (entity.Outcome, bool) {
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
func (l *backendQueue) begin(f *flight) outcome.Verdict {
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
func (l *backendQueue) forget(f *flight) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(f, l.svc.kernel.Now())
}

// collect asks the members that can know requests of the partitions and adds what they know to the memory.
func (l *backendQueue) collect(ctx context.Context, p *plan, needed []assignment) {
	s := l.svc
	ctx, cancel := context.WithTimeout(ctx, s.settings.CollectTimeout)
	defer cancel()
	partitions := partitionsOf(p, needed)
	records, _ := s.KnownOutcomes(l.service, partitions)
	answers := s.askAll(ctx, l.service, partitions, membersToAsk(p, s.self.ID, needed))
	for _, r := range answers {
		records = append(records, r.records...)
	}
	now := s.kernel.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.memory.Import(records, now)
	for _, a := range needed {
		since := l.horizonOf(p, a.part, answers, records, now)
		l.memory.SetHorizon(a.part, a.epoch, since, now)
	}
	// The new primary and one more member hold all records again, so that another loss is survived.
	l.repairAt = now + repairDelay
	if len(p.peers) > 0 {
		l.post(l.memory.Export(keysOf(l.service, partitions), now)...)
	}
	telemetry.EventCollected.Log(s.log, zap.String("backend", string(l.id)),
		zap.Int("partitions", len(needed)), zap.Int("members", len(answers)), zap.Int("records", len(records)))
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

// membersToAsk returns the own lease group and the groups that served former owners.
func membersToAsk(p *plan, self entity.InstanceID, needed []assignment) []ownership.Member {
	asked := map[entity.InstanceID]bool{self: true}
	var members []ownership.Member
	add := func(group []ownership.Member) {
		for _, m := range group {
			if !asked[m.ID] {
				asked[m.ID] = true
				members = append(members, m)
			}
		}
	}
	add(p.peers)
	for _, a := range needed {
		add(p.past[a.part].former)
	}
	return members[:min(len(members), maxAsked)]
}

// memberReport is what one member answered.
type memberReport struct {
	records []outcome.Record
	since   time.Duration // it has everything that it was given since then
}

// reports holds the answers by member. Members that did not answer in time are absent.
type reports map[entity.InstanceID]memberReport

// askAll asks all members at once.
func (s *Service) askAll(ctx context.Context, name entity.ServiceName, partitions []entity.Partition,
	members []ownership.Member) reports {
	var mu sync.Mutex
	var asking sync.WaitGroup
	answers := reports{}
	for _, m := range members {
		asking.Go(func() {
			r, err := s.ask(ctx, m.Address, name, partitions)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers[m.ID] = r
		})
	}
	asking.Wait()
	return answers
}

// since returns for each member the time since which it has everything, which is now if it did not answer.
func (r reports) since(members []ownership.Member, now time.Duration) []time.Duration {
	times := make([]time.Duration, 0, len(members)+1)
	for _, m := range members {
		at := now
		if answer, ok := r[m.ID]; ok {
			at = answer.since
		}
		times = append(times, at)
	}
	return times
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

// horizonOf returns the time since which the memory of the partition is complete: both the own group, which has the
// requests since the back end owns the partition, and the group of the former owner must have everything since then.
func (l *backendQueue) horizonOf(p *plan, part outcome.PartitionKey, answers reports, records []outcome.Record,
	now time.Duration) time.Duration {
	past := p.past[part]
	own := append(answers.since(p.peers, now), l.svc.started)
	for _, r := range p.removed {
		own = append(own, r.at)
	}
	groups := [][]time.Duration{own}
	if len(past.former) > 0 {
		answers[l.svc.self.ID] = memberReport{since: l.svc.started}
		groups = append(groups, answers.since(past.former, now))
	}
	since := time.Duration(0)
	for _, group := range groups {
		since = max(since, outcome.Horizon(group, records, part, now))
		for _, q := range past.also {
			other := outcome.PartitionKey{Service: part.Service, Partition: q}
			since = max(since, outcome.Horizon(group, records, other, now))
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
