// Package httpserver is the HTTP server for callers of both kinds of instance. Unlike the server of net/http it knows of every
// connection how far its current request has got. It can therefore stop without losing a request, and reports each connection that
// is closed under a request without a complete answer. Callers must not pipeline requests: a stop cancels a pipelined request that
// net/http has in its buffer, which is then answered without its result.
package httpserver

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// Cause is the reason why a connection was closed under a request without a complete answer.
type Cause string

// Causes of unanswered requests.
const (
	CauseCallerClosed Cause = "caller-closed"
	CauseWriteFailed  Cause = "write-failed"
	CauseAborted      Cause = "answer-aborted" // the handler truncated the answer
	CausePanic        Cause = "panic"
	CauseServerClosed Cause = "server-closed"
)

// Unanswered describes a request whose connection was closed before it had a complete answer.
type Unanswered struct {
	Cause   Cause
	Phase   string        // how far the request had got: reading, handling or answered
	Request string        // the caller's ID of the request, if it is known
	Bytes   int           // bytes read of the request
	Age     time.Duration // time since the first byte was read
	Partial bool          // part of the answer was written
}

// Options configures a Server.
type Options struct {
	Handler http.Handler
	// ReadHeaderTimeout bounds the time to read the headers of a request.
	ReadHeaderTimeout time.Duration
	// IdleTimeout is how long a connection may wait for its next request. Zero means no limit.
	IdleTimeout time.Duration
	// Limits bounds what the server holds for its callers. Nil means no limits.
	Limits *Limits
	// Name is the prefix of the metrics.
	Name     string
	Log      *zap.Logger
	Registry metrics.Registry
}

// Server serves HTTP on one listener.
type Server struct {
	options Options
	http    *http.Server
	open    metrics.Gauge
	began   time.Time
	// held and admitted say how much of the limits is in use.
	held, admitted metrics.Gauge
	leaving        atomic.Bool
	cancel         func()        // cancels the contexts of all requests, with ErrStopping
	drained        chan struct{} // closed when a stopping server accepts no more connections and the last one has ended

	mu         sync.Mutex
	socket     net.Listener
	conns      map[*conn]struct{}
	accepting  bool // the listener may still return a connection, also after it was closed
	stoppingAt time.Time
	isDrained  bool
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// New returns a server. It registers its metrics in o.Registry.
func New(o Options) *Server {
	base, cancel := context.WithCancelCause(context.Background())
	s := &Server{
		options: o, began: time.Now(), open: metrics.GetOrRegisterGauge(o.Name+".connections_open", o.Registry),
		cancel: func() { cancel(ErrStopping) }, drained: make(chan struct{}), conns: map[*conn]struct{}{},
	}
	if o.Limits != nil {
		if o.Limits.pace == (pace{}) {
			o.Limits.pace = defaultPace
		}
		s.held = metrics.GetOrRegisterGauge(o.Name+".held_bytes", o.Registry)
		s.admitted = metrics.GetOrRegisterGauge(o.Name+".connections_admitted", o.Registry)
	}
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.handle),
		ReadHeaderTimeout: o.ReadHeaderTimeout,
		IdleTimeout:       o.IdleTimeout,
		ErrorLog:          log.New(problemWriter{o.Log}, "", 0),
		ConnState:         connState,
		BaseContext:       func(net.Listener) context.Context { return base },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	return s
}

// Identify tells the server the caller's ID of the request with the context ctx, which its log lines then name.
func Identify(ctx context.Context, id string) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.identify(id)
	}
}

// Serve accepts connections until the server is stopped. It then returns http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.socket = l
	stopped := !s.stoppingAt.IsZero()
	s.accepting = !stopped
	s.mu.Unlock()
	if stopped {
		return errors.Join(http.ErrServerClosed, l.Close())
	}
	err := s.http.Serve(&listener{Listener: l, server: s})
	if s.endAccepting() {
		return http.ErrServerClosed
	}
	return err
}

// endAccepting records that no further connection is accepted, and reports whether the server is stopping.
func (s *Server) endAccepting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepting = false
	s.checkDrained()
	return !s.stoppingAt.IsZero()
}

func (s *Server) track(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	s.open.Update(int64(len(s.conns)))
	if !s.stoppingAt.IsZero() { // the connection was accepted while the listener was closed
		c.stop()
	}
}

// forget drops a connection that is being closed. report is nil unless its request has no complete answer.
func (s *Server) forget(c *conn, report *Unanswered) {
	s.mu.Lock()
	delete(s.conns, c)
	s.open.Update(int64(len(s.conns)))
	stoppingAt := s.stoppingAt
	s.checkDrained()
	s.mu.Unlock()
	if report != nil {
		s.report(c, report, stoppingAt)
	}
}

// report logs and counts a request without a complete answer.
func (s *Server) report(c *conn, u *Unanswered, stoppingAt time.Time) {
	event := telemetry.EventRequestUnanswered
	if u.Cause == CauseCallerClosed {
		event = telemetry.EventRequestLeft
	}
	fields := []zap.Field{
		zap.String("request", u.Request), zap.Stringer("caller", c.RemoteAddr()), zap.String("cause", string(u.Cause)),
		zap.String("phase", u.Phase), zap.Int("bytes", u.Bytes), zap.Duration("age", u.Age), zap.Bool("partial", u.Partial),
	}
	if !stoppingAt.IsZero() {
		fields = append(fields, zap.Duration("stopping_for", time.Since(stoppingAt)))
	}
	event.Log(s.options.Log, fields...)
	metrics.GetOrRegisterCounter(s.options.Name+".unanswered."+string(u.Cause), s.options.Registry).Inc(1)
}

// handle serves one request and records its progress at the connection.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		panic("request without a tracked connection")
	}
	c.handling(r.Body != http.NoBody)
	if r.Body != http.NoBody {
		r.Body = trackedBody{ReadCloser: r.Body, conn: c}
	}
	answer := &answerWriter{ResponseWriter: w, server: s}
	defer s.recoverPanic(c, answer)
	if c.guard.begin(r.Body != http.NoBody) {
		s.options.Handler.ServeHTTP(answer, r)
	} else {
		answer.refuse()
	}
	if !answer.started {
		answer.WriteHeader(http.StatusOK)
	}
	c.handled()
}

// recoverPanic logs a panic of a handler and answers with status 500, unless the answer has begun: net/http then closes the
// connection. Handlers panic with http.ErrAbortHandler to truncate an answer.
func (s *Server) recoverPanic(c *conn, answer *answerWriter) {
	cause := recover()
	switch cause {
	case nil:
		return
	case http.ErrAbortHandler:
		c.abort(CauseAborted)
		panic(http.ErrAbortHandler)
	}
	request := c.abort(CausePanic)
	telemetry.EventHandlerPanicked.Log(s.options.Log, zap.String("request", request), zap.Any("panic", cause), zap.Stack("stack"))
	if answer.started {
		panic(http.ErrAbortHandler)
	}
	clear(answer.Header())
	answer.Header().Set("Connection", "close")
	answer.WriteHeader(http.StatusInternalServerError)
	c.handled()
}

// connState follows the states of a connection.
func connState(socket net.Conn, state http.ConnState) {
	if c, ok := socket.(*conn); ok && state == http.StateIdle {
		c.wait()
	}
}

// problemWriter writes the lines of net/http's error log as events.
type problemWriter struct{ log *zap.Logger }

// Write implements io.Writer.
func (w problemWriter) Write(line []byte) (int, error) {
	telemetry.EventHTTPServerProblem.Log(w.log, zap.ByteString("problem", line))
	return len(line), nil
}
