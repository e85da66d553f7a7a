package httpserver

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// Guards against a request that ends without an answer and leaves no log line and no count, or one that names the wrong cause.
func TestUnansweredRequestIsReportedWithItsCause(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		act     func(*site, *caller)
		cause   Cause
		phase   string
	}{
		"handler truncates its answer": {
			handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			act:     func(_ *site, c *caller) { c.send("a") },
			cause:   CauseAborted, phase: "handling",
		},
		"caller closes before a long answer": {
			handler: func(w http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				_, _ = w.Write(make([]byte, 8<<20))
			},
			act:   func(_ *site, c *caller) { c.send("a"); time.Sleep(50 * time.Millisecond); _ = c.socket.Close() },
			cause: CauseCallerClosed, phase: "handling",
		},
		"caller closes before a short answer": {
			handler: func(w http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				w.WriteHeader(http.StatusBadGateway)
			},
			act:   func(_ *site, c *caller) { c.send("a"); time.Sleep(50 * time.Millisecond); _ = c.socket.Close() },
			cause: CauseCallerClosed, phase: "answered",
		},
		"caller closes and the handler truncates its answer": {
			handler: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done(); panic(http.ErrAbortHandler) },
			act:     func(_ *site, c *caller) { c.send("a"); time.Sleep(50 * time.Millisecond); _ = c.socket.Close() },
			cause:   CauseCallerClosed, phase: "handling",
		},
		"handler panics in its answer": {
			handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK); panic("broken") },
			act:     func(_ *site, c *caller) { c.send("a") },
			cause:   CausePanic, phase: "handling",
		},
		"server closes while a handler runs": {
			handler: func(http.ResponseWriter, *http.Request) { <-release },
			act: func(s *site, c *caller) {
				c.send("a")
				time.Sleep(50 * time.Millisecond)
				_ = s.server.Close()
			},
			cause: CauseServerClosed, phase: "handling",
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
				Identify(r.Context(), r.URL.Path[1:])
				c.handler(w, r)
			}, nil)
			c.act(s, s.dial())
			require.Eventually(t, func() bool { return s.count(c.cause) == 1 }, 2*time.Second, 5*time.Millisecond)
			list := s.unanswered()
			require.Len(t, list, 1)
			require.Equal(t, string(c.cause), list[0]["cause"])
			require.Equal(t, c.phase, list[0]["phase"])
			require.Equal(t, "a", list[0]["request"])
		})
	}
}

// Guards against a panic of a handler that closes the connection without an answer, or that leaves no log line.
func TestPanicOfAHandlerIsAnsweredAndLogged(t *testing.T) {
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		Identify(r.Context(), "a")
		w.Header().Set("Content-Length", "10")
		panic("broken")
	}, nil)
	require.Equal(t, http.StatusInternalServerError, s.dial().call("a"))
	lines := s.logs.FilterMessage(telemetry.EventHandlerPanicked.Text).All()
	require.Len(t, lines, 1)
	require.Equal(t, "a", lines[0].ContextMap()["request"])
	require.Equal(t, http.StatusInternalServerError, s.dial().call("b"))
}

// Guards against an answer that a panic truncates and that looks complete.
func TestPanicInAFlushedAnswerTruncatesIt(t *testing.T) {
	s := newSite(t, func(w http.ResponseWriter, _ *http.Request) {
		w.(http.Flusher).Flush()
		panic("broken")
	}, nil)
	c := s.dial()
	c.send("a")
	_, err := c.receive()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Len(t, s.unanswered(), 1)
}

// Guards against reports about requests that were answered, and about connections that close without a request.
func TestAnsweredRequestIsNotReported(t *testing.T) {
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/last" {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, "answer")
	}, nil)
	silent, busy, invalid := s.dial(), s.dial(), s.dial()
	require.Equal(t, http.StatusOK, busy.call("a"))
	require.Equal(t, http.StatusOK, busy.call("last"))
	_, err := io.WriteString(invalid.socket, "nonsense\r\n\r\n")
	require.NoError(t, err)
	status, err := invalid.receive()
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, status)
	_ = silent.socket.Close()
	require.Eventually(t, func() bool { return s.server.open.Value() == 0 }, 2*time.Second, 5*time.Millisecond)
	require.Empty(t, s.unanswered())
}
