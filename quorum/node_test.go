package quorum

import "testing"

// lone is a roster of one, which settles everything by itself once synced.
func newSingleNode(t *testing.T, era int64) (n *Node, step func(int64) []Result, do func(int64, Operation) Result) {
	t.Helper()
	p := DefaultConfig("a", 1)
	p.GenerationDuration, p.OpenGenerations = era, 3
	n = New(p, newVoterSet(1), 0, nil)
	var recs uint64
	var out []Result
	take := func(now int64, o Ready) {
		for len(o.Records) > 0 || len(o.Results) > 0 {
			recs += uint64(len(o.Records))
			out = append(out, o.Results...)
			if len(o.Records) == 0 {
				break
			}
			o = n.RecordsSynced(now, recs)
		}
	}
	step = func(now int64) []Result {
		take(now, n.Tick(now))
		a := out
		out = nil
		return a
	}
	do = func(now int64, op Operation) Result {
		out = nil
		take(now, n.Propose(now, op))
		for _, a := range out {
			if a.ID == op.ID {
				return a
			}
		}
		t.Fatalf("no answer to %+v", op)
		return Result{}
	}
	for now := int64(0); now <= 3_000_000; now += 25_000 {
		step(now)
	}
	return n, step, do
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
