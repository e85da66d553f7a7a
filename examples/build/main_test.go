package main

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/operator"
)

// Guards against example files that do not decode or that differ from the output of the program, because only one of the two
// was changed, and against sizes other than those of the deployments that they describe.
func TestExampleFilesMatchTheProgram(t *testing.T) {
	for name, backends := range map[string][]int{"ziedlapu": {25, 10, 6}, "kitabi": {20, 10, 6}} {
		built, err := build(name)
		require.NoError(t, err)
		data, err := os.ReadFile("../" + name + ".yaml")
		require.NoError(t, err)
		read, err := operator.Decode(data)
		require.NoError(t, err)
		require.Equal(t, built, read)
		require.Len(t, read.Zones, 3)
		require.Len(t, read.Customers, 8)
		for i, s := range read.Services {
			require.Len(t, s.Backends, backends[i])
		}
	}
}
