package quorum

import (
	"fmt"
	"strings"
	"testing"
)

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

// TestSeatsFollowTheFleet: a fleet that starts grows its seats, a replacement never does,
// and what an operator asks for is meant.
func TestSeatsFollowTheFleet(t *testing.T) {
	heard := func(string) int64 { return 0 }
	r := newAddressedSet(3)
	r.Seats = 3
	z := Voter{Name: "z", Addr: "at-z", Incarnation: 99}
	if next, ok := r.Admit(z, AddAfter, heard, MaxVoters); !ok || next.Seats != 3 {
		t.Errorf("a newcomer beside all others: %v %d", ok, next.Seats)
	}
	if next, ok := r.Admit(Voter{Name: "b", Addr: "at-b", Incarnation: 99}, 0, heard, MaxVoters); !ok || len(next.Voters) != 2 || next.Seats != 3 {
		t.Errorf("the seat of a lost disk is kept for its next life: %v %+v", ok, next)
	}
	if next, err := r.Next("", &z); err != nil || next.Seats != 4 {
		t.Errorf("an operator adds one: %v %d", err, next.Seats)
	}
	if next, err := r.Next("a", nil); err != nil || next.Seats != 2 {
		t.Errorf("an operator removes one: %v %d", err, next.Seats)
	}
	if back, err := ParseVoterSet(r.Bytes()); err != nil || back.Seats != 3 {
		t.Errorf("read back: %v %d", err, back.Seats)
	}
}
