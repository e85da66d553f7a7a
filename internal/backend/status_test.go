package backend_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/backend"
)

// Guards against an answer whose status is no HTTP status that counts as the answer to a request or a command.
func TestAnswerWithAnInvalidStatusIsBroken(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			head := "HTTP/1.1 " + status + " Trouble\r\nContent-Length: 2\r\n\r\n{}"
			client := newClient(t, 4)
			target, _ := endlessServer(t, head, strings.Repeat("x", 4000))
			_, err := client.Do(t.Context(), target, newCall(http.MethodPost, "body"))
			requireKind(t, backend.FailureBroken, err)
			other, _ := endlessServer(t, head, strings.Repeat("x", 4000))
			_, err = client.Load(t.Context(), other)
			require.ErrorIs(t, err, backend.ErrUnreachable)
		})
	}
}
