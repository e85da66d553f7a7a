package backend_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/backend/wire"
)

// Guards against a revocation that counts as acknowledged because the answer to an earlier control request was repeated.
func TestRevocationNeedsItsOwnAnswer(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\n{}"
	for name, c := range map[string]struct {
		first, second string // header lines with the request id of the answers on one connection
		acknowledged  bool
	}{
		"its own id":       {"Pollenpier-Request-Id: %s\r\n", "Pollenpier-Request-Id: %s\r\n", true},
		"an earlier id":    {"Pollenpier-Request-Id: %s\r\n", "Pollenpier-Request-Id: control-1\r\n", false},
		"no id any more":   {"Pollenpier-Request-Id: %s\r\n", "", false},
		"backend without":  {"", "", true},
		"id of no request": {"", "Pollenpier-Request-Id: x\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			var requests, reused atomic.Int32
			target := rawServer(t, func(req *http.Request, nth int) string {
				header := c.second
				if requests.Add(1) == 1 {
					header = c.first
				}
				if nth > 1 {
					reused.Add(1)
				}
				if header == "Pollenpier-Request-Id: %s\r\n" {
					header = fmt.Sprintf(header, req.Header.Get(wire.HeaderRequestID))
				}
				return "HTTP/1.1 200 OK\r\n" + header + body
			})
			client, grants := newClient(t, 4), []backend.Grant{{Service: "s"}}
			require.NoError(t, client.Grant(context.Background(), target, 1, grants))
			err := client.Revoke(context.Background(), target, 1, grants)
			if c.acknowledged {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, backend.ErrUnreachable)
			}
			if c.first == "" {
				require.Zero(t, reused.Load(), "a connection without ids carries one control request")
			} else {
				require.EqualValues(t, 1, reused.Load())
			}
		})
	}
}
