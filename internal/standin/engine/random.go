package engine

// randomSource is Marsaglia's xorshift generator with the shifts 13, 7 and 17 ("Xorshift
// RNGs", 2003): faults are drawn from it, so that a seed repeats them.
type randomSource uint64

func newRandomSource(seed int64) randomSource {
	return randomSource(uint64(seed)*2654435761 + 88172645463325252)
}

// chance is true in so many of a thousand draws.
func (r *randomSource) chance(permille int) bool {
	*r ^= *r << 13
	*r ^= *r >> 7
	*r ^= *r << 17
	return int(*r%1000) < permille
}
