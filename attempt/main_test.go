package attempt

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets how many checks the property tests run in CI, and a fixed seed so that every
// run draws the same values. -rapid.checks and -rapid.seed on the command line override both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "3000", "rapid.seed": "20261202", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
