package sim

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"violetthread/platform"
)

// platformFormat reads texts as the platform's operators write them.
var platformFormat = ConfigFormat{Translate: platform.Translate, FieldNames: platform.FieldNames}

// controlSizes are the numbers of control nodes of the directed days: 4 bear the loss
// of one, 5 and 8 that of two.
var controlSizes = []int{4, 5, 8}

// daySeeds are the seeds of a directed day: few of its own, or as many as VT_SEEDS says,
// after VT_FROM.
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

// requireNoViolations reports a day that broke a promise, with the end of its notes.
func requireNoViolations(t *testing.T, seed int64, violations, notes []string) {
	t.Helper()
	if len(violations) > 0 {
		last := notes[max(0, len(notes)-60):]
		t.Fatalf("seed %d: %v\n%s", seed, violations, strings.Join(last, "\n"))
	}
}

func seconds(durationUS int64) string { return fmt.Sprintf("%.2f s", float64(durationUS)/1e6) }

// TestCutoffDays: a control machine, or as many as may be lost, is cut off for 20 s twice
// a day, in each of six ways with VT_SEEDS. No answer vouches for an older configuration than the last
// one acknowledged, no confirmation is lost, no order is refused wrongly, and all is
// back within a bound.
func TestCutoffDays(t *testing.T) {
	for i, nodes := range controlSizes {
		if seeds() == 0 && nodes > 5 {
			continue // the largest takes longest: on long runs
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

// cutsOf are the ways in which machines are cut off on a day: all of them on long runs,
// two in CI, others for each size.
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

// shuffled is a list in an order of the seed's.
func shuffled[T any](seed int64, list []T) []T {
	out := slices.Clone(list)
	rand.New(rand.NewSource(seed)).Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}
