package quorum

import (
	"fmt"
	"strings"
)

// EventType is the type of an event that may be of interest to operators.
type EventType uint8

const (
	// EventLeaderElected means that this node won the election of Slot for Term and took over
	// Recovered uncommitted entries.
	EventLeaderElected EventType = iota + 1
	// EventLeaderReady means that a majority has the new log; this node serves Slot in Term.
	EventLeaderReady
	// EventLeaseExpired means that this node lost contact with a majority and stepped down from
	// Slot.
	EventLeaseExpired
	// EventVoterAdmitted means that a voter set that adds Peer, or makes room for it, is proposed.
	EventVoterAdmitted
	// EventSurplusRemoved means that the removal of a voter whose replacement was added is
	// proposed.
	EventSurplusRemoved
	// EventVoterSetInstalled means that a voter set is in force; Voting is whether this node is
	// in it.
	EventVoterSetInstalled
	// EventVoterSetRefused means that a proposed voter set was refused with Err.
	EventVoterSetRefused
	// EventUnknownSender means that a message was ignored because its sender is no voter.
	// Frequent.
	EventUnknownSender
	// EventUnknownSlot means that a message was ignored because its slot does not exist. Frequent.
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

// Frequent reports whether a peer can cause events of this type at any rate, so that they
// should not be logged.
func (t EventType) Frequent() bool { return t == EventUnknownSender || t == EventUnknownSlot }

// Event is something that happened at a node; fields that its type does not use are zero.
type Event struct {
	Type EventType
	Slot uint16
	Term uint64
	// Recovered counts the uncommitted entries that a new leader took over.
	Recovered int
	// Step and Voters are the change number and the size of a voter set.
	Step   uint64
	Voters int
	// Voting is whether this node is a voter of the set.
	Voting bool
	// Peer and Incarnation identify another node, VoterSetRevision the voter set that it uses.
	Peer             string
	Incarnation      uint64
	VoterSetRevision uint64
	Err              error
}

// KeysAndValues returns the fields that the event's type uses, in the form of logr.
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

// String formats the event as one line of key=value pairs.
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
