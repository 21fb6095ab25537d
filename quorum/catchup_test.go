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

func newFollower(t *testing.T, recs []Rec) *follower {
	return &follower{t: t, n: New(Defaults("a", 1), voters(3), 0, recs), now: 2_000_000}
}

// hears takes a message of voter b and returns what is sent then, all records synced.
func (f *follower) hears(m Msg) (sent []Msg) {
	f.now += 50_000
	m.From, m.Inc, m.Roster = "b", 2, f.n.roster.Rev
	out := f.n.Recv(f.now, m)
	for {
		for _, s := range out.Sends {
			sent = append(sent, s.Msg)
		}
		if len(out.Recs) == 0 {
			return sent
		}
		f.count += uint64(len(out.Recs))
		out = f.n.Synced(f.now, f.count)
	}
}

// asks hears a message and expects that a part is asked for then.
func (f *follower) asks(m Msg, after Ver) {
	f.t.Helper()
	for _, s := range f.hears(m) {
		if s.Kind == Fetch {
			if !s.First || s.Prev != after || !s.More {
				f.t.Fatalf("asked for %+v, not for what is after %v", s, after)
			}
			return
		}
	}
	f.t.Fatalf("nothing was asked for after %+v", m)
}

func (f *follower) beat(epoch uint64) Msg {
	return Msg{Kind: Beat, At: 1, Marks: []Mark{{Slot: 3, Epoch: epoch, Last: Ver{epoch, 9}}}}
}

// part is a Fill with changes of the epoch, each of key k<number>.
func part(epoch uint64, after Ver, more bool, val string, seqs ...uint64) Msg {
	m := Msg{Kind: Fill, Slot: 3, Epoch: epoch, First: true, Prev: after, More: more}
	for _, seq := range seqs {
		m.Mark = Ver{epoch, seq}
		m.Entries = append(m.Entries, Entry{Key: fmt.Sprint("k", seq%4), Ver: m.Mark, Rev: seq, Val: []byte(val)})
	}
	return m
}

const line = 1<<16 | 2

// TestSnapshotPartsInOrder: parts come once, repeated and late. Nothing of a snapshot
// counts before all of it has come, and an older part never replaces a newer one.
func TestSnapshotPartsInOrder(t *testing.T) {
	f := newFollower(t, nil)
	s := f.n.slots[3]
	f.asks(f.beat(line), Ver{})
	first := part(line, Ver{}, true, "old", 1, 2, 3)
	f.asks(first, Ver{line, 3})
	f.asks(part(line, Ver{line, 3}, true, "new", 5, 6), Ver{line, 6})
	if sent := f.hears(first); len(sent) != 0 {
		t.Fatalf("a repeated part is taken: %+v", sent)
	}
	if len(s.ent) != 0 || s.joined != 0 || s.mark != (Ver{}) {
		t.Fatalf("parts count before all have come: %d registers, line %d", len(s.ent), s.joined)
	}
	sent := f.hears(part(line, Ver{line, 6}, false, "new", 9))
	if len(sent) != 1 || sent[0].Kind != WriteOK || sent[0].Mark != (Ver{line, 9}) {
		t.Fatalf("the whole line is not confirmed: %+v", sent)
	}
	for key, want := range map[string]string{"k1": "new", "k2": "new", "k3": "old"} {
		if got := string(s.ent[key].Val); got != want {
			t.Errorf("%s is %q, not %q", key, got, want)
		}
	}
}

// TestSnapshotOfAnOwnerThatEnds: what was gathered of one line is no part of the next.
func TestSnapshotOfAnOwnerThatEnds(t *testing.T) {
	const next = 2<<16 | 2
	f := newFollower(t, nil)
	f.asks(f.beat(line), Ver{})
	f.asks(part(line, Ver{}, true, "lost", 1, 2, 3), Ver{line, 3})
	f.now += 400_000
	f.asks(f.beat(next), Ver{})
	if sent := f.hears(part(line, Ver{line, 3}, false, "lost", 9)); len(sent) != 0 {
		t.Fatalf("a part of the former line is taken: %+v", sent)
	}
	f.hears(part(next, Ver{}, false, "kept", 1))
	s := f.n.slots[3]
	if len(s.ent) != 1 || string(s.ent["k1"].Val) != "kept" || s.joined != next {
		t.Fatalf("%d registers of line %d", len(s.ent), s.joined)
	}
}

// TestSnapshotReplacesDoubts: a change in doubt gives way to what the line has in its
// place, also when that is older than all that the voter is certain of.
func TestSnapshotReplacesDoubts(t *testing.T) {
	const before = 1<<15 | 1
	entry := func(key string, seq uint64) Rec {
		v := Ver{before, seq}
		return Rec{Kind: RecEntry, Slot: 3, Epoch: before, Mark: v, Settled: Ver{before, min(seq, 2)}, Entry: Entry{Key: key, Ver: v, Rev: seq, Val: []byte("doubted")}}
	}
	f := newFollower(t, []Rec{entry("sure", 1), entry("sure", 2), entry("changed", 3), entry("made", 4)})
	sent := f.hears(f.beat(line))
	if len(sent) == 0 || sent[0].Kind != Fetch || len(sent[0].Keys) != 2 || sent[0].Mark != (Ver{before, 2}) {
		t.Fatalf("%+v", sent)
	}
	owner := New(Defaults("b", 2), voters(3), 0, nil)
	s := owner.slots[3]
	s.st, s.epoch, s.seq = owning, line, 7
	owner.store(s, Entry{Key: "changed", Ver: Ver{before, 1}, Rev: 1, Val: []byte("stands")})
	owner.store(s, Entry{Key: "later", Ver: Ver{line, 7}, Rev: 1, Val: []byte("new")})
	ask := sent[0]
	ask.From, ask.Inc, ask.Roster = "a", 1, owner.roster.Rev
	out := owner.Recv(f.now, ask)
	if len(out.Sends) != 1 {
		t.Fatalf("%+v", out.Sends)
	}
	f.hears(out.Sends[0].Msg)
	got := f.n.slots[3]
	if string(got.ent["changed"].Val) != "stands" || string(got.ent["later"].Val) != "new" || string(got.ent["sure"].Val) != "doubted" {
		t.Fatalf("%+v", got.ent)
	}
	if _, ok := got.ent["made"]; ok || got.joined != line {
		t.Fatalf("a change that the line does not have is kept: %+v", got.ent)
	}
}
