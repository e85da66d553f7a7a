package peerserver_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/peer"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/peerserver"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// silent is a kernel service that accepts messages and replies to none.
type silent struct{ name kernel.Name }

func (s silent) Name() kernel.Name                   { return s.name }
func (s silent) Needs() []kernel.Name                { return nil }
func (s silent) Provision(*kernel.Resolver) error    { return nil }
func (s silent) Start(context.Context) error         { return nil }
func (s silent) Stop(context.Context) error          { return nil }
func (s silent) Handle(*kernel.Turn, kernel.Message) {}

// refuser refuses every forwarded request: as not holder, and from Drain on as stopping.
type refuser struct {
	silent
	service.OutcomeStore
	service.RampStateStore
	stopping atomic.Bool
}

func (r *refuser) Drain(context.Context) error {
	r.stopping.Store(true)
	return nil
}

func (r *refuser) Dispatch(context.Context, *service.Request) service.Response {
	if r.stopping.Load() {
		return service.Response{Outcome: entity.NotRun(entity.ReasonStopping, "")}
	}
	return service.Response{Outcome: entity.NotRun(entity.ReasonNotHolder, "")}
}

// instance is a peer server on a kernel whose other services are replaced.
type instance struct {
	kernel  *kernel.Kernel
	server  *peerserver.PeerServer
	address string
	logs    *observer.ObservedLogs
}

func startInstance(t *testing.T) *instance {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	core, logs := observer.New(zap.InfoLevel)
	clock := kernel.NewSystemClock()
	server := peerserver.New(peerserver.Settings{}, socket, zap.New(core), clock)
	k, err := kernel.New(clock, []kernel.Service{
		server, &refuser{silent: silent{service.Dispatch}}, silent{service.Lease}, silent{service.Control},
		silent{service.Config}, silent{service.Admission},
	})
	require.NoError(t, err)
	require.NoError(t, k.Start(context.Background()))
	return &instance{kernel: k, server: server, address: socket.Addr().String(), logs: logs}
}

// senders forward requests from several goroutines and count the outcomes.
type senders struct {
	client   *peer.Client
	address  string
	running  sync.WaitGroup
	end      chan struct{}
	total    atomic.Int64
	stopping atomic.Int64
	unknown  atomic.Int64
}

// startSenders starts senders that continue for the given time after each one's first refusal that says "stopping".
func startSenders(address string, continueFor time.Duration) *senders {
	const count = 16
	clock := kernel.NewSystemClock()
	s := &senders{client: peer.NewClient(clock, nil), address: address, end: make(chan struct{})}
	for range count {
		s.running.Go(func() { s.send(clock, continueFor) })
	}
	return s
}

func (s *senders) send(clock kernel.Clock, continueFor time.Duration) {
	var until time.Time
	for until.IsZero() || time.Now().Before(until) {
		select {
		case <-s.end:
			return
		default:
		}
		resp := s.client.Forward(context.Background(), s.address, &service.Request{
			ID: "r", Service: "order", Backend: "b", Key: "k", Deadline: clock.Now() + 10*time.Second, Age: -1,
		})
		s.total.Add(1)
		switch {
		case resp.Outcome.Kind == entity.OutcomeUnknown:
			s.unknown.Add(1)
		case resp.Outcome.Reason == entity.ReasonStopping:
			s.stopping.Add(1)
			if until.IsZero() {
				until = time.Now().Add(continueFor)
			}
		case resp.Outcome.Reason == entity.ReasonUnreachable:
			return
		}
	}
}

func (s *senders) close(t *testing.T) {
	t.Helper()
	close(s.end)
	s.running.Wait()
	require.NoError(t, s.client.Close())
}

// Guards against forwards with an unknown outcome because an idle instance closes its connections while peers send to it.
func TestStopLeavesNoForwardUnanswered(t *testing.T) {
	const (
		rounds = 5
		// retryPause is the longest pause of a sender before it sends a refused request again.
		retryPause = 120 * time.Millisecond
	)
	for range rounds {
		i := startInstance(t)
		s := startSenders(i.address, retryPause)
		require.Eventually(t, func() bool { return s.total.Load() > 100 }, 10*time.Second, time.Millisecond)
		require.NoError(t, i.kernel.Stop(context.Background()))
		s.close(t)
		t.Logf("%d forwards: %d refused as stopping, %d unknown", s.total.Load(), s.stopping.Load(), s.unknown.Load())
		require.Zero(t, s.unknown.Load())
	}
}

// Guards against a stop that waits without limit for a peer that forwards all the time, and against cut requests without a record.
func TestStopIsBoundedWhilePeersKeepForwarding(t *testing.T) {
	const bound = 7 * time.Second
	i := startInstance(t)
	s := startSenders(i.address, time.Minute)
	require.Eventually(t, func() bool { return s.total.Load() > 100 }, 10*time.Second, time.Millisecond)
	began := time.Now()
	require.NoError(t, i.kernel.Stop(context.Background()))
	took := time.Since(began)
	s.close(t)
	t.Logf("stopped after %v; %d refused as stopping, %d unknown", took, s.stopping.Load(), s.unknown.Load())
	require.Less(t, took, bound)
	stopped := i.logs.FilterMessage(telemetry.EventPeerStopped.Text).All()
	require.Len(t, stopped, 1)
	fields := stopped[0].ContextMap()
	require.Equal(t, false, fields["quiet"])
	require.GreaterOrEqual(t, fields["refused"], s.stopping.Load())
}

// Guards against a stop that outlives its context because requests of peers are still in progress.
func TestStopEndsWithItsContext(t *testing.T) {
	const limit = 100 * time.Millisecond
	i := startInstance(t)
	s := startSenders(i.address, time.Minute)
	require.Eventually(t, func() bool { return s.total.Load() > 100 }, 10*time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	began := time.Now()
	_ = i.kernel.Stop(ctx) // may report the end of the context
	require.Less(t, time.Since(began), time.Second)
	s.close(t)
}

// Guards against a call that waits until its context ends because the kernel stopped after it accepted the message.
func TestCallEndsWhenTheKernelStops(t *testing.T) {
	const calls = 20 // a stopped kernel accepts the message of about every second call
	i := startInstance(t)
	require.NoError(t, i.kernel.Stop(context.Background()))
	for range calls {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := i.server.Heartbeat(ctx, service.HeartbeatRequest{})
		cancel()
		require.ErrorIs(t, err, kernel.ErrStopped)
	}
}
