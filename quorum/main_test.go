package quorum

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the property tests as many draws as CI has time for, and the same ones
// each time; -rapid.checks and -rapid.seed on the command line go before.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "100", "rapid.seed": "20261202", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
