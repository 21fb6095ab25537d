package quorum

import (
	"fmt"
	"testing"
)

// follower is a voter that hears of a line of which it has nothing.
type follower struct {
	t     *testing.T
	n     *Node
	now   int64
	count uint64
}

func newFollower(t *testing.T, recs []Record) *follower {
	return &follower{t: t, n: New(DefaultConfig("a", 1), voters(3), 0, recs), now: 2_000_000}
}

// hears takes a message of voter b and returns what is sent then, all records synced.
func (f *follower) hears(m Message) (sent []Message) {
	f.now += 50_000
	m.From, m.Incarnation, m.VoterSetRevision = "b", 2, f.n.voterSet.Revision
	out := f.n.Receive(f.now, m)
	for {
		for _, s := range out.Messages {
			sent = append(sent, s.Message)
		}
		if len(out.Records) == 0 {
			return sent
		}
		f.count += uint64(len(out.Records))
		out = f.n.RecordsSynced(f.now, f.count)
	}
}

// asks hears a message and expects that a part is asked for then.
func (f *follower) asks(m Message, after Position) {
	f.t.Helper()
	for _, s := range f.hears(m) {
		if s.Type == MsgSnapshotRequest {
			if !s.Joining || s.Previous != after || !s.More {
				f.t.Fatalf("asked for %+v, not for what is after %v", s, after)
			}
			return
		}
	}
	f.t.Fatalf("nothing was asked for after %+v", m)
}

func (f *follower) beat(epoch uint64) Message {
	return Message{Type: MsgHeartbeat, Time: 1, Progress: []SlotProgress{{Slot: 3, Term: epoch, Last: Position{epoch, 9}}}}
}

// part is a Fill with changes of the epoch, each of key k<number>.
func part(epoch uint64, after Position, more bool, val string, seqs ...uint64) Message {
	m := Message{Type: MsgSnapshotChunk, Slot: 3, Term: epoch, Joining: true, Previous: after, More: more}
	for _, seq := range seqs {
		m.Last = Position{epoch, seq}
		m.Entries = append(m.Entries, Entry{Key: fmt.Sprint("k", seq%4), Position: m.Last, Revision: seq, Value: []byte(val)})
	}
	return m
}

const line = 1<<16 | 2

// TestSnapshotPartsInOrder: parts come once, repeated and late. Nothing of a snapshot
// counts before all of it has come, and an older part never replaces a newer one.
func TestSnapshotPartsInOrder(t *testing.T) {
	f := newFollower(t, nil)
	s := f.n.slots[3]
	f.asks(f.beat(line), Position{})
	first := part(line, Position{}, true, "old", 1, 2, 3)
	f.asks(first, Position{line, 3})
	f.asks(part(line, Position{line, 3}, true, "new", 5, 6), Position{line, 6})
	if sent := f.hears(first); len(sent) != 0 {
		t.Fatalf("a repeated part is taken: %+v", sent)
	}
	if len(s.entries) != 0 || s.logTerm != 0 || s.last != (Position{}) {
		t.Fatalf("parts count before all have come: %d registers, line %d", len(s.entries), s.logTerm)
	}
	sent := f.hears(part(line, Position{line, 6}, false, "new", 9))
	if len(sent) != 1 || sent[0].Type != MsgAppendAck || sent[0].Last != (Position{line, 9}) {
		t.Fatalf("the whole line is not confirmed: %+v", sent)
	}
	for key, want := range map[string]string{"k1": "new", "k2": "new", "k3": "old"} {
		if got := string(s.entries[key].Value); got != want {
			t.Errorf("%s is %q, not %q", key, got, want)
		}
	}
}

// TestSnapshotOfAnOwnerThatEnds: what was gathered of one line is no part of the next.
func TestSnapshotOfAnOwnerThatEnds(t *testing.T) {
	const next = 2<<16 | 2
	f := newFollower(t, nil)
	f.asks(f.beat(line), Position{})
	f.asks(part(line, Position{}, true, "lost", 1, 2, 3), Position{line, 3})
	f.now += 400_000
	f.asks(f.beat(next), Position{})
	if sent := f.hears(part(line, Position{line, 3}, false, "lost", 9)); len(sent) != 0 {
		t.Fatalf("a part of the former line is taken: %+v", sent)
	}
	f.hears(part(next, Position{}, false, "kept", 1))
	s := f.n.slots[3]
	if len(s.entries) != 1 || string(s.entries["k1"].Value) != "kept" || s.logTerm != next {
		t.Fatalf("%d registers of line %d", len(s.entries), s.logTerm)
	}
}

// TestSnapshotReplacesDoubts: a change in doubt gives way to what the line has in its
// place, also when that is older than all that the voter is certain of.
func TestSnapshotReplacesDoubts(t *testing.T) {
	const before = 1<<15 | 1
	entry := func(key string, seq uint64) Record {
		v := Position{before, seq}
		return Record{Type: RecordEntry, Slot: 3, Term: before, Last: v, Committed: Position{before, min(seq, 2)}, Entry: Entry{Key: key, Position: v, Revision: seq, Value: []byte("doubted")}}
	}
	f := newFollower(t, []Record{entry("sure", 1), entry("sure", 2), entry("changed", 3), entry("made", 4)})
	sent := f.hears(f.beat(line))
	if len(sent) == 0 || sent[0].Type != MsgSnapshotRequest || len(sent[0].Keys) != 2 || sent[0].Last != (Position{before, 2}) {
		t.Fatalf("%+v", sent)
	}
	owner := New(DefaultConfig("b", 2), voters(3), 0, nil)
	s := owner.slots[3]
	s.state, s.term, s.lastIndex = stateLeader, line, 7
	owner.store(s, Entry{Key: "changed", Position: Position{before, 1}, Revision: 1, Value: []byte("stands")})
	owner.store(s, Entry{Key: "later", Position: Position{line, 7}, Revision: 1, Value: []byte("new")})
	ask := sent[0]
	ask.From, ask.Incarnation, ask.VoterSetRevision = "a", 1, owner.voterSet.Revision
	out := owner.Receive(f.now, ask)
	if len(out.Messages) != 1 {
		t.Fatalf("%+v", out.Messages)
	}
	f.hears(out.Messages[0].Message)
	got := f.n.slots[3]
	if string(got.entries["changed"].Value) != "stands" || string(got.entries["later"].Value) != "new" || string(got.entries["sure"].Value) != "doubted" {
		t.Fatalf("%+v", got.entries)
	}
	if _, ok := got.entries["made"]; ok || got.logTerm != line {
		t.Fatalf("a change that the line does not have is kept: %+v", got.entries)
	}
}
