package lease

import (
	"math"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// never is the time of evidence that does not exist. It leaves room for a cut-off hold to be added.
const never = time.Duration(math.MinInt64 / 4)

// agePercent is added to relayed ages: the relaying clock may be 1% slow and the own one 1% fast.
const agePercent = 3

// evidence is what proves that this instance may act. Times are on the kernel's clock and never later than the proof.
type evidence struct {
	// offset is the offset of the next control record to apply.
	offset entity.Offset
	// freshAt: every control record appended before then has been applied.
	freshAt time.Duration
	// authorityAt is when the claims were sent with which the zone last won its authority.
	authorityAt time.Duration
}

func newEvidence() evidence { return evidence{freshAt: never, authorityAt: never} }

// read takes a read of the log by this instance.
func (e *evidence) read(m service.LogRead) {
	e.offset = max(e.offset, m.Offset)
	if m.AtTail {
		e.freshAt = max(e.freshAt, m.Started)
	}
}

// relayed takes a peer's answer to a heartbeat sent at sentAt. The peer's proofs are at least as old as their ages at that
// time. A peer that has applied more than this instance proves nothing for it: the proofs belong to the peer's view, in which
// partitions may have other owners. The authority also proves that no key was withdrawn, so that it counts only for a peer's
// configuration that is not newer than configVersion, the own one.
func (e *evidence) relayed(sentAt time.Duration, r service.HeartbeatResponse, sameZone bool, configVersion uint64) {
	if r.ControlOffset > e.offset {
		return
	}
	if r.FreshnessAge >= 0 {
		e.freshAt = max(e.freshAt, sentAt-stretched(r.FreshnessAge))
	}
	if sameZone && r.AuthorityAge >= 0 && r.ConfigVersion <= configVersion {
		e.authorityAt = max(e.authorityAt, sentAt-stretched(r.AuthorityAge))
	}
}

func stretched(age time.Duration) time.Duration { return age + age/100*agePercent }

// age returns the age of a proof, service.UnknownAge if there is none.
func age(now, at time.Duration) time.Duration {
	if at == never {
		return service.UnknownAge
	}
	return max(0, now-at)
}
