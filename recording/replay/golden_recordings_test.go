package replay_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"violetthread/recording"
	"violetthread/recording/replay"
)

// The golden recordings are of a gateway's dispatcher and of an index node in a simulated
// fleet, written by commit 150d7f5. The weights don't change in the dispatcher's run: a
// request that is sent to an engine with other weights than those it was admitted under can't
// be replayed, because recordings leave out the prompt (a known limitation at 150d7f5).
const goldenRecordings = "testdata/golden_recordings"

func TestGoldenRecordings(t *testing.T) {
	for name, events := range map[string]int{"desk": 598, "keeper": 348} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stored, err := os.ReadFile(filepath.Join(goldenRecordings, name+".jsonl"))
			if err != nil {
				t.Fatal(err)
			}
			calls, err := replay.Replay(bytes.NewReader(stored))
			if err != nil || calls != events {
				t.Fatalf("%d events replayed, want %d: %v", calls, events, err)
			}
			for cut := 0; cut < len(stored); cut += len(stored)/37 + 1 {
				replayCut(t, stored[:cut])
			}
		})
	}
}

// replayCut replays the beginning of a recording. Every complete line must be replayed.
func replayCut(t *testing.T, beginning []byte) {
	t.Helper()
	calls, err := replay.Replay(bytes.NewReader(beginning))
	lines := bytes.Count(beginning, []byte{'\n'})
	if lines == 0 {
		if !errors.Is(err, recording.ErrEmpty) {
			t.Errorf("cut at %d: %v", len(beginning), err)
		}
		return
	}
	if err != nil || calls != lines-1 {
		t.Errorf("cut at %d: %d events replayed, want %d: %v", len(beginning), calls, lines-1, err)
	}
}
