// Package peerserver is the service of a log-based instance that answers calls from peers. It passes each call to the service
// that it is intended for: directly to dispatch, or as a message to services that own control state.
package peerserver

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/peer"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// Settings configures the peer server.
type Settings struct {
	// Listen is the address of the peer listener, host:port.
	Listen string
}

const (
	// forwardQuiet is the time without a forwarded request after which the connections are closed in a planned stop. A peer pauses
	// for at most 120 ms before it forwards a refused request again, and learns of a new primary within two heartbeats, 200 ms.
	forwardQuiet = 300 * time.Millisecond
	// forwardWait bounds the wait for that, within the margin of a planned stop of 15 s. On a busy machine, the handover of a lease
	// takes more than 2 s, during which peers ask again.
	forwardWait = 5 * time.Second
)

// ErrUnknownStream means that a peer requested a stream that does not exist.
var ErrUnknownStream = errors.New("unknown stream")

// PeerServer is the service named peerserver.
type PeerServer struct {
	settings Settings
	log      *zap.Logger
	clock    kernel.Clock

	kernel   *kernel.Kernel
	dispatch service.Dispatcher
	service.OutcomeStore
	service.RampStateStore

	socket net.Listener
	server *peer.Server
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns the service. If socket is not nil, it is an open listener that is used instead of the address in the settings. It
// is for processes that must know their own address before they start.
func New(settings Settings, socket net.Listener, log *zap.Logger, clock kernel.Clock) *PeerServer {
	return &PeerServer{settings: settings, socket: socket, log: log, clock: clock, done: make(chan struct{})}
}

// Name implements kernel.Service.
func (s *PeerServer) Name() kernel.Name { return service.PeerServer }

// Needs implements kernel.Service.
func (s *PeerServer) Needs() []kernel.Name {
	return []kernel.Name{service.Dispatch, service.Lease, service.Control, service.Config, service.Admission}
}

// Provision implements kernel.Service.
func (s *PeerServer) Provision(r *kernel.Resolver) error {
	s.kernel = r.Kernel()
	var err error
	if s.dispatch, err = kernel.Lookup[service.Dispatcher](r, service.Dispatch); err != nil {
		return err
	}
	if s.OutcomeStore, err = kernel.Lookup[service.OutcomeStore](r, service.Dispatch); err != nil {
		return err
	}
	s.RampStateStore, err = kernel.Lookup[service.RampStateStore](r, service.Dispatch)
	return err
}

// Start opens the listener, unless New was given one, and serves calls in the background. It fails if the listener cannot be
// opened.
func (s *PeerServer) Start(ctx context.Context) error {
	if s.socket == nil {
		var config net.ListenConfig
		socket, err := config.Listen(ctx, "tcp", s.settings.Listen)
		if err != nil {
			return errors.Wrap(err, "listen for peers")
		}
		s.socket = socket
	}
	serving, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	telemetry.EventPeerListening.Log(s.log, zap.Stringer("address", s.socket.Addr()))
	s.server = peer.NewServer(s, s.clock)
	go func() {
		defer close(s.done)
		if err := s.server.Serve(serving, s.socket, s.callFailed); err != nil {
			telemetry.EventPeerFailed.Log(s.log, zap.Error(err))
		}
	}()
	return nil
}

// Drain starts to count the refused requests. All calls are answered until Stop, since dispatch finishes its requests and the
// leases are handed over only after this service has drained.
func (s *PeerServer) Drain(context.Context) error {
	s.server.BeginStop()
	return nil
}

// Stop answers calls until the peers forward no more requests, and then closes the listener and all connections. When it is called,
// dispatch refuses every request and the leases are released, so each request that arrives is refused as not run; closing its
// connection would leave its outcome unknown to the peer. Stop waits for at most forwardWait or until ctx ends.
func (s *PeerServer) Stop(ctx context.Context) error {
	began := s.clock.Now()
	waiting, cancel := context.WithTimeout(ctx, forwardWait)
	quiet := s.server.AwaitQuiet(waiting, forwardQuiet)
	cancel()
	s.cancel()
	var err error
	select {
	case <-s.done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.reportStop(s.clock.Now()-began, quiet)
	return err
}

// reportStop logs what the planned stop meant for the requests of peers.
func (s *PeerServer) reportStop(took time.Duration, quiet bool) {
	report := s.server.StopReport()
	telemetry.EventPeerStopped.Log(s.log, zap.Int("refused", report.Refused), zap.Bool("quiet", quiet), zap.Duration("took", took))
	if report.Cut > 0 {
		telemetry.EventForwardsCut.Log(s.log, zap.Int("cut", report.Cut))
	}
}

func (s *PeerServer) callFailed(err error) {
	telemetry.EventPeerCallError.Log(s.log, zap.Error(err))
}

// Dispatch implements peer.Handler.
func (s *PeerServer) Dispatch(ctx context.Context, req *service.Request) service.Response {
	return s.dispatch.Dispatch(ctx, req)
}

// Heartbeat implements peer.Handler.
func (s *PeerServer) Heartbeat(ctx context.Context, req service.HeartbeatRequest) (service.HeartbeatResponse, error) {
	return ask(ctx, s.kernel, service.Lease, func(reply chan<- service.HeartbeatResponse) kernel.Message {
		return service.HeartbeatReceived{Request: req, Reply: reply}
	})
}

// LeaseTokens implements peer.Handler.
func (s *PeerServer) LeaseTokens(ctx context.Context, req service.TokenRequest) (service.TokenResponse, error) {
	return ask(ctx, s.kernel, service.Admission, func(reply chan<- service.TokenResponse) kernel.Message {
		return service.TokensQuery{Request: req, Reply: reply}
	})
}

// State implements peer.Handler.
func (s *PeerServer) State(ctx context.Context, stream platformapi.Stream) (service.StateAnswer, error) {
	owner, err := streamOwner(stream)
	if err != nil {
		return service.StateAnswer{}, err
	}
	return ask(ctx, s.kernel, owner, func(reply chan<- service.StateAnswer) kernel.Message {
		return service.StateQuery{Reply: reply}
	})
}

// Records implements peer.Handler.
func (s *PeerServer) Records(
	ctx context.Context, stream platformapi.Stream, from entity.Offset, limit int,
) (service.RecordsAnswer, error) {
	owner, err := streamOwner(stream)
	if err != nil {
		return service.RecordsAnswer{}, err
	}
	return ask(ctx, s.kernel, owner, func(reply chan<- service.RecordsAnswer) kernel.Message {
		return service.RecordsQuery{From: from, Limit: limit, Reply: reply}
	})
}

// streamOwner returns the service that replays a stream, or ErrUnknownStream.
func streamOwner(stream platformapi.Stream) (kernel.Name, error) {
	switch stream {
	case platformapi.StreamControl:
		return service.Control, nil
	case platformapi.StreamConfig:
		return service.Config, nil
	default:
		return "", errors.Wrapf(ErrUnknownStream, "%q", stream)
	}
}

// ask delivers a message to a service on the control goroutine and waits for its reply. It fails if ctx ends or the kernel stops
// before.
func ask[T any](ctx context.Context, k *kernel.Kernel, to kernel.Name, message func(chan<- T) kernel.Message) (T, error) {
	reply := make(chan T, 1)
	var none T
	if err := k.Deliver(ctx, to, message(reply)); err != nil {
		return none, err
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-k.Stopped():
		return none, kernel.ErrStopped
	case <-ctx.Done():
		return none, ctx.Err()
	}
}
