package telemetry

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite docs/events.md from the catalogue")

// catalogueFile is the page that lists all events, relative to this folder.
const catalogueFile = "../../docs/events.md"

// page returns the catalogue as Markdown.
func page() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEach log line is a JSON object with `level`, `ts` (seconds since 1970), `msg` and the number of the " +
		"event in `event`.\nNumbers never change their meaning. This page is made from the catalogue in `internal/telemetry` by\n" +
		"`go test ./internal/telemetry -update`.\n\n| Event | Level | Text |\n|---|---|---|\n")
	for _, number := range slices.Sorted(maps.Keys(Catalogue())) {
		e := Catalogue()[number]
		fmt.Fprintf(&b, "| %d | %s | %s |\n", e.Number, e.Level, e.Text)
	}
	return b.String()
}

// Guards against a page of events that misses an event or lists one that no longer exists, because the catalogue was changed
// and the page was not regenerated.
func TestPageListsEveryEvent(t *testing.T) {
	if *update {
		require.NoError(t, os.WriteFile(catalogueFile, []byte(page()), 0o600))
	}
	written, err := os.ReadFile(catalogueFile)
	require.NoError(t, err)
	require.Equal(t, page(), string(written))
}
