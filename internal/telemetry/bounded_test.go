package telemetry

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowBuffer takes its time for each line.
type slowBuffer struct{ bytes.Buffer }

// Write implements io.Writer.
func (b *slowBuffer) Write(line []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	return b.Buffer.Write(line)
}

// Guards against a process that exits before its last line, which says how it ended, is written.
func TestSyncWaitsForTheLastLine(t *testing.T) {
	var out slowBuffer
	log, err := NewBoundedLogger("info", &out)
	require.NoError(t, err)
	for _, line := range []string{"first", "second", "last"} {
		log.Info(line)
	}
	require.NoError(t, log.Sync())
	require.Contains(t, out.String(), "last")
}
