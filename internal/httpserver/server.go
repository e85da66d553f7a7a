// Package httpserver is the HTTP server for callers of both kinds of instance. Unlike the server of net/http it knows of every
// connection how far its current request has got. It can therefore stop without losing a request, and reports each connection that
// is closed under a request without a complete answer. Requests that a caller sends ahead of
// the answer to an earlier one are worked on side by side if Options.Concurrent allows it, and are answered in order. See
// docs/design/pipelining.md.
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
	// Concurrent reports whether a request may begin while earlier requests of its connection are unanswered, and others behind it. It
	// must be fast and is called only for requests without a body of callers that pipeline, also while the handler of the request
	// runs. If it is nil, requests are worked on one after the other.
	Concurrent func(*http.Request) bool
	// PipelineDepth bounds the requests of one connection that are in progress at once. Zero means 8.
	PipelineDepth int
	// Limits bounds what the server holds for its callers. Nil means no limits.
	Limits *Limits
	// Name is the prefix of the metrics.
	Name     string
	Log      *zap.Logger
	Registry metrics.Registry
}

// Server serves HTTP on one listener.
type Server struct {
	options   Options
	http      *http.Server
	base      context.Context // the parent of the contexts of all requests
	open      metrics.Gauge
	pipelined struct{ begun, waited, dropped metrics.Counter }
	leaving   atomic.Bool
	closing   atomic.Bool // connections are closed at once
	cancel    func()      // cancels the contexts of all requests, with ErrStopping
	began     time.Time
	// held and admitted say how much of the limits is in use.
	held, admitted metrics.Gauge
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
	if o.PipelineDepth == 0 {
		o.PipelineDepth = defaultDepth
	}
	base, cancel := context.WithCancelCause(context.Background())
	s := &Server{
		options: o, base: base, began: time.Now(), open: metrics.GetOrRegisterGauge(o.Name+".connections_open", o.Registry),
		cancel: func() { cancel(ErrStopping) }, drained: make(chan struct{}), conns: map[*conn]struct{}{},
	}
	s.pipelined.begun = metrics.GetOrRegisterCounter(o.Name+".pipelined.begun", o.Registry)
	s.pipelined.waited = metrics.GetOrRegisterCounter(o.Name+".pipelined.waited", o.Registry)
	s.pipelined.dropped = metrics.GetOrRegisterCounter(o.Name+".pipelined.dropped", o.Registry)
	if o.Limits != nil {
		if o.Limits.pace == (pace{}) {
			o.Limits.pace = defaultPace
		}
		s.held = metrics.GetOrRegisterGauge(o.Name+".held_bytes", o.Registry)
		s.admitted = metrics.GetOrRegisterGauge(o.Name+".connections_admitted", o.Registry)
	}
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.handle),
		// Otherwise net/http answers OPTIONS * with a success that no backend gave.
		DisableGeneralOptionsHandler: true,

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
	switch request := ctx.Value(connKey{}).(type) {
	case *conn:
		request.identify(id)
	case *prepared:
		request.identify(id)
	}
}

// ArrivedAt returns when the end of the head of the request with the context ctx was read. For a request that waited behind others
// of its connection, that is earlier than the begin of its handler. It returns false for a context that is not of a request.
func ArrivedAt(ctx context.Context) (time.Time, bool) {
	switch request := ctx.Value(connKey{}).(type) {
	case *conn:
		return request.arrivedAt(), true
	case *prepared:
		return request.at, true
	default:
		return time.Time{}, false
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

// forget drops a connection that has been closed and whose handlers have ended.
func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.open.Update(int64(len(s.conns)))
	s.checkDrained()
}

// report logs and counts a request without a complete answer.
func (s *Server) report(c *conn, u *Unanswered) {
	s.mu.Lock()
	stoppingAt := s.stoppingAt
	s.mu.Unlock()
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
	if r.Body != http.NoBody {
		r.Body = trackedBody{ReadCloser: r.Body, conn: c}
	}
	answer := &answerWriter{ResponseWriter: w, conn: c}
	defer s.recoverPanic(c, answer)
	prepared := c.handling(r)
	hasBegun := c.guard.begin(r.Body != http.NoBody, prepared != nil)
	switch {
	case prepared != nil:
		prepared.deliver(answer)
	case hasBegun:
		s.options.Handler.ServeHTTP(answer, r)
	default:
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
	case errPanicLogged:
		c.abort(CausePanic)
	default:
		s.logPanic(c.abort(CausePanic), cause)
	}
	if answer.started {
		panic(http.ErrAbortHandler)
	}
	clear(answer.Header())
	answer.Header().Set("Connection", "close")
	answer.WriteHeader(http.StatusInternalServerError)
	c.handled()
}

// logPanic logs a panic of a handler. It is called before the stack of the handler is unwound.
func (s *Server) logPanic(request string, cause any) {
	telemetry.EventHandlerPanicked.Log(s.options.Log, zap.String("request", request), zap.Any("panic", cause), zap.Stack("stack"))
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
