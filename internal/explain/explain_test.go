package explain_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/explain"
)

const instanceLog = `  0.1 front-1 {"level":"info","ts":10.5,"msg":"configuration in force","instance":"a","version":7,"before":4,"event":2100}
  0.2 front-1 {"level":"info","ts":11,"msg":"newer table of key ranges read","instance":"a","version":3,"event":2125}
  0.3 front-1 {"level":"info","ts":12.25,"msg":"call not run","instance":"a","request":"r1","outcome":"not-run: no-owner","config":7,"table":3,"event":2161}
not a line of ours
  0.4 front-1 {"level":"info","ts":12,"msg":"attempt of a call did not succeed","instance":"a","request":"r1","backend":"e1","table":3,"event":2163}
  0.5 front-1 {"level":"info","ts":13,"msg":"call answered","instance":"a","request":"r2","event":2160}
  0.6 front-1 {"level":"info","ts":14,"msg":"cut o`

// Guards against an explanation that omits a step, is out of order or contains lines of other requests.
func TestRequestIsExplainedInOrderWithItsViews(t *testing.T) {
	var out strings.Builder
	require.NoError(t, explain.Request(&out, []explain.Source{{Name: "log", Reader: strings.NewReader(instanceLog)}}, "r1"))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 4, out.String())
	require.Contains(t, lines[0], "newer table of key ranges read")
	require.Contains(t, lines[1], "attempt of a call did not succeed")
	require.Contains(t, lines[2], "configuration in force")
	require.Contains(t, lines[3], "call not run")
	require.NotContains(t, out.String(), "r2")
}

// Guards against an empty explanation, instead of an error, for a request that is in no log.
func TestUnknownRequestIsAnError(t *testing.T) {
	err := explain.Request(&strings.Builder{}, []explain.Source{{Name: "log", Reader: strings.NewReader(instanceLog)}}, "r9")
	require.ErrorIs(t, err, explain.ErrNotFound)
}
