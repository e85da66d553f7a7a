package peer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
