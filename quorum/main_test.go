package quorum

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the number of draws of the property tests to what CI has time for, and a fixed
// seed; -rapid.checks and -rapid.seed on the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "100", "rapid.seed": "20261202", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
