package admission

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/admission"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// retryCall is the pause after a failed call before the token server is looked up and called again.
const retryCall = 20 * time.Millisecond

// calls is the state of the calls to the token server.
type calls struct {
	// redirect is the instance that the last answer named as the token server instead of itself.
	redirect entity.InstanceID
	// unknownServerCalls counts the calls that were made without a known token server.
	unknownServerCalls int
	// pausedUntil is the time before which no call is made, after a failed one.
	pausedUntil time.Duration
	// wakeAt is the time of the pending wake message, zero if there is none.
	wakeAt time.Duration
}

type (
	wake     struct{}
	callDone struct {
		server   string // address
		sequence uint64
		response service.TokenResponse
		err      error
	}
)

func newAccount(pool *admission.TokenPool, id entity.CustomerID, l admission.Limits) *account {
	return &account{pool: pool, limits: l, low: lowTokens{id}, queued: &atomic.Int64{}}
}

// call requests the tokens that are needed now from the token server. One call is in flight at a time.
func (s *Service) call(turn *kernel.Turn) {
	now := turn.Now()
	if s.client.Busy() {
		return
	}
	if now < s.calls.pausedUntil {
		s.wakeAfter(turn, s.calls.pausedUntil-now)
		return
	}
	needed := s.needed(turn)
	if len(needed) == 0 {
		return
	}
	s.counters.requests.Inc(1)
	s.updateRole(now)
	if s.server != nil {
		r := s.client.Request(now, needed)
		s.finishCall(turn, callDone{server: s.self.Address, sequence: r.Sequence, response: s.answer(now, r)})
		return
	}
	address, ok := s.serverAddress()
	if !ok {
		s.callFailed(turn, nil)
		return
	}
	r := s.client.Request(now, needed)
	leaser, timeout := s.leaser, s.settings.CallTimeout
	turn.Go(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		response, err := leaser.LeaseTokens(ctx, address, r)
		return callDone{server: address, sequence: r.Sequence, response: response, err: err}
	})
}

// needed returns the customers that need tokens now, with the number of requests that wait for one.
func (s *Service) needed(turn *kernel.Turn) map[entity.CustomerID]int {
	needed := map[entity.CustomerID]int{}
	for id, d := range s.pendingDemand {
		waiting := d.queue.prune()
		switch {
		case waiting == 0 && !d.low:
			delete(s.pendingDemand, id)
		case turn.Now() < d.retryAt:
			s.wakeAfter(turn, d.retryAt-turn.Now())
		default:
			d.low = false
			needed[id] = waiting
		}
	}
	return needed
}

// serverAddress returns the peer address of the token server. If the server is not known, it returns that of an
// instance of the zone that may know it.
func (s *Service) serverAddress() (string, bool) {
	if s.view == nil {
		return "", false
	}
	if address, ok := s.memberAddress(s.calls.redirect); ok {
		return address, true
	}
	holder := s.holder()
	if holder == s.self.ID {
		return "", false
	}
	if address, ok := s.memberAddress(holder); ok {
		return address, true
	}
	return s.nextMemberAddress()
}

// memberAddress returns the peer address of another instance. It returns false if the instance is not in the roster; it
// may have left since a peer or the lease view named it.
func (s *Service) memberAddress(id entity.InstanceID) (string, bool) {
	if id == "" || id == s.self.ID {
		return "", false
	}
	m, ok := s.view.Member(id)
	return m.Address, ok
}

// nextMemberAddress returns the address of the zone's next member, in round robin order. An instance outside the lease
// group of the token lease receives no votes and therefore does not know the holder, for example if it started while
// the platform was unavailable. The answer of a member names the holder.
func (s *Service) nextMemberAddress() (string, bool) {
	var addresses []string
	for _, m := range s.view.Members {
		if m.Zone == s.self.Zone && m.ID != s.self.ID {
			addresses = append(addresses, m.Address)
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	s.calls.unknownServerCalls++
	return addresses[s.calls.unknownServerCalls%len(addresses)], true
}

func (s *Service) finishCall(turn *kernel.Turn, m callDone) {
	now := turn.Now()
	if m.err != nil || !m.response.Holder {
		s.client.HandleFailure(m.sequence)
		s.calls.redirect = m.response.Redirect
		s.callFailed(turn, m.err)
		return
	}
	s.callAnswered(now, m.server)
	batches := s.client.HandleResponse(now, m.sequence, m.response)
	for _, g := range m.response.Grants {
		d, ok := s.demand[g.Customer]
		if !ok {
			continue
		}
		d.retryAt = now + g.RetryAfter
		if g.RetryAfter > 0 {
			s.wakeAfter(turn, g.RetryAfter)
		}
		if b, ok := batches[g.Customer]; ok {
			d.queue.serve(now, b)
			s.client.Publish(g.Customer)
		}
	}
}

// callAnswered records that the token server answered.
func (s *Service) callAnswered(now time.Duration, server string) {
	before := s.availability.Load()
	if before.Lost() {
		telemetry.EventTokenServerReachable.Log(s.logger)
	}
	after := before.Answered(now, server)
	s.availability.Publish(&after)
}

// callFailed records that no token server was reached and pauses before the next attempt.
func (s *Service) callFailed(turn *kernel.Turn, err error) {
	s.counters.failures.Inc(1)
	before := s.availability.Load()
	if !before.Lost() {
		telemetry.EventTokenServerUnreachable.Log(s.logger, zap.String("holder", string(s.holder())),
			zap.String("redirect", string(s.calls.redirect)), zap.Error(err))
	}
	after := before.Failed(turn.Now())
	s.availability.Publish(&after)
	s.calls.pausedUntil = turn.Now() + retryCall
	s.wakeAfter(turn, retryCall)
}

// wakeAfter ensures that call runs again after the given time at the latest.
func (s *Service) wakeAfter(turn *kernel.Turn, d time.Duration) {
	at := turn.Now() + d
	if s.calls.wakeAt != 0 && s.calls.wakeAt <= at {
		return
	}
	s.calls.wakeAt = at
	turn.After(d, wake{})
}
