package engine

// randomSource is Marsaglia's xorshift generator with the shifts 13, 7 and 17 ("Xorshift
// RNGs", 2003). Faults are drawn from it, so that the same seed gives the same faults.
type randomSource uint64

func newRandomSource(seed int64) randomSource {
	return randomSource(uint64(seed)*2654435761 + 88172645463325252)
}

// chance returns true with a probability given in thousandths.
func (r *randomSource) chance(permille int) bool {
	*r ^= *r << 13
	*r ^= *r >> 7
	*r ^= *r << 17
	return int(*r%1000) < permille
}
