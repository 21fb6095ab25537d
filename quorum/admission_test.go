package quorum

import (
	"fmt"
	"strings"
	"testing"
)

func TestAdmit(t *testing.T) {
	z := Voter{Name: "z", Addr: "at-z", Incarnation: 99}
	for _, c := range []struct {
		what    string
		voters  int
		v       Voter
		silent  string // name=milliseconds
		want    string // names after the step, "" for none
		newcome bool
	}{
		{"a fourth is added to three", 3, z, "", "abcz", true},
		{"a fifth is added to four", 4, z, "", "abcdz", true},
		{"nine are enough", 9, z, "", "", false},
		{"a disk lost, even", 4, Voter{Name: "b", Addr: "at-b", Incarnation: 99}, "", "acdb", true},
		{"a disk lost, odd: it goes first", 3, Voter{Name: "b", Addr: "at-b", Incarnation: 99}, "", "ac", false},
		{"then it comes", 2, Voter{Name: "c", Addr: "at-c", Incarnation: 99}, "", "abc", true},
		{"another name at a voter's address", 4, Voter{Name: "z", Addr: "at-b", Incarnation: 99}, "", "acdz", true},
		{"another address under a voter's name", 4, Voter{Name: "b", Addr: "at-z", Incarnation: 99}, "", "acdb", true},
		{"a lost disk goes before a silent voter", 4, Voter{Name: "b", Addr: "at-b", Incarnation: 99}, "d=9000", "acdb", true},
		{"a lost disk among nine", 9, Voter{Name: "b", Addr: "at-b", Incarnation: 99}, "", "acdefghi", false},
		{"in already", 4, Voter{Name: "b", Addr: "at-b", Incarnation: 2}, "", "", false},
		{"another's number", 4, Voter{Name: "z", Addr: "at-z", Incarnation: 2}, "d=9000", "", false},
		{"a voter gone, even", 4, z, "c=1500", "abdz", true},
		{"a voter gone, odd", 3, z, "c=1600", "ab", false},
		{"the one longest gone", 6, z, "c=1600 e=1700", "abcdfz", true},
		{"a gone one among nine", 9, z, "c=1600", "abdefghi", false},
		{"none is added beside one in doubt", 4, z, "c=900", "", false},
		{"a beat late is no doubt", 4, z, "c=400", "abcdz", true},
		{"just come, it may be in the place of one not yet missed", 4, z, "", "", false},
		{"just come, a voter gone", 4, z, "c=1500", "abdz", true},
		{"just come, a disk lost", 4, Voter{Name: "b", Addr: "at-b", Incarnation: 99}, "", "acdb", true},
		{"no majority heard", 4, z, "b=9000 c=9000", "", false},
		{"no majority heard, a disk lost", 4, Voter{Name: "b", Addr: "at-b", Incarnation: 99}, "b=9000 c=9000", "", false},
		{"one of two gone: no majority is left", 2, z, "b=9000", "", false},
	} {
		silent := map[string]int64{}
		for _, f := range strings.Fields(c.silent) {
			var ms int64
			if _, err := fmt.Sscanf(f[2:], "%d", &ms); err != nil {
				t.Fatal(err)
			}
			silent[f[:1]] = ms * 1000
		}
		r := newAddressedSet(c.voters)
		asked := int64(AddAfter)
		if strings.HasPrefix(c.what, "just come") {
			asked--
		}
		n, ok := r.Admit(c.v, asked, func(name string) int64 { return silent[name] }, MaxVoters)
		got, in := "", false
		for _, v := range n.Voters {
			got += v.Name
			in = in || v.Incarnation == c.v.Incarnation
		}
		if !ok {
			got = ""
		}
		if got != c.want || ok && in != c.newcome {
			t.Errorf("%s: got %q, newcomer in: %v", c.what, got, in)
		}
		if ok && (haveDisjointMajorities(r, n) || checkStep(r, n) != nil) {
			t.Errorf("%s: two majorities without a common voter", c.what)
		}
	}
}

// TestShed: the seat of a voter whose successor came first is dropped when that gives the
// rest a smaller majority, and only when enough of the rest is heard.
func TestRemoveSurplus(t *testing.T) {
	for _, c := range []struct {
		what   string
		voters int
		seats  uint16
		gone   string // name=milliseconds of silence, name=leaving
		want   string // names after the step, "" for none
	}{
		{"one leaves, its successor is in", 6, 5, "b=leaving", "acdef"},
		{"one is gone, its successor is in", 6, 5, "b=1500", "acdef"},
		{"one leaves before one that is gone", 6, 5, "b=leaving e=9000", "acdef"},
		{"the one gone longest", 6, 5, "b=1600 e=1700", "abcdf"},
		{"silent for a moment", 6, 5, "b=1499", ""},
		{"nobody goes", 6, 5, "", ""},
		{"no successor is in", 6, 6, "b=leaving", ""},
		{"a seat short", 4, 5, "b=leaving", ""},
		{"an odd roster has the same majority with one fewer", 5, 4, "b=leaving", ""},
		{"a roster that knows no count", 6, 0, "b=leaving", ""},
		{"too few are heard", 6, 5, "b=leaving c=600 d=600 e=600", ""},
		{"just enough are heard", 6, 5, "b=leaving c=600 d=600", "acdef"},
		{"the smallest", 4, 3, "d=2000", "abc"},
	} {
		silent, leaving := map[string]int64{}, map[string]bool{}
		for _, field := range strings.Fields(c.gone) {
			name, how, _ := strings.Cut(field, "=")
			if how == "leaving" {
				leaving[name] = true
				continue
			}
			var ms int64
			if _, err := fmt.Sscan(how, &ms); err != nil {
				t.Fatal(err)
			}
			silent[name] = ms * 1000
		}
		r := newAddressedSet(c.voters)
		r.Seats = c.seats
		next, ok := r.RemoveSurplus(func(name string) bool { return leaving[name] }, func(name string) int64 { return silent[name] })
		got := ""
		for _, v := range next.Voters {
			got += v.Name
		}
		if !ok {
			got = ""
		}
		if got != c.want {
			t.Errorf("%s: got %q", c.what, got)
		}
		if ok && (haveDisjointMajorities(r, next) || next.Seats != c.seats || next.Majority() >= r.Majority()) {
			t.Errorf("%s: %d seats, majority %d after %d", c.what, next.Seats, next.Majority(), r.Majority())
		}
	}
}
