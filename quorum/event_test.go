package quorum

import (
	"errors"
	"testing"
)

// TestEventString: an event is formatted as one line of key=value pairs with the fields of its
// type only.
func TestEventString(t *testing.T) {
	for _, test := range []struct {
		name  string
		event Event
		want  string
	}{
		{"leader elected", Event{Type: EventLeaderElected, Slot: 4, Term: 196609}, "event=leader_elected slot=4 term=196609 recovered=0"},
		{"leader ready", Event{Type: EventLeaderReady, Slot: 4, Term: 196609}, "event=leader_ready slot=4 term=196609"},
		{"lease expired", Event{Type: EventLeaseExpired, Slot: 4, Term: 196609}, "event=lease_expired slot=4 term=196609"},
		{"voter admitted", Event{Type: EventVoterAdmitted, Peer: "d", Incarnation: 7, Step: 2, Voters: 4},
			"event=voter_admitted peer=d incarnation=7 step=2 voters=4"},
		{"surplus voter removed", Event{Type: EventSurplusRemoved, Step: 3, Voters: 3}, "event=surplus_voter_removed step=3 voters=3"},
		{"voter set installed", Event{Type: EventVoterSetInstalled, Step: 3, Voters: 3, Voting: true},
			"event=voter_set_installed step=3 voters=3 voting=true"},
		{"voter set refused", Event{Type: EventVoterSetRefused, Err: errors.New("why")}, "event=voter_set_refused error=why"},
		{"unknown sender", Event{Type: EventUnknownSender, Peer: "z", Incarnation: 9, VoterSetRevision: 1},
			"event=message_from_unknown_sender peer=z incarnation=9 voter_set_revision=1"},
		{"unknown slot", Event{Type: EventUnknownSlot, Peer: "b", Slot: 99}, "event=message_for_unknown_slot peer=b slot=99"},
		{"unknown type", Event{Type: 77}, "event=77"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.event.String(); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
			if pairs := test.event.KeysAndValues(); len(pairs)%2 != 0 {
				t.Errorf("key without a value: %v", pairs)
			}
		})
	}
}

// TestEnumNames: each enum value has a unique name.
func TestEnumNames(t *testing.T) {
	for _, enum := range []struct {
		name        string
		first, last uint8
		text        func(uint8) string
	}{
		{"messages", uint8(MsgHeartbeat), uint8(MsgLeaving), func(v uint8) string { return MessageType(v).String() }},
		{"records", uint8(RecordPromise), uint8(RecordVoterSet), func(v uint8) string { return RecordType(v).String() }},
		{"operations", uint8(OpGet), uint8(OpUnclaim), func(v uint8) string { return OperationType(v).String() }},
		{"statuses", uint8(StatusDone), uint8(StatusGenerationNotOpen), func(v uint8) string { return Status(v).String() }},
		{"states", uint8(stateFollower), uint8(stateLeader), func(v uint8) string { return replicaState(v).String() }},
		{"events", uint8(EventLeaderElected), uint8(EventUnknownSlot), func(v uint8) string { return EventType(v).String() }},
	} {
		t.Run(enum.name, func(t *testing.T) {
			seen := map[string]uint8{}
			for value := enum.first; value <= enum.last; value++ {
				text := enum.text(value)
				if text == "" || text[0] < 'a' || text[0] > 'z' {
					t.Errorf("%d has no name: %q", value, text)
				}
				if other, ok := seen[text]; ok {
					t.Errorf("%d and %d are both %q", value, other, text)
				}
				seen[text] = value
			}
			if text := enum.text(200); text != "200" {
				t.Errorf("unknown value is named %q", text)
			}
		})
	}
}
