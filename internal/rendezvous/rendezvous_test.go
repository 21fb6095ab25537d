package rendezvous

import "testing"

// TestScoreIsFixed: nodes of different versions rank alike.
func TestScoreIsFixed(t *testing.T) {
	for _, c := range []struct {
		name, candidate string
		want            uint64
	}{
		{"", "", 0x154b83315ab9213}, {"a", "b", 0x7c0563de3ba21b26}, {"proxy-1", "10.0.0.1:7000", 0xcfdb09f2e589b230}, {"a|b", "", 0x7defcb381a557d2d},
	} {
		if got := Score(c.name, c.candidate); got != c.want {
			t.Errorf("the score of %q for %q is %#x, not %#x", c.candidate, c.name, got, c.want)
		}
	}
}
