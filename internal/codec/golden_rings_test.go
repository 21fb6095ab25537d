package codec_test

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"violetthread/internal/codec"
	"violetthread/quorum"
	"violetthread/wal"
)

// The golden rings are write-ahead logs of a control node after a power loss, written by
// commit 150d7f5: one after a checkpoint, and one in the middle of the first checkpoint. Each
// folder also has the voters (voters.json), the records recovered from the log (records.txt),
// the state that a node replayed from them (state.txt), and what was recovered when one file
// was zeroed from an offset on (cuts.txt: file, offset, and the kind of error or the number
// and digest of records).
const goldenRings = "testdata/golden_rings"

// The configuration, and below the voter, that wrote the golden rings.
var goldenRingConfig = wal.Config{SegmentCount: 6, SegmentBytes: 8 << 10}

const (
	goldenVoter       = "registrar1"
	goldenIncarnation = 101
	goldenTimeUS      = 1_000_000
)

// memoryFiles is a folder of files in memory, by name.
type memoryFiles map[string][]byte

func (m memoryFiles) Size(name string) (int64, error) { return int64(len(m[name])), nil }

func (m memoryFiles) Open(name string, _ int64) (wal.File, error) { return memoryFile(m[name]), nil }

type memoryFile []byte

func (f memoryFile) ReadAt(b []byte, offset int64) (int, error)  { return copy(b, f[offset:]), nil }
func (f memoryFile) WriteAt(b []byte, offset int64) (int, error) { return copy(f[offset:], b), nil }
func (memoryFile) Sync() error                                   { return nil }
func (memoryFile) Close() error                                  { return nil }

func goldenRingFiles(t *testing.T, folder string) memoryFiles {
	t.Helper()
	files := memoryFiles{}
	for i := range goldenRingConfig.SegmentCount {
		name := fmt.Sprintf("ring-%03d", i)
		content, err := os.ReadFile(filepath.Join(folder, name))
		if err != nil {
			t.Fatal(err)
		}
		files[name] = content
	}
	return files
}

func goldenLines(t *testing.T, folder, name string) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}

// recordLine formats the values of a record in a fixed order.
func recordLine(r quorum.Record) string {
	voters := "-"
	if r.VoterSet != nil {
		voters = string(r.VoterSet.Bytes())
	}
	return fmt.Sprintf("%d %d %d %d.%d %d.%d %q %d.%d %d %x %s", r.Type, r.Slot, r.Term, r.Last.Term, r.Last.Index, r.Committed.Term, r.Committed.Index,
		r.Entry.Key, r.Entry.Position.Term, r.Entry.Position.Index, r.Entry.Revision, r.Entry.Value, voters)
}

// recoverRing opens a copy of a ring and returns its records, also as lines, or the kind of
// error.
func recoverRing(t *testing.T, files memoryFiles) (lines []string, records []quorum.Record, failure string) {
	t.Helper()
	scratch := memoryFiles{}
	for name, content := range files {
		scratch[name] = slices.Clone(content)
	}
	_, stored, err := wal.Open(scratch, goldenRingConfig)
	switch {
	case errors.Is(err, wal.ErrCorrupt):
		return nil, nil, "corrupt"
	case err != nil:
		t.Fatalf("opening failed, and not because the ring is corrupt: %v", err)
	}
	for _, b := range stored {
		record, identity, err := codec.UnpackRecord(b)
		if err != nil || identity != nil {
			t.Fatalf("a record can't be decoded, or is an identity: %v", err)
		}
		records = append(records, record)
		lines = append(lines, recordLine(record))
	}
	return lines, records, ""
}

func TestGoldenRings(t *testing.T) {
	for _, name := range []string{"checkpointed", "midway"} {
		t.Run(name, func(t *testing.T) {
			folder := filepath.Join(goldenRings, name)
			lines, records, failure := recoverRing(t, goldenRingFiles(t, folder))
			if failure != "" {
				t.Fatal(failure)
			}
			compareLines(t, "records", lines, goldenLines(t, folder, "records.txt"))
			text, err := os.ReadFile(filepath.Join(folder, "voters.json"))
			if err != nil {
				t.Fatal(err)
			}
			voters, err := quorum.ParseVoterSet(text)
			if err != nil {
				t.Fatal(err)
			}
			if string(voters.Bytes()) != string(text) {
				t.Errorf("the voters are written as %s, not %s", voters.Bytes(), text)
			}
			node := quorum.New(quorum.DefaultConfig(goldenVoter, goldenIncarnation), voters, goldenTimeUS, records)
			var state []string
			for _, record := range node.Checkpoint() {
				state = append(state, recordLine(record))
			}
			slices.Sort(state)
			compareLines(t, "state", state, goldenLines(t, folder, "state.txt"))
		})
	}
}

func compareLines(t *testing.T, what string, got, want []string) {
	t.Helper()
	if len(got) != len(want) {
		t.Errorf("%s: %d lines, not %d", what, len(got), len(want))
	}
	for i := range min(len(got), len(want)) {
		if got[i] != want[i] {
			t.Fatalf("%s, line %d:\n got %s\nwant %s", what, i+1, got[i], want[i])
		}
	}
}

// TestZeroedGoldenRings: rings with one file zeroed from an offset on are recovered as stored.
func TestZeroedGoldenRings(t *testing.T) {
	for _, name := range []string{"checkpointed", "midway"} {
		t.Run(name, func(t *testing.T) {
			folder := filepath.Join(goldenRings, name)
			files := goldenRingFiles(t, folder)
			cuts := goldenLines(t, folder, "cuts.txt")
			if len(cuts) < 100 {
				t.Fatalf("only %d cuts", len(cuts))
			}
			for _, cut := range cuts {
				var file string
				var offset int
				if _, err := fmt.Sscan(cut, &file, &offset); err != nil {
					t.Fatal(err)
				}
				want := strings.SplitN(cut, " ", 3)[2]
				if got := recoverCut(t, files, file, offset); got != want {
					t.Errorf("%s zeroed from %d: %s, not %s", file, offset, got, want)
				}
			}
		})
	}
}

func recoverCut(t *testing.T, files memoryFiles, file string, offset int) string {
	t.Helper()
	whole := files[file]
	defer func() { files[file] = whole }()
	files[file] = slices.Clone(whole)
	clear(files[file][offset:])
	lines, _, failure := recoverRing(t, files)
	if failure != "" {
		return failure
	}
	return fmt.Sprintf("%d %x", len(lines), sha256.Sum256([]byte(strings.Join(lines, "\n"))))
}
