package platformapi_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/platformapi"
)

// answerAll starts a server that sends one answer to each request, and returns its address.
func answerAll(t *testing.T, answer string) string {
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
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
			}
			_, _ = io.WriteString(conn, answer)
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// Guards against an answer that is not valid HTTP and counts as the result of an append, or as its rejection, or as the list of instances.
func TestInvalidAnswerIsUnavailable(t *testing.T) {
	const body = `{"offset":7,"instances":[]}`
	const fields = "Content-Length: 27\r\n\r\n" + body
	for name, answer := range map[string]string{
		"status 000": "HTTP/1.1 000 Trouble\r\n" + fields,
		"status 099": "HTTP/1.1 099 Trouble\r\n" + fields,
		"status 600": "HTTP/1.1 600 Trouble\r\n" + fields,

		"blank in a name":           "HTTP/1.1 200 OK\r\nX Bad: 1\r\n" + fields,
		"blank after a length":      "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n" + fields,
		"control byte in a name":    "HTTP/1.1 200 OK\r\nX\x01Bad: 1\r\n" + fields,
		"blank in a rejection":      "HTTP/1.1 409 Conflict\r\nX Bad: 1\r\n" + fields,
		"blank in a trailer's name": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1b\r\n" + body + "\r\n0\r\nX Bad: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			client := newClient(t, answerAll(t, answer))
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := client.Append(ctx, platformapi.StreamControl, draft(1))
			require.ErrorIs(t, err, platformapi.ErrUnavailable)
			_, err = client.Read(ctx, platformapi.StreamControl, 0, 10, 0)
			require.ErrorIs(t, err, platformapi.ErrUnavailable)
			_, err = client.Instances(ctx)
			require.ErrorIs(t, err, platformapi.ErrUnavailable)
		})
	}
}
