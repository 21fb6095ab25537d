package quorum

import (
	"fmt"
	"testing"
)

// followerHarness is a voter that hears of a log of which it has nothing.
type followerHarness struct {
	t     *testing.T
	node  *Node
	now   int64
	count uint64
}

func newFollowerHarness(t *testing.T, recs []Record) *followerHarness {
	return &followerHarness{t: t, node: New(DefaultConfig("a", 1), newVoterSet(3), 0, recs), now: 2_000_000}
}

// receive takes a message of voter b and returns what is sent then, all records synced.
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

// expectRequest takes a message and expects that a chunk is asked for then.
func (f *followerHarness) expectRequest(message Message, after Position) {
	f.t.Helper()
	for _, sent := range f.receive(message) {
		if sent.Type == MsgSnapshotRequest {
			if !sent.Joining || sent.Previous != after || !sent.More {
				f.t.Fatalf("asked for %+v, not for what is after %v", sent, after)
			}
			return
		}
	}
	f.t.Fatalf("nothing was asked for after %+v", message)
}

func (f *followerHarness) heartbeat(epoch uint64) Message {
	return Message{Type: MsgHeartbeat, Time: 1, Progress: []SlotProgress{{Slot: 3, Term: epoch, Last: Position{epoch, 9}}}}
}

// newChunk is a MsgSnapshotChunk with changes of the term, each of key k<number>.
func newChunk(epoch uint64, after Position, more bool, val string, seqs ...uint64) Message {
	message := Message{Type: MsgSnapshotChunk, Slot: 3, Term: epoch, Joining: true, Previous: after, More: more}
	for _, seq := range seqs {
		message.Last = Position{epoch, seq}
		message.Entries = append(message.Entries, Entry{Key: fmt.Sprint("k", seq%4), Position: message.Last, Revision: seq, Value: []byte(val)})
	}
	return message
}

const leaderTerm = 1<<16 | 2

// TestSnapshotPartsInOrder: parts come once, repeated and late. Nothing of a snapshot
// counts before all of it has come, and an older part never replaces a newer one.
func TestSnapshotPartsInOrder(t *testing.T) {
	f := newFollowerHarness(t, nil)
	replica := f.node.slots[3]
	f.expectRequest(f.heartbeat(leaderTerm), Position{})
	first := newChunk(leaderTerm, Position{}, true, "old", 1, 2, 3)
	f.expectRequest(first, Position{leaderTerm, 3})
	f.expectRequest(newChunk(leaderTerm, Position{leaderTerm, 3}, true, "new", 5, 6), Position{leaderTerm, 6})
	if sent := f.receive(first); len(sent) != 0 {
		t.Fatalf("a repeated chunk is taken: %+v", sent)
	}
	if len(replica.entries) != 0 || replica.logTerm != 0 || replica.last != (Position{}) {
		t.Fatalf("chunks count before all have come: %d registers, log %d", len(replica.entries), replica.logTerm)
	}
	sent := f.receive(newChunk(leaderTerm, Position{leaderTerm, 6}, false, "new", 9))
	if len(sent) != 1 || sent[0].Type != MsgAppendAck || sent[0].Last != (Position{leaderTerm, 9}) {
		t.Fatalf("the complete log is not acknowledged: %+v", sent)
	}
	for key, want := range map[string]string{"k1": "new", "k2": "new", "k3": "old"} {
		if got := string(replica.entries[key].Value); got != want {
			t.Errorf("%s is %q, not %q", key, got, want)
		}
	}
}

// TestSnapshotOfAFormerLeader: what was gathered of one log is no part of the next.
func TestSnapshotOfAFormerLeader(t *testing.T) {
	const next = 2<<16 | 2
	f := newFollowerHarness(t, nil)
	f.expectRequest(f.heartbeat(leaderTerm), Position{})
	f.expectRequest(newChunk(leaderTerm, Position{}, true, "lost", 1, 2, 3), Position{leaderTerm, 3})
	f.now += 400_000
	f.expectRequest(f.heartbeat(next), Position{})
	if sent := f.receive(newChunk(leaderTerm, Position{leaderTerm, 3}, false, "lost", 9)); len(sent) != 0 {
		t.Fatalf("a chunk of the former log is taken: %+v", sent)
	}
	f.receive(newChunk(next, Position{}, false, "kept", 1))
	replica := f.node.slots[3]
	if len(replica.entries) != 1 || string(replica.entries["k1"].Value) != "kept" || replica.logTerm != next {
		t.Fatalf("%d registers of log %d", len(replica.entries), replica.logTerm)
	}
}

// TestSnapshotReplacesUncertainChanges: an uncertain change gives way to what the log has in its
// place, also when that is older than all that the voter is certain of.
func TestSnapshotReplacesUncertainChanges(t *testing.T) {
	const before = 1<<15 | 1
	entry := func(key string, seq uint64) Record {
		position := Position{before, seq}
		return Record{Type: RecordEntry, Slot: 3, Term: before, Last: position, Committed: Position{before, min(seq, 2)}, Entry: Entry{Key: key, Position: position, Revision: seq, Value: []byte("doubted")}}
	}
	f := newFollowerHarness(t, []Record{entry("sure", 1), entry("sure", 2), entry("changed", 3), entry("made", 4)})
	sent := f.receive(f.heartbeat(leaderTerm))
	if len(sent) == 0 || sent[0].Type != MsgSnapshotRequest || len(sent[0].Keys) != 2 || sent[0].Last != (Position{before, 2}) {
		t.Fatalf("%+v", sent)
	}
	owner := New(DefaultConfig("b", 2), newVoterSet(3), 0, nil)
	replica := owner.slots[3]
	replica.state, replica.term, replica.lastIndex = stateLeader, leaderTerm, 7
	owner.store(replica, Entry{Key: "changed", Position: Position{before, 1}, Revision: 1, Value: []byte("stands")})
	owner.store(replica, Entry{Key: "later", Position: Position{leaderTerm, 7}, Revision: 1, Value: []byte("new")})
	ask := sent[0]
	ask.From, ask.Incarnation, ask.VoterSetRevision = "a", 1, owner.voterSet.Revision
	out := owner.Receive(f.now, ask)
	if len(out.Messages) != 1 {
		t.Fatalf("%+v", out.Messages)
	}
	f.receive(out.Messages[0].Message)
	got := f.node.slots[3]
	if string(got.entries["changed"].Value) != "stands" || string(got.entries["later"].Value) != "new" || string(got.entries["sure"].Value) != "doubted" {
		t.Fatalf("%+v", got.entries)
	}
	if _, ok := got.entries["made"]; ok || got.logTerm != leaderTerm {
		t.Fatalf("a change that the log does not have is kept: %+v", got.entries)
	}
}
