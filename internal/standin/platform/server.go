// Package platform is a small stand-in of the users' platform: an append-only log with limited retention, an instance list
// that lags, and switches for faults. It keeps everything in memory and serves the protocol of docs/protocols.md.
package platform

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/platformapi/wire"
)

// Options configures a Server. The zero value keeps all records and shows the list without lag or expiry.
type Options struct {
	// KeepCount is the number of records that each stream keeps. Zero keeps all.
	KeepCount int
	// KeepAge is how long each stream keeps a record. Zero keeps it for ever.
	KeepAge time.Duration
	// ListLag is how far the instance list lags behind the registrations.
	ListLag time.Duration
	// ListExpiry removes an instance that has not refreshed its entry for so long. Zero keeps it.
	ListExpiry time.Duration
}

// PathFaults takes (PUT) and shows (GET) the faults.
const PathFaults = "/faults"

// AllAnswers as Faults.LoseAnswers loses the answers of all appends until the faults change.
const AllAnswers = -1

// Faults are the switchable faults.
type Faults struct {
	// Outage answers everything with 503 and without effect.
	Outage bool `json:"outage"`
	// LatencyMs delays every request by so many milliseconds.
	LatencyMs int `json:"latency_ms"`
	// LoseAnswers is the number of appends that still take effect without an answer: the connection closes.
	LoseAnswers int `json:"lose_answers"`
	// FreezeList shows the list as it was when this was set.
	FreezeList bool `json:"freeze_list"`
}

// maxWait bounds a long poll.
const maxWait = time.Minute

// maxAppendBytes bounds the body of an append: a payload of 1 MiB in base64.
const maxAppendBytes = 1500 << 10

// Server is a running stand-in.
type Server struct {
	options  Options
	listener net.Listener
	http     *http.Server
	done     chan struct{}
	stop     context.CancelFunc

	mu      sync.Mutex
	faults  Faults
	frozen  time.Time // the time of which the list is shown while it is frozen
	streams map[string]*stream
	list    list
}

// Start serves on a listen address, such as 127.0.0.1:0, until Close.
func Start(listen string, options Options) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the platform stand-in")
	}
	base, stop := context.WithCancel(context.Background())
	s := &Server{
		options:  options,
		listener: listener,
		done:     make(chan struct{}),
		stop:     stop,
		streams:  map[string]*stream{},
	}
	s.http = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return base },
	}
	go s.serve()
	return s, nil
}

func (s *Server) serve() {
	defer close(s.done)
	_ = s.http.Serve(s.listener) // returns an error at Close only
}

// Address returns the address on which the stand-in listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the stand-in and breaks its connections.
func (s *Server) Close() error {
	s.stop()
	err := s.http.Close()
	<-s.done
	if err != nil {
		return errors.Wrap(err, "close the platform stand-in")
	}
	return nil
}

// SetFaults replaces the faults, as PUT /faults does.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.FreezeList && !s.faults.FreezeList {
		s.frozen = time.Now()
	}
	s.faults = f
}

func (s *Server) routes() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.PUT(PathFaults, s.putFaults)
	engine.GET(PathFaults, s.getFaults)
	faulty := engine.Group("", s.applyFaults)
	faulty.POST(wire.PathRecords, s.postRecord)
	faulty.GET(wire.PathRecords, s.getRecords)
	faulty.GET(wire.PathInstances, s.getInstances)
	faulty.PUT(wire.PathInstances, s.putInstance)
	return engine
}

func (s *Server) putFaults(c *gin.Context) {
	var f Faults
	if err := c.ShouldBindJSON(&f); err != nil {
		refuse(c, http.StatusBadRequest, err.Error())
		return
	}
	s.SetFaults(f)
	c.JSON(http.StatusOK, f)
}

func (s *Server) getFaults(c *gin.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.JSON(http.StatusOK, s.faults)
}

// applyFaults delays and refuses requests as the faults say.
func (s *Server) applyFaults(c *gin.Context) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if !wait(c.Request.Context(), time.Duration(f.LatencyMs)*time.Millisecond) {
		c.Abort()
		return
	}
	if f.Outage {
		refuse(c, http.StatusServiceUnavailable, "outage")
	}
}

// wait waits and reports whether the context is still alive.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func refuse(c *gin.Context, status int, text string) {
	c.AbortWithStatusJSON(status, wire.Error{Error: text})
}
