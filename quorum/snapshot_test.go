package quorum

import (
	"fmt"
	"testing"
)

// followerHarness is a voter that receives a snapshot of a log of which it has nothing.
type followerHarness struct {
	t     *testing.T
	node  *Node
	now   int64
	count uint64
}

func newFollowerHarness(t *testing.T, records []Record) *followerHarness {
	return &followerHarness{t: t, node: New(DefaultConfig("a", 1), newVoterSet(3), 0, records), now: 2_000_000}
}

// receive handles a message from voter b and returns the messages sent once all records are
// synced.
func (f *followerHarness) receive(message Message) (sent []Message) {
	f.now += 50_000
	message.From, message.Incarnation, message.VoterSetRevision = "b", 2, f.node.voterSet.Revision
	out := f.node.Receive(f.now, message)
	for {
		for _, envelope := range out.Messages {
			sent = append(sent, envelope.Message)
		}
		if len(out.Records) == 0 {
			return sent
		}
		f.count += uint64(len(out.Records))
		out = f.node.RecordsSynced(f.now, f.count)
	}
}

// expectRequest handles a message and expects a request for the next chunk.
func (f *followerHarness) expectRequest(message Message, after Position) {
	f.t.Helper()
	for _, sent := range f.receive(message) {
		if sent.Type == MsgSnapshotRequest {
			if !sent.Joining || sent.Previous != after || !sent.More {
				f.t.Fatalf("requested %+v, want the chunk after %v", sent, after)
			}
			return
		}
	}
	f.t.Fatalf("no chunk requested after %+v", message)
}

func (f *followerHarness) heartbeat(term uint64) Message {
	return Message{Type: MsgHeartbeat, Time: 1, Progress: []SlotProgress{{Slot: 3, Term: term, Last: Position{term, 9}}}}
}

// newChunk returns a MsgSnapshotChunk with changes of the term, each of key k<index modulo 4>.
func newChunk(term uint64, after Position, more bool, value string, indexes ...uint64) Message {
	message := Message{Type: MsgSnapshotChunk, Slot: 3, Term: term, Joining: true, Previous: after, More: more}
	for _, index := range indexes {
		message.Last = Position{term, index}
		message.Entries = append(message.Entries, Entry{Key: fmt.Sprint("k", index%4), Position: message.Last, Revision: index, Value: []byte(value)})
	}
	return message
}

const leaderTerm = 1<<16 | 2

// TestSnapshotPartsInOrder: chunks arrive once, repeatedly and late. Nothing of a snapshot
// takes effect before it is complete, and an older chunk never replaces a newer one.
func TestSnapshotPartsInOrder(t *testing.T) {
	f := newFollowerHarness(t, nil)
	replica := f.node.slots[3]
	f.expectRequest(f.heartbeat(leaderTerm), Position{})
	first := newChunk(leaderTerm, Position{}, true, "old", 1, 2, 3)
	f.expectRequest(first, Position{leaderTerm, 3})
	f.expectRequest(newChunk(leaderTerm, Position{leaderTerm, 3}, true, "new", 5, 6), Position{leaderTerm, 6})
	if sent := f.receive(first); len(sent) != 0 {
		t.Fatalf("repeated chunk accepted: %+v", sent)
	}
	if len(replica.entries) != 0 || replica.logTerm != 0 || replica.last != (Position{}) {
		t.Fatalf("incomplete snapshot took effect: %d registers, log %d", len(replica.entries), replica.logTerm)
	}
	sent := f.receive(newChunk(leaderTerm, Position{leaderTerm, 6}, false, "new", 9))
	if len(sent) != 1 || sent[0].Type != MsgAppendAck || sent[0].Last != (Position{leaderTerm, 9}) {
		t.Fatalf("complete log not acknowledged: %+v", sent)
	}
	for key, want := range map[string]string{"k1": "new", "k2": "new", "k3": "old"} {
		if got := string(replica.entries[key].Value); got != want {
			t.Errorf("%s is %q, not %q", key, got, want)
		}
	}
}

// TestSnapshotOfAFormerLeader: chunks of one log are not used for the next log.
func TestSnapshotOfAFormerLeader(t *testing.T) {
	const next = 2<<16 | 2
	f := newFollowerHarness(t, nil)
	f.expectRequest(f.heartbeat(leaderTerm), Position{})
	f.expectRequest(newChunk(leaderTerm, Position{}, true, "lost", 1, 2, 3), Position{leaderTerm, 3})
	f.now += 400_000
	f.expectRequest(f.heartbeat(next), Position{})
	if sent := f.receive(newChunk(leaderTerm, Position{leaderTerm, 3}, false, "lost", 9)); len(sent) != 0 {
		t.Fatalf("chunk of the former log accepted: %+v", sent)
	}
	f.receive(newChunk(next, Position{}, false, "kept", 1))
	replica := f.node.slots[3]
	if len(replica.entries) != 1 || string(replica.entries["k1"].Value) != "kept" || replica.logTerm != next {
		t.Fatalf("%d registers of log %d", len(replica.entries), replica.logTerm)
	}
}

// TestSnapshotReplacesUncommittedChanges: an uncommitted change is replaced by what the
// leader's log has for its key, even if that is older than the voter's committed position.
func TestSnapshotReplacesUncommittedChanges(t *testing.T) {
	const before = 1<<15 | 1
	entry := func(key string, index uint64) Record {
		position := Position{before, index}
		return Record{Type: RecordEntry, Slot: 3, Term: before, Last: position, Committed: Position{before, min(index, 2)}, Entry: Entry{Key: key, Position: position, Revision: index, Value: []byte("doubted")}}
	}
	f := newFollowerHarness(t, []Record{entry("sure", 1), entry("sure", 2), entry("changed", 3), entry("made", 4)})
	sent := f.receive(f.heartbeat(leaderTerm))
	if len(sent) == 0 || sent[0].Type != MsgSnapshotRequest || len(sent[0].Keys) != 2 || sent[0].Last != (Position{before, 2}) {
		t.Fatalf("%+v", sent)
	}
	leader := New(DefaultConfig("b", 2), newVoterSet(3), 0, nil)
	replica := leader.slots[3]
	replica.state, replica.term, replica.lastIndex = stateLeader, leaderTerm, 7
	leader.store(replica, Entry{Key: "changed", Position: Position{before, 1}, Revision: 1, Value: []byte("stands")})
	leader.store(replica, Entry{Key: "later", Position: Position{leaderTerm, 7}, Revision: 1, Value: []byte("new")})
	request := sent[0]
	request.From, request.Incarnation, request.VoterSetRevision = "a", 1, leader.voterSet.Revision
	out := leader.Receive(f.now, request)
	if len(out.Messages) != 1 {
		t.Fatalf("%+v", out.Messages)
	}
	f.receive(out.Messages[0].Message)
	got := f.node.slots[3]
	if string(got.entries["changed"].Value) != "stands" || string(got.entries["later"].Value) != "new" || string(got.entries["sure"].Value) != "doubted" {
		t.Fatalf("%+v", got.entries)
	}
	if _, ok := got.entries["made"]; ok || got.logTerm != leaderTerm {
		t.Fatalf("kept a change that the log does not have: %+v", got.entries)
	}
}
