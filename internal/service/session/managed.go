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

// never is a time that is never reached.
const never = time.Duration(math.MaxInt64)

// managedBackend is the state of a backend whose lease this instance holds. All times are on the kernel's clock.
type managedBackend struct {
	profile
	term entity.Term
	// generation distinguishes results and timers of this state from those of an earlier state of the same backend.
	generation uint64
	ctx        context.Context // of all calls, canceled when the state is dropped
	stop       context.CancelFunc
	// gainedAt is when this instance became primary, which is not before the end of the previous primary's lease.
	gainedAt time.Duration
	wakeAt   time.Duration // of the pending timer, never if there is none

	// The session as the backend last reported it. startID is empty before the first report.
	startID string
	stamp   uint64
	lapses  uint64
	// stampAt is when the stamp was received. The backend read its clock before that.
	stampAt time.Duration
	// seenAt is when the last answered renewal was sent: the process with startID was running after that.
	seenAt time.Duration
	// extendedFrom bounds the session: it ends SessionTTL after this time, on the backend's clock. It is the receipt time of
	// the newest stamp that any renewal contained. A previous primary's renewals contained no stamp that was received after
	// its lease, so the bound starts at gainedAt.
	extendedFrom time.Duration

	nextRenew    time.Duration
	renewing     bool
	failingSince time.Duration // of the first failed renewal since the last success, never if there is none
	superseded   bool          // the backend has accepted a higher term

	lost      bool
	lostAt    time.Duration
	answering bool // the last probe of a lost backend was answered
	probing   bool
	nextProbe time.Duration
	backoff   time.Duration
	// correctedReport is the offset of the log record that reported the backend as down and that was answered with
	// BackendRecovered.
	correctedReport entity.Offset

	assigned assignment
	source   *ownership.ServiceView // from which assigned was read
	// granted holds the grants that the backend has acknowledged in this session.
	granted   partitionSet
	granting  bool
	nextGrant time.Duration

	releases   map[service.PartitionEpoch]*release
	revoking   bool
	nextRevoke time.Duration
	// lapsedReleases holds the partitions that were released by a lapse. When a lost backend recovers, they must be revoked
	// before its session is renewed, since a delayed grant might arrive after the lapse.
	lapsedReleases partitionSet
	// previousPrimaryUntil is the time until which requests of a previous primary may run on a backend that does not check
	// tokens. That primary may have sent them until the end of its lease, so max_run counts from gainedAt.
	previousPrimaryUntil time.Duration
	// notBefore delays releases after a change of address, while the process at the old address may have a valid session.
	notBefore time.Duration
}

// release is the progress of a moving partition towards the proof that its old owner has stopped.
type release struct {
	drained   bool          // dispatch has no requests in flight
	drainedAt time.Duration // when dispatch reported that
	until     time.Duration // requests without a known end may run until then
	revoked   bool          // the backend has acknowledged the revocation
	reported  bool          // ReleaseReady has been sent
}

// newManaged returns the state of a backend whose lease was gained now.
func newManaged(p profile, term entity.Term, generation uint64, now time.Duration) *managedBackend {
	ctx, stop := context.WithCancel(context.Background())
	return &managedBackend{
		profile:              p,
		term:                 term,
		generation:           generation,
		ctx:                  ctx,
		stop:                 stop,
		gainedAt:             now,
		wakeAt:               never,
		extendedFrom:         now,
		nextRenew:            now,
		failingSince:         never,
		granted:              partitionSet{},
		releases:             map[service.PartitionEpoch]*release{},
		lapsedReleases:       partitionSet{},
		previousPrimaryUntil: now + withDrift(p.maxRun),
	}
}

// lapsesAt returns the time at which the session has provably lapsed, unless it is renewed.
func (b *managedBackend) lapsesAt(ttl time.Duration) time.Duration {
	return b.extendedFrom + withDrift(ttl)
}

// missing returns the grants that the backend has not acknowledged.
func (b *managedBackend) missing() []service.PartitionEpoch {
	return sortedPartitions(b.assigned.owned, func(p service.PartitionEpoch) bool {
		_, ok := b.granted[p]
		return !ok
	})
}

// sortedPartitions returns the elements of the set that the filter accepts, in a fixed order.
func sortedPartitions(set partitionSet, accept func(service.PartitionEpoch) bool) []service.PartitionEpoch {
	var partitions []service.PartitionEpoch
	for p := range set {
		if accept(p) {
			partitions = append(partitions, p)
		}
	}
	slices.SortFunc(partitions, comparePartitions)
	return partitions
}

func comparePartitions(a, b service.PartitionEpoch) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Partition, b.Partition), cmp.Compare(a.Epoch, b.Epoch))
}
