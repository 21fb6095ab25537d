package quorum

import "testing"

// TestSlotOf: the slots of stored keys never change.
func TestSlotOf(t *testing.T) {
	for _, test := range []struct {
		key   string
		slots int
		want  uint16
	}{
		{VoterSetKey, 16, 11},
		{GenerationKey, 16, 13},
		{"route/config", 16, 11},
		{rolePrefix + "x", 16, 6},
		{ClaimKey(1, "g/1"), 16, 1},
		{"floor/5", 16, 5},
		{"floor/16", 16, 3},
		{"floor/x", 16, 11},
		{VoterSetKey, 2, 1},
		{"", 16, 2},
	} {
		if got := SlotOf(test.key, test.slots); got != test.want {
			t.Errorf("%q of %d slots is in %d, not %d", test.key, test.slots, got, test.want)
		}
	}
}
