package sim

import (
	"slices"
	"testing"
)

// TestLastFault: after any single last fault every living gateway serves again,
// and plans are acknowledged again, within ten seconds. VT_SEEDS runs more
// seeds; -v prints the table of docs/measurements.md.
func TestLastFault(t *testing.T) {
	n := seeds()
	n = max(n, 2)
	for _, name := range FinalFaultNames() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var all []int64
			for s := int64(1); s <= n; s++ {
				back, wrong := RunFinalFault(s, name, small)
				if len(wrong) > 0 {
					t.Fatalf("seed %d: %v", s, wrong)
				}
				if back == 0 || back > 10_000_000 {
					t.Fatalf("seed %d: back after %d us (0: not within ten seconds)", s, back)
				}
				all = append(all, back)
			}
			slices.Sort(all)
			t.Logf("| %s | %.2f s | %.2f s |", name, float64(all[len(all)/2])/1e6, float64(all[len(all)-1])/1e6)
		})
	}
}
