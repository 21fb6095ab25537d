package sim

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"violetthread/platform"
)

// platformFormat decodes configurations in the format of the platform's operators.
var platformFormat = ConfigFormat{Translate: platform.Translate, FieldNames: platform.FieldNames}

// controlSizes are the numbers of control nodes on directed days: 4 tolerate the loss of one,
// 5 and 8 the loss of two.
var controlSizes = []int{4, 5, 8}

// daySeeds returns the seeds of a directed day: the given number, or as many as VT_SEEDS says,
// starting after VT_FROM.
func daySeeds(few int64) []int64 {
	n := few
	if s := seeds(); s > 0 {
		n = s
	}
	var out []int64
	for i := range n {
		out = append(out, seedsFrom()+i+1)
	}
	return out
}

// requireNoViolations fails the test if there are violations, and prints the last notes.
func requireNoViolations(t *testing.T, seed int64, violations, notes []string) {
	t.Helper()
	if len(violations) > 0 {
		last := notes[max(0, len(notes)-60):]
		t.Fatalf("seed %d: %v\n%s", seed, violations, strings.Join(last, "\n"))
	}
}

func seconds(durationUS int64) string { return fmt.Sprintf("%.2f s", float64(durationUS)/1e6) }

// TestCutoffDays cuts off control nodes for 20 s, as many as may be lost or fewer, twice a
// day, and with VT_SEEDS in each of six ways. No answer may confirm a configuration older than
// the last acknowledged one, no acknowledged change may be lost, no request may be wrongly
// rejected, and everything must be back in service within a bound.
func TestCutoffDays(t *testing.T) {
	for i, nodes := range controlSizes {
		if seeds() == 0 && nodes > 5 {
			continue // the largest takes longest and runs only on long runs
		}
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			var sum CutoffResult
			for _, seed := range daySeeds(1) {
				r := RunCutoff(seed, nodes, cutsOf(seed+int64(i)), platformFormat)
				requireNoViolations(t, seed, r.Violations, r.Notes)
				sum.add(r)
			}
			t.Logf("%d cuts: %d acknowledged, %d rejected, %d reads, %d weight versions; old configuration in use for %s, limit %s; no leader for %s, limit %s; no acknowledgement for %s, limit %s; back after %s, limit %s",
				sum.Cuts, sum.Acknowledged, sum.Rejected, sum.Reads, sum.WeightsVersions, seconds(sum.OldestConfigUS), seconds(ApplyBoundUS), seconds(sum.LongestWithoutLeaderUS), seconds(leaderBoundUS), seconds(sum.LongestGapUS), seconds(acknowledgementBoundUS), seconds(sum.SlowestRecoveryUS), seconds(recoveryBoundOfCutUS))
			if sum.Acknowledged < 20*sum.Cuts || sum.Reads < 50*sum.Cuts || sum.Rejected == 0 || sum.WeightsVersions < 10*sum.Cuts {
				t.Error("too little activity for a meaningful result")
			}
		})
	}
}

// cutsOf returns the ways in which machines are cut off on a day: all of them on long runs,
// otherwise two that depend on the seed.
func cutsOf(seed int64) []Partition {
	cuts := shuffled(seed, Partitions)
	if seeds() > 0 {
		return cuts
	}
	return cuts[:2]
}

func (r *CutoffResult) add(o CutoffResult) {
	r.Cuts += o.Cuts
	r.Acknowledged += o.Acknowledged
	r.Rejected += o.Rejected
	r.Reads += o.Reads
	r.WeightsVersions += o.WeightsVersions
	r.OldestConfigUS = max(r.OldestConfigUS, o.OldestConfigUS)
	r.LongestGapUS = max(r.LongestGapUS, o.LongestGapUS)
	r.LongestWithoutLeaderUS = max(r.LongestWithoutLeaderUS, o.LongestWithoutLeaderUS)
	r.SlowestRecoveryUS = max(r.SlowestRecoveryUS, o.SlowestRecoveryUS)
}

// shuffled returns the list in an order that depends on the seed.
func shuffled[T any](seed int64, list []T) []T {
	out := slices.Clone(list)
	rand.New(rand.NewSource(seed)).Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}
