// Package backend simulates a backend server for tests, benchmarks, the demo and the standin subcommand. It serves the
// protocol of docs/protocols.md, records every request that it executes, and injects faults that options and switches
// select. It is deterministic except for the start id and for the clock.
package backend

import "time"

// Options configures a Server. The zero value is a warm backend with one slot and no queue that checks neither sessions nor
// tokens.
type Options struct {
	// Slots is the number of requests that run concurrently. Default 1.
	Slots int
	// Queue is the number of requests that may wait for a slot. Further requests are shed.
	Queue int
	// MaxConnections is the number of open connections beyond which new ones are closed. Zero means no limit.
	MaxConnections int
	// ChecksTokens refuses requests without a valid session, grant, epoch and term, and aborts running requests when the
	// session lapses.
	ChecksTokens bool
	// ChecksSession refuses requests without a valid session. ChecksTokens includes it.
	ChecksSession bool
	// Work is the service time of a request on a warm backend.
	Work time.Duration
	// ColdWork is the service time of a request before the backend is warm.
	ColdWork time.Duration
	// WarmAfter is the number of answered requests after which the backend is warm. Zero starts it warm.
	WarmAfter int
	// ColdLimit is the number of requests, running and waiting, that a cold backend can handle. Beyond it the backend
	// collapses: every request takes CollapseWork and fails, until no request is in flight. Zero means no limit.
	ColdLimit int
	// CollapseWork is the service time of a request while the backend is collapsed. Default 1s.
	CollapseWork time.Duration
	// ReportLag is the delay with which the health and load reports show changes.
	ReportLag time.Duration
	// CrashHeader names a request header that crashes the backend when the request runs. Default X-Crash.
	CrashHeader string
	// DownTime is how long a crashed backend refuses connections before it starts again, cold and with a new start id.
	// A negative value leaves it stopped.
	DownTime time.Duration
	// KeyHeaders are headers that carry customers' keys and must not reach a backend. Executions record their names.
	KeyHeaders []string
	// Secrets are customers' keys that must not reach a backend in any header. Executions record the names of the headers.
	Secrets []string
	// MaxExecutions bounds the number of recorded executions; the oldest are dropped. Default 100000.
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

// Paths in addition to those of the protocol.
const (
	// PathFaults sets (PUT) and returns (GET) the faults.
	PathFaults = "/faults"
	// PathExecutions returns (GET) the executions. The query parameters request_id, idempotency_key and key filter them.
	PathExecutions = "/executions"
)

// Faults are the switchable faults.
type Faults struct {
	// Freeze accepts requests of all kinds but does not process them until it is unset. As with a paused process,
	// control requests then take effect even if the sender has given up.
	Freeze bool `json:"freeze"`
	// LatencyMs is added to the service time of each request, in milliseconds.
	LatencyMs int `json:"latency_ms"`
	// Shed refuses all requests before they run.
	Shed bool `json:"shed"`
	// Drain refuses new requests and reports draining; running requests complete.
	Drain bool `json:"drain"`
	// Truncate closes the connection in the middle of each response body.
	Truncate bool `json:"truncate"`
	// Crossed answers each request with the id of the previous request.
	Crossed bool `json:"crossed"`
	// LoseControl applies control requests but closes the connection instead of answering them.
	LoseControl bool `json:"lose_control"`
}
