package quorum

import "testing"

// testTick is the tick interval of tests that tick a node themselves, as its callers do.
const testTick = 25_000

// singleNode is the only voter of its set, which commits everything by itself once synced.
type singleNode struct {
	t       *testing.T
	node    *Node
	now     int64
	lastID  uint64 // of the newest operation
	records uint64
	results []Result
}

// newSingleNode runs a node until it leads all slots, with three open claim generations.
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

// runUntil ticks the node until a given time.
func (s *singleNode) runUntil(end int64) {
	for ; s.now < end; s.now += testTick {
		s.carryOut(s.node.Tick(s.now))
	}
}

// propose proposes an operation under the next ID and returns its result.
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

// expect proposes an operation that must end with the given status.
func (s *singleNode) expect(what string, operation Operation, want Status) Result {
	s.t.Helper()
	result := s.propose(operation)
	if result.Status != want {
		s.t.Fatalf("%s: %+v ended with %v, not %v", what, operation, result.Status, want)
	}
	return result
}

// TestTimeSinceHeard: a time in which this node could not receive does not count.
func TestTimeSinceHeard(t *testing.T) {
	node := New(DefaultConfig("a", 1), newVoterSetWithAddrs(3), 10_000_000, nil)
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
		t.Fatalf("time since heard: b %d, c (another incarnation was heard) %d, the node itself %d", b, c, a)
	}
	now += 5_000_000 // suspended: checked before the first tick afterwards, and after it
	if b := node.TimeSinceHeard(now, "b"); b != 0 {
		t.Fatalf("time since b was heard, after a suspension: %d", b)
	}
	node.Tick(now)
	if b := node.TimeSinceHeard(now+100_000, "b"); b != 100_000 {
		t.Fatalf("time since b was heard, after a suspension: %d", b)
	}
}

// TestNoVoteAfterRestart: a voter that may have acknowledged a lease waits one lease duration
// after a restart; a voter without a promise on disk votes at once.
func TestNoVoteAfterRestart(t *testing.T) {
	for _, test := range []struct {
		name    string
		records []Record
		want    MessageType
	}{
		{"empty disk", nil, MsgVoteGranted},
		{"disk without a promise", []Record{{Type: RecordPromise, Slot: 3, Term: 0}}, MsgVoteGranted},
		{"promise, even for another slot", []Record{{Type: RecordPromise, Slot: 3, Term: 1 << 16}}, MsgVoteRejected},
	} {
		t.Run(test.name, func(t *testing.T) {
			node := New(DefaultConfig("a", 1), newVoterSetWithAddrs(3), 5_000_000, test.records)
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
