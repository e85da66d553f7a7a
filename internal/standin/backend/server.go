package backend

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/backend/wire"
	"github.com/pollenpier/pollenpier/internal/sleep"
)

// Server is a running simulated backend. Its address and its execution log are kept across restarts and crashes of the
// simulated process.
type Server struct {
	options      Options
	address      string
	executionLog executionLog
	workers      sync.WaitGroup
	ctx          context.Context
	stop         context.CancelFunc

	mu         sync.Mutex
	process    *process // nil while the backend is unavailable
	closed     bool
	faults     Faults
	unfrozen   chan struct{} // closed while the backend is not frozen
	previousID string        // used if Faults.Crossed is set
}

// Start serves on a listen address, such as 127.0.0.1:0, until Close is called. It fails if it cannot listen.
func Start(listen string, options Options) (*Server, error) {
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{options: options.withDefaults(), address: listen, ctx: ctx, stop: stop, unfrozen: make(chan struct{})}
	close(s.unfrozen)
	if err := s.Restart(); err != nil {
		stop()
		return nil, err
	}
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// StartID returns the start id of the current process, or an empty string while the backend is unavailable.
func (s *Server) StartID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process == nil {
		return ""
	}
	return s.process.startID
}

// Close stops the server, closes its connections and waits for its goroutines. The error is always nil.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.stop()
	s.Kill()
	s.workers.Wait()
	return nil
}

// Restart starts a new process at the same address. It fails if the address is in use. It does nothing if a process is
// running or the server is closed.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.process != nil {
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(s.ctx, "tcp", s.address)
	if err != nil {
		return errors.Wrap(err, "listen for the simulated backend")
	}
	s.address = listener.Addr().String()
	p := newProcess(s)
	s.process = p
	s.workers.Go(func() {
		_ = p.http.Serve(listener) // returns only after Close, with an error that says so
	})
	return nil
}

// Kill terminates the current process immediately, as a crash does: open connections are closed and new ones refused.
func (s *Server) Kill() {
	s.mu.Lock()
	p := s.process
	s.process = nil
	s.mu.Unlock()
	if p == nil {
		return
	}
	p.stop()
	_ = p.http.Close() // the process is discarded in any case
}

// crash kills the process and starts another one after Options.DownTime.
func (s *Server) crash() {
	s.Kill()
	if s.options.DownTime < 0 {
		return
	}
	s.workers.Go(func() {
		if sleep.For(s.ctx, s.options.DownTime) == nil {
			_ = s.Restart() // fails if another server uses the address by then
		}
	})
}

// SetFaults replaces all faults, as PUT /faults does.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Freeze && !s.faults.Freeze {
		s.unfrozen = make(chan struct{})
	}
	if !f.Freeze && s.faults.Freeze {
		close(s.unfrozen)
	}
	s.faults = f
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// awaitUnfreeze waits while the backend is frozen. It ignores the cancellation of the request, since a paused process would
// not notice it either. It returns false if the process is terminated.
func (p *process) awaitUnfreeze() bool {
	p.server.mu.Lock()
	unfrozen := p.server.unfrozen
	p.server.mu.Unlock()
	select {
	case <-unfrozen:
		return p.ctx.Err() == nil
	case <-p.ctx.Done():
		return false
	}
}

func (p *process) routes() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	s := p.server
	engine.PUT(PathFaults, s.putFaults)
	engine.GET(PathFaults, func(c *gin.Context) { c.JSON(http.StatusOK, s.currentFaults()) })
	engine.GET(PathExecutions, s.getExecutions)
	control := engine.Group("", echoControlID)
	control.PUT(wire.PathSession, p.putSession)
	control.PUT(wire.PathGrants, p.putGrants)
	control.GET(wire.PathHealth, p.getHealth)
	control.GET(wire.PathLoad, p.getLoad)
	engine.NoRoute(p.serveRequest)
	return engine
}

// echoControlID echoes the id of a control request.
func echoControlID(c *gin.Context) {
	c.Header(wire.HeaderRequestID, c.Request.Header.Get(wire.HeaderRequestID))
}

func (s *Server) putFaults(c *gin.Context) {
	var f Faults
	if err := c.ShouldBindJSON(&f); err != nil {
		c.JSON(http.StatusBadRequest, wire.Error{Code: wire.CodeBadRequest, Error: err.Error()})
		return
	}
	s.SetFaults(f)
	c.JSON(http.StatusOK, f)
}
