package backend_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/backend"
)

// invalidNames are header lines whose names are not tokens.
var invalidNames = map[string]string{
	"blank in the name":        "X Bad: 1\r\n",
	"blank after a length":     "Content-Length : 5\r\n",
	"blank after an encoding":  "Transfer-Encoding : chunked\r\n",
	"tab in the name":          "X\tBad: 1\r\n",
	"control byte in the name": "X\x01Bad: 1\r\n",
}

// Guards against an answer with an invalid header name that counts as the answer to a request or as a refusal, and against a
// connection that is used again after it.
func TestAnswerWithAnInvalidHeaderNameIsBroken(t *testing.T) {
	for name, line := range invalidNames {
		for kind, head := range map[string]string{
			"answer":  "HTTP/1.1 200 OK\r\nPollenpier-Request-Id: r1\r\n",
			"refusal": "HTTP/1.1 503 Full\r\nPollenpier-Request-Id: r1\r\nPollenpier-Not-Run: shed\r\n",
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				target := rawServer(t, func(_ *http.Request, nth int) string {
					if nth > 1 {
						return ""
					}
					return head + line + "Content-Length: 5\r\n\r\nwhole"
				})
				_, err := newClient(t, 4).Do(context.Background(), target, newCall(http.MethodPost, "body"))
				requireKind(t, backend.FailureBroken, err)
			})
		}
	}
}

// Guards against a body that counts as whole although its trailer has an invalid name.
func TestAnswerWithAnInvalidTrailerNameIsBroken(t *testing.T) {
	for name, line := range invalidNames {
		t.Run(name, func(t *testing.T) {
			target := rawServer(t, func(*http.Request, int) string {
				return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n" + line + "\r\n"
			})
			answer, err := newClient(t, 4).Do(context.Background(), target, newCall(http.MethodPost, "body"))
			require.NoError(t, err)
			defer answer.Body.Close()
			_, err = io.ReadAll(answer.Body)
			requireKind(t, backend.FailureBroken, err)
		})
	}
}

// Guards against an answer to a control request that counts although a name in its head or its trailer is invalid.
func TestControlAnswerWithAnInvalidNameIsUnreachable(t *testing.T) {
	for name, line := range invalidNames {
		for place, raw := range map[string]string{
			"head":    "HTTP/1.1 200 OK\r\n" + line + "Content-Length: 2\r\n\r\n{}",
			"refusal": "HTTP/1.1 409 Conflict\r\n" + line + "Content-Length: 24\r\n\r\n" + `{"code":"outdated-term"}`,
			"trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n" + line + "\r\n",
		} {
			t.Run(name+", "+place, func(t *testing.T) {
				target := rawServer(t, func(*http.Request, int) string { return raw })
				err := newClient(t, 4).Revoke(context.Background(), target, 1, []backend.Grant{{Service: "s"}})
				require.ErrorIs(t, err, backend.ErrUnreachable)
				require.NotErrorIs(t, err, backend.ErrOutdatedTerm)
			})
		}
	}
}

// Guards against a sound answer that is refused for an unusual name.
func TestUnusualHeaderNamesArePassedOn(t *testing.T) {
	const name = "!#$%&'*+-.^_`|~09azAZ"
	target := rawServer(t, func(*http.Request, int) string {
		return "HTTP/1.1 200 OK\r\n" + name + ": a b\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n" + name + ": 1\r\n\r\n"
	})
	answer, err := newClient(t, 4).Do(context.Background(), target, newCall(http.MethodPost, "body"))
	require.NoError(t, err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
	require.Equal(t, "a b", strings.Join(answer.Header.Values(name), ", "))
}
