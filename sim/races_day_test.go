package sim

import (
	"fmt"
	"testing"
)

// TestRaceDays: two and eight operators send different changes under the same numbers,
// while the messages of one step of their way get lost, or owners are killed between a
// sync and the answer. Never are two confirmed under one number, what was taken is never
// refused, and what is read back is the newest acknowledged, to the byte.
func TestRaceDays(t *testing.T) {
	for i, fault := range RaceFaults() {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			var sum RaceResult
			for _, seed := range daySeeds(1) {
				for j, nodes := range controlSizes {
					if seeds() == 0 && (i+j)%len(controlSizes) != 0 {
						continue // CI takes each trouble at one size
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

// raceDurationUS is how long a day of races is troubled.
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
