package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/backend/wire"
)

// Server is a running stand-in. Its processes start and crash; its address and its record of executions stay.
type Server struct {
	options Options
	address string
	ledger  ledger
	workers sync.WaitGroup
	ctx     context.Context
	stop    context.CancelFunc

	mu       sync.Mutex
	process  *process // nil while the back end is down
	closed   bool
	faults   Faults
	thawed   chan struct{} // closed when the back end is not frozen
	previous string        // the id of the request before, for crossed answers
}

// Start serves on a listen address, such as 127.0.0.1:0, until Close.
func Start(listen string, options Options) (*Server, error) {
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{options: options.withDefaults(), address: listen, ctx: ctx, stop: stop, thawed: make(chan struct{})}
	close(s.thawed)
	if err := s.Restart(); err != nil {
		stop()
		return nil, err
	}
	return s, nil
}

// Address returns the address on which the stand-in listens.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// StartID returns the start id of the current process, empty while the back end is down.
func (s *Server) StartID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process == nil {
		return ""
	}
	return s.process.startID
}

// Close stops the stand-in and breaks its connections.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.stop()
	s.Kill()
	s.workers.Wait()
	return nil
}

// Restart starts a new process at the same address. It fails if the address is taken, and does nothing if one runs.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.process != nil {
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(s.ctx, "tcp", s.address)
	if err != nil {
		return errors.Wrap(err, "listen for the back end stand-in")
	}
	s.address = listener.Addr().String()
	p := newProcess(s)
	s.process = p
	s.workers.Go(func() {
		_ = p.http.Serve(listener) // returns an error at Close only
	})
	return nil
}

// Kill ends the current process at once, as a crash does: connections break and new ones are refused.
func (s *Server) Kill() {
	s.mu.Lock()
	p := s.process
	s.process = nil
	s.mu.Unlock()
	if p == nil {
		return
	}
	p.stop()
	_ = p.http.Close() // the process is given up
}

// crash kills the process and starts another after the down time.
func (s *Server) crash() {
	s.Kill()
	if s.options.DownTime < 0 {
		return
	}
	s.workers.Go(func() {
		if sleep(s.ctx, s.options.DownTime) {
			_ = s.Restart() // fails if another server has taken the address
		}
	})
}

// SetFaults replaces the faults, as PUT /faults does.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Freeze && !s.faults.Freeze {
		s.thawed = make(chan struct{})
	}
	if !f.Freeze && s.faults.Freeze {
		close(s.thawed)
	}
	s.faults = f
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// awaitThaw waits while the back end is frozen. It ignores the end of the request, which a paused process cannot see, and
// reports false if the process ends.
func (p *process) awaitThaw() bool {
	p.server.mu.Lock()
	thawed := p.server.thawed
	p.server.mu.Unlock()
	select {
	case <-thawed:
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
	engine.PUT(wire.PathSession, p.putSession)
	engine.PUT(wire.PathGrants, p.putGrants)
	engine.GET(wire.PathHealth, p.getHealth)
	engine.GET(wire.PathLoad, p.getLoad)
	engine.NoRoute(p.serveRequest)
	return engine
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

// sleep waits and reports whether the context is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
