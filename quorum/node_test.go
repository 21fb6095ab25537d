package quorum

import "testing"

// newSingleNode is a voter set of one, which commits everything by itself once synced. step
// ticks it and returns the results since; do proposes an operation and returns its result.
func newSingleNode(t *testing.T, era int64) (node *Node, step func(int64) []Result, do func(int64, Operation) Result) {
	t.Helper()
	config := DefaultConfig("a", 1)
	config.GenerationDuration, config.OpenGenerations = era, 3
	node = New(config, newVoterSet(1), 0, nil)
	var recs uint64
	var out []Result
	take := func(now int64, ready Ready) {
		for len(ready.Records) > 0 || len(ready.Results) > 0 {
			recs += uint64(len(ready.Records))
			out = append(out, ready.Results...)
			if len(ready.Records) == 0 {
				break
			}
			ready = node.RecordsSynced(now, recs)
		}
	}
	step = func(now int64) []Result {
		take(now, node.Tick(now))
		result := out
		out = nil
		return result
	}
	do = func(now int64, operation Operation) Result {
		out = nil
		take(now, node.Propose(now, operation))
		for _, result := range out {
			if result.ID == operation.ID {
				return result
			}
		}
		t.Fatalf("no answer to %+v", operation)
		return Result{}
	}
	for now := int64(0); now <= 3_000_000; now += 25_000 {
		step(now)
	}
	return node, step, do
}

// TestSilence counts from what this node could hear, never from before.
func TestSilence(t *testing.T) {
	node := New(DefaultConfig("a", 1), newAddressedSet(3), 10_000_000, nil)
	now := int64(10_000_000)
	for ; now < 12_000_000; now += 25_000 {
		node.Tick(now)
		if now < 11_000_000 {
			node.Receive(now, Message{Type: MsgVoterSetRequest, From: "b", Incarnation: 2, VoterSetRevision: node.VoterSet().Revision})
			node.Receive(now, Message{Type: MsgVoterSetRequest, From: "c", Incarnation: 77, VoterSetRevision: node.VoterSet().Revision})
		}
	}
	now -= 25_000
	if b, c, a := node.Silence(now, "b"), node.Silence(now, "c"), node.Silence(now, "a"); b != 1_000_000 || c != 1_975_000 || a != 0 {
		t.Fatalf("b is silent for %d, c (another incarnation speaks) for %d, the node itself for %d", b, c, a)
	}
	now += 5_000_000 // suspended: before the first tick after, and from it on
	if b := node.Silence(now, "b"); b != 0 {
		t.Fatalf("after a pause b counts as silent for %d", b)
	}
	node.Tick(now)
	if b := node.Silence(now+100_000, "b"); b != 100_000 {
		t.Fatalf("after a pause b counts as silent for %d", b)
	}
}

// TestNoVoteAfterRestart: a disk that may have granted something waits a lease after a start; one
// that never did has nothing to wait for.
func TestNoVoteAfterRestart(t *testing.T) {
	for _, test := range []struct {
		recs []Record
		want MessageType
	}{
		{nil, MsgVoteGranted},
		{[]Record{{Type: RecordPromise, Slot: 3, Term: 0}}, MsgVoteGranted},
		{[]Record{{Type: RecordPromise, Slot: 3, Term: 1 << 16}}, MsgVoteRejected},
	} {
		node := New(DefaultConfig("a", 1), newAddressedSet(3), 5_000_000, test.recs)
		ready := node.Receive(5_000_100, Message{Type: MsgVoteRequest, From: "b", Incarnation: 2, VoterSetRevision: node.VoterSet().Revision, Slot: 5, Term: 1<<16 | 2})
		if len(ready.Messages) == 0 {
			ready = node.RecordsSynced(5_000_200, uint64(len(ready.Records)))
		}
		if len(ready.Messages) != 1 || ready.Messages[0].Message.Type != test.want {
			t.Errorf("%+v: %+v", test.recs, ready.Messages)
		}
	}
}
