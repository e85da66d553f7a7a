package peer_test

import (
	"context"
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

// Guards against several calls that are lost on the same connection: a network partition leaves connections that look usable but
// get no response.
func TestUnresponsiveConnectionIsNotReused(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never answers
	require.NoError(t, err)
	defer socket.Close()
	var dials atomic.Int32
	client := peer.NewClient(kernel.NewSystemClock(), func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	defer client.Close()
	const calls = 3
	for range calls {
		ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
		_, err := client.Heartbeat(ctx, socket.Addr().String(), service.HeartbeatRequest{})
		cancel()
		require.Error(t, err)
	}
	require.EqualValues(t, calls, dials.Load())
}

// closedConn is closed before the first write, or after the first byte of it.
type closedConn struct {
	net.Conn
	partial bool
}

func (c closedConn) Write(p []byte) (int, error) {
	sent := 0
	if c.partial {
		sent, _ = c.Conn.Write(p[:1])
	}
	_ = c.Close()
	return sent, net.ErrClosed
}

// Guards against an unknown outcome of a request of which no byte was sent because its connection was closed before, and against
// "not run" for one that was sent in part.
func TestOutcomeOnAConnectionClosedBeforeTheSend(t *testing.T) {
	for _, c := range []struct {
		partial bool
		want    entity.OutcomeKind
	}{{false, entity.OutcomeNotRun}, {true, entity.OutcomeUnknown}} {
		_, address := start(t, func(context.Context, *service.Request) service.Response {
			return service.Response{Outcome: entity.Unknown(entity.ReasonBroken, "the request must not arrive")}
		})
		client := peer.NewClient(kernel.NewSystemClock(), func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return closedConn{Conn: conn, partial: c.partial}, err
		})
		resp := client.Forward(context.Background(), address, request(""))
		require.NoError(t, client.Close())
		require.Equal(t, c.want, resp.Outcome.Kind, "%v", resp.Outcome)
	}
}
