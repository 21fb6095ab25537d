package quorum

import "testing"

// testTick is the interval of tests that tick a node themselves, as its callers do.
const testTick = 25_000

// singleNode is a voter set of one, which commits everything by itself once synced.
type singleNode struct {
	t       *testing.T
	node    *Node
	now     int64
	lastID  uint64 // of an operation
	records uint64
	results []Result
}

// newSingleNode runs a node until it leads all slots, with three open generations of claims.
func newSingleNode(t *testing.T, generationDuration int64) *singleNode {
	t.Helper()
	config := DefaultConfig("a", 1)
	config.GenerationDurationUS, config.OpenGenerations = generationDuration, 3
	s := &singleNode{t: t, node: New(config, newVoterSet(1), 0, nil)}
	s.runUntil(3_000_000 + testTick)
	s.now = 3_000_000
	return s
}

// carryOut carries out the effects of an input, and syncs its records at once.
func (s *singleNode) carryOut(ready Ready) {
	s.results = append(s.results, ready.Results...)
	for len(ready.Records) > 0 {
		s.records += uint64(len(ready.Records))
		ready = s.node.RecordsSynced(s.now, s.records)
		s.results = append(s.results, ready.Results...)
	}
}

// runUntil ticks the node until a time is reached.
func (s *singleNode) runUntil(end int64) {
	for ; s.now < end; s.now += testTick {
		s.carryOut(s.node.Tick(s.now))
	}
}

// propose gives an operation the next ID and returns its result.
func (s *singleNode) propose(operation Operation) Result {
	s.t.Helper()
	s.lastID++
	operation.ID = s.lastID
	s.results = nil
	s.carryOut(s.node.Propose(s.now, operation))
	for _, result := range s.results {
		if result.ID == operation.ID {
			return result
		}
	}
	s.t.Fatalf("no result of %+v", operation)
	return Result{}
}

// expect proposes an operation that must end with a status.
func (s *singleNode) expect(what string, operation Operation, want Status) Result {
	s.t.Helper()
	result := s.propose(operation)
	if result.Status != want {
		s.t.Fatalf("%s: %+v ended with %v, not %v", what, operation, result.Status, want)
	}
	return result
}

// TestSilence counts from what this node could hear, never from before.
func TestSilence(t *testing.T) {
	node := New(DefaultConfig("a", 1), newAddressedSet(3), 10_000_000, nil)
	now := int64(10_000_000)
	for ; now < 12_000_000; now += testTick {
		node.Tick(now)
		if now < 11_000_000 {
			node.Receive(now, Message{Type: MsgVoterSetRequest, From: "b", Incarnation: 2, VoterSetRevision: node.VoterSet().Revision})
			node.Receive(now, Message{Type: MsgVoterSetRequest, From: "c", Incarnation: 77, VoterSetRevision: node.VoterSet().Revision})
		}
	}
	now -= testTick
	if b, c, a := node.TimeSinceHeard(now, "b"), node.TimeSinceHeard(now, "c"), node.TimeSinceHeard(now, "a"); b != 1_000_000 || c != 1_975_000 || a != 0 {
		t.Fatalf("b is silent for %d, c (another incarnation speaks) for %d, the node itself for %d", b, c, a)
	}
	now += 5_000_000 // suspended: before the first tick after, and from it on
	if b := node.TimeSinceHeard(now, "b"); b != 0 {
		t.Fatalf("after a pause b counts as silent for %d", b)
	}
	node.Tick(now)
	if b := node.TimeSinceHeard(now+100_000, "b"); b != 100_000 {
		t.Fatalf("after a pause b counts as silent for %d", b)
	}
}

// TestNoVoteAfterRestart: a disk that may have granted something waits a lease after a start; one
// that never did has nothing to wait for.
func TestNoVoteAfterRestart(t *testing.T) {
	for _, test := range []struct {
		name    string
		records []Record
		want    MessageType
	}{
		{"an empty disk", nil, MsgVoteGranted},
		{"no promise", []Record{{Type: RecordPromise, Slot: 3, Term: 0}}, MsgVoteGranted},
		{"a promise, also for another slot", []Record{{Type: RecordPromise, Slot: 3, Term: 1 << 16}}, MsgVoteRejected},
	} {
		t.Run(test.name, func(t *testing.T) {
			node := New(DefaultConfig("a", 1), newAddressedSet(3), 5_000_000, test.records)
			ready := node.Receive(5_000_100, Message{Type: MsgVoteRequest, From: "b", Incarnation: 2,
				VoterSetRevision: node.VoterSet().Revision, Slot: 5, Term: 1<<16 | 2})
			if len(ready.Messages) == 0 {
				ready = node.RecordsSynced(5_000_200, uint64(len(ready.Records)))
			}
			if len(ready.Messages) != 1 || ready.Messages[0].Message.Type != test.want {
				t.Errorf("%+v, not %v", ready.Messages, test.want)
			}
		})
	}
}
