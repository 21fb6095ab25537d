package control

import (
	"testing"

	"violetthread/quorum"
	"violetthread/schema/fb"
)

// TestVerdict: what may have taken effect is never told as undone, and only what may
// be done twice is tried again after a doubt.
func TestVerdict(t *testing.T) {
	for _, c := range []struct {
		kind         quorum.OperationType
		st           quorum.Status
		doubt        bool
		want         quorum.Status
		doubts, once bool
	}{
		{quorum.OpGet, quorum.StatusDone, false, quorum.StatusDone, false, true},
		{quorum.OpGet, quorum.StatusNotLeader, false, quorum.StatusNotLeader, false, false},
		{quorum.OpGet, quorum.StatusUnknown, false, quorum.StatusUnknown, false, false},
		{quorum.OpPut, quorum.StatusNotLeader, false, quorum.StatusNotLeader, false, false},
		{quorum.OpPut, quorum.StatusUnknown, false, quorum.StatusUnknown, true, true},
		{quorum.OpRelease, quorum.StatusUnknown, false, quorum.StatusUnknown, true, true},
		{quorum.OpUnclaim, quorum.StatusUnknown, false, quorum.StatusUnknown, true, true},
		{quorum.OpClaim, quorum.StatusUnknown, false, quorum.StatusUnknown, true, false},
		{quorum.OpClaim, quorum.StatusNotLeader, true, quorum.StatusUnknown, true, false},
		{quorum.OpClaim, quorum.StatusFull, true, quorum.StatusUnknown, true, false},
		{quorum.OpClaim, quorum.StatusFull, false, quorum.StatusFull, false, true},
		{quorum.OpClaim, quorum.StatusDone, true, quorum.StatusDone, true, true},
		{quorum.OpClaim, quorum.StatusConflict, true, quorum.StatusConflict, true, true},
		{quorum.OpAcquire, quorum.StatusUnknown, false, quorum.StatusUnknown, true, false},
		{quorum.OpAcquire, quorum.StatusNotLeader, true, quorum.StatusUnknown, true, false},
	} {
		a, d, again := judgeAttempt(c.kind, &fb.OpTellT{Status: byte(c.st)}, c.doubt)
		if quorum.Status(a.Status) != c.want || d != c.doubts || again == c.once {
			t.Errorf("kind %d status %d doubt %v: told %d, doubt %v, again %v", c.kind, c.st, c.doubt, a.Status, d, again)
		}
	}
}

// TestHearsMajority: of an even number of voters, half is no majority.
func TestHearsMajority(t *testing.T) {
	for _, c := range []struct {
		voters, mute int
		want         bool
	}{
		{1, 0, true}, {3, 0, true}, {3, 1, true}, {3, 2, false}, {4, 1, true}, {4, 2, false}, {5, 2, true}, {5, 3, false},
	} {
		var voters []*fb.VoterT
		mute := map[string]bool{"gone": true}
		for i := range c.voters {
			name := string(rune('a' + i))
			voters = append(voters, &fb.VoterT{Name: name})
			mute[name] = i > 0 && i <= c.mute
		}
		if got := hearsMajority(voters, mute); got != c.want {
			t.Errorf("%d voters, %d mute: %v", c.voters, c.mute, got)
		}
	}
}
