package session

import (
	"slices"
	"testing"

	"violetthread/internal/rendezvous"
	"violetthread/schema/fb"
)

// TestCandidates: the current control node comes first, the others follow in this node's own
// order of preference, and a seed that is also a voter is listed once.
func TestCandidates(t *testing.T) {
	const name = "node-1"
	byPreference := []string{"a:1", "b:1", "c:1", "d:1"}
	slices.SortFunc(byPreference, func(a, b string) int {
		if rendezvous.Score(name, a) > rendezvous.Score(name, b) {
			return -1
		}
		return 1
	})
	last := byPreference[3]
	for _, c := range []struct {
		name         string
		controlNodes []string
		seeds        []string
		current      string
		want         []string
	}{
		{"no control node is known", nil, nil, "", nil},
		{"seeds alone", nil, []string{"d:1", "c:1", "b:1", "a:1"}, "", byPreference},
		{"voters and seeds", []string{"a:1", "b:1"}, []string{"b:1", "c:1", "d:1"}, "", byPreference},
		{"the current one comes first", []string{"a:1", "b:1", "c:1", "d:1"}, nil, last, append([]string{last}, byPreference[:3]...)},
		{"the current one is no longer known", []string{"a:1", "b:1", "c:1", "d:1"}, nil, "e:1", byPreference},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New(nil, nil, c.seeds, func() *fb.NodeT { return &fb.NodeT{Name: name} })
			s.controlNodes, s.current = c.controlNodes, c.current
			if got := s.candidates(); !slices.Equal(got, c.want) {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
