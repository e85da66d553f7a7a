package lease

import (
	"math"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
)

// never is the time of a proof that does not exist. A cut-off hold can be added to it without overflow.
const never = time.Duration(math.MinInt64 / 4)

// proofs holds the proofs that this instance may act. Their times are on the kernel's clock and never later than the
// actual proof.
type proofs struct {
	// offset is the offset of the next control record to apply.
	offset entity.Offset
	// freshAt: every control record appended before then has been applied.
	freshAt time.Duration
	// authorityAt is when the claims were sent with which the zone last won its authority.
	authorityAt time.Duration
}

func newProofs() proofs { return proofs{freshAt: never, authorityAt: never} }

// read applies a read of the log by this instance.
func (e *proofs) read(m service.LogRead) {
	e.offset = max(e.offset, m.Offset)
	if m.AtTail {
		e.freshAt = max(e.freshAt, m.Started)
	}
}

// relayed applies a peer's answer to a heartbeat that was sent at sentAt. At that time the peer's proofs were at most
// as old as their ages. A peer that has applied more of the log than this instance proves nothing for it: its proofs
// belong to its own view, in which partitions may have other owners. The authority also proves that no customer key was
// withdrawn, so it counts only if the peer's configuration is not newer than configVersion, the own one.
func (e *proofs) relayed(sentAt time.Duration, r service.HeartbeatResponse, sameZone bool, configVersion uint64) {
	if r.ControlOffset > e.offset {
		return
	}
	if r.FreshnessAge >= 0 {
		e.freshAt = max(e.freshAt, sentAt-service.LongestAge(r.FreshnessAge))
	}
	if sameZone && r.AuthorityAge >= 0 && r.ConfigVersion <= configVersion {
		e.authorityAt = max(e.authorityAt, sentAt-service.LongestAge(r.AuthorityAge))
	}
}

// age returns the age of a proof, service.UnknownAge if there is none.
func age(now, at time.Duration) time.Duration {
	if at == never {
		return service.UnknownAge
	}
	return max(0, now-at)
}
