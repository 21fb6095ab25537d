package sim

import (
	"fmt"
	"testing"
)

// TestRaceDays has two or eight operators send different changes with the same version, while
// messages of one step are lost, or leaders are killed between a sync and the answer. Two
// changes must never be acknowledged for one version, an accepted change must never be
// rejected, and reads must return the newest acknowledged configuration, byte for byte.
func TestRaceDays(t *testing.T) {
	for i, fault := range RaceFaults() {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			var sum RaceResult
			for _, seed := range daySeeds(1) {
				for j, nodes := range controlSizes {
					if seeds() == 0 && (i+j)%len(controlSizes) != 0 {
						continue // CI runs each fault at one size
					}
					operators := []int{2, 8}[(int(seed)+i+j)%2]
					r := RunRaces(seed, nodes, operators, fault, raceDurationUS(), platformFormat)
					requireNoViolations(t, seed, r.Violations, append(r.Notes, fmt.Sprintf("%d nodes, %d operators", nodes, operators)))
					sum.add(r)
				}
			}
			t.Logf("%d requests: %d accepted, %d after a resend, %d rejected, %d reads; %d messages lost, %d kills; %d changes behind at most; definite answer after %s, recovered after %s, limit %s",
				sum.Requests, sum.Acknowledged, sum.AcknowledgedAfterResend, sum.Rejected, sum.Reads, sum.Lost, sum.Kills, sum.MostBehind, seconds(sum.SlowestRequestUS), seconds(sum.RecoveryUS), seconds(raceRecoveryBoundUS))
			if sum.Acknowledged < 20 || sum.Rejected == 0 || sum.Lost+sum.Kills < 3 || sum.Reads < 40 {
				t.Error("too little activity for a meaningful result")
			}
		})
	}
}

// raceDurationUS returns how long the faults of a day last.
func raceDurationUS() int64 {
	if seeds() > 0 {
		return 10_000_000
	}
	return 5_000_000
}

func (r *RaceResult) add(o RaceResult) {
	r.Requests += o.Requests
	r.Acknowledged += o.Acknowledged
	r.AcknowledgedAfterResend += o.AcknowledgedAfterResend
	r.Rejected += o.Rejected
	r.Reads += o.Reads
	r.Lost += o.Lost
	r.Kills += o.Kills
	r.MostBehind = max(r.MostBehind, o.MostBehind)
	r.SlowestRequestUS = max(r.SlowestRequestUS, o.SlowestRequestUS)
	r.RecoveryUS = max(r.RecoveryUS, o.RecoveryUS)
}
