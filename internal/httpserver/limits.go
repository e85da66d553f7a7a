package httpserver

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/decide/callerbudget"
)

// Limits for callers. No caller that sends heads of up to 16 KiB within 3 s, and bodies and answers at a steady rate, reaches them.
const (
	// defaultHeadBytes and defaultHeadTime apply while the configuration sets none.
	defaultHeadBytes = 16 << 10
	defaultHeadTime  = 3 * time.Second
	// headTolerance and headTimeTolerance are allowed beyond the configured limits.
	headTolerance     = 4 << 10
	headTimeTolerance = time.Second
	// defaultIdleTime is the idle timeout when connections run short, while the configuration sets none.
	defaultIdleTime = 15 * time.Second
	// maxFields is the number of header fields of a request. Well-behaved clients send under 50.
	maxFields = 256
	// bodyRate is the rate in bytes a second at which a body must arrive on average. A link of 10 Mbit/s that 1,000 callers share still
	// has that rate.
	bodyRate = 1 << 10
	// answerPiece is the size of the pieces of an answer, in bytes, that a caller must take in time.
	answerPiece = 64 << 10
	// deadlineStep is the part, as a divisor, of the time for a piece for which its deadline is not renewed, to save timers.
	deadlineStep = 10
	// refusalTime bounds the write of a refusal to a caller that may not read it.
	refusalTime = 20 * time.Millisecond
)

// pace is how fast callers must send bodies and take answers.
type pace struct {
	bodyStall   time.Duration // within which further data of a body must arrive
	bodyGrace   time.Duration // after which bodyRate applies
	answerStall time.Duration // in which a piece of an answer must be taken
}

// defaultPace is slower than a link of 10 Mbit/s that many callers share.
var defaultPace = pace{bodyStall: 10 * time.Second, bodyGrace: 10 * time.Second, answerStall: 20 * time.Second}

// Memory that a head takes beyond a usual one, which callerbudget.ConnectionCost covers.
const (
	usualHead   = 4 << 10
	usualFields = 32
	// headFactor is for the bytes that were read, the parsed fields, and the copy that is sent to the backend.
	headFactor = 3
	fieldCost  = 128 // bytes for the map and the slices of one field
	// preparedCost is for the goroutine and the recorder of a request that runs ahead.
	preparedCost = 8 << 10
)

// Idle timeouts shorten while more than shortIdle of the connections are open, and are those of the configuration from fullIdle on.
const (
	shortIdle = 0.5
	fullIdle  = 0.75
)

// Refusals that need no handler. They close the connection, and the request has not run.
const (
	refusalBusy  = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
	refusalLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// ErrNoRoom means that a complete request must not run, since the limits of the server have no room for it.
var ErrNoRoom = errors.New("no room for the request")

// Limits bounds what a server holds for its callers.
type Limits struct {
	Budget *callerbudget.Budget
	// Configured returns the limits of the configuration in force. If it is nil, the defaults apply.
	Configured func() Configured

	pace pace // the zero value means defaultPace
}

// Configured are limits that a configuration may set. Zero means the default.
type Configured struct {
	HeadBytes          int
	HeadTime, IdleTime time.Duration
}

// configured returns the limits in force, with their defaults.
func (l *Limits) configured() Configured {
	var c Configured
	if l.Configured != nil {
		c = l.Configured()
	}
	if c.HeadBytes <= 0 {
		c.HeadBytes = defaultHeadBytes
	}
	if c.HeadTime <= 0 {
		c.HeadTime = defaultHeadTime
	}
	if c.IdleTime <= 0 {
		c.IdleTime = defaultIdleTime
	}
	return c
}

// idleTime returns the longest time for which a connection may wait for a request, at most usual.
func (l *Limits) idleTime(usual time.Duration) time.Duration {
	load := l.Budget.Load()
	if load <= shortIdle {
		return usual
	}
	short := min(l.configured().IdleTime, usual)
	part := min((load-shortIdle)/(fullIdle-shortIdle), 1)
	return usual - time.Duration(part*float64(usual-short))
}

// guardOf returns the guard of the connection of a request, nil if there is none.
func guardOf(ctx context.Context) *guard {
	switch request := ctx.Value(connKey{}).(type) {
	case *conn:
		return request.guard
	case *prepared:
		return request.conn.guard
	default:
		return nil
	}
}

// Grow counts bytes that a handler is about to hold for the request with the context ctx. It reports false if the limits of the server
// do not allow it.
func Grow(ctx context.Context, bytes int64) bool {
	g := guardOf(ctx)
	return g == nil || g.holding.Grow(bytes, g.server.now())
}

// Charge counts the bytes of an answer, which a handler holds in any case. It returns the bytes that must be uncounted by Shrink.
func Charge(ctx context.Context, bytes int64) int64 {
	if g := guardOf(ctx); g != nil {
		return g.holding.Charge(bytes, g.server.now())
	}
	return 0
}

// Shrink uncounts bytes that were counted by Grow or Charge.
func Shrink(ctx context.Context, bytes int64) {
	if g := guardOf(ctx); g != nil {
		g.holding.Shrink(bytes)
	}
}
