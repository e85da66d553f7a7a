package archtest

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// readFile returns the content of the file at path, or fails the test.
func readFile(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	return data
}
