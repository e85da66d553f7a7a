package backend

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pollenpier/pollenpier/internal/backend/wire"
)

// partitionKey identifies a partition of a service.
type partitionKey struct {
	service   string
	partition uint32
}

// session is the session lease of one process and its grants. Times are measured from the start of the process.
type session struct {
	startID string
	holder  string
	term    uint64
	until   time.Duration // zero if there is no session
	lapses  uint64
	granted map[partitionKey]uint64 // epoch
	revoked map[partitionKey]uint64 // highest revoked epoch, so that a delayed grant has no effect
	running map[partitionKey]int
}

func newSession(startID string) *session {
	return &session{
		startID: startID, granted: map[partitionKey]uint64{}, revoked: map[partitionKey]uint64{}, running: map[partitionKey]int{},
	}
}

// lapse clears the grants if the session has lapsed.
func (s *session) lapse(now time.Duration) {
	if s.until == 0 || now < s.until {
		return
	}
	s.until = 0
	s.lapses++
	clear(s.granted)
}

func (s *session) valid(now time.Duration) bool {
	s.lapse(now)
	return s.until > 0
}

// renew extends the session to the stamp plus the TTL, if the stamp is from this process. It returns false if the term is
// outdated.
func (s *session) renew(r wire.Session, now time.Duration) bool {
	s.lapse(now)
	if r.Term < s.term {
		return false
	}
	s.term, s.holder = r.Term, r.Holder
	stamp := time.Duration(r.Stamp) * time.Millisecond
	until := stamp + time.Duration(r.TTLMs)*time.Millisecond
	if r.StartID == s.startID && stamp <= now && until > now {
		s.until = max(s.until, until)
	}
	return true
}

// applyGrants applies grants and revocations. It returns false if the term is outdated.
func (s *session) applyGrants(g wire.Grants, now time.Duration) bool {
	s.lapse(now)
	if g.Term < s.term {
		return false
	}
	for _, r := range g.Revoke {
		key := partitionKey{r.Service, r.Partition}
		s.revoked[key] = max(s.revoked[key], r.Epoch)
		if s.granted[key] <= r.Epoch {
			delete(s.granted, key)
		}
	}
	for _, r := range g.Grant {
		key := partitionKey{r.Service, r.Partition}
		if r.Epoch > s.revoked[key] && r.Epoch > s.granted[key] {
			s.granted[key] = r.Epoch
		}
	}
	return true
}

// runsAny reports whether a request is running in any of the partitions.
func (s *session) runsAny(grants []wire.Grant) bool {
	for _, g := range grants {
		if s.running[partitionKey{g.Service, g.Partition}] > 0 {
			return true
		}
	}
	return false
}

// token is the fencing token of a request.
type token struct {
	partition partitionKey
	epoch     uint64
	term      uint64
}

// readToken decodes the token from the headers. A missing or invalid number becomes zero. accepts rejects epoch zero.
func readToken(h http.Header) token {
	partition, _ := strconv.ParseUint(h.Get(wire.HeaderPartition), 10, 32)
	epoch, _ := strconv.ParseUint(h.Get(wire.HeaderEpoch), 10, 64)
	term, _ := strconv.ParseUint(h.Get(wire.HeaderTerm), 10, 64)
	return token{partition: partitionKey{h.Get(wire.HeaderService), uint32(partition)}, epoch: epoch, term: term}
}

// accepts reports whether the session is valid and the token matches its term and grant. Epoch zero is never granted.
func (s *session) accepts(t token, now time.Duration) bool {
	return s.valid(now) && t.term == s.term && t.epoch > 0 && s.granted[t.partition] == t.epoch
}
