package httpserver

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against work for a caller that has closed its connection while one of its requests was queued behind another: the close
// lies behind bytes that net/http does not read until it has answered the first request.
func TestCloseIsNoticedBehindAQueuedRequest(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	s := newSite(t, func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		close(ended)
	}, nil)
	c := s.dial()
	c.send("a")
	<-begun
	c.send("b")
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, c.socket.Close())
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the request was not canceled")
	}
}

// newPipelineSite starts a server that runs requests ahead whose path does not begin with /order.
func newPipelineSite(t *testing.T, handler http.HandlerFunc) *site {
	t.Helper()
	return newSiteWith(t, handler, nil, func(o *Options) {
		o.Concurrent = func(r *http.Request) bool {
			return r.Method != http.MethodPost && !strings.HasPrefix(r.URL.Path, "/order")
		}
	})
}

// sendAll sends requests in one piece.
func (c *caller) sendAll(ids ...string) {
	c.t.Helper()
	var all strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&all, "GET /%s HTTP/1.1\r\nHost: test\r\n\r\n", id)
	}
	_, err := io.WriteString(c.socket, all.String())
	require.NoError(c.t, err)
}

// body reads one answer and returns its status and body.
func (c *caller) body() (int, string) {
	c.t.Helper()
	_ = c.socket.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	defer func() { _ = response.Body.Close() }()
	c.closing = response.Close
	raw, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	return response.StatusCode, string(raw)
}

// gates holds the handlers of requests until the test lets them pass, and records which have begun.
type gates struct {
	mu    sync.Mutex
	begun []string
	gates map[string]chan struct{}
}

// gate returns the gate of a path.
func (g *gates) gate(path string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gates == nil {
		g.gates = map[string]chan struct{}{}
	}
	if g.gates[path] == nil {
		g.gates[path] = make(chan struct{})
	}
	return g.gates[path]
}

// pass lets the handlers of paths continue.
func (g *gates) pass(paths ...string) {
	for _, path := range paths {
		close(g.gate(path))
	}
}

// list returns the paths whose handlers have begun, in order.
func (g *gates) list() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.begun...)
}

// serve answers with the path of the request, once its gate is open.
func (g *gates) serve(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path[1:]
	Identify(r.Context(), path)
	gate := g.gate(path)
	g.mu.Lock()
	g.begun = append(g.begun, path)
	g.mu.Unlock()
	select {
	case <-gate:
		_, _ = io.WriteString(w, path)
	case <-r.Context().Done():
		w.WriteHeader(http.StatusBadGateway)
	}
}

// awaitBegun waits until the handlers of exactly these paths have begun.
func (g *gates) awaitBegun(t *testing.T, paths ...string) {
	t.Helper()
	require.Eventually(t, func() bool { return len(g.list()) >= len(paths) }, 2*time.Second, time.Millisecond)
	time.Sleep(30 * time.Millisecond) // others may begin wrongly
	require.ElementsMatch(t, paths, g.list())
}

// Guards against requests that wait for their turn although they may run at once, and against answers out of order.
func TestRequestsSentAheadRunSideBySideAndAreAnsweredInOrder(t *testing.T) {
	var g gates
	s := newPipelineSite(t, g.serve)
	c := s.dial()
	c.sendAll("a", "b", "c")
	g.awaitBegun(t, "a", "b", "c")
	g.pass("c", "b")
	time.Sleep(20 * time.Millisecond)
	g.pass("a")
	for _, want := range []string{"a", "b", "c"} {
		status, body := c.body()
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, want, body)
	}
	c.send("d") // the connection is still usable
	g.pass("d")
	_, body := c.body()
	require.Equal(t, "d", body)
	require.Empty(t, s.unanswered())
}
