package backend

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/network"
)

// Defaults of ClientSettings.
const (
	DefaultDialTimeout = 250 * time.Millisecond
	DefaultConnections = 130
)

// controlConnections is the part of a back end's connections that is kept for control requests, so that renewals do not
// wait behind requests.
const controlConnections = 2

// idleTimeout closes connections that no request has used. It is below the usual 60 s to 75 s after which servers close
// them: a request that meets the server's close has an unknown outcome.
const idleTimeout = 30 * time.Second

// ClientSettings configures an HTTPClient.
type ClientSettings struct {
	// DialTimeout bounds the time to connect. Default 250ms.
	DialTimeout time.Duration
	// Dial opens connections. Default the operating system's network.
	Dial network.DialFunc
	// Connections limits the connections to a back end without a limit of its own. Default 130.
	Connections int
}

// HTTPClient reaches back ends over HTTP/1.1, with a transport of its own for each.
type HTTPClient struct {
	settings ClientSettings

	mu     sync.Mutex
	limits map[entity.BackendID]int
	lines  map[entity.BackendID]*line
}

var (
	_ Client  = (*HTTPClient)(nil)
	_ Limiter = (*HTTPClient)(nil)
)

// line is the pair of transports to one back end.
type line struct {
	address     string
	connections int
	requests    *http.Transport
	control     *http.Transport
}

func (l *line) close() {
	l.requests.CloseIdleConnections()
	l.control.CloseIdleConnections()
}

// NewHTTPClient returns a client.
func NewHTTPClient(s ClientSettings) *HTTPClient {
	if s.DialTimeout <= 0 {
		s.DialTimeout = DefaultDialTimeout
	}
	if s.Connections <= 0 {
		s.Connections = DefaultConnections
	}
	return &HTTPClient{settings: s, limits: map[entity.BackendID]int{}, lines: map[entity.BackendID]*line{}}
}

// SetConnections sets the limits and closes the idle connections of back ends that are not listed. A changed limit takes
// effect for new connections.
func (c *HTTPClient) SetConnections(limits map[entity.BackendID]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = make(map[entity.BackendID]int, len(limits))
	for id, limit := range limits {
		c.limits[id] = limit
	}
	for id, l := range c.lines {
		if _, ok := limits[id]; !ok {
			l.close()
			delete(c.lines, id)
		}
	}
}

// Close closes all idle connections.
func (c *HTTPClient) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, l := range c.lines {
		l.close()
		delete(c.lines, id)
	}
}

// line returns the transports to a back end, new ones if its address or limit has changed.
func (c *HTTPClient) line(target Target) *line {
	c.mu.Lock()
	defer c.mu.Unlock()
	connections := c.settings.Connections
	if limit := c.limits[target.ID]; limit > 0 {
		connections = limit
	}
	l, ok := c.lines[target.ID]
	if ok && l.address == target.Address && l.connections == connections {
		return l
	}
	if ok {
		l.close()
	}
	l = &line{
		address:     target.Address,
		connections: connections,
		requests:    c.transport(max(1, connections-controlConnections)),
		control:     c.transport(controlConnections),
	}
	c.lines[target.ID] = l
	return l
}

// transport returns a transport that speaks HTTP/1.1 only, since one connection carries one request at a time, and that
// leaves bodies as they are.
func (c *HTTPClient) transport(connections int) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:         c.settings.Dial.WithTimeout(c.settings.DialTimeout),
		Protocols:           protocols,
		DisableCompression:  true,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
	}
}

// Do sends a request at most once. The body may be read until the answer's body is closed, and ctx must live until then.
func (c *HTTPClient) Do(ctx context.Context, target Target, call *Call) (*Answer, error) {
	if call.Remaining < time.Millisecond {
		return nil, &Failure{Kind: FailureNotSent, Cause: context.DeadlineExceeded}
	}
	connected := new(connectionMark)
	req, err := newRequest(connected.trace(ctx), target, call)
	if err != nil {
		return nil, &Failure{Kind: FailureNotSent, Cause: err}
	}
	l := c.line(target)
	resp, err := l.requests.RoundTrip(req)
	if err != nil {
		return nil, &Failure{Kind: connected.failureKind(), Cause: err}
	}
	answer, failure := readAnswer(resp, call)
	if failure == nil {
		return answer, nil
	}
	if failure.Kind == FailureMismatch {
		l.requests.CloseIdleConnections() // answers on this connection may stay crossed
	}
	return nil, failure
}
