package sim

import (
	"os"
	"strconv"
	"strings"
	"testing"
)

// TestSoak runs as many seeds as VT_SEEDS says, starting after VT_FROM. CI does not run it.
func TestSoak(t *testing.T) {
	n := seeds()
	from := seedsFrom()
	if n == 0 {
		t.Skip("VT_SEEDS is not set")
	}
	for _, d := range Days {
		t.Run("fleet/"+string(d), func(t *testing.T) {
			t.Parallel()
			var sum Tally
			var recovery int64
			for s := from + 1; s <= from+n; s++ {
				result := RunFleet(s, d, soakDurationUS(d), smallFleet)
				if len(result.Violations) > 0 {
					t.Errorf("seed %d: %v", s, result.Violations)
					t.Log(strings.Join(result.Notes[max(0, len(result.Notes)-40):], "\n"))
					return
				}
				sum.Sent, sum.Done, sum.Rejected = sum.Sent+result.Sent, sum.Done+result.Done, sum.Rejected+result.Rejected
				sum.SlowestRevocationUS, sum.SlowestDrainUS, sum.SlowestWeightUpdateUS = max(sum.SlowestRevocationUS, result.SlowestRevocationUS), max(sum.SlowestDrainUS, result.SlowestDrainUS), max(sum.SlowestWeightUpdateUS, result.SlowestWeightUpdateUS)
				recovery = max(recovery, result.RecoveryUS)
			}
			t.Logf("%d seeds: sent %d, done %d, rejected %d; slowest recovery %d, key %d, leaving %d, weights %d us", n, sum.Sent, sum.Done, sum.Rejected, recovery, sum.SlowestRevocationUS, sum.SlowestDrainUS, sum.SlowestWeightUpdateUS)
		})
	}
	for _, fault := range ClusterFaults {
		t.Run("core/"+string(fault), func(t *testing.T) {
			t.Parallel()
			var worst, slowest int64
			acks, terms, steps, late, joined := 0, 0, 0, 0, 0
			for s := from + 1; s <= from+n; s++ {
				d := RunCluster(s, fault, 10_000_000)
				if len(d.Violations) > 0 {
					t.Errorf("seed %d: %v", s, d.Violations)
					t.Log(strings.Join(d.Notes[max(0, len(d.Notes)-40):], "\n"))
					return
				}
				joined, slowest = joined+d.Joins, max(slowest, d.SlowestJoinUS)
				worst, acks, terms, steps, late = max(worst, d.RecoveryUS), acks+d.Acknowledged, terms+d.LeaseTerms, steps+d.Replacements, late+d.LateClaims
			}
			t.Logf("%d seeds: %d acknowledged, %d lease terms, %d replacements, %d claims of closed generations, %d joined, slowest after %d us, slowest recovery %d us", n, acks, terms, steps, late, joined, slowest, worst)
		})
	}
}

// soakDurationUS returns the length of a day. Days of weights are longer, since the bound on a
// weight update is itself about as long as other days.
func soakDurationUS(day Day) int64 {
	if day == DayWeights {
		return 70_000_000
	}
	return 25_000_000
}

// seeds returns the number of seeds in VT_SEEDS, 0 if the test is to use its own few.
func seeds() int64 {
	n, _ := strconv.ParseInt(os.Getenv("VT_SEEDS"), 10, 64)
	return n
}

// seedsFrom returns the seed after which to begin, from VT_FROM.
func seedsFrom() int64 {
	n, _ := strconv.ParseInt(os.Getenv("VT_FROM"), 10, 64)
	return n
}
