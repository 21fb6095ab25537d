package control

import (
	"fmt"
	"testing"

	"violetthread/quorum"
	"violetthread/schema/fb"
)

// TestVerdict: what may have taken effect is never reported as undone, and only what may
// be done twice is tried again after a doubt.
func TestVerdict(t *testing.T) {
	const tryAgain, final = true, false
	for _, c := range []struct {
		name        string
		kind        quorum.OperationType
		status      quorum.Status
		inDoubt     bool // after an attempt before
		wantStatus  quorum.Status
		wantInDoubt bool
		wantAgain   bool
	}{
		{"read done", quorum.OpGet, quorum.StatusDone, false, quorum.StatusDone, false, final},
		{"read without a leader", quorum.OpGet, quorum.StatusNotLeader, false, quorum.StatusNotLeader, false, tryAgain},
		{"read without an answer", quorum.OpGet, quorum.StatusUnknown, false, quorum.StatusUnknown, false, tryAgain},
		{"write without a leader", quorum.OpPut, quorum.StatusNotLeader, false, quorum.StatusNotLeader, false, tryAgain},
		{"write without an answer", quorum.OpPut, quorum.StatusUnknown, false, quorum.StatusUnknown, true, final},
		{"release without an answer", quorum.OpRelease, quorum.StatusUnknown, false, quorum.StatusUnknown, true, final},
		{"unclaim without an answer", quorum.OpUnclaim, quorum.StatusUnknown, false, quorum.StatusUnknown, true, final},
		{"claim without an answer", quorum.OpClaim, quorum.StatusUnknown, false, quorum.StatusUnknown, true, tryAgain},
		{"claim in doubt, no leader", quorum.OpClaim, quorum.StatusNotLeader, true, quorum.StatusUnknown, true, tryAgain},
		{"claim in doubt, state full", quorum.OpClaim, quorum.StatusFull, true, quorum.StatusUnknown, true, tryAgain},
		{"claim, state full", quorum.OpClaim, quorum.StatusFull, false, quorum.StatusFull, false, final},
		{"claim in doubt, done", quorum.OpClaim, quorum.StatusDone, true, quorum.StatusDone, true, final},
		{"claim in doubt, another's", quorum.OpClaim, quorum.StatusConflict, true, quorum.StatusConflict, true, final},
		{"lease without an answer", quorum.OpAcquire, quorum.StatusUnknown, false, quorum.StatusUnknown, true, tryAgain},
		{"lease in doubt, no leader", quorum.OpAcquire, quorum.StatusNotLeader, true, quorum.StatusUnknown, true, tryAgain},
	} {
		t.Run(c.name, func(t *testing.T) {
			response, inDoubt, again := judgeAttempt(c.kind, &fb.OperationResponseT{Status: byte(c.status)}, c.inDoubt)
			if quorum.Status(response.Status) != c.wantStatus || inDoubt != c.wantInDoubt || again != c.wantAgain {
				t.Errorf("kind %d status %d: reported %d, doubt %v, again %v", c.kind, c.status, response.Status, inDoubt, again)
			}
		})
	}
}

// TestHearsMajority: of an even number of voters, half is no majority.
func TestHearsMajority(t *testing.T) {
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
			if got := hearsMajority(voters, silent); got != c.want {
				t.Errorf("hears a majority: %v", got)
			}
		})
	}
}
