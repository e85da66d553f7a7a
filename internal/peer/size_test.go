package peer_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/peer"
	"github.com/pollenpier/pollenpier/internal/service"
)

// heartbeatBound is the maximum size in bytes of a heartbeat with its answer. It is the smallest segment size of TCP, so that the
// message in each direction fits in one packet on any network.
const heartbeatBound = 536

// Guards against heartbeats that do not fit in a packet when an instance claims the leases of 4 backends, of the zone and of
// token shards.
func TestHeartbeatBytes(t *testing.T) {
	for _, claims := range []int{0, 2, 4, 8} {
		size := heartbeatBytes(t, claims)
		t.Logf("heartbeat with answer, %d claims: %d bytes on the wire without TCP", claims, size)
		require.LessOrEqual(t, size, int64(heartbeatBound))
	}
}

// heartbeatBytes returns the size in bytes of a heartbeat and its answer on a connection that is already open.
func heartbeatBytes(t *testing.T, claims int) int64 {
	const many = 1 << 30 // offset in a log that has been in use for a long time
	request := service.HeartbeatRequest{
		Instance: "0123456789abcdef", Zone: "kazan-a", Group: 1, RosterVersion: many, ControlOffset: many,
		ConfigVersion: many, FreshnessAge: 100 * time.Millisecond, AuthorityAge: 100 * time.Millisecond,
	}
	for i := range claims {
		name := service.BackendLease(entity.BackendID(fmt.Sprintf("catalogue-%d", i)))
		request.Claims = append(request.Claims, service.LeaseClaim{Name: name, Term: 1000})
	}
	answer := service.HeartbeatResponse{
		Instance: "fedcba9876543210", Voter: "fedcba9876543210", RosterVersion: many, ControlOffset: many, ConfigVersion: many,
		FreshnessAge: 100 * time.Millisecond, AuthorityAge: 100 * time.Millisecond, Delegate: "0123456789abcdef",
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	server := peer.NewServer(heartbeatHandler{answer: answer}, kernel.NewSystemClock())
	go func() { done <- server.Serve(ctx, listener, func(error) {}) }()
	var total atomic.Int64
	client := peer.NewClient(kernel.NewSystemClock(), func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, &total}, err
	})
	t.Cleanup(func() {
		require.NoError(t, client.Close())
		cancel()
		<-done
	})
	exchange := func() {
		_, err := client.Heartbeat(context.Background(), listener.Addr().String(), request)
		require.NoError(t, err)
	}
	exchange()
	const rounds = 10
	before := total.Load()
	for range rounds {
		exchange()
	}
	return (total.Load() - before) / rounds
}

type heartbeatHandler struct {
	peer.Handler
	answer service.HeartbeatResponse
}

func (h heartbeatHandler) Heartbeat(context.Context, service.HeartbeatRequest) (service.HeartbeatResponse, error) {
	return h.answer, nil
}

// countingConn counts the bytes in both directions.
type countingConn struct {
	net.Conn
	total *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.total.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.total.Add(int64(n))
	return n, err
}
