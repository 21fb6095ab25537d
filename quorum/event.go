package quorum

import (
	"fmt"
	"strings"
)

// EventType names an occurrence that operators may want to see.
type EventType uint8

const (
	// EventLeaderElected means: this node won Slot for Term and took Recovered entries over.
	EventLeaderElected EventType = iota + 1
	// EventLeaderReady means: a majority has the new log; this node serves Slot in Term.
	EventLeaderReady
	// EventLeaseExpired means: this node lost touch with a majority and gave Slot up.
	EventLeaseExpired
	// EventVoterAdmitted means: a step that lets Peer in is proposed.
	EventVoterAdmitted
	// EventSurplusRemoved means: a step that removes a voter whose successor is in is proposed.
	EventSurplusRemoved
	// EventVoterSetInstalled means: a voter set is in force; Voting says whether this node is in it.
	EventVoterSetInstalled
	// EventVoterSetRefused means: a proposed voter set was refused for Err.
	EventVoterSetRefused
	// EventUnknownSender means: a message of no voter of the set was ignored. Frequent.
	EventUnknownSender
	// EventUnknownSlot means: a message about a slot that does not exist was ignored. Frequent.
	EventUnknownSlot
)

var eventTypeNames = [...]string{
	EventLeaderElected:     "leader_elected",
	EventLeaderReady:       "leader_ready",
	EventLeaseExpired:      "lease_expired",
	EventVoterAdmitted:     "voter_admitted",
	EventSurplusRemoved:    "surplus_voter_removed",
	EventVoterSetInstalled: "voter_set_installed",
	EventVoterSetRefused:   "voter_set_refused",
	EventUnknownSender:     "message_from_unknown_sender",
	EventUnknownSlot:       "message_for_unknown_slot",
}

func (t EventType) String() string { return enumName(eventTypeNames[:], uint8(t)) }

// Frequent reports whether any peer may cause events of the type at will, so that logs
// should leave them out.
func (t EventType) Frequent() bool { return t == EventUnknownSender || t == EventUnknownSlot }

// Event is an occurrence with what its type says of it; other fields are zero.
type Event struct {
	Type EventType
	Slot uint16
	Term uint64
	// Recovered counts the entries that were in doubt and taken over by a new leader.
	Recovered int
	// Step and Voters are the number and the size of a voter set.
	Step   uint64
	Voters int
	// Voting says that this node is a voter of the set.
	Voting bool
	// Peer and Incarnation name another node, VoterSetRevision the set that it goes by.
	Peer             string
	Incarnation      uint64
	VoterSetRevision uint64
	Err              error
}

// KeysAndValues lists the fields that the event's type uses, in the form of logr.
func (e Event) KeysAndValues() []any {
	switch e.Type {
	case EventLeaderElected:
		return []any{"slot", e.Slot, "term", e.Term, "recovered", e.Recovered}
	case EventLeaderReady, EventLeaseExpired:
		return []any{"slot", e.Slot, "term", e.Term}
	case EventVoterAdmitted:
		return []any{"peer", e.Peer, "incarnation", e.Incarnation, "step", e.Step, "voters", e.Voters}
	case EventSurplusRemoved:
		return []any{"step", e.Step, "voters", e.Voters}
	case EventVoterSetInstalled:
		return []any{"step", e.Step, "voters", e.Voters, "voting", e.Voting}
	case EventVoterSetRefused:
		return []any{"error", e.Err}
	case EventUnknownSender:
		return []any{"peer", e.Peer, "incarnation", e.Incarnation, "voter_set_revision", e.VoterSetRevision}
	case EventUnknownSlot:
		return []any{"peer", e.Peer, "slot", e.Slot}
	default:
		return nil
	}
}

// String is the event as one line of key=value pairs.
func (e Event) String() string {
	var text strings.Builder
	text.WriteString("event=" + e.Type.String())
	pairs := e.KeysAndValues()
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&text, " %v=%v", pairs[i], pairs[i+1])
	}
	return text.String()
}

func (r *Ready) event(event Event) { r.Events = append(r.Events, event) }
