package platformapi_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/platformapi"
)

// Guards against an append that counts as rejected although its answer was reset while the append was still being sent.
func TestAppendWithAnAnswerResetDuringTheUploadIsUnavailable(t *testing.T) {
	const rounds = 10 // whether the reader or the writer gets the error of a reset varies
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(conn).ReadString('\n')
			_, _ = io.WriteString(conn, "HTTP/1.1 409 Conflict\r\n\r\n{")
			time.Sleep(20 * time.Millisecond) // the client reads the beginning and waits for more
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	client, large := newClient(t, listener.Addr().String()), draft(1)
	large.Payload = bytes.Repeat([]byte("x"), 16<<20)
	for range rounds {
		_, err := client.Append(context.Background(), platformapi.StreamControl, large)
		require.ErrorIs(t, err, platformapi.ErrUnavailable)
		require.NotErrorIs(t, err, platformapi.ErrRejected)
	}
}
