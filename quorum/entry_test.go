package quorum

import (
	"slices"
	"testing"
)

// TestPositionOrder: positions are ordered by term, then by index.
func TestPositionOrder(t *testing.T) {
	ordered := []Position{{}, {0, 7}, {1, 0}, {1, 2}, {2, 0}, {2, 1}}
	for i, a := range ordered {
		for j, b := range ordered {
			if a.Before(b) != (i < j) {
				t.Errorf("%v before %v: %v", a, b, a.Before(b))
			}
		}
	}
	mixed := []Position{ordered[4], ordered[1], ordered[5], ordered[0], ordered[3], ordered[2]}
	slices.SortFunc(mixed, Position.Compare)
	if !slices.Equal(mixed, ordered) {
		t.Errorf("sorted as %v", mixed)
	}
}
