package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// site is a server on loopback with its log.
type site struct {
	t       *testing.T
	server  *Server
	address string
	logs    *observer.ObservedLogs
	served  chan error
}

// newSite starts a server. If wrap is not nil, it replaces the server's listener.
func newSite(t *testing.T, handler http.HandlerFunc, wrap func(net.Listener) net.Listener) *site {
	t.Helper()
	return newSiteWith(t, handler, wrap, func(*Options) {})
}

// newSiteWith is newSite with other options.
func newSiteWith(t *testing.T, handler http.HandlerFunc, wrap func(net.Listener) net.Listener, change func(*Options)) *site {
	t.Helper()
	core, logs := observer.New(zapcore.DebugLevel)
	s := &site{t: t, logs: logs, served: make(chan error, 1)}
	options := Options{
		Handler: handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute, Name: "test", Log: zap.New(core),
		Registry: metrics.NewRegistry(),
	}
	change(&options)
	s.server = New(options)
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = socket.Addr().String()
	if wrap != nil {
		socket = wrap(socket)
	}
	go func() { s.served <- s.server.Serve(socket) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

// caller is a client with one connection.
type caller struct {
	t       *testing.T
	socket  net.Conn
	reader  *bufio.Reader
	closing bool // the last answer announced that the connection is closed
}

func (s *site) dial() *caller {
	s.t.Helper()
	socket, err := net.Dial("tcp4", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = socket.Close() })
	return &caller{t: s.t, socket: socket, reader: bufio.NewReader(socket)}
}

func (c *caller) send(id string) {
	c.t.Helper()
	_, err := fmt.Fprintf(c.socket, "GET /%s HTTP/1.1\r\nHost: test\r\n\r\n", id)
	require.NoError(c.t, err)
}

// receive reads one answer and returns its status, or an error if the connection ends first.
func (c *caller) receive() (int, error) {
	_ = c.socket.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	c.closing = response.Close
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// call sends a request and returns the status of its answer.
func (c *caller) call(id string) int {
	c.t.Helper()
	c.send(id)
	status, err := c.receive()
	require.NoError(c.t, err)
	return status
}

// unanswered returns the fields of the log lines about requests without a complete answer.
func (s *site) unanswered() []map[string]any {
	var list []map[string]any
	for _, entry := range s.logs.All() {
		fields := entry.ContextMap()
		if fields["event"] == int64(telemetry.EventRequestUnanswered.Number) || fields["event"] == int64(telemetry.EventRequestLeft.Number) {
			list = append(list, fields)
		}
	}
	return list
}

func (s *site) count(cause Cause) int64 {
	return metrics.GetOrRegisterCounter("test.unanswered."+string(cause), s.server.options.Registry).Count()
}
