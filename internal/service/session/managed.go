package session

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// attended is the state of a back end whose lease this instance holds. All times are on the kernel's clock.
type attended struct {
	profile
	term entity.Term
	// generation tells results and timers of this state from those of an earlier one of the same back end.
	generation uint64
	ctx        context.Context // ends with the state, and all its calls with it
	stop       context.CancelFunc
	// gainedAt is when this instance became primary, not before the end of the former primary's lease.
	gainedAt time.Duration
	wakeAt   time.Duration // of the pending timer, never if there is none

	// The session as the back end last reported it. StartID is empty before the first report.
	startID string
	stamp   uint64
	lapses  uint64
	// stampAt is when the stamp was received. The back end read its clock before that.
	stampAt time.Duration
	// seenAt is when the last answered renewal was sent: the process with startID was alive after that.
	seenAt time.Duration
	// extendedFrom bounds the session: it ends SessionTTL after this time, on the back end's clock. It is the receipt of
	// the newest stamp that any renewal carried. A former primary carried none that it had received after its lease, so the
	// bound starts at gainedAt.
	extendedFrom time.Duration

	nextRenew    time.Duration
	renewing     bool
	failingSince time.Duration // of the first failed renewal since the last success, never if there is none
	outranked    bool          // the back end has accepted a higher term

	lost      bool
	lostAt    time.Duration
	answering bool // the last probe of a lost back end was answered
	probing   bool
	nextProbe time.Duration
	backoff   time.Duration
	// corrected is the offset of the report in the log that the back end is down which was answered with BackendRecovered.
	corrected entity.Offset

	assigned assignment
	source   *ownership.ServiceView // of assigned
	// granted are the grants that the back end has acknowledged in this session.
	granted   partitionSet
	granting  bool
	nextGrant time.Duration

	releases   map[service.PartitionEpoch]*release
	revoking   bool
	nextRevoke time.Duration
	// lapsedReleases are partitions that were released by a lapse. A lost back end that returns must revoke them before its session
	// is renewed, since a grant that was delayed on its way might arrive after the lapse.
	lapsedReleases partitionSet
	// foreignUntil is how long requests of a former primary may run on a back end that does not check tokens. That primary
	// may have sent them up to the end of its lease, so MaxRun counts from gainedAt.
	foreignUntil time.Duration
	// notBefore delays releases after a change of address, while the process at the old address may hold its session.
	notBefore time.Duration
}

// release is a moving partition on its way to the proof that its old owner has stopped.
type release struct {
	drained   bool          // dispatch has nothing in flight
	drainedAt time.Duration // when dispatch said so
	until     time.Duration // requests without a known end may run until then
	revoked   bool          // the back end has acknowledged the revocation
	reported  bool          // ReleaseReady has been sent
}

// newAttended returns the state of a back end whose lease was gained now.
func newAttended(p profile, term entity.Term, generation uint64, now time.Duration) *attended {
	ctx, stop := context.WithCancel(context.Background())
	return &attended{
		profile:        p,
		term:           term,
		generation:     generation,
		ctx:            ctx,
		stop:           stop,
		gainedAt:       now,
		wakeAt:         never,
		extendedFrom:   now,
		nextRenew:      now,
		failingSince:   never,
		granted:        partitionSet{},
		releases:       map[service.PartitionEpoch]*release{},
		lapsedReleases: partitionSet{},
		foreignUntil:   now + withDrift(p.maxRun),
	}
}

// lapsesAt returns the time from which on the session has provably lapsed, unless it is renewed.
func (a *attended) lapsesAt(ttl time.Duration) time.Duration { return a.extendedFrom + withDrift(ttl) }

// missing returns the grants that the back end has not acknowledged.
func (a *attended) missing() []service.PartitionEpoch {
	return sortedParts(a.assigned.owned, func(p service.PartitionEpoch) bool {
		_, ok := a.granted[p]
		return !ok
	})
}

// sortedParts returns the members of a set that the filter accepts, in a fixed order.
func sortedParts(set partitionSet, accept func(service.PartitionEpoch) bool) []service.PartitionEpoch {
	var parts []service.PartitionEpoch
	for p := range set {
		if accept(p) {
			parts = append(parts, p)
		}
	}
	slices.SortFunc(parts, compareParts)
	return parts
}

func compareParts(a, b service.PartitionEpoch) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Partition, b.Partition), cmp.Compare(a.Epoch, b.Epoch))
}
