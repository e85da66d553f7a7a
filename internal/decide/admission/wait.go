package admission

import "time"

// outageProofAge is how long a failed request to the token server shows that an outage lasts. While requests wait, an instance
// asks for the token server several times within this time.
const outageProofAge = time.Second

// Availability is what an instance knows of its token server from its own requests to it. The zero value is that of an instance
// that has sent none.
type Availability struct {
	// Serving is true if the token server answered the last request.
	Serving bool
	// Server is the address of the token server that answered last.
	Server string
	// Since is the time from which that server grants tokens or, if none serves, the time of the first failed request.
	Since time.Duration
	// CheckedAt is the time of the last result.
	CheckedAt time.Duration
}

// Lost reports whether the last request failed.
func (a Availability) Lost() bool { return !a.Serving && a.CheckedAt > 0 }

// Answered returns the availability after the token server at the address answered a request. A server that has just taken over
// grants nothing until the tokens of the previous one have expired.
func (a Availability) Answered(now time.Duration, server string) Availability {
	if !a.Serving || a.Server != server {
		a = Availability{Serving: true, Server: server, Since: now + serverTTL}
	}
	a.CheckedAt = now
	return a
}

// Failed returns the availability after no token server could be reached, or an instance answered that it is none.
func (a Availability) Failed(now time.Duration) Availability {
	if a.Serving || a.outdated(now) {
		a = Availability{Since: now}
	}
	a.CheckedAt = now
	return a
}

// outdated reports whether the token server may have been replaced since the last failed request.
func (a Availability) outdated(now time.Duration) bool { return now-a.CheckedAt > outageProofAge }

// WaitLimits bound the time for which a request waits for a token.
type WaitLimits struct {
	// Rate is the longest wait for a token of a server that serves, as a customer within its rate gets one by then.
	Rate time.Duration
	// Outage is the duration of an outage of the token server up to which requests wait for its end.
	Outage time.Duration
}

// Remaining returns how much longer a request that arrived at the given time may wait at time now. The result is not positive if
// the request should be refused.
func (l WaitLimits) Remaining(now, arrived time.Duration, a Availability) time.Duration {
	var until time.Duration
	switch {
	case a.Serving && a.CheckedAt >= arrived:
		until = max(arrived, a.Since) + l.Rate
	case a.Serving:
		until = now + l.Rate // it was not asked on behalf of this request, for example because this process was paused
	case a.outdated(now):
		until = now + l.Outage
	default:
		until = a.Since + l.Outage
	}
	// A token server that is lost again and again does not extend the wait any further.
	return min(until, arrived+l.Rate+l.Outage) - now
}

// OverRate reports whether a request that arrived at the given time and got no token by now is over its customer's rate. That is
// not known if a token server took over while the request waited.
func (l WaitLimits) OverRate(now, arrived time.Duration, a Availability) bool {
	return a.Serving && (a.Since <= arrived || now-a.Since >= l.Rate)
}
