package quorum

import (
	"strconv"
	"strings"
	"testing"
)

// readSilences reads fields of the form name=milliseconds of silence, or name=leaving.
func readSilences(t *testing.T, text string) (silence func(string) int64, leaving func(string) bool) {
	t.Helper()
	silent, leaves := map[string]int64{}, map[string]bool{}
	for _, field := range strings.Fields(text) {
		name, how, _ := strings.Cut(field, "=")
		if how == "leaving" {
			leaves[name] = true
			continue
		}
		milliseconds, err := strconv.ParseInt(how, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		silent[name] = milliseconds * 1000
	}
	return func(name string) int64 { return silent[name] }, func(name string) bool { return leaves[name] }
}

func namesOf(set VoterSet) string {
	names := ""
	for _, voter := range set.Voters {
		names += voter.Name
	}
	return names
}

// TestAdmit: a newcomer takes the place of a voter that is lost or failed, or a new one, and
// only when that is safe.
func TestAdmit(t *testing.T) {
	newcomer := Voter{Name: "z", Addr: "at-z", Incarnation: 99}
	for _, test := range []struct {
		name   string
		voters int
		voter  Voter
		silent string // name=milliseconds
		want   string // names after the step, "" for none
		joins  bool
	}{
		{"a fourth is added to three", 3, newcomer, "", "abcz", true},
		{"a fifth is added to four", 4, newcomer, "", "abcdz", true},
		{"nine are enough", 9, newcomer, "", "", false},
		{"a disk lost, even", 4, Voter{Name: "b", Addr: "at-b", Incarnation: 99}, "", "acdb", true},
		{"a disk lost, odd: it goes first", 3, Voter{Name: "b", Addr: "at-b", Incarnation: 99}, "", "ac", false},
		{"then it comes", 2, Voter{Name: "c", Addr: "at-c", Incarnation: 99}, "", "abc", true},
		{"another name at a voter's address", 4, Voter{Name: "z", Addr: "at-b", Incarnation: 99}, "", "acdz", true},
		{"another address under a voter's name", 4, Voter{Name: "b", Addr: "at-z", Incarnation: 99}, "", "acdb", true},
		{"a lost disk goes before a silent voter", 4, Voter{Name: "b", Addr: "at-b", Incarnation: 99}, "d=9000", "acdb", true},
		{"a lost disk among nine", 9, Voter{Name: "b", Addr: "at-b", Incarnation: 99}, "", "acdefghi", false},
		{"in already", 4, Voter{Name: "b", Addr: "at-b", Incarnation: 2}, "", "", false},
		{"another's incarnation", 4, Voter{Name: "z", Addr: "at-z", Incarnation: 2}, "d=9000", "", false},
		{"a voter gone, even", 4, newcomer, "c=1500", "abdz", true},
		{"a voter gone, odd", 3, newcomer, "c=1600", "ab", false},
		{"the one longest gone", 6, newcomer, "c=1600 e=1700", "abcdfz", true},
		{"a gone one among nine", 9, newcomer, "c=1600", "abdefghi", false},
		{"none is added beside a suspect", 4, newcomer, "c=900", "", false},
		{"a heartbeat late is no reason to suspect", 4, newcomer, "c=400", "abcdz", true},
		{"just come, it may be in the place of one not yet missed", 4, newcomer, "", "", false},
		{"just come, a voter gone", 4, newcomer, "c=1500", "abdz", true},
		{"just come, a disk lost", 4, Voter{Name: "b", Addr: "at-b", Incarnation: 99}, "", "acdb", true},
		{"no majority heard", 4, newcomer, "b=9000 c=9000", "", false},
		{"no majority heard, a disk lost", 4, Voter{Name: "b", Addr: "at-b", Incarnation: 99}, "b=9000 c=9000", "", false},
		{"one of two gone: no majority is left", 2, newcomer, "b=9000", "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			silence, _ := readSilences(t, test.silent)
			set := newAddressedSet(test.voters)
			asked := int64(AddAfterUS)
			if strings.HasPrefix(test.name, "just come") {
				asked--
			}
			next, ok := set.Admit(test.voter, asked, silence, MaxVoters)
			got, joined := "", ok && next.hasIncarnation(test.voter.Incarnation)
			if ok {
				got = namesOf(next)
			}
			if got != test.want || ok && joined != test.joins {
				t.Errorf("got %q, newcomer in: %v", got, joined)
			}
			if ok && (haveDisjointMajorities(set, next) || checkStep(set, next) != nil) {
				t.Error("two majorities without a common voter")
			}
		})
	}
}

// TestRemoveSurplus: the seat of a voter whose successor came first is dropped when that gives the
// rest a smaller majority, and only when enough of the rest is heard.
func TestRemoveSurplus(t *testing.T) {
	for _, test := range []struct {
		name   string
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
		{"an odd set has the same majority with one fewer", 5, 4, "b=leaving", ""},
		{"a set that knows no count", 6, 0, "b=leaving", ""},
		{"too few are heard", 6, 5, "b=leaving c=600 d=600 e=600", ""},
		{"just enough are heard", 6, 5, "b=leaving c=600 d=600", "acdef"},
		{"the smallest", 4, 3, "d=2000", "abc"},
	} {
		t.Run(test.name, func(t *testing.T) {
			silence, leaving := readSilences(t, test.gone)
			set := newAddressedSet(test.voters)
			set.TargetSize = test.seats
			next, ok := set.RemoveSurplus(leaving, silence)
			got := ""
			if ok {
				got = namesOf(next)
			}
			if got != test.want {
				t.Errorf("got %q", got)
			}
			if ok && (haveDisjointMajorities(set, next) || next.TargetSize != test.seats || next.Majority() >= set.Majority()) {
				t.Errorf("%d seats, majority %d after %d", next.TargetSize, next.Majority(), set.Majority())
			}
		})
	}
}
