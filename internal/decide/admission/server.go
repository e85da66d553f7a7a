package admission

import (
	"math"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// instanceRetention is the time after which the last sequence of an instance without requests is forgotten. The sender has long
// given up any request that arrives later than that.
const instanceRetention = 10 * time.Second

// Server is the token server of a shard in one zone. It is not safe for concurrent use.
type Server struct {
	// grantsFrom is the time from which buckets fill. The tokens of a previous server have expired by then.
	grantsFrom time.Duration
	buckets    map[entity.CustomerID]*bucket
	instances  map[entity.InstanceID]lastRequest
	prunedAt   time.Duration
}

type lastRequest struct {
	sequence uint64
	at       time.Duration
}

// bucket is one customer's bucket. Invariant: level + outstanding <= burst, except that after the burst was lowered the level
// is negative until the tokens that were already granted have been refunded or have expired.
type bucket struct {
	limits  Limits
	level   float64
	at      time.Duration // time up to which the level has been filled
	batches []lease
}

type lease struct {
	instance entity.InstanceID
	sequence uint64
	granted  int
	left     int // granted and not reported as spent
	expires  time.Duration
}

// NewServer returns a server that took over its shard at time now. Its buckets start empty and begin to fill only when the
// tokens of a previous server have expired.
func NewServer(now time.Duration) *Server {
	return &Server{
		grantsFrom: now + serverTTL,
		buckets:    map[entity.CustomerID]*bucket{},
		instances:  map[entity.InstanceID]lastRequest{},
	}
}

// SetLimits sets the limits of all customers. Customers that are missing from the map are no longer admitted. Lower limits take
// effect at once; a higher burst is filled at the rate.
func (s *Server) SetLimits(now time.Duration, limits map[entity.CustomerID]Limits) {
	for customer, b := range s.buckets {
		if _, ok := limits[customer]; !ok {
			b.setLimits(now, Limits{})
		}
	}
	for customer, l := range limits {
		b, ok := s.buckets[customer]
		if !ok {
			b = &bucket{at: max(now, s.grantsFrom)}
			s.buckets[customer] = b
		}
		b.setLimits(now, l)
	}
}

// Lease answers a request at time now. A request that is not newer than the last one of its instance gets no tokens: it is a
// duplicate, or its sender has given it up and reported that.
func (s *Server) Lease(now time.Duration, r Request) Response {
	s.prune(now)
	response := Response{Holder: true}
	fresh := r.Sequence > s.instances[r.Instance].sequence
	if fresh {
		s.instances[r.Instance] = lastRequest{sequence: r.Sequence, at: now}
	}
	for _, d := range r.Demands {
		b, ok := s.buckets[d.Customer]
		if !ok {
			response.Grants = append(response.Grants, Grant{Customer: d.Customer, RetryAfter: maxRetry})
			continue
		}
		b.advance(now)
		for _, report := range d.Reports {
			b.report(r.Instance, report)
		}
		g := Grant{Customer: d.Customer}
		if fresh {
			g.Tokens = uint32(b.grant(now, r.Instance, r.Sequence, int(min(d.Want, maxWant))))
		}
		if g.Tokens < d.Want {
			g.RetryAfter = b.retry(now)
		}
		response.Grants = append(response.Grants, g)
	}
	return response
}

// prune forgets instances and removed customers that can no longer have outstanding tokens.
func (s *Server) prune(now time.Duration) {
	if now-s.prunedAt < instanceRetention {
		return
	}
	s.prunedAt = now
	for id, last := range s.instances {
		if now-last.at > instanceRetention {
			delete(s.instances, id)
		}
	}
	for customer, b := range s.buckets {
		b.advance(now)
		if b.limits == (Limits{}) && len(b.batches) == 0 {
			delete(s.buckets, customer)
		}
	}
}

func (b *bucket) setLimits(now time.Duration, l Limits) {
	b.advance(now)
	b.limits = l
	b.level = min(b.level, float64(l.Burst-b.outstanding()))
}

func (b *bucket) outstanding() int {
	sum := 0
	for _, l := range b.batches {
		sum += l.left
	}
	return sum
}

// advance drops expired batches and fills the bucket. Tokens of an expired batch that was never reported count as spent.
func (b *bucket) advance(now time.Duration) {
	for b.at < now {
		// The unspent tokens of a batch count against the burst until the batch expires, so the bucket is filled up to each
		// expiry separately.
		until := now
		for _, l := range b.batches {
			until = min(until, max(l.expires, b.at))
		}
		b.fill(until)
		b.expire(until)
	}
}

func (b *bucket) fill(until time.Duration) {
	capacity := float64(b.limits.Burst - b.outstanding())
	b.level = min(capacity, b.level+b.limits.Rate*(until-b.at).Seconds())
	b.at = until
}

func (b *bucket) expire(now time.Duration) {
	kept := b.batches[:0]
	for _, l := range b.batches {
		if l.expires > now {
			kept = append(kept, l)
		}
	}
	b.batches = kept
}

// report records spent tokens, and refunds the remainder of a closed batch to the level.
func (b *bucket) report(instance entity.InstanceID, r Report) {
	for i := range b.batches {
		l := &b.batches[i]
		if l.instance != instance || l.sequence != r.Sequence {
			continue
		}
		l.left = min(l.left, max(0, l.granted-int(r.Spent)))
		if r.Closed {
			b.level += float64(l.left)
			b.batches = append(b.batches[:i], b.batches[i+1:]...)
		}
		return
	}
}

func (b *bucket) grant(now time.Duration, instance entity.InstanceID, sequence uint64, want int) int {
	n := min(want, int(math.Floor(b.level)))
	if n <= 0 {
		return 0
	}
	b.level -= float64(n)
	b.batches = append(b.batches, lease{instance: instance, sequence: sequence, granted: n, left: n, expires: now + serverTTL})
	return n
}

// retry returns the time until a token is likely to be available.
func (b *bucket) retry(now time.Duration) time.Duration {
	if b.limits.Rate <= 0 || b.limits.Burst < 1 {
		return maxRetry
	}
	missing := max(0, 1-b.level)
	wait := b.at - now + time.Duration(missing/b.limits.Rate*float64(time.Second))
	return min(max(wait, minRetry), maxRetry)
}
