// Package wire holds the headers and JSON messages of the HTTP protocol towards back ends, as docs/protocols.md describes
// them.
package wire

// ControlPrefix starts the paths of the control requests. No caller's request may use it.
const ControlPrefix = "/control"

// Paths of control requests.
const (
	PathSession = ControlPrefix + "/session" // PUT
	PathGrants  = ControlPrefix + "/grants"  // PUT
	PathHealth  = ControlPrefix + "/health"  // GET
	PathLoad    = ControlPrefix + "/load"    // GET
)

// Headers of a request to a back end.
const (
	// HeaderRequestID identifies the request. The answer echoes it.
	HeaderRequestID = "Pollenpier-Request-Id"
	// HeaderKey is the routed key, percent-encoded.
	HeaderKey = "Pollenpier-Key"
	// HeaderService, HeaderPartition, HeaderEpoch and HeaderTerm are the fencing token.
	HeaderService   = "Pollenpier-Service"
	HeaderPartition = "Pollenpier-Partition"
	HeaderEpoch     = "Pollenpier-Epoch"
	HeaderTerm      = "Pollenpier-Term"
	// HeaderRemaining is the time left in milliseconds until the request must have ended.
	HeaderRemaining = "Pollenpier-Remaining-Ms"
)

// Headers of an answer, besides HeaderRequestID.
const (
	// HeaderNotRun says that the back end refused the request before running it. Its value is one of the refusals below.
	HeaderNotRun = "Pollenpier-Not-Run"
	// HeaderStartID is the start id of the back end's process.
	HeaderStartID = "Pollenpier-Start-Id"
)

// Refusals in HeaderNotRun.
const (
	RefusalShed     = "shed"     // no capacity
	RefusalDraining = "draining" // the back end is about to stop
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

// Grant is one partition in a Grants.
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

// Codes of an Error.
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
