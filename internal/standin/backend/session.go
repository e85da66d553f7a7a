package backend

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pollenpier/pollenpier/internal/backend/wire"
)

// place is a partition of a service.
type place struct {
	service   string
	partition uint32
}

// session is the state of one process start: its session lease and its grants. Times count from the start of the process.
type session struct {
	startID string
	holder  string
	term    uint64
	until   time.Duration // zero if there is no session
	lapses  uint64
	granted map[place]uint64 // epoch
	revoked map[place]uint64 // the highest revoked epoch, so that a late grant changes nothing
	running map[place]int
}

func newSession(startID string) *session {
	return &session{
		startID: startID, granted: map[place]uint64{}, revoked: map[place]uint64{}, running: map[place]int{},
	}
}

// lapse forgets the grants if the session is over.
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

// renew extends the session to the stamp plus the TTL, if the stamp is from this process. It reports false if the term is
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

// change applies grants and revocations. It reports false if the term is outdated.
func (s *session) change(g wire.Grants, now time.Duration) bool {
	s.lapse(now)
	if g.Term < s.term {
		return false
	}
	for _, r := range g.Revoke {
		at := place{r.Service, r.Partition}
		s.revoked[at] = max(s.revoked[at], r.Epoch)
		if s.granted[at] <= r.Epoch {
			delete(s.granted, at)
		}
	}
	for _, r := range g.Grant {
		at := place{r.Service, r.Partition}
		if r.Epoch > s.revoked[at] && r.Epoch > s.granted[at] {
			s.granted[at] = r.Epoch
		}
	}
	return true
}

// runsAny reports whether a request runs for one of the partitions.
func (s *session) runsAny(grants []wire.Grant) bool {
	for _, g := range grants {
		if s.running[place{g.Service, g.Partition}] > 0 {
			return true
		}
	}
	return false
}

// token is the fencing token of a request.
type token struct {
	place place
	epoch uint64
	term  uint64
}

// readToken decodes the headers. A missing or wrong token is one that nothing accepts.
func readToken(h http.Header) token {
	partition, _ := strconv.ParseUint(h.Get(wire.HeaderPartition), 10, 32)
	epoch, _ := strconv.ParseUint(h.Get(wire.HeaderEpoch), 10, 64)
	term, _ := strconv.ParseUint(h.Get(wire.HeaderTerm), 10, 64)
	return token{place: place{h.Get(wire.HeaderService), uint32(partition)}, epoch: epoch, term: term}
}

// accepts reports whether a token is the current one. Epoch zero is never granted.
func (s *session) accepts(t token, now time.Duration) bool {
	return s.valid(now) && t.term == s.term && t.epoch > 0 && s.granted[t.place] == t.epoch
}
