package control

import (
	"fmt"
	"testing"

	"violetthread/quorum"
	"violetthread/schema/fb"
)

// TestClassifyAttempt: an operation that may have taken effect is never reported as not done, and
// only an idempotent one is retried when its outcome is unknown.
func TestClassifyAttempt(t *testing.T) {
	const retry, final = true, false
	for _, c := range []struct {
		name        string
		kind        quorum.OperationType
		status      quorum.Status
		inDoubt     bool // after an earlier attempt
		wantStatus  quorum.Status
		wantInDoubt bool
		wantRetry   bool
	}{
		{"read done", quorum.OpGet, quorum.StatusDone, false, quorum.StatusDone, false, final},
		{"read without a leader", quorum.OpGet, quorum.StatusNotLeader, false, quorum.StatusNotLeader, false, retry},
		{"read without a response", quorum.OpGet, quorum.StatusUnknown, false, quorum.StatusUnknown, false, retry},
		{"write without a leader", quorum.OpPut, quorum.StatusNotLeader, false, quorum.StatusNotLeader, false, retry},
		{"write without a response", quorum.OpPut, quorum.StatusUnknown, false, quorum.StatusUnknown, true, final},
		{"release without a response", quorum.OpRelease, quorum.StatusUnknown, false, quorum.StatusUnknown, true, final},
		{"unclaim without a response", quorum.OpUnclaim, quorum.StatusUnknown, false, quorum.StatusUnknown, true, final},
		{"claim without a response", quorum.OpClaim, quorum.StatusUnknown, false, quorum.StatusUnknown, true, retry},
		{"claim in doubt, no leader", quorum.OpClaim, quorum.StatusNotLeader, true, quorum.StatusUnknown, true, retry},
		{"claim in doubt, state full", quorum.OpClaim, quorum.StatusFull, true, quorum.StatusUnknown, true, retry},
		{"claim, state full", quorum.OpClaim, quorum.StatusFull, false, quorum.StatusFull, false, final},
		{"claim in doubt, done", quorum.OpClaim, quorum.StatusDone, true, quorum.StatusDone, true, final},
		{"claim in doubt, held by another", quorum.OpClaim, quorum.StatusConflict, true, quorum.StatusConflict, true, final},
		{"lease without a response", quorum.OpAcquire, quorum.StatusUnknown, false, quorum.StatusUnknown, true, retry},
		{"lease in doubt, no leader", quorum.OpAcquire, quorum.StatusNotLeader, true, quorum.StatusUnknown, true, retry},
	} {
		t.Run(c.name, func(t *testing.T) {
			response, inDoubt, again := classifyAttempt(c.kind, &fb.OperationResponseT{Status: byte(c.status)}, c.inDoubt)
			if quorum.Status(response.Status) != c.wantStatus || inDoubt != c.wantInDoubt || again != c.wantRetry {
				t.Errorf("kind %d status %d: reported %d, in doubt %v, retry %v", c.kind, c.status, response.Status, inDoubt, again)
			}
		})
	}
}

// TestIsMajorityHeard: half of an even number of voters is not a majority.
func TestIsMajorityHeard(t *testing.T) {
	for _, c := range []struct {
		voters, silent int
		want           bool
	}{
		{1, 0, true}, {3, 0, true}, {3, 1, true}, {3, 2, false}, {4, 1, true}, {4, 2, false}, {5, 2, true}, {5, 3, false},
	} {
		t.Run(fmt.Sprintf("%d of %d silent", c.silent, c.voters), func(t *testing.T) {
			var voters []*fb.VoterT
			silent := map[string]bool{"gone": true}
			for i := range c.voters {
				name := string(rune('a' + i))
				voters = append(voters, &fb.VoterT{Name: name})
				silent[name] = i > 0 && i <= c.silent
			}
			if got := isMajorityHeard(voters, silent); got != c.want {
				t.Errorf("isMajorityHeard returned %v", got)
			}
		})
	}
}
