package codec

import (
	"github.com/samber/lo"

	"violetthread/quorum"
	"violetthread/schema/fb"
)

// PackMessage returns the frame of a message between voters.
func PackMessage(m quorum.Message) *fb.FrameT {
	return &fb.FrameT{VoterMessage: &fb.VoterMessageT{
		Type:             byte(m.Type),
		From:             m.From,
		Incarnation:      m.Incarnation,
		VoterSetRevision: m.VoterSetRevision,
		Slot:             m.Slot,
		Term:             m.Term,
		Time:             m.Time,
		Previous:         packPosition(m.Previous),
		Last:             packPosition(m.Last),
		Committed:        packPosition(m.Committed),
		LogTerm:          m.LogTerm,
		Joining:          m.Joining,
		Entries:          lo.Map(m.Entries, func(e quorum.Entry, _ int) *fb.EntryT { return packEntry(e) }),
		Keys:             m.Keys,
		Progress:         lo.Map(m.Progress, func(p quorum.SlotProgress, _ int) *fb.SlotProgressT { return packProgress(p) }),
		Promised:         m.Promised,
		Generation:       m.Generation,
		More:             m.More,
	}}
}

// UnpackMessage is the reverse of PackMessage.
func UnpackMessage(t *fb.VoterMessageT) quorum.Message {
	return quorum.Message{
		Type:             quorum.MessageType(t.Type),
		From:             t.From,
		Incarnation:      t.Incarnation,
		VoterSetRevision: t.VoterSetRevision,
		Slot:             t.Slot,
		Term:             t.Term,
		Time:             t.Time,
		Previous:         unpackPosition(t.Previous),
		Last:             unpackPosition(t.Last),
		Committed:        unpackPosition(t.Committed),
		LogTerm:          t.LogTerm,
		Joining:          t.Joining,
		Entries:          lo.Map(t.Entries, func(e *fb.EntryT, _ int) quorum.Entry { return unpackEntry(e) }),
		Keys:             t.Keys,
		Progress:         lo.Map(t.Progress, func(p *fb.SlotProgressT, _ int) quorum.SlotProgress { return unpackProgress(p) }),
		Promised:         t.Promised,
		Generation:       t.Generation,
		More:             t.More,
	}
}

// PackVoterSet converts a voter set to its table. incarnation is that of the disk to which the
// voter set is written, or 0 if it is not the identity of a disk.
func PackVoterSet(set quorum.VoterSet, incarnation uint64) *fb.VoterSetT {
	return &fb.VoterSetT{
		Fleet:       set.Fleet(),
		Incarnation: incarnation,
		Revision:    set.Revision,
		Seats:       set.TargetSize,
		Voters: lo.Map(set.Voters, func(v quorum.Voter, _ int) *fb.VoterT {
			return &fb.VoterT{Name: v.Name, Addr: v.Addr, Incarnation: v.Incarnation, Number: v.Number}
		}),
	}
}

// UnpackVoterSet converts a table to a voter set. The incarnation of the disk is left out.
func UnpackVoterSet(t *fb.VoterSetT) quorum.VoterSet {
	return quorum.VoterSet{
		Revision:   t.Revision,
		TargetSize: t.Seats,
		Voters: lo.Map(t.Voters, func(v *fb.VoterT, _ int) quorum.Voter {
			return quorum.Voter{Name: v.Name, Addr: v.Addr, Incarnation: v.Incarnation, Number: v.Number}
		}),
	}
}

// packPosition returns nil for the zero position, which comes before the first entry.
func packPosition(p quorum.Position) *fb.PositionT {
	if p == (quorum.Position{}) {
		return nil
	}
	return &fb.PositionT{Term: p.Term, Index: p.Index}
}

func unpackPosition(t *fb.PositionT) quorum.Position {
	if t == nil {
		return quorum.Position{}
	}
	return quorum.Position{Term: t.Term, Index: t.Index}
}

func packEntry(e quorum.Entry) *fb.EntryT {
	return &fb.EntryT{Key: e.Key, Position: packPosition(e.Position), Revision: e.Revision, Value: e.Value}
}

func unpackEntry(t *fb.EntryT) quorum.Entry {
	if t == nil {
		return quorum.Entry{}
	}
	return quorum.Entry{Key: t.Key, Position: unpackPosition(t.Position), Revision: t.Revision, Value: t.Value}
}

func packProgress(p quorum.SlotProgress) *fb.SlotProgressT {
	return &fb.SlotProgressT{Slot: p.Slot, Term: p.Term, Last: packPosition(p.Last), Committed: packPosition(p.Committed), Recovered: p.Recovered}
}

func unpackProgress(t *fb.SlotProgressT) quorum.SlotProgress {
	return quorum.SlotProgress{Slot: t.Slot, Term: t.Term, Last: unpackPosition(t.Last), Committed: unpackPosition(t.Committed), Recovered: t.Recovered}
}
