package platformapi_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/platformapi"
)

// Guards against an answer without an end, or a long refusal, that fills the memory or the log of the process, and against an append
// that counts as rejected because of it.
func TestAnswerWithoutEndIsUnavailable(t *testing.T) {
	const volume, maxRead, maxText = 64 << 20, 10 << 20, 600 // bytes
	line := strings.Repeat("x", 4000)
	refusal := `{"error":"` + line + `"}`
	for name, c := range map[string]struct {
		head, part string
		want       error
	}{
		"no answer":       {"", line, platformapi.ErrUnavailable},
		"one long line":   {line + "\r\n", line, platformapi.ErrUnavailable},
		"header line":     {"HTTP/1.1 200 OK\r\nX: ", line, platformapi.ErrUnavailable},
		"interim answers": {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100), platformapi.ErrUnavailable},
		"long refusal": {
			"HTTP/1.1 403 No\r\nContent-Length: " + strconv.Itoa(len(refusal)) + "\r\n\r\n" + refusal, line, platformapi.ErrRejected,
		},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			written := make(chan int, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
				if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, req.Body)
				}
				n, err := io.WriteString(conn, c.head)
				for err == nil && n < volume {
					var more int
					more, err = io.WriteString(conn, c.part)
					n += more
				}
				written <- n
			}()
			client := newClient(t, listener.Addr().String())
			_, err = client.Append(context.Background(), platformapi.StreamControl, draft(1))
			require.ErrorIs(t, err, c.want)
			require.LessOrEqual(t, len(err.Error()), maxText)
			client.Close()
			require.Less(t, <-written, maxRead)
		})
	}
}
