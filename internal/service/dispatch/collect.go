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
	// maxCollectMembers bounds the instances that are asked: the own lease group and a few groups of previous owners. A
	// member that is not asked counts as one that did not answer.
	maxCollectMembers = 32
	// collectBatch is the number of partitions in one call, which keeps an answer under the peer protocol's limit.
	collectBatch = 16
)

// assignment is a partition whose idempotency memory is needed.
type assignment struct {
	partition outcome.PartitionKey
	epoch     entity.Epoch
	revision  int // of the partition's history
}

// collection is the retrieval of a partition's idempotency memory at the start of a primary's term or of an epoch.
type collection struct {
	assignment
	term entity.Term
	done chan struct{} // closed when the memory is available
}

// startCollecting starts to collect the memory of the assignments for which that has not been done. The caller holds the
// lock.
func (q *backendQueue) startCollecting(p *plan, assignments []assignment) {
	var needed []assignment
	done := make(chan struct{})
	for _, a := range assignments {
		c := q.collections[a.partition]
		if c != nil && c.assignment == a && c.term == q.term {
			continue
		}
		q.collections[a.partition] = &collection{a, q.term, done}
		needed = append(needed, a)
	}
	if len(needed) == 0 {
		return
	}
	q.svc.startWorker(func(ctx context.Context) {
		q.collect(ctx, p, needed)
		close(done)
	})
}

// awaitMemory waits until the memory of the flight's partition is available.
func (q *backendQueue) awaitMemory(ctx context.Context, f *flight, p *plan, term entity.Term) (entity.Outcome, bool) {
	q.mu.Lock()
	q.setTerm(term, q.svc.kernel.Now())
	q.startCollecting(p, []assignment{{f.partition, f.req.Epoch, p.histories[f.partition].revision}})
	done := q.collections[f.partition].done
	q.mu.Unlock()
	select {
	case <-done:
		return entity.Outcome{}, true
	case <-ctx.Done():
		return entity.NotRun(entity.ReasonCanceled, "canceled before queueing"), false
	case <-q.svc.ctx.Done():
		return entity.NotRun(entity.ReasonStopping, ""), false
	}
}

// begin checks the memory for whether the flight may run, and records it as running if so.
func (q *backendQueue) begin(f *flight) outcome.Verdict {
	now := q.svc.kernel.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	v := q.memory.Begin(&outcome.Request{
		Key:         f.key,
		Fingerprint: f.suspect.Fingerprint,
		Partition:   f.partition.Partition,
		Epoch:       f.req.Epoch,
		Age:         f.req.Age,
	}, now)
	f.recorded = v.Decision == outcome.DecideRun
	return v
}

// discard removes the record of a request that is not sent.
func (q *backendQueue) discard(f *flight) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordUnanswered(f, q.svc.kernel.Now())
}

// collect asks the members that may have records of the partitions' requests and adds these records to the memory.
func (q *backendQueue) collect(ctx context.Context, p *plan, needed []assignment) {
	s := q.svc
	ctx, cancel := context.WithTimeout(ctx, s.settings.CollectTimeout)
	defer cancel()
	partitions := partitionsOf(p, needed)
	records, _ := s.KnownOutcomes(q.service, partitions)
	answers := s.askAll(ctx, q.service, partitions, membersToAsk(p, s.self.ID, needed))
	for _, r := range answers {
		records = append(records, r.records...)
	}
	now := s.kernel.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.memory.Import(records, now)
	for _, a := range needed {
		since := q.horizonOf(p, a.partition, answers, records, now)
		q.memory.SetHorizon(a.partition, a.epoch, since, now)
	}
	// The records are copied to a peer again, so that the new primary and one more member hold all of them and another loss is
	// survived.
	q.repairAt = now + repairDelay
	if len(p.peers) > 0 {
		q.post(q.memory.Export(keysOf(q.service, partitions), now)...)
	}
	telemetry.EventCollected.Log(s.log, zap.String("backend", string(q.id)),
		zap.Int("partitions", len(needed)), zap.Int("members", len(answers)), zap.Int("records", len(records)))
}

// partitionsOf returns the partitions to ask for: the needed partitions and those that shared keys with them.
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
		add(a.partition.Partition)
		for _, q := range p.histories[a.partition].related {
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

// membersToAsk returns the members of the own lease group and of the groups that served previous owners.
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
		add(p.histories[a.partition].previousGroup)
	}
	return members[:min(len(members), maxCollectMembers)]
}

// memberReport is the answer of one member.
type memberReport struct {
	records []outcome.Record
	since   time.Duration // the member has every record that it received since then
}

// reports holds the answers by member. Members that did not answer in time are absent.
type reports map[entity.InstanceID]memberReport

// askAll asks all members at once.
func (s *Service) askAll(ctx context.Context, name entity.ServiceName, partitions []entity.Partition,
	members []ownership.Member) reports {
	var mu sync.Mutex
	var calls sync.WaitGroup
	answers := reports{}
	for _, m := range members {
		calls.Go(func() {
			r, err := s.ask(ctx, m.Address, name, partitions)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers[m.ID] = r
		})
	}
	calls.Wait()
	return answers
}

// since returns for each member the time since which it has every record. For a member that did not answer this is now.
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

// ask collects the records of one member in batches of partitions.
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

// horizonOf returns the completeness horizon of the partition: the own group, which has the requests since the backend
// became the owner of the partition, and the group of the previous owner must both have every record since then.
func (q *backendQueue) horizonOf(p *plan, key outcome.PartitionKey, answers reports, records []outcome.Record,
	now time.Duration) time.Duration {
	h := p.histories[key]
	own := append(answers.since(p.peers, now), q.svc.started)
	for _, r := range p.removed {
		own = append(own, r.at)
	}
	groups := [][]time.Duration{own}
	if len(h.previousGroup) > 0 {
		answers[q.svc.self.ID] = memberReport{since: q.svc.started}
		groups = append(groups, answers.since(h.previousGroup, now))
	}
	since := time.Duration(0)
	for _, group := range groups {
		since = max(since, outcome.Horizon(group, records, key, now))
		for _, relatedPartition := range h.related {
			other := outcome.PartitionKey{Service: key.Service, Partition: relatedPartition}
			since = max(since, outcome.Horizon(group, records, other, now))
		}
	}
	if h.unowned && since <= h.unownedAt {
		// No request can have run on the partition before it got its first owner.
		return -unlimited
	}
	return since
}

// unlimited is longer than any idempotency window.
const unlimited = 365 * 24 * time.Hour
