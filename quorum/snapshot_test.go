package quorum

import (
	"fmt"
	"testing"
)

// follower is a voter that hears of a line of which it has nothing.
type followerHarness struct {
	t     *testing.T
	node  *Node
	now   int64
	count uint64
}

func newFollowerHarness(t *testing.T, recs []Record) *followerHarness {
	return &followerHarness{t: t, node: New(DefaultConfig("a", 1), newVoterSet(3), 0, recs), now: 2_000_000}
}

// hears takes a message of voter b and returns what is sent then, all records synced.
func (f *followerHarness) receive(m Message) (sent []Message) {
	f.now += 50_000
	m.From, m.Incarnation, m.VoterSetRevision = "b", 2, f.node.voterSet.Revision
	out := f.node.Receive(f.now, m)
	for {
		for _, s := range out.Messages {
			sent = append(sent, s.Message)
		}
		if len(out.Records) == 0 {
			return sent
		}
		f.count += uint64(len(out.Records))
		out = f.node.RecordsSynced(f.now, f.count)
	}
}

// asks hears a message and expects that a part is asked for then.
func (f *followerHarness) expectRequest(m Message, after Position) {
	f.t.Helper()
	for _, s := range f.receive(m) {
		if s.Type == MsgSnapshotRequest {
			if !s.Joining || s.Previous != after || !s.More {
				f.t.Fatalf("asked for %+v, not for what is after %v", s, after)
			}
			return
		}
	}
	f.t.Fatalf("nothing was asked for after %+v", m)
}

func (f *followerHarness) heartbeat(epoch uint64) Message {
	return Message{Type: MsgHeartbeat, Time: 1, Progress: []SlotProgress{{Slot: 3, Term: epoch, Last: Position{epoch, 9}}}}
}

// part is a Fill with changes of the epoch, each of key k<number>.
func newChunk(epoch uint64, after Position, more bool, val string, seqs ...uint64) Message {
	m := Message{Type: MsgSnapshotChunk, Slot: 3, Term: epoch, Joining: true, Previous: after, More: more}
	for _, seq := range seqs {
		m.Last = Position{epoch, seq}
		m.Entries = append(m.Entries, Entry{Key: fmt.Sprint("k", seq%4), Position: m.Last, Revision: seq, Value: []byte(val)})
	}
	return m
}

const leaderTerm = 1<<16 | 2

// TestSnapshotPartsInOrder: parts come once, repeated and late. Nothing of a snapshot
// counts before all of it has come, and an older part never replaces a newer one.
func TestSnapshotPartsInOrder(t *testing.T) {
	f := newFollowerHarness(t, nil)
	s := f.node.slots[3]
	f.expectRequest(f.heartbeat(leaderTerm), Position{})
	first := newChunk(leaderTerm, Position{}, true, "old", 1, 2, 3)
	f.expectRequest(first, Position{leaderTerm, 3})
	f.expectRequest(newChunk(leaderTerm, Position{leaderTerm, 3}, true, "new", 5, 6), Position{leaderTerm, 6})
	if sent := f.receive(first); len(sent) != 0 {
		t.Fatalf("a repeated part is taken: %+v", sent)
	}
	if len(s.entries) != 0 || s.logTerm != 0 || s.last != (Position{}) {
		t.Fatalf("parts count before all have come: %d registers, line %d", len(s.entries), s.logTerm)
	}
	sent := f.receive(newChunk(leaderTerm, Position{leaderTerm, 6}, false, "new", 9))
	if len(sent) != 1 || sent[0].Type != MsgAppendAck || sent[0].Last != (Position{leaderTerm, 9}) {
		t.Fatalf("the whole line is not confirmed: %+v", sent)
	}
	for key, want := range map[string]string{"k1": "new", "k2": "new", "k3": "old"} {
		if got := string(s.entries[key].Value); got != want {
			t.Errorf("%s is %q, not %q", key, got, want)
		}
	}
}

// TestSnapshotOfAnOwnerThatEnds: what was gathered of one line is no part of the next.
func TestSnapshotOfAFormerLeader(t *testing.T) {
	const next = 2<<16 | 2
	f := newFollowerHarness(t, nil)
	f.expectRequest(f.heartbeat(leaderTerm), Position{})
	f.expectRequest(newChunk(leaderTerm, Position{}, true, "lost", 1, 2, 3), Position{leaderTerm, 3})
	f.now += 400_000
	f.expectRequest(f.heartbeat(next), Position{})
	if sent := f.receive(newChunk(leaderTerm, Position{leaderTerm, 3}, false, "lost", 9)); len(sent) != 0 {
		t.Fatalf("a part of the former line is taken: %+v", sent)
	}
	f.receive(newChunk(next, Position{}, false, "kept", 1))
	s := f.node.slots[3]
	if len(s.entries) != 1 || string(s.entries["k1"].Value) != "kept" || s.logTerm != next {
		t.Fatalf("%d registers of line %d", len(s.entries), s.logTerm)
	}
}

// TestSnapshotReplacesDoubts: a change in doubt gives way to what the line has in its
// place, also when that is older than all that the voter is certain of.
func TestSnapshotReplacesUncertainChanges(t *testing.T) {
	const before = 1<<15 | 1
	entry := func(key string, seq uint64) Record {
		v := Position{before, seq}
		return Record{Type: RecordEntry, Slot: 3, Term: before, Last: v, Committed: Position{before, min(seq, 2)}, Entry: Entry{Key: key, Position: v, Revision: seq, Value: []byte("doubted")}}
	}
	f := newFollowerHarness(t, []Record{entry("sure", 1), entry("sure", 2), entry("changed", 3), entry("made", 4)})
	sent := f.receive(f.heartbeat(leaderTerm))
	if len(sent) == 0 || sent[0].Type != MsgSnapshotRequest || len(sent[0].Keys) != 2 || sent[0].Last != (Position{before, 2}) {
		t.Fatalf("%+v", sent)
	}
	owner := New(DefaultConfig("b", 2), newVoterSet(3), 0, nil)
	s := owner.slots[3]
	s.state, s.term, s.lastIndex = stateLeader, leaderTerm, 7
	owner.store(s, Entry{Key: "changed", Position: Position{before, 1}, Revision: 1, Value: []byte("stands")})
	owner.store(s, Entry{Key: "later", Position: Position{leaderTerm, 7}, Revision: 1, Value: []byte("new")})
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
		t.Fatalf("a change that the line does not have is kept: %+v", got.entries)
	}
}
