// Package wire defines the headers and JSON messages of the HTTP protocol between log-based instances and backends, as
// docs/protocols.md describes it.
package wire

// ControlPrefix is the path prefix of control requests. Requests of callers must not use it.
const ControlPrefix = "/control"

// Paths of control requests.
const (
	PathSession = ControlPrefix + "/session" // PUT
	PathGrants  = ControlPrefix + "/grants"  // PUT
	PathHealth  = ControlPrefix + "/health"  // GET
	PathLoad    = ControlPrefix + "/load"    // GET
)

// Headers of a request to a backend.
const (
	// HeaderRequestID identifies the request. The answer echoes it.
	HeaderRequestID = "Pollenpier-Request-Id"
	// HeaderKey is the routed key, percent-encoded.
	HeaderKey = "Pollenpier-Key"
	// HeaderService, HeaderPartition, HeaderEpoch and HeaderTerm form the fencing token.
	HeaderService   = "Pollenpier-Service"
	HeaderPartition = "Pollenpier-Partition"
	HeaderEpoch     = "Pollenpier-Epoch"
	HeaderTerm      = "Pollenpier-Term"
	// HeaderRemaining is the time in milliseconds within which the request must have finished.
	HeaderRemaining = "Pollenpier-Remaining-Ms"
)

// Headers of an answer, in addition to HeaderRequestID.
const (
	// HeaderNotRun means that the backend refused the request without running it. Its value is one of the refusals below.
	HeaderNotRun = "Pollenpier-Not-Run"
	// HeaderStartID is the start id of the backend's process.
	HeaderStartID = "Pollenpier-Start-Id"
)

// Values of HeaderNotRun.
const (
	RefusalShed     = "shed"     // no capacity
	RefusalDraining = "draining" // the backend is shutting down
	RefusalFenced   = "fenced"   // the token or the session is not valid
)

// Session is the body of PUT /control/session.
type Session struct {
	Holder  string `json:"holder"`
	Term    uint64 `json:"term"`
	TTLMs   int64  `json:"ttl_ms"`
	StartID string `json:"start_id,omitempty"`
	Stamp   uint64 `json:"stamp,omitempty"`
}

// SessionStatus is the answer to PUT /control/session.
type SessionStatus struct {
	StartID string `json:"start_id"`
	Term    uint64 `json:"term"`
	Slots   int    `json:"slots"`
	Stamp   uint64 `json:"stamp"`
	Lapses  uint64 `json:"lapses"`
}

// Grant is one partition in Grants.
type Grant struct {
	Service   string `json:"service"`
	Partition uint32 `json:"partition"`
	Epoch     uint64 `json:"epoch"`
}

// Grants is the body of PUT /control/grants.
type Grants struct {
	Term   uint64  `json:"term"`
	Grant  []Grant `json:"grant,omitempty"`
	Revoke []Grant `json:"revoke,omitempty"`
}

// Health is the answer to GET /control/health.
type Health struct {
	Ready    bool   `json:"ready"`
	Draining bool   `json:"draining"`
	StartID  string `json:"start_id"`
}

// Load is the answer to GET /control/load.
type Load struct {
	InFlight    int    `json:"in_flight"`
	Queued      int    `json:"queued"`
	Connections int    `json:"connections"`
	StartID     string `json:"start_id"`
}

// Values of Error.Code.
const (
	CodeOutdatedTerm = "outdated-term"
	CodeRunning      = "running"
	CodeBadRequest   = "bad-request"
)

// Error is the body of a refused control request.
type Error struct {
	Code  string `json:"code"`
	Error string `json:"error"`
}
