package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// earlyServer answers each request with 200 and the beginning of a body without a length before it has read the request, and resets
// the connection while the request is still being sent.
func earlyServer(t *testing.T) backend.Target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(conn).ReadString('\n')
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n{")
			time.Sleep(20 * time.Millisecond) // the client reads the beginning and waits for more
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	return backend.Target{ID: "b", Address: listener.Addr().String()}
}

// earlyRounds is the number of attempts: whether the reader or the writer gets the error of a reset varies.
const earlyRounds = 10

// Guards against a revocation that counts as done although its answer was reset.
func TestRevocationWithAnAnswerResetDuringTheUploadIsUnreachable(t *testing.T) {
	target, client := earlyServer(t), newClient(t, 4)
	grants := make([]backend.Grant, 1<<10) // more than fits into the buffers of the sockets
	for i := range grants {
		grants[i].Service = entity.ServiceName(strings.Repeat("s", 16<<10))
	}
	for range earlyRounds {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		err := client.Revoke(ctx, target, 1, grants)
		cancel()
		require.ErrorIs(t, err, backend.ErrUnreachable)
	}
}

// Guards against an answer that was reset during the upload and reads as whole.
func TestAnswerResetDuringTheUploadIsBroken(t *testing.T) {
	target, client := earlyServer(t), newClient(t, 4)
	body := strings.Repeat("x", 16<<20)
	for range earlyRounds {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		answer, err := client.Do(ctx, target, newCall(http.MethodPost, body))
		if err == nil {
			_, err = io.ReadAll(answer.Body)
			_ = answer.Body.Close()
		}
		requireKind(t, backend.FailureBroken, err)
		cancel()
	}
}
