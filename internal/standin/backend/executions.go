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

// HeaderIdempotencyKey is the request header whose value executions record as idempotency key.
const HeaderIdempotencyKey = "Idempotency-Key"

// Ends of an execution.
const (
	EndRunning  = "running"
	EndAnswered = "answered"
	EndFailed   = "failed"   // collapsed
	EndCanceled = "canceled" // deadline over, or the sender gave up
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
	// Acted is the last time at which the session was found valid. A request that ends as fenced has no effect after it.
	Acted time.Time `json:"acted,omitzero"`
	End   string    `json:"end"`
	// Cold is true if the back end was not warm when the request started.
	Cold bool `json:"cold,omitempty"`
	// KeyHeaders are the names of headers that carried a customer's key.
	KeyHeaders []string `json:"key_headers,omitempty"`
}

// Executions is the answer to GET /executions.
type Executions struct {
	// Total counts all executions, also those that are no longer listed.
	Total      int         `json:"total"`
	Executions []Execution `json:"executions"`
}

// ledger records executions. It outlives crashes.
type ledger struct {
	mu    sync.Mutex
	total int
	kept  []*Execution
}

func (l *ledger) start(e *Execution, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	l.kept = append(l.kept, e)
	if len(l.kept) > 2*limit { // dropped in large steps, since each step copies the list
		l.kept = slices.Clone(l.kept[len(l.kept)-limit:])
	}
}

// acted notes that the request was allowed to go on at a time.
func (l *ledger) acted(e *Execution, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Acted = at
}

func (l *ledger) end(e *Execution, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.End, e.Ended = how, time.Now()
}

// list returns copies of the executions that match all given values, in the order of their start.
func (l *ledger) list(requestID, idempotencyKey, key string) Executions {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := Executions{Total: l.total, Executions: []Execution{}}
	for _, e := range l.kept {
		if matches(requestID, e.RequestID) && matches(idempotencyKey, e.IdempotencyKey) && matches(key, e.Key) {
			listed.Executions = append(listed.Executions, *e)
		}
	}
	return listed
}

func matches(wanted, value string) bool { return wanted == "" || wanted == value }

// Executions returns what ran, in the order of its start.
func (s *Server) Executions() Executions { return s.ledger.list("", "", "") }

func (s *Server) getExecutions(c *gin.Context) {
	c.JSON(http.StatusOK, s.ledger.list(c.Query("request_id"), c.Query("idempotency_key"), c.Query("key")))
}

// newExecution describes the run of a request that starts now.
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
		if named || s.secretIn(values) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (s *Server) secretIn(values []string) bool {
	return slices.ContainsFunc(values, func(value string) bool {
		return slices.ContainsFunc(s.options.Secrets, func(secret string) bool { return strings.Contains(value, secret) })
	})
}
