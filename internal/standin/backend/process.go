package backend

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/pollenpier/pollenpier/internal/backend/wire"
)

// process is the state of the backend between one start and the next crash.
type process struct {
	server          *Server
	startID         string
	started         time.Time
	http            *http.Server
	ctx             context.Context
	stop            context.CancelFunc
	slots           chan struct{} // one element for each slot in use
	openConnections atomic.Int64

	mu        sync.Mutex
	session   *session
	running   int
	queued    int
	answered  int
	collapsed bool
	health    lagging[wire.Health]
	load      lagging[wire.Load]
}

func newProcess(s *Server) *process {
	ctx, stop := context.WithCancel(s.ctx)
	startID := rand.Text()
	p := &process{
		server: s, startID: startID, started: time.Now(), ctx: ctx, stop: stop,
		slots: make(chan struct{}, s.options.Slots), session: newSession(startID),
	}
	p.health = newLagging(s.options.ReportLag, wire.Health{Ready: true, StartID: startID})
	p.load = newLagging(s.options.ReportLag, wire.Load{StartID: startID})
	p.http = &http.Server{Handler: p.routes(), ReadHeaderTimeout: 10 * time.Second, ConnState: p.countConnection}
	return p
}

// now returns the time since the start of the process, measured by the monotonic clock.
func (p *process) now() time.Duration { return time.Since(p.started) }

func (p *process) countConnection(conn net.Conn, state http.ConnState) {
	limit := int64(p.server.options.MaxConnections)
	switch state {
	case http.StateNew:
		if p.openConnections.Add(1) > limit && limit > 0 {
			_ = conn.Close() // the connection is refused
		}
	case http.StateClosed, http.StateHijacked:
		p.openConnections.Add(-1)
	default:
	}
}

// lagging delays the reports of a value by a configured time.
type lagging[T any] struct {
	lag    time.Duration
	at     time.Time
	shown  T
	latest T
}

func newLagging[T any](lag time.Duration, value T) lagging[T] {
	return lagging[T]{lag: lag, at: time.Now(), shown: value, latest: value}
}

func (l *lagging[T]) show(current T) T {
	if l.lag <= 0 {
		return current
	}
	if now := time.Now(); now.Sub(l.at) >= l.lag {
		l.shown, l.latest, l.at = l.latest, current, now
	}
	return l.shown
}

func (p *process) getHealth(c *gin.Context) {
	if !p.awaitUnfreeze() {
		panic(http.ErrAbortHandler)
	}
	draining := p.server.currentFaults().Drain
	p.mu.Lock()
	report := p.health.show(wire.Health{Ready: !draining && !p.collapsed, Draining: draining, StartID: p.startID})
	p.mu.Unlock()
	c.JSON(http.StatusOK, report)
}

func (p *process) getLoad(c *gin.Context) {
	if !p.awaitUnfreeze() {
		panic(http.ErrAbortHandler)
	}
	p.mu.Lock()
	report := p.load.show(wire.Load{
		InFlight: p.running, Queued: p.queued, Connections: int(p.openConnections.Load()), StartID: p.startID,
	})
	p.mu.Unlock()
	c.JSON(http.StatusOK, report)
}

func (p *process) putSession(c *gin.Context) {
	var r wire.Session
	if !p.readControl(c, &r) {
		return
	}
	p.mu.Lock()
	accepted := p.session.renew(r, p.now())
	status := wire.SessionStatus{
		StartID: p.startID, Term: p.session.term, Slots: p.server.options.Slots,
		Stamp: uint64(p.now().Milliseconds()), Lapses: p.session.lapses,
	}
	p.mu.Unlock()
	if !accepted {
		p.answerControl(c, http.StatusConflict, wire.Error{Code: wire.CodeOutdatedTerm, Error: "higher term accepted"})
		return
	}
	p.answerControl(c, http.StatusOK, status)
}

func (p *process) putGrants(c *gin.Context) {
	var g wire.Grants
	if !p.readControl(c, &g) {
		return
	}
	p.mu.Lock()
	accepted := p.session.applyGrants(g, p.now())
	running := p.session.runsAny(g.Revoke)
	p.mu.Unlock()
	switch {
	case !accepted:
		p.answerControl(c, http.StatusConflict, wire.Error{Code: wire.CodeOutdatedTerm, Error: "higher term accepted"})
	case running:
		p.answerControl(c, http.StatusConflict, wire.Error{Code: wire.CodeRunning, Error: "requests are running"})
	default:
		p.answerControl(c, http.StatusOK, struct{}{})
	}
}

// readControl decodes the body of a control request and then waits while the backend is frozen. If the body is invalid, it
// answers with status 400 and returns false.
func (p *process) readControl(c *gin.Context, into any) bool {
	err := c.ShouldBindJSON(into)
	if !p.awaitUnfreeze() {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		c.JSON(http.StatusBadRequest, wire.Error{Code: wire.CodeBadRequest, Error: err.Error()})
		return false
	}
	return true
}

// answerControl answers a control request, or closes the connection if LoseControl is set.
func (p *process) answerControl(c *gin.Context, status int, body any) {
	if p.server.currentFaults().LoseControl {
		panic(http.ErrAbortHandler)
	}
	c.JSON(status, body)
}
