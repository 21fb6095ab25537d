package wal_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
)

// TestStoredBytes checks that the file format is unchanged: logs in use have format VTRING01
// and must stay readable. The start of the first segment is compared byte by byte, and all
// files by checksum.
func TestStoredBytes(t *testing.T) {
	fs := newFaultyFS(1)
	log, _ := open(t, fs, testConfig)
	steps := []func() error{
		func() error { return log.Append([]byte("a=1")) },
		log.Sync,
		log.BeginCheckpoint,
		func() error { return log.AppendCheckpoint([][]byte{[]byte("a=1")}) },
		func() error { return log.Append([]byte("b=1")) },
		log.EndCheckpoint,
		func() error { return log.Append(make([]byte, 4000)) },
		log.Sync,
	}
	for i, step := range steps {
		if err := step(); err != nil {
			t.Fatalf("step %d: %v", i, err)
		}
	}
	const firstSegment = "" +
		// header: format, sequence number, end of the preceding segment, checksum
		"565452494e473031" + "0100000000000000" + "0000000000000000" + "f7fe5c8c" + "00000000" +
		// data record "a=1": length, checksum, synced position, type, data
		"03000000" + "ca20250f" + "2010000000000000" + "01000000" + "613d3100" +
		// padding, then a checkpoint begin record
		"00000000" + "f404eabb" + "3810000000000000" + "02000000" + "00000000" +
		// checkpoint data "a=1"
		"03000000" + "1e943156" + "3810000000000000" + "03000000" + "613d3100" +
		// data record "b=1", appended during the checkpoint
		"03000000" + "b18a0481" + "3810000000000000" + "01000000" + "623d3100" +
		// checkpoint end record, then unused space
		"00000000" + "a32d740e" + "3810000000000000" + "04000000" + "00000000" +
		"0000000000000000" + "0000000000000000" + "0000000000000000"
	if got := hex.EncodeToString(fs.files["ring-001"].cache[:len(firstSegment)/2]); got != firstSegment {
		t.Errorf("the first segment begins with\n%s, want\n%s", got, firstSegment)
	}
	for index, want := range []string{
		"ad7facb2586fc6e966c004d7d1d16b024f5805ff7cb47c7a85dabd8b48892ca7", // never used
		"1db83435389ad95f555717bc5654bf387e42885a51d5fd804befbb338e6b64be",
		"8f2f9ec371fdee0b2fdba7a1bd2c3fed90a90274262d7ed9381bf4ebae09c5bc",
		"ad7facb2586fc6e966c004d7d1d16b024f5805ff7cb47c7a85dabd8b48892ca7",
		"ad7facb2586fc6e966c004d7d1d16b024f5805ff7cb47c7a85dabd8b48892ca7",
	} {
		name := fmt.Sprintf("ring-%03d", index)
		if got := fmt.Sprintf("%x", sha256.Sum256(fs.files[name].cache)); got != want {
			t.Errorf("%s has checksum %s, want %s", name, got, want)
		}
	}
}
