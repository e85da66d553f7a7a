package backend

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/network"
)

// Defaults of ClientSettings.
const (
	DefaultDialTimeout = 250 * time.Millisecond
	DefaultConnections = 130
)

// controlConnections is the number of a backend's connections that are reserved for control requests, so that session
// renewals do not queue behind requests.
const controlConnections = 2

// idleTimeout is how long an unused connection stays open. It is below the 60 s to 75 s after which servers usually close
// idle connections: a request sent while the server closes its connection has an unknown outcome.
const idleTimeout = 30 * time.Second

// maxHeadBytes is the maximum size in bytes of the status line and the headers of an answer, together with its interim answers.
const maxHeadBytes = 64 << 10

// maxErrorText is the maximum number of bytes of an error of net/http, which may quote an invalid answer, in a failure.
const maxErrorText = 200

// ClientSettings configures an HTTPClient.
type ClientSettings struct {
	// DialTimeout is the maximum time to connect. Default 250ms.
	DialTimeout time.Duration
	// Dial opens connections. The default uses the operating system's network.
	Dial network.DialFunc
	// Connections is the maximum number of connections to a backend without its own limit. Default 130.
	Connections int
}

// HTTPClient sends requests to backends over HTTP/1.1, with separate transports for each backend. It is safe for
// concurrent use.
type HTTPClient struct {
	settings ClientSettings
	controls atomic.Uint64 // number of control requests, from which their ids are made

	mu         sync.Mutex
	limits     map[entity.BackendID]int
	transports map[entity.BackendID]*transports
}

var (
	_ Client  = (*HTTPClient)(nil)
	_ Limiter = (*HTTPClient)(nil)
)

// transports are the HTTP transports to one backend: one for requests, one for control requests.
type transports struct {
	address     string
	connections int
	requests    *http.Transport
	control     *http.Transport
}

func (t *transports) close() {
	t.requests.CloseIdleConnections()
	t.control.CloseIdleConnections()
}

// NewHTTPClient returns a client with defaults for the settings that are not positive.
func NewHTTPClient(s ClientSettings) *HTTPClient {
	if s.DialTimeout <= 0 {
		s.DialTimeout = DefaultDialTimeout
	}
	if s.Connections <= 0 {
		s.Connections = DefaultConnections
	}
	return &HTTPClient{settings: s, limits: map[entity.BackendID]int{}, transports: map[entity.BackendID]*transports{}}
}

// SetConnections sets the limits and closes the idle connections of backends that are not listed. A changed limit applies
// to new connections.
func (c *HTTPClient) SetConnections(limits map[entity.BackendID]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = make(map[entity.BackendID]int, len(limits))
	for id, limit := range limits {
		c.limits[id] = limit
	}
	for id, t := range c.transports {
		if _, ok := limits[id]; !ok {
			t.close()
			delete(c.transports, id)
		}
	}
}

// Close closes all idle connections.
func (c *HTTPClient) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, t := range c.transports {
		t.close()
		delete(c.transports, id)
	}
}

// transportsFor returns the transports of a backend, and creates new ones if its address or limit has changed.
func (c *HTTPClient) transportsFor(target Target) *transports {
	c.mu.Lock()
	defer c.mu.Unlock()
	connections := c.settings.Connections
	if limit := c.limits[target.ID]; limit > 0 {
		connections = limit
	}
	t, ok := c.transports[target.ID]
	if ok && t.address == target.Address && t.connections == connections {
		return t
	}
	if ok {
		t.close()
	}
	t = &transports{
		address:     target.Address,
		connections: connections,
		requests:    c.transport(max(1, connections-controlConnections)),
		control:     c.transport(controlConnections),
	}
	c.transports[target.ID] = t
	return t
}

// transport returns a transport for HTTP/1.1 only, because a connection carries one request at a time. It does not
// decompress bodies.
func (c *HTTPClient) transport(connections int) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:         c.settings.Dial.WithTimeout(c.settings.DialTimeout).WithStreams(),
		Protocols:           protocols,
		DisableCompression:  true,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// shortened returns err, or its beginning if its text is too long.
func shortened(err error) error {
	if text := err.Error(); len(text) > maxErrorText {
		return errors.New(text[:maxErrorText])
	}
	return err
}

// Do sends a request at most once. The request body may be read until the answer's body is closed, so ctx must stay valid
// until then.
func (c *HTTPClient) Do(ctx context.Context, target Target, call *Call) (*Answer, error) {
	if call.Remaining < time.Millisecond {
		return nil, &Failure{Kind: FailureNotSent, Cause: context.DeadlineExceeded}
	}
	tracker := new(connectionTracker)
	req, err := newRequest(tracker.trace(ctx), target, call)
	if err != nil {
		return nil, &Failure{Kind: FailureNotSent, Cause: err}
	}
	t := c.transportsFor(target)
	resp, err := t.requests.RoundTrip(req)
	if err != nil {
		return nil, &Failure{Kind: tracker.failureKind(), Cause: shortened(err)}
	}
	answer, failure := readAnswer(resp, call, tracker.reused.Load())
	if failure == nil {
		return answer, nil
	}
	if failure.Kind == FailureMismatch || failure.Kind == FailureFenced || failure.Kind == FailureBroken {
		// Later answers on this connection may also be mismatched or broken. A fenced request is sent again with the same id, which the
		// refusal would match if the backend repeated it on this connection.
		t.requests.CloseIdleConnections()
	}
	return nil, failure
}
