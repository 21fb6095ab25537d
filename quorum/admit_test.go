package quorum

import (
	"fmt"
	"strings"
	"testing"
)

func newAddressedSet(n int) VoterSet {
	r := newVoterSet(n)
	for i := range r.Voters {
		r.Voters[i].Addr = "at-" + r.Voters[i].Name
	}
	return r
}

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

// TestSilence counts from what this node could hear, never from before.
func TestSilence(t *testing.T) {
	n := New(DefaultConfig("a", 1), newAddressedSet(3), 10_000_000, nil)
	now := int64(10_000_000)
	for ; now < 12_000_000; now += 25_000 {
		n.Tick(now)
		if now < 11_000_000 {
			n.Receive(now, Message{Type: MsgVoterSetRequest, From: "b", Incarnation: 2, VoterSetRevision: n.VoterSet().Revision})
			n.Receive(now, Message{Type: MsgVoterSetRequest, From: "c", Incarnation: 77, VoterSetRevision: n.VoterSet().Revision})
		}
	}
	now -= 25_000
	if b, c, a := n.Silence(now, "b"), n.Silence(now, "c"), n.Silence(now, "a"); b != 1_000_000 || c != 1_975_000 || a != 0 {
		t.Fatalf("b is silent for %d, c (another life speaks) for %d, the node itself for %d", b, c, a)
	}
	now += 5_000_000 // held up: before the first tick after, and from it on
	if b := n.Silence(now, "b"); b != 0 {
		t.Fatalf("after a pause b counts as silent for %d", b)
	}
	n.Tick(now)
	if b := n.Silence(now+100_000, "b"); b != 100_000 {
		t.Fatalf("after a pause b counts as silent for %d", b)
	}
}

// TestGrace: a disk that may have granted something waits a term after a start; one
// that never did has nothing to wait for.
func TestNoVoteAfterRestart(t *testing.T) {
	for _, c := range []struct {
		recs []Record
		want MessageType
	}{
		{nil, MsgVoteGranted},
		{[]Record{{Type: RecordPromise, Slot: 3, Term: 0}}, MsgVoteGranted},
		{[]Record{{Type: RecordPromise, Slot: 3, Term: 1 << 16}}, MsgVoteRejected},
	} {
		n := New(DefaultConfig("a", 1), newAddressedSet(3), 5_000_000, c.recs)
		o := n.Receive(5_000_100, Message{Type: MsgVoteRequest, From: "b", Incarnation: 2, VoterSetRevision: n.VoterSet().Revision, Slot: 5, Term: 1<<16 | 2})
		if len(o.Messages) == 0 {
			o = n.RecordsSynced(5_000_200, uint64(len(o.Records)))
		}
		if len(o.Messages) != 1 || o.Messages[0].Message.Type != c.want {
			t.Errorf("%+v: %+v", c.recs, o.Messages)
		}
	}
}
