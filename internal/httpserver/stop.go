package httpserver

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// answerTimeout is the time in which requests that are canceled at the end of a stop write their answers.
const answerTimeout = 250 * time.Millisecond

// ErrStopping is the cause of the cancellation of requests that are in progress when the time of a stop is over. If a caller leaves,
// the cause is context.Canceled.
var ErrStopping = errors.New("server is stopping")

// Leave asks callers to open no further request on their connections: from now on every answer says that its connection is closed.
func (s *Server) Leave() { s.leaving.Store(true) }

// Shutdown closes the listener and all connections without losing a request. A connection on which nothing of a request has arrived
// is closed at once; its caller can tell that a request that crosses the close was not read. All other requests are answered first,
// unless their headers do not arrive within stopReadTimeout. When ctx ends, the contexts of the requests in progress are canceled, so
// that they are answered without their result, and Shutdown returns an error.
//
// The Shutdown of net/http is not used, since it closes connections that it is reading from and drops requests that it has read.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Leave()
	err := s.stopConns()
	select {
	case <-s.drained:
		return errors.Join(err, s.Close())
	case <-ctx.Done():
	}
	err = errors.Join(err, errors.Wrapf(ctx.Err(), "%d connections with requests in progress", s.connections()))
	s.cancelRequests()
	select {
	case <-s.drained:
	case <-time.After(answerTimeout):
	}
	return errors.Join(err, s.Close())
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	s.closing.Store(true)
	s.cancel()
	return ignoreClosed(s.http.Close())
}

// ignoreClosed drops the error of closing a listener again: both net/http and Shutdown close it.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// stopConns closes the listener and stops all connections.
func (s *Server) stopConns() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stoppingAt.IsZero() {
		return nil
	}
	s.stoppingAt = time.Now()
	for c := range s.conns {
		c.stop()
	}
	s.checkDrained()
	if s.socket == nil {
		return nil
	}
	return ignoreClosed(s.socket.Close())
}

// cancelRequests cancels the contexts of the requests in progress and ends the wait for their bodies.
func (s *Server) cancelRequests() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.interruptBody()
	}
}

// checkDrained reports that a stopping server has no connections left and accepts none. The caller holds the lock.
func (s *Server) checkDrained() {
	if !s.stoppingAt.IsZero() && !s.accepting && len(s.conns) == 0 && !s.isDrained {
		s.isDrained = true
		close(s.drained)
	}
}

func (s *Server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// answerWriter adds the header that announces the close of the connection, as late as possible, to the last answers of a leaving
// server.
type answerWriter struct {
	http.ResponseWriter
	conn      *conn
	started   bool
	hasHeader bool // the handler has asked for the header
}

// Header implements http.ResponseWriter.
func (w *answerWriter) Header() http.Header {
	w.hasHeader = true
	return w.ResponseWriter.Header()
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if !w.started && status >= http.StatusOK {
		asked := w.hasHeader && asksForClose(w.Header()) // net/http copies a header that was asked for
		if (asked || w.conn.server.leaving.Load()) && w.conn.isLast(asked) {
			w.Header().Set("Connection", "close")
		}
	}
	w.started = w.started || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *answerWriter) Flush() {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	_ = http.NewResponseController(w.ResponseWriter).Flush() // net/http's writer can always be flushed
}

// refuse answers that the request has not run.
func (w *answerWriter) refuse() {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// asksForClose reports whether a handler has set the header that announces the close of the connection.
func asksForClose(h http.Header) bool {
	values := h["Connection"]
	return len(values) > 0 && strings.EqualFold(values[0], "close")
}
