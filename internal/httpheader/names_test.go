package httpheader

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against names that are not tokens and are accepted, and against tokens that are refused.
func TestNamesAreTokens(t *testing.T) {
	for name, valid := range map[string]bool{
		"Content-Length": true, "x": true, "!#$%&'*+-.^_`|~09azAZ": true,
		"": false, " ": false, "X Bad": false, "X-Bad ": false, " X-Bad": false, "X\tBad": false, "X:Bad": false, "X\x00": false, "X\x7f": false,
		"X\xe9": false, "X(Bad)": false,
	} {
		h := http.Header{"X-Sound": {"1"}, name: {"1"}}
		require.Equal(t, valid, CheckNames(h) == nil, "%q", name)
		require.Equal(t, valid, CheckNames(http.Header{}, h) == nil, "%q", name)
	}
	require.NoError(t, CheckNames(nil))
	require.Less(t, len(CheckNames(http.Header{strings.Repeat("x y", 1000): {"1"}}).Error()), 200)
}
