package quorum

import "testing"

// TestStoredNumbers: numbers and keys that are stored or sent never change, whatever their Go
// names are.
func TestStoredNumbers(t *testing.T) {
	for _, test := range []struct {
		name   string
		number uint8
		want   uint8
	}{
		{"MsgHeartbeat", uint8(MsgHeartbeat), 1},
		{"MsgHeartbeatAck", uint8(MsgHeartbeatAck), 2},
		{"MsgVoteRequest", uint8(MsgVoteRequest), 3},
		{"MsgVoteGranted", uint8(MsgVoteGranted), 4},
		{"MsgVoteRejected", uint8(MsgVoteRejected), 5},
		{"MsgAppend", uint8(MsgAppend), 6},
		{"MsgAppendAck", uint8(MsgAppendAck), 7},
		{"MsgSnapshotRequest", uint8(MsgSnapshotRequest), 8},
		{"MsgSnapshotChunk", uint8(MsgSnapshotChunk), 9},
		{"MsgVoterSetRequest", uint8(MsgVoterSetRequest), 10},
		{"MsgVoterSet", uint8(MsgVoterSet), 11},
		{"MsgStepDown", uint8(MsgStepDown), 12},
		{"MsgLeaving", uint8(MsgLeaving), 13},
		{"RecordPromise", uint8(RecordPromise), 1},
		{"RecordEntry", uint8(RecordEntry), 2},
		{"RecordDelete", uint8(RecordDelete), 3},
		{"RecordLogState", uint8(RecordLogState), 4},
		{"RecordVoterSet", uint8(RecordVoterSet), 5},
		{"OpGet", uint8(OpGet), 1},
		{"OpPut", uint8(OpPut), 2},
		{"OpAcquire", uint8(OpAcquire), 3},
		{"OpRelease", uint8(OpRelease), 4},
		{"OpClaim", uint8(OpClaim), 5},
		{"OpUnclaim", uint8(OpUnclaim), 6},
		{"StatusDone", uint8(StatusDone), 1},
		{"StatusConflict", uint8(StatusConflict), 2},
		{"StatusNotLeader", uint8(StatusNotLeader), 3},
		{"StatusUnknown", uint8(StatusUnknown), 4},
		{"StatusFull", uint8(StatusFull), 5},
		{"StatusGenerationClosed", uint8(StatusGenerationClosed), 6},
		{"StatusGenerationNotOpen", uint8(StatusGenerationNotOpen), 7},
	} {
		if test.number != test.want {
			t.Errorf("%s is %d, and was stored as %d", test.name, test.number, test.want)
		}
	}
	for got, want := range map[string]string{
		VoterSetKey: "roster", GenerationKey: "era", rolePrefix: "duty/", claimPrefix: "claim/", floorPrefix: "floor/",
		ClaimKey(3, "g/1"): "claim/3/g/1", floorKey(7): "floor/7",
	} {
		if got != want {
			t.Errorf("a key is %q, and was stored as %q", got, want)
		}
	}
}

// TestStoredValues: values of registers are byte for byte as earlier versions stored them.
func TestStoredValues(t *testing.T) {
	set := newVoterSetWithAddrs(2)
	set.TargetSize = 3
	for _, test := range []struct {
		name, got, want string
	}{
		{"voter set", string(set.Bytes()),
			`{"rev":"9437185","voters":[{"name":"a","addr":"at-a","inc":"1","num":1},{"name":"b","addr":"at-b","inc":"2","num":2}],"seats":3}`},
		{"voter set without target size", string(newVoterSet(1).Bytes()),
			`{"rev":"9437185","voters":[{"name":"a","addr":"","inc":"1","num":1}]}`},
		{"role lease", string(roleLease{"p", 0x0102}.encode()), "\x02\x01\x00\x00\x00\x00\x00\x00p"},
		{"free role", string(roleLease{}.encode()), "\x00\x00\x00\x00\x00\x00\x00\x00"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.got != test.want {
				t.Errorf("got %q, want %q", test.got, test.want)
			}
		})
	}
}
