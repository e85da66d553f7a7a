package backpressure_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that failures are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
