// Package platform simulates the platform of log-based instances for tests, benchmarks, the demo and the standin subcommand:
// an append-only log with limited retention, an instance list that lags, and switches for faults. It keeps everything in
// memory and serves the protocol of docs/protocols.md.
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
	"github.com/pollenpier/pollenpier/internal/sleep"
)

// Options configures a Server. The zero value keeps all records and returns the list without lag or expiry.
type Options struct {
	// KeepCount is the number of records that each stream keeps. Zero means no limit.
	KeepCount int
	// KeepAge is how long each stream keeps a record. Zero means no limit.
	KeepAge time.Duration
	// ListLag is the delay with which the instance list shows registrations.
	ListLag time.Duration
	// ListExpiry is the time after which an instance is removed if it has not refreshed its entry. Zero means never.
	ListExpiry time.Duration
}

// PathFaults sets (PUT) and returns (GET) the faults.
const PathFaults = "/faults"

// AllAnswers is the value of Faults.LoseAnswers with which the answers of all appends are lost until the faults change.
const AllAnswers = -1

// Faults are the switchable faults.
type Faults struct {
	// Outage refuses every request, except those to PathFaults, with status 503 and without effect.
	Outage bool `json:"outage"`
	// LatencyMs delays every request, in milliseconds.
	LatencyMs int `json:"latency_ms"`
	// LoseAnswers is the number of further appends that take effect without an answer: the connection is closed instead.
	LoseAnswers int `json:"lose_answers"`
	// FreezeList returns the list as it was when the fault was set.
	FreezeList bool `json:"freeze_list"`
}

// maxWait is the longest duration of a long poll.
const maxWait = time.Minute

// maxAppendBytes is the largest body of an append; it fits a payload of 1 MiB in base64.
const maxAppendBytes = 1500 << 10

// Server is a running simulated platform.
type Server struct {
	options  Options
	listener net.Listener
	http     *http.Server
	done     chan struct{}
	stop     context.CancelFunc

	mu       sync.Mutex
	faults   Faults
	frozenAt time.Time // when FreezeList was set
	streams  map[string]*stream
	list     list
}

// Start serves on a listen address, such as 127.0.0.1:0, until Close is called. It fails if it cannot listen.
func Start(listen string, options Options) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the simulated platform")
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
	_ = s.http.Serve(s.listener) // returns only after Close, with an error that says so
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and closes its connections.
func (s *Server) Close() error {
	s.stop()
	err := s.http.Close()
	<-s.done
	if err != nil {
		return errors.Wrap(err, "close the simulated platform")
	}
	return nil
}

// SetFaults replaces all faults, as PUT /faults does.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.FreezeList && !s.faults.FreezeList {
		s.frozenAt = time.Now()
	}
	s.faults = f
}

func (s *Server) routes() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.PUT(PathFaults, s.putFaults)
	engine.GET(PathFaults, s.getFaults)
	withFaults := engine.Group("", s.applyFaults)
	withFaults.POST(wire.PathRecords, s.postRecord)
	withFaults.GET(wire.PathRecords, s.getRecords)
	withFaults.GET(wire.PathInstances, s.getInstances)
	withFaults.PUT(wire.PathInstances, s.putInstance)
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

// applyFaults delays or refuses a request if the faults require it.
func (s *Server) applyFaults(c *gin.Context) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if sleep.For(c.Request.Context(), time.Duration(f.LatencyMs)*time.Millisecond) != nil {
		c.Abort()
		return
	}
	if f.Outage {
		refuse(c, http.StatusServiceUnavailable, "outage")
	}
}

func refuse(c *gin.Context, status int, text string) {
	c.AbortWithStatusJSON(status, wire.Error{Error: text})
}
