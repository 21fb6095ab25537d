package quorum

import (
	"strconv"
	"strings"
	"testing"
)

// parseActivity parses fields of the form name=milliseconds since heard, or name=leaving.
func parseActivity(t *testing.T, text string) (timeSinceHeard func(string) int64, leaving func(string) bool) {
	t.Helper()
	silent, leavers := map[string]int64{}, map[string]bool{}
	for _, field := range strings.Fields(text) {
		name, how, _ := strings.Cut(field, "=")
		if how == "leaving" {
			leavers[name] = true
			continue
		}
		milliseconds, err := strconv.ParseInt(how, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		silent[name] = milliseconds * 1000
	}
	return func(name string) int64 { return silent[name] }, func(name string) bool { return leavers[name] }
}

func namesOf(set VoterSet) string {
	names := ""
	for _, voter := range set.Voters {
		names += voter.Name
	}
	return names
}

// TestAdmit: a joining node replaces a voter that failed or lost its disk, or is added, and
// only if the change is safe.
func TestAdmit(t *testing.T) {
	joiner := Voter{Name: "z", Addr: "at-z", Incarnation: 99}
	for _, test := range []struct {
		name   string
		voters int
		voter  Voter
		silent string // name=milliseconds
		want   string // names after the change, "" for none
		joins  bool
	}{
		{"fourth voter added to three", 3, joiner, "", "abcz", true},
		{"fifth voter added to four", 4, joiner, "", "abcdz", true},
		{"none added to nine", 9, joiner, "", "", false},
		{"lost disk, even set", 4, Voter{Name: "b", Addr: "at-b", Incarnation: 99}, "", "acdb", true},
		{"lost disk, odd set: removed first", 3, Voter{Name: "b", Addr: "at-b", Incarnation: 99}, "", "ac", false},
		{"lost disk, odd set: added afterwards", 2, Voter{Name: "c", Addr: "at-c", Incarnation: 99}, "", "abc", true},
		{"voter's address with another name", 4, Voter{Name: "z", Addr: "at-b", Incarnation: 99}, "", "acdz", true},
		{"voter's name with another address", 4, Voter{Name: "b", Addr: "at-z", Incarnation: 99}, "", "acdb", true},
		{"lost disk removed before a failed voter", 4, Voter{Name: "b", Addr: "at-b", Incarnation: 99}, "d=9000", "acdb", true},
		{"lost disk in a set of nine", 9, Voter{Name: "b", Addr: "at-b", Incarnation: 99}, "", "acdefghi", false},
		{"already a voter", 4, Voter{Name: "b", Addr: "at-b", Incarnation: 2}, "", "", false},
		{"incarnation of another voter", 4, Voter{Name: "z", Addr: "at-z", Incarnation: 2}, "d=9000", "", false},
		{"failed voter, even set", 4, joiner, "c=1500", "abdz", true},
		{"failed voter, odd set", 3, joiner, "c=1600", "ab", false},
		{"two failed voters: the longer one removed", 6, joiner, "c=1600 e=1700", "abcdfz", true},
		{"failed voter in a set of nine", 9, joiner, "c=1600", "abdefghi", false},
		{"none added while a voter is suspect", 4, joiner, "c=900", "", false},
		{"a late heartbeat does not make a voter suspect", 4, joiner, "c=400", "abcdz", true},
		{"recent request: may replace a voter that has just stopped", 4, joiner, "", "", false},
		{"recent request, failed voter", 4, joiner, "c=1500", "abdz", true},
		{"recent request, lost disk", 4, Voter{Name: "b", Addr: "at-b", Incarnation: 99}, "", "acdb", true},
		{"majority not heard", 4, joiner, "b=9000 c=9000", "", false},
		{"majority not heard, lost disk", 4, Voter{Name: "b", Addr: "at-b", Incarnation: 99}, "b=9000 c=9000", "", false},
		{"one of two failed: no majority left", 2, joiner, "b=9000", "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			timeSinceHeard, _ := parseActivity(t, test.silent)
			set := newVoterSetWithAddrs(test.voters)
			asked := int64(AddAfterUS)
			if strings.HasPrefix(test.name, "recent request") {
				asked--
			}
			next, ok := set.Admit(test.voter, asked, timeSinceHeard, MaxVoters)
			got, joined := "", ok && next.hasIncarnation(test.voter.Incarnation)
			if ok {
				got = namesOf(next)
			}
			if got != test.want || ok && joined != test.joins {
				t.Errorf("got %q, joiner added: %v", got, joined)
			}
			if ok && (haveDisjointMajorities(set, next) || checkStep(set, next) != nil) {
				t.Error("two majorities without a common voter")
			}
		})
	}
}

// TestRemoveSurplus: a voter whose replacement was added is removed if that makes the majority
// smaller, and only if enough of the remaining voters were heard recently.
func TestRemoveSurplus(t *testing.T) {
	for _, test := range []struct {
		name       string
		voters     int
		targetSize uint16
		gone       string // name=milliseconds since heard, name=leaving
		want       string // names after the change, "" for none
	}{
		{"voter leaving, replacement added", 6, 5, "b=leaving", "acdef"},
		{"voter failed, replacement added", 6, 5, "b=1500", "acdef"},
		{"leaving voter removed before a failed one", 6, 5, "b=leaving e=9000", "acdef"},
		{"two failed voters: the longer one removed", 6, 5, "b=1600 e=1700", "abcdf"},
		{"not silent long enough", 6, 5, "b=1499", ""},
		{"no voter leaving or failed", 6, 5, "", ""},
		{"no replacement added", 6, 6, "b=leaving", ""},
		{"below the target size", 4, 5, "b=leaving", ""},
		{"odd set: one voter fewer has the same majority", 5, 4, "b=leaving", ""},
		{"no target size", 6, 0, "b=leaving", ""},
		{"too few voters heard", 6, 5, "b=leaving c=600 d=600 e=600", ""},
		{"just enough voters heard", 6, 5, "b=leaving c=600 d=600", "acdef"},
		{"smallest set", 4, 3, "d=2000", "abc"},
	} {
		t.Run(test.name, func(t *testing.T) {
			timeSinceHeard, leaving := parseActivity(t, test.gone)
			set := newVoterSetWithAddrs(test.voters)
			set.TargetSize = test.targetSize
			next, ok := set.RemoveSurplus(leaving, timeSinceHeard)
			got := ""
			if ok {
				got = namesOf(next)
			}
			if got != test.want {
				t.Errorf("got %q", got)
			}
			if ok && (haveDisjointMajorities(set, next) || next.TargetSize != test.targetSize || next.Majority() >= set.Majority()) {
				t.Errorf("target size %d, majority %d after %d", next.TargetSize, next.Majority(), set.Majority())
			}
		})
	}
}
