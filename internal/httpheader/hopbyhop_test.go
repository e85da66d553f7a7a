package httpheader

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against headers of one connection that are forwarded to the next one, among them those that only Connection names.
func TestHeadersOfOneConnectionAreDropped(t *testing.T) {
	h := http.Header{}
	for _, name := range hopByHop {
		h.Set(name, "x")
	}
	h["Connection"] = []string{"close, x-first", "X-Second"}
	h.Set("X-First", "1")
	h.Set("X-Second", "2")
	h.Set("X-Kept", "3")
	DropHopByHop(h)
	require.Equal(t, http.Header{"X-Kept": {"3"}}, h)
}
