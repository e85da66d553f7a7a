package backend

import (
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/pollenpier/pollenpier/internal/backend/wire"
)

// HeaderIdempotencyKey is the request header whose value is recorded as the idempotency key of an execution.
const HeaderIdempotencyKey = "Idempotency-Key"

// Values of Execution.End.
const (
	EndRunning  = "running"
	EndAnswered = "answered"
	EndFailed   = "failed"   // the backend had collapsed
	EndCanceled = "canceled" // deadline exceeded, or the sender closed the connection
	EndFenced   = "fenced"   // the session lapsed
	EndCrashed  = "crashed"
)

// Execution is one run of a request.
type Execution struct {
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Key            string    `json:"key"`
	Service        string    `json:"service"`
	Partition      string    `json:"partition"`
	Epoch          string    `json:"epoch"`
	Term           string    `json:"term"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	StartID        string    `json:"start_id"`
	Started        time.Time `json:"started"`
	Ended          time.Time `json:"ended,omitzero"`
	// Acted is the last time at which the session was found valid. A request that ends as EndFenced has no effect after it.
	Acted time.Time `json:"acted,omitzero"`
	End   string    `json:"end"`
	// Cold is true if the backend was not warm when the request started.
	Cold bool `json:"cold,omitempty"`
	// KeyHeaders are the names of the headers that carried a customer's key.
	KeyHeaders []string `json:"key_headers,omitempty"`
}

// Executions is the response to GET /executions.
type Executions struct {
	// Total counts all executions, including those dropped from the list.
	Total      int         `json:"total"`
	Executions []Execution `json:"executions"`
}

// executionLog records executions. It survives simulated crashes.
type executionLog struct {
	mu         sync.Mutex
	total      int
	executions []*Execution
}

func (l *executionLog) start(e *Execution, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	l.executions = append(l.executions, e)
	if len(l.executions) > 2*limit { // dropped in large batches, since each one copies the list
		l.executions = slices.Clone(l.executions[len(l.executions)-limit:])
	}
}

// markActed records that the session of a running request was valid at the given time.
func (l *executionLog) markActed(e *Execution, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Acted = at
}

func (l *executionLog) finish(e *Execution, end string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.End, e.Ended = end, time.Now()
}

// list returns copies of the executions that match all non-empty arguments, in the order of their start.
func (l *executionLog) list(requestID, idempotencyKey, key string) Executions {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := Executions{Total: l.total, Executions: []Execution{}}
	for _, e := range l.executions {
		if matches(requestID, e.RequestID) && matches(idempotencyKey, e.IdempotencyKey) && matches(key, e.Key) {
			listed.Executions = append(listed.Executions, *e)
		}
	}
	return listed
}

func matches(filter, value string) bool { return filter == "" || filter == value }

// Executions returns the recorded executions in the order of their start.
func (s *Server) Executions() Executions { return s.executionLog.list("", "", "") }

func (s *Server) getExecutions(c *gin.Context) {
	c.JSON(http.StatusOK, s.executionLog.list(c.Query("request_id"), c.Query("idempotency_key"), c.Query("key")))
}

// newExecution returns the record of a request whose execution starts now.
func (s *Server) newExecution(r *http.Request, startID string, cold bool) *Execution {
	key, err := url.PathUnescape(r.Header.Get(wire.HeaderKey))
	if err != nil {
		key = r.Header.Get(wire.HeaderKey)
	}
	return &Execution{
		RequestID:      r.Header.Get(wire.HeaderRequestID),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Key:            key,
		Service:        r.Header.Get(wire.HeaderService),
		Partition:      r.Header.Get(wire.HeaderPartition),
		Epoch:          r.Header.Get(wire.HeaderEpoch),
		Term:           r.Header.Get(wire.HeaderTerm),
		Method:         r.Method,
		Path:           r.URL.Path,
		StartID:        startID,
		Started:        time.Now(),
		End:            EndRunning,
		Cold:           cold,
		KeyHeaders:     s.keyHeaders(r.Header),
	}
}

// keyHeaders returns the names of the headers that carry a customer's key.
func (s *Server) keyHeaders(h http.Header) []string {
	var names []string
	for name, values := range h {
		named := slices.ContainsFunc(s.options.KeyHeaders, func(k string) bool { return strings.EqualFold(k, name) })
		if named || s.containsSecret(values) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (s *Server) containsSecret(values []string) bool {
	return slices.ContainsFunc(values, func(value string) bool {
		return slices.ContainsFunc(s.options.Secrets, func(secret string) bool { return strings.Contains(value, secret) })
	})
}
