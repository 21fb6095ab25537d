package sim

import (
	"fmt"
	"testing"
)

// TestMessageDays delays, reorders and duplicates messages between control nodes, which also
// reach later processes of the same name. No answer may be taken for the answer to another
// request: changes stay linearizable, slots have one leader, roles and claims have one holder.
func TestMessageDays(t *testing.T) {
	for _, nodes := range controlSizes {
		if seeds() == 0 && nodes > 5 {
			continue // the largest takes longest and runs only on long runs
		}
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			t.Parallel()
			var sum MessagesResult
			for _, seed := range daySeeds(1) {
				r := RunMessages(seed, nodes, messagesDurationUS())
				requireNoViolations(t, seed, r.Violations, r.Notes)
				sum.add(r)
			}
			t.Logf("%d messages duplicated, %d of them to a later process, %d restarts: %d acknowledged, %d claims, %d lease terms; back after %s, limit %s",
				sum.Duplicated, sum.ToNextProcess, sum.Restarts, sum.Acknowledged, sum.Claims, sum.Leases, seconds(sum.RecoveryUS), seconds(messagesRecoveryBoundUS))
			if sum.ToNextProcess < 50 || sum.Restarts < 2 || sum.Acknowledged < 50 || sum.Claims == 0 || sum.Leases == 0 {
				t.Error("too little activity for a meaningful result")
			}
		})
	}
}

// messagesDurationUS returns how long the faults of a day last.
func messagesDurationUS() int64 {
	if seeds() > 0 {
		return 15_000_000
	}
	return 6_000_000
}

func (r *MessagesResult) add(o MessagesResult) {
	r.Acknowledged += o.Acknowledged
	r.Claims += o.Claims
	r.Leases += o.Leases
	r.Duplicated += o.Duplicated
	r.ToNextProcess += o.ToNextProcess
	r.Restarts += o.Restarts
	r.RecoveryUS = max(r.RecoveryUS, o.RecoveryUS)
}
