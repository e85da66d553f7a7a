// Package backend is a small stand-in of the users' back ends. It serves the protocol of docs/protocols.md, records what it
// runs, and shows faults by options and switches. It is deterministic except for the start id and for the clock.
package backend

import "time"

// Options configures a Server. The zero value is a warm back end with one slot and no queue that checks nothing.
type Options struct {
	// Slots is the number of requests that run at once. Default 1.
	Slots int
	// Queue is the number of requests that wait for a slot. More are shed.
	Queue int
	// MaxConnections closes connections beyond that number. Zero does not limit them.
	MaxConnections int
	// ChecksTokens refuses requests without a valid session, grant, epoch and term, and ends what runs when the session
	// lapses.
	ChecksTokens bool
	// ChecksSession refuses requests without a valid session. ChecksTokens includes it.
	ChecksSession bool
	// Work is the time that a request takes on a warm back end.
	Work time.Duration
	// ColdWork is the time that a request takes before the back end is warm.
	ColdWork time.Duration
	// WarmAfter is the number of answered requests after which the back end is warm. Zero starts it warm.
	WarmAfter int
	// ColdLimit is the number of requests, running and waiting, that a cold back end bears. Beyond it the back end
	// collapses: every request takes CollapseWork and fails, until nothing is in flight. Zero bears any number.
	ColdLimit int
	// CollapseWork is the time that a request takes while the back end is collapsed. Default 1s.
	CollapseWork time.Duration
	// ReportLag is how far the health and load reports lag.
	ReportLag time.Duration
	// CrashHeader names a request header that crashes the back end when the request runs. Default X-Crash.
	CrashHeader string
	// DownTime is how long a crashed back end refuses connections before it starts again, cold and with a new start id.
	// A negative value leaves it down.
	DownTime time.Duration
	// KeyHeaders are headers that must not arrive here, since they carry customers' keys. Executions record them.
	KeyHeaders []string
	// Secrets are customers' keys that must not arrive here in any header. Executions record the headers' names.
	Secrets []string
	// MaxExecutions bounds the record of executions; the oldest are dropped. Default 100000.
	MaxExecutions int
}

const (
	defaultCollapseWork  = time.Second
	defaultCrashHeader   = "X-Crash"
	defaultMaxExecutions = 100_000
)

func (o Options) withDefaults() Options {
	o.Slots = max(1, o.Slots)
	if o.CollapseWork <= 0 {
		o.CollapseWork = defaultCollapseWork
	}
	if o.CrashHeader == "" {
		o.CrashHeader = defaultCrashHeader
	}
	if o.MaxExecutions <= 0 {
		o.MaxExecutions = defaultMaxExecutions
	}
	return o
}

// Paths besides those of the protocol.
const (
	// PathFaults takes (PUT) and shows (GET) the faults.
	PathFaults = "/faults"
	// PathExecutions shows (GET) what ran. The query parameters request_id, idempotency_key and key select from it.
	PathExecutions = "/executions"
)

// Faults are the switchable faults.
type Faults struct {
	// Freeze accepts requests of all kinds and does not go on with them until it is unset. As with a paused process,
	// control requests then take effect even if the sender has given up.
	Freeze bool `json:"freeze"`
	// LatencyMs is added to the time that each request takes, in milliseconds.
	LatencyMs int `json:"latency_ms"`
	// Shed refuses all requests before they run.
	Shed bool `json:"shed"`
	// Drain refuses new requests and reports draining; running ones end.
	Drain bool `json:"drain"`
	// Truncate breaks the connection in the middle of each answer's body.
	Truncate bool `json:"truncate"`
	// Crossed answers each request with the id of the request before it.
	Crossed bool `json:"crossed"`
	// LoseControl makes control requests take effect without an answer.
	LoseControl bool `json:"lose_control"`
}
