package rendezvous

import "testing"

// TestScoreIsFixed: Score returns the same values as in other versions, so that nodes of mixed
// versions rank candidates in the same order.
func TestScoreIsFixed(t *testing.T) {
	for _, c := range []struct {
		follower, node string
		want           uint64
	}{
		{"", "", 0x154b83315ab9213},
		{"a", "b", 0x7c0563de3ba21b26},
		{"proxy-1", "10.0.0.1:7000", 0xcfdb09f2e589b230},
		{"a|b", "", 0x7defcb381a557d2d},
	} {
		if got := Score(c.follower, c.node); got != c.want {
			t.Errorf("the score of %q for %q is %#x, not %#x", c.node, c.follower, got, c.want)
		}
	}
}

// TestWeightIsFixed: Weight returns the same values as in other versions, so that nodes of mixed
// versions rank candidates in the same order.
func TestWeightIsFixed(t *testing.T) {
	for _, c := range []struct {
		name, separator, candidate string
		want                       uint64
	}{
		{"", "", "", 0xecba3df5d0b4cd3e},
		{"a", "|", "b", 0x4bcc87f6e8eb9497},
		{"a", "\x00", "b", 0x234b9f52c1c84138},
		{"part-1", "\x00", "engine-1#1", 0xdf86084a380cbf33},
		{"shard/3", "|", "index-2", 0xc0c2a24190a9937b},
	} {
		if got := Weight(c.name, c.separator, c.candidate); got != c.want {
			t.Errorf("the weight of %q for %q with %q is %#x, not %#x", c.candidate, c.name, c.separator, got, c.want)
		}
	}
}
