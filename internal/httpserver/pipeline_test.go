package httpserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/telemetry"
)

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

// body reads the answer to a request with the given method and returns its status and body.
func (c *caller) body(method string) (int, string) {
	c.t.Helper()
	_ = c.socket.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
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
		status, body := c.body(http.MethodGet)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, want, body)
	}
	c.send("d") // the connection is still usable
	g.pass("d")
	_, body := c.body(http.MethodGet)
	require.Equal(t, "d", body)
	require.Empty(t, s.unanswered())
}

// Guards against work for a caller that has closed its connection while others of its requests were queued or being served. On the
// previous code the close lay behind bytes that net/http did not read until it had answered the first request.
func TestCloseIsNoticedBehindOtherRequests(t *testing.T) {
	const head = "GET /b HTTP/1.1\r\nHost: test\r\n"
	for name, behind := range map[string]string{
		"served ahead":                  head + "\r\n",
		"queued":                        "GET /order HTTP/1.1\r\nHost: test\r\n\r\n",
		"incomplete":                    head,
		"half-closed":                   head + "\r\n",
		"more than is read ahead":       strings.Repeat("GET /order HTTP/1.1\r\nHost: test\r\n\r\n", 3*maxReadAhead/len(head)),
		"a head longer than read ahead": head + "X: " + strings.Repeat("x", 2*maxReadAhead),
	} {
		t.Run(name, func(t *testing.T) {
			begun := make(chan string, 10)
			var running sync.WaitGroup
			s := newPipelineSite(t, func(_ http.ResponseWriter, r *http.Request) {
				running.Add(1)
				defer running.Done()
				begun <- r.URL.Path
				<-r.Context().Done()
			})
			c := s.dial()
			c.send("a")
			require.Equal(t, "/a", <-begun)
			_, err := io.WriteString(c.socket, behind)
			require.NoError(t, err)
			time.Sleep(30 * time.Millisecond)
			if name == "half-closed" {
				require.NoError(t, c.socket.(*net.TCPConn).CloseWrite())
			} else {
				require.NoError(t, c.socket.Close())
			}
			ended := make(chan struct{})
			go func() { running.Wait(); close(ended) }()
			select {
			case <-ended:
			case <-time.After(400 * time.Millisecond):
				t.Fatal("requests were not canceled")
			}
			require.Eventually(t, func() bool { return s.server.open.Value() == 0 }, time.Second, time.Millisecond)
			require.LessOrEqual(t, len(begun), 1, "a queued request was begun")
		})
	}
}

// Guards against work for a caller that has closed its connection while the current request is one that began ahead: it has a context
// of its own.
func TestCloseCancelsACurrentRequestThatBeganAhead(t *testing.T) {
	var g gates
	s := newPipelineSite(t, g.serve)
	c := s.dial()
	c.sendAll("a", "b")
	g.awaitBegun(t, "a", "b")
	g.pass("a")
	_, body := c.body(http.MethodGet)
	require.Equal(t, "a", body)
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, c.socket.Close())
	require.Eventually(t, func() bool { return s.server.open.Value() == 0 }, 400*time.Millisecond, time.Millisecond)
	list := s.unanswered()
	require.Len(t, list, 1)
	require.Equal(t, "b", list[0]["request"])
}

// stream is a sequence of requests on one connection and their expected answers.
type stream struct {
	raw     string
	answers []string // method, status and body
	closes  bool     // the connection ends after the answers
}

// requestStreams cover the requests around which nothing may run, and the borders between requests.
var requestStreams = map[string]stream{
	"order between lookups": {
		raw:     "GET /a HTTP/1.1\r\nHost: t\r\n\r\nGET /order HTTP/1.1\r\nHost: t\r\n\r\nGET /b HTTP/1.1\r\nHost: t\r\n\r\nGET /c HTTP/1.1\nHost: t\n\n",
		answers: []string{"GET 200 a", "GET 200 order", "GET 200 b", "GET 200 c"},
	},
	"body that looks like a request": {
		raw: "GET /a HTTP/1.1\r\nHost: t\r\n\r\nPOST /order HTTP/1.1\r\nHost: t\r\ncontent-length: 22\r\n\r\nGET /z HTTP/1.1\r\n\r\nxx" +
			"GET /b HTTP/1.1\r\nHost: t\r\n\r\nHEAD /c HTTP/1.1\r\nHost: t\r\n\r\nGET /d HTTP/1.1\r\nHost: t\r\n\r\n",
		answers: []string{"GET 200 a", "POST 200 order22", "GET 200 b", "HEAD 200 ", "GET 200 d"},
	},
	"lookup with a body": {
		raw:     "GET /order HTTP/1.1\r\nHost: t\r\nContent-Length: 3\r\n\r\nxyzGET /b HTTP/1.1\r\nHost: t\r\n\r\nGET /c HTTP/1.1\r\nHost: t\r\n\r\n",
		answers: []string{"GET 200 order3", "GET 200 b", "GET 200 c"},
	},
	"chunked body": {
		raw: "POST /order HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n\r\n\r\nx\r\n0\r\n\r\n" +
			"GET /b HTTP/1.1\r\nHost: t\r\n\r\nGET /c HTTP/1.1\r\nHost: t\r\n\r\n",
		answers: []string{"POST 200 order5", "GET 200 b", "GET 200 c"},
	},
	"expected continue": {
		raw: "GET /a HTTP/1.1\r\nHost: t\r\n\r\nPOST /order HTTP/1.1\r\nHost: t\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nxy" +
			"GET /b HTTP/1.1\r\nHost: t\r\n\r\n",
		answers: []string{"GET 200 a", "POST 100 ", "POST 200 order2", "GET 200 b"},
	},
	"last request": {
		raw:     "GET /a HTTP/1.1\r\nHost: t\r\n\r\nGET /order HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\nGET /never HTTP/1.1\r\nHost: t\r\n\r\n",
		answers: []string{"GET 200 a", "GET 200 order"}, closes: true,
	},
	"old protocol": {
		raw:     "GET /a HTTP/1.1\r\nHost: t\r\n\r\nGET /order HTTP/1.0\r\n\r\nGET /never HTTP/1.1\r\nHost: t\r\n\r\n",
		answers: []string{"GET 200 a", "GET 200 order"}, closes: true,
	},
	"malformed": {
		raw:     "GET /a HTTP/1.1\r\nHost: t\r\n\r\nGET /never HTTP/1.1\r\nHost t\r\n\r\nGET /never HTTP/1.1\r\nHost: t\r\n\r\n",
		answers: []string{"GET 200 a", "GET 400 400 Bad Request"}, closes: true,
	},
	"without a host": {
		raw:     "GET /a HTTP/1.1\r\nHost: t\r\n\r\nGET /never HTTP/1.1\r\n\r\nGET /never HTTP/1.1\r\nHost: t\r\n\r\n",
		answers: []string{"GET 200 a", "GET 400 400 Bad Request: missing required Host header"}, closes: true,
	},
	"control character": {
		raw:     "GET /a HTTP/1.1\r\nHost: t\r\n\r\nGET /never HTTP/1.1\r\nHost: t\r\nX: \x01\r\n\r\n",
		answers: []string{"GET 200 a", "GET 400 400 Bad Request"}, closes: true,
	},
}

// Guards against requests that are begun beside a non-idempotent one, lost, answered twice or cut at the wrong border, in whatever
// pieces they arrive.
func TestStreamsOfRequestsAreAnsweredInOrder(t *testing.T) {
	for name, c := range requestStreams {
		for _, piece := range []int{1, 7, 40, len(c.raw)} {
			t.Run(fmt.Sprintf("%s in pieces of %d", name, piece), func(t *testing.T) {
				t.Parallel()
				var running atomic.Int32
				s := newPipelineSite(t, func(w http.ResponseWriter, r *http.Request) {
					alone := strings.HasPrefix(r.URL.Path, "/order")
					assert.False(t, running.Add(1) > 1 && alone, "%s began beside another request", r.URL.Path)
					body, err := io.ReadAll(r.Body)
					assert.NoError(t, err)
					time.Sleep(3 * time.Millisecond)
					assert.False(t, running.Add(-1) > 0 && alone, "a request began beside %s", r.URL.Path)
					assert.NotEqual(t, "/never", r.URL.Path)
					_, _ = io.WriteString(w, r.URL.Path[1:])
					if len(body) > 0 {
						_, _ = fmt.Fprint(w, len(body))
					}
				})
				client := s.dial()
				for rest := c.raw; rest != ""; rest = rest[min(piece, len(rest)):] {
					if _, err := io.WriteString(client.socket, rest[:min(piece, len(rest))]); err != nil {
						require.True(t, c.closes)
						break
					}
					time.Sleep(50 * time.Microsecond)
				}
				for _, want := range c.answers {
					method, _, _ := strings.Cut(want, " ")
					status, body := client.body(method)
					require.Equal(t, want, fmt.Sprintf("%s %d %s", method, status, body))
				}
				if c.closes {
					_, err := client.receive()
					require.Error(t, err)
				}
				require.Empty(t, s.logs.FilterMessage(telemetry.EventPreparedMismatch.Text).All())
			})
		}
	}
}

// Guards against a connection that begins more requests, or records more of their answers, than its bounds allow, and against
// answers that are cut when they are held back for that.
func TestRequestsAndAnswersAheadAreBounded(t *testing.T) {
	const size = maxPrepared - 1
	var g gates
	s := newPipelineSite(t, func(w http.ResponseWriter, r *http.Request) {
		g.serve(w, r)
		if strings.HasPrefix(r.URL.Path, "/large") {
			_, _ = w.Write(make([]byte, size-len(r.URL.Path)+1))
		}
	})
	many := s.dial()
	ids := make([]string, 20)
	for i := range ids {
		ids[i] = fmt.Sprint(i)
	}
	many.sendAll(ids...)
	g.awaitBegun(t, ids[:defaultDepth]...)
	g.pass(ids...)
	for _, id := range ids {
		_, body := many.body(http.MethodGet)
		require.Equal(t, id, body)
	}
	g.begun = nil
	large := s.dial()
	large.sendAll("first", "large-1", "large-2", "last")
	g.awaitBegun(t, "first", "large-1", "large-2", "last")
	g.pass("large-1", "large-2")
	time.Sleep(30 * time.Millisecond)
	held := 0
	s.server.mu.Lock()
	for c := range s.server.conns {
		c.mu.Lock()
		if c.ahead != nil {
			held = max(held, c.ahead.held)
		}
		c.mu.Unlock()
	}
	s.server.mu.Unlock()
	require.Positive(t, held)
	require.LessOrEqual(t, held, maxPrepared)
	large.sendAll("late") // the answers that are recorded and held back exceed the bound
	g.awaitBegun(t, "first", "large-1", "large-2", "last")
	g.pass("first", "last", "late")
	for _, want := range []int{len("first"), size, size, len("last"), len("late")} {
		_, body := large.body(http.MethodGet)
		require.Len(t, body, want)
	}
}

// Guards against a panic of a request that runs ahead that ends the process, closes the connection before earlier requests are
// answered, is answered twice, or is logged with the ID of another request.
func TestPanicOfARequestAhead(t *testing.T) {
	var g gates
	s := newPipelineSite(t, func(w http.ResponseWriter, r *http.Request) {
		Identify(r.Context(), r.URL.Path[1:])
		switch r.URL.Path {
		case "/broken":
			_, _ = io.WriteString(w, "not to be sent")
			panic("broken")
		case "/abort":
			panic(http.ErrAbortHandler)
		}
		g.serve(w, r)
	})
	broken, abort := s.dial(), s.dial()
	broken.sendAll("a", "broken", "c")
	abort.sendAll("b", "abort", "c")
	require.Eventually(t, func() bool {
		return s.logs.FilterMessage(telemetry.EventHandlerPanicked.Text).Len() == 1
	}, time.Second, time.Millisecond)
	require.Equal(t, "broken", s.logs.FilterMessage(telemetry.EventHandlerPanicked.Text).All()[0].ContextMap()["request"])
	g.pass("a", "b", "c")
	for _, c := range []*caller{broken, abort} {
		status, _ := c.body(http.MethodGet)
		require.Equal(t, http.StatusOK, status)
	}
	status, body := broken.body(http.MethodGet)
	require.Equal(t, http.StatusInternalServerError, status)
	require.Empty(t, body)
	require.True(t, broken.closing)
	for _, c := range []*caller{broken, abort} {
		_, err := c.receive()
		require.Error(t, err)
	}
	require.Eventually(t, func() bool { return s.server.open.Value() == 0 }, time.Second, time.Millisecond)
	list := s.unanswered()
	require.Len(t, list, 1)
	require.Equal(t, "abort", list[0]["request"])
	require.Equal(t, string(CauseAborted), list[0]["cause"])
}

// Guards against a stop that cuts requests that have begun ahead, begins others, or announces the close before the last answer.
func TestStopAnswersAllRequestsThatHaveBegun(t *testing.T) {
	for name, stop := range map[string]func(*Server){
		"leave": (*Server).Leave,
		"stop":  func(server *Server) { go func() { _ = server.Shutdown(t.Context()) }() },
	} {
		t.Run(name, func(t *testing.T) {
			var g gates
			s := newPipelineSite(t, g.serve)
			c := s.dial()
			c.sendAll("a", "b")
			g.awaitBegun(t, "a", "b")
			stop(s.server)
			time.Sleep(30 * time.Millisecond)
			c.sendAll("c", "order")
			time.Sleep(30 * time.Millisecond)
			g.pass("b", "a", "c", "order")
			for _, want := range []string{"a", "b"} {
				status, body := c.body(http.MethodGet)
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, want, body)
				require.Equal(t, want == "b", c.closing)
			}
			_, err := c.receive()
			require.Error(t, err)
			require.ElementsMatch(t, []string{"a", "b"}, g.list())
			require.Eventually(t, func() bool { return s.server.open.Value() == 0 }, time.Second, time.Millisecond)
			require.Empty(t, s.unanswered())
		})
	}
}

// Guards against requests ahead that are cut at the time limit of a stop instead of answering that their outcome is unknown.
func TestRequestsAheadAreAnsweredAtTheTimeLimit(t *testing.T) {
	var g gates
	s := newPipelineSite(t, g.serve)
	c := s.dial()
	c.sendAll("a", "b")
	g.awaitBegun(t, "a", "b")
	stopped := s.stop(100 * time.Millisecond)
	for range 2 {
		status, _ := c.body(http.MethodGet)
		require.Equal(t, http.StatusBadGateway, status)
	}
	require.ErrorIs(t, <-stopped, context.DeadlineExceeded)
	require.Empty(t, s.unanswered())
}

// Guards against a stop under load that loses a request which has begun ahead.
func TestStopUnderPipelinedLoadAnswersAllThatHasBegun(t *testing.T) {
	const rounds, callers, depth = 5, 30, 4
	for round := range rounds {
		var begun, answered sync.Map
		s := newPipelineSite(t, func(w http.ResponseWriter, r *http.Request) {
			begun.Store(r.URL.Path, true)
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(w, r.URL.Path)
		})
		var running sync.WaitGroup
		for i := range callers {
			c := s.dial()
			running.Go(func() {
				for n := 0; ; n += depth {
					for k := range depth {
						_, _ = fmt.Fprintf(c.socket, "GET /%d-%d HTTP/1.1\r\nHost: test\r\n\r\n", i, n+k)
					}
					for range depth {
						response, err := http.ReadResponse(c.reader, nil)
						if err != nil {
							return
						}
						body, err := io.ReadAll(response.Body)
						assert.NoError(t, errors.Join(err, response.Body.Close()))
						answered.Store(string(body), true)
						if response.Close {
							return
						}
					}
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		require.NoError(t, <-s.stop(5*time.Second))
		running.Wait()
		begun.Range(func(path, _ any) bool {
			_, ok := answered.Load(path)
			require.True(t, ok, "round %d: %s was begun and not answered", round, path)
			return true
		})
		require.Empty(t, s.unanswered(), "round %d", round)
	}
}

// Guards against a stop that counts as finished while a request of a closed connection is still being served ahead.
func TestStopWaitsForRequestsAheadOfAClosedConnection(t *testing.T) {
	release, begun := make(chan struct{}), make(chan struct{})
	s := newPipelineSite(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/stubborn" {
			close(begun)
			<-release
		}
		<-r.Context().Done()
	})
	c := s.dial()
	c.sendAll("a", "stubborn")
	<-begun
	require.NoError(t, c.socket.Close())
	stopped := s.stop(5 * time.Second)
	select {
	case <-stopped:
		t.Fatal("the stop did not wait")
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	require.NoError(t, <-stopped)
}

// Guards against a request whose time of arrival is that of its turn.
func TestArrivalIsWhenTheRequestWasRead(t *testing.T) {
	waited := make(chan time.Duration, 3)
	s := newPipelineSite(t, func(_ http.ResponseWriter, r *http.Request) {
		at, ok := ArrivedAt(r.Context())
		assert.True(t, ok)
		waited <- time.Since(at)
		time.Sleep(60 * time.Millisecond)
	})
	c := s.dial()
	c.sendAll("order-1", "order-2")
	time.Sleep(30 * time.Millisecond)
	c.sendAll("order-3")
	for range 3 {
		_, _ = c.body(http.MethodGet)
	}
	require.Less(t, <-waited, 30*time.Millisecond)
	require.GreaterOrEqual(t, <-waited, 60*time.Millisecond)
	third := <-waited
	require.GreaterOrEqual(t, third, 85*time.Millisecond)
	require.Less(t, third, 120*time.Millisecond)
}

// Guards against goroutines and buffers that connections keep which do not pipeline, or do so no longer.
func TestConnectionThatDoesNotPipelineKeepsNothing(t *testing.T) {
	s := newPipelineSite(t, func(http.ResponseWriter, *http.Request) {})
	c := s.dial()
	require.Equal(t, http.StatusOK, c.call("a"))
	before := runtime.NumGoroutine()
	for range 50 {
		require.Equal(t, http.StatusOK, c.call("a"))
	}
	keeps := func() bool {
		s.server.mu.Lock()
		defer s.server.mu.Unlock()
		for open := range s.server.conns {
			open.mu.Lock()
			defer open.mu.Unlock()
			if open.ahead != nil {
				return true
			}
		}
		return false
	}
	require.False(t, keeps())
	for range 20 {
		c.sendAll("a", "b", "c")
		for range 3 {
			_, _ = c.body(http.MethodGet)
		}
	}
	require.Equal(t, http.StatusOK, c.call("a"))
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end) && (keeps() || runtime.NumGoroutine() > before); {
		time.Sleep(5 * time.Millisecond)
	}
	require.False(t, keeps())
	require.LessOrEqual(t, runtime.NumGoroutine(), before)
}
