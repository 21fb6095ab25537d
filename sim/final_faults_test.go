package sim

import (
	"slices"
	"testing"
)

// TestLastFault checks that after any single final fault all live gateways serve again and
// plans are acknowledged again within 10 s. VT_SEEDS runs more seeds; -v prints the table of
// docs/measurements.md.
func TestLastFault(t *testing.T) {
	n := seeds()
	n = max(n, 2)
	for _, name := range FinalFaultNames() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var recoveries []int64
			for s := int64(1); s <= n; s++ {
				recoveryUS, violations := RunFinalFault(s, name, smallFleet)
				if len(violations) > 0 {
					t.Fatalf("seed %d: %v", s, violations)
				}
				if recoveryUS == 0 || recoveryUS > 10_000_000 {
					t.Fatalf("seed %d: back after %d us (0: not within 10 s)", s, recoveryUS)
				}
				recoveries = append(recoveries, recoveryUS)
			}
			slices.Sort(recoveries)
			t.Logf("| %s | %.2f s | %.2f s |", name, float64(recoveries[len(recoveries)/2])/1e6, float64(recoveries[len(recoveries)-1])/1e6)
		})
	}
}
