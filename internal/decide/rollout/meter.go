package rollout

import "time"

const (
	// maxCredit bounds the requests that a new version may get at once after a time without usable canaries. Where the key determines
	// the backend, requests cannot wait for credit, and maxOwnerCredit lets through as many as chance brings together.
	maxCredit      = 3
	maxOwnerCredit = 1000
	// reservationTime is how long a request that was given to the new version may take until it is sent. A request that found no free
	// slot is not sent at all.
	reservationTime = 200 * time.Millisecond
	// burstPart is the part of the slack that the bursts of all instances use together.
	burstPart = 0.5
	// burstShare is the share by which the burst raises that of the new version until it is used up. Sent at once, it would be answered
	// before the old version has given enough answers to compare with.
	burstShare = 0.15
)

// Burst returns the number of requests that one of the instances may send to a new version beside its share. Slack is the number that
// all instances together may send.
func Burst(slack float64, instances int) float64 {
	return burstPart * slack / float64(max(instances, 1))
}

// Meter limits the requests of one instance to the new version: sent to new <= share x sent + burst. The sum of the requests of all
// instances then keeps to the same share without messages. It is not safe for concurrent use.
type Meter struct {
	credit, burst, limit float64
	reserved             int
	reservedAt           time.Duration
}

// NewMeter returns a meter with a burst for requests that any backend can serve.
func NewMeter(burst float64) *Meter { return &Meter{burst: burst, limit: maxCredit} }

// NewOwnerMeter returns a meter with a burst for requests whose key determines the backend.
func NewOwnerMeter(burst float64) *Meter { return &Meter{credit: burst, limit: maxOwnerCredit} }

// Reserve reports whether a request may be sent to the new version now, and reserves credit for it.
func (m *Meter) Reserve(now time.Duration) bool {
	if now-m.reservedAt > reservationTime {
		m.reserved = 0
	}
	if m.credit-float64(m.reserved) < 1 {
		return false
	}
	m.reserved++
	m.reservedAt = now
	return true
}

// Sent counts a request of the service that was sent while the given share was in force.
func (m *Meter) Sent(toNew bool, share float64) {
	extra := min(m.burst, burstShare)
	m.burst -= extra
	m.credit = min(m.credit+share+extra, m.limit)
	if !toNew {
		return
	}
	m.credit--
	if m.reserved > 0 {
		m.reserved--
	}
}
