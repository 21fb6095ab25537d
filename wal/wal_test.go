package wal_test

import (
	"errors"
	"fmt"
	"math/rand"
	"testing"

	"violetthread/sim"
	"violetthread/wal"
	"violetthread/wal/osdisk"
)

func open(t *testing.T, fs wal.FS, config wal.Config) (*wal.Log, []string) {
	t.Helper()
	log, raw, err := wal.Open(fs, config)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, data := range raw {
		out = append(out, string(data))
	}
	return log, out
}

var testConfig = wal.Config{SegmentCount: 5, SegmentBytes: 4096}

// TestPowerLoss: whatever was synced is read back in order, however the power
// goes, over many reuses of its segments.
func TestPowerLoss(t *testing.T) {
	for seed := int64(1); seed <= 200; seed++ {
		world := sim.NewWorld(seed)
		disk := sim.NewDisk(world)
		log, _ := open(t, disk, testConfig)
		rng := rand.New(rand.NewSource(seed))
		var live []string // what must be found: since the last checkpoint, at least the synced
		synced, count := 0, 0
		var parts [][]byte // still to come of the checkpoint under way
		checkpointing, from := false, 0
		for step := 0; step < 300; step++ {
			if checkpointing && rng.Intn(2) == 0 {
				if len(parts) > 0 {
					if err := log.AppendCheckpoint(parts[:1]); err != nil {
						t.Fatalf("seed %d: %v", seed, err)
					}
					parts = parts[1:]
				} else {
					if err := log.EndCheckpoint(); err != nil {
						t.Fatalf("seed %d: %v", seed, err)
					}
					live, checkpointing = live[from:], false
					synced = len(live)
				}
			}
			switch choice := rng.Intn(20); {
			case choice < 14:
				count++
				text := fmt.Sprintf("%d-%s", count, make([]byte, rng.Intn(120)))
				if err := log.Append([]byte(text)); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				live = append(live, text)
			case choice < 18:
				if err := log.Sync(); err != nil {
					t.Fatal(err)
				}
				synced = len(live)
			default:
				disk.PowerLoss()
				var got []string
				log, got = open(t, disk, testConfig)
				checkpointing = false // what was written of a checkpoint counts for nothing
				if len(got) < synced || len(got) > len(live) {
					t.Fatalf("seed %d: %d records, %d synced of %d", seed, len(got), synced, len(live))
				}
				for i := range got {
					if got[i] != live[i] {
						t.Fatalf("seed %d: record %d is %q, not %q", seed, i, got[i], live[i])
					}
				}
				live, synced = got, len(got)
			}
			if log.UsedPermille() > 250 && !checkpointing {
				// Keep the last few, as a checkpoint would restate live state;
				// others are appended between its parts.
				from = max(0, len(live)-4)
				parts = nil
				for _, text := range live[from:] {
					parts = append(parts, []byte(text))
				}
				if err := log.BeginCheckpoint(); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				checkpointing = true
			}
		}
	}
}

// TestFlippedBit: a bit that flips in synced data is found, never passed on and
// never taken for a torn tail, as long as something was synced after it.
func TestFlippedBit(t *testing.T) {
	world := sim.NewWorld(1)
	rng := rand.New(rand.NewSource(7))
	found := 0
	for i := 0; i < 300; i++ {
		disk := sim.NewDisk(world)
		log, _ := open(t, disk, testConfig)
		var want []string
		for j := 0; j < 40; j++ {
			text := fmt.Sprintf("record %d", j)
			want = append(want, text)
			if log.Append([]byte(text)) != nil || log.Sync() != nil {
				t.Fatal("append")
			}
		}
		file, _ := disk.Open("ring-001", testConfig.SegmentBytes)
		buffer := make([]byte, 1)
		offset := int64(32 + rng.Intn(39*32)) // not in the last record
		_, _ = file.ReadAt(buffer, offset)
		buffer[0] ^= 1 << rng.Intn(8)
		_, _ = file.WriteAt(buffer, offset)
		_, raw, err := wal.Open(disk, testConfig)
		switch {
		case errors.Is(err, wal.ErrCorrupt):
			found++
		case err != nil:
			t.Fatal(err)
		default:
			// Only padding may flip unnoticed.
			for j, text := range raw {
				if string(text) != want[j] {
					t.Fatalf("bit at %d: record %d came back as %q", offset, j, text)
				}
			}
			if len(raw) != len(want) {
				t.Fatalf("bit at %d: %d of %d records came back without a word", offset, len(raw), len(want))
			}
		}
	}
	if found < 200 {
		t.Fatalf("found only %d of 300", found)
	}
}

// TestFull: a log without room refuses and keeps what it has; a checkpoint
// still fits, and makes room again.
func TestFull(t *testing.T) {
	disk := sim.NewDisk(sim.NewWorld(1))
	log, _ := open(t, disk, testConfig)
	count := 0
	var err error
	for ; err == nil; count++ {
		err = log.Append(make([]byte, 500))
	}
	if !errors.Is(err, wal.ErrFull) || count < 15 {
		t.Fatalf("after %d: %v", count, err)
	}
	if err := log.Checkpoint([][]byte{[]byte("all")}); err != nil {
		t.Fatal(err)
	}
	if err := log.Append([]byte("more")); err != nil {
		t.Fatal(err)
	}
	if err := log.Sync(); err != nil {
		t.Fatal(err)
	}
	if _, got := open(t, disk, testConfig); fmt.Sprint(got) != "[all more]" {
		t.Fatalf("read back %q", got)
	}
}

// TestFailedSync: after one failed sync nothing of this log is trusted again.
func TestFailedSync(t *testing.T) {
	disk := sim.NewDisk(sim.NewWorld(1))
	log, _ := open(t, disk, testConfig)
	_ = log.Append([]byte("a"))
	disk.FailAll = true
	if err := log.Sync(); !errors.Is(err, wal.ErrDisk) {
		t.Fatalf("failed sync: %v", err)
	}
	disk.FailAll = false
	if err := log.Append([]byte("b")); !errors.Is(err, wal.ErrDisk) {
		t.Fatalf("append after a failed sync: %v", err)
	}
	if err := log.Sync(); !errors.Is(err, wal.ErrDisk) {
		t.Fatalf("sync after a failed sync: %v", err)
	}
}

// TestFolder: the same on a real folder.
func TestDirectory(t *testing.T) {
	directory := osdisk.Directory{Path: t.TempDir() + "/ring"}
	log, _ := open(t, directory, testConfig)
	_ = log.Append([]byte("kept"))
	if err := log.Sync(); err != nil {
		t.Fatal(err)
	}
	_ = log.Close()
	lock, err := directory.Lock()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := directory.Lock(); err == nil {
		t.Fatal("two processes may use one folder")
	}
	_ = lock.Close()
	if _, got := open(t, directory, testConfig); fmt.Sprint(got) != "[kept]" {
		t.Fatalf("read back %q", got)
	}
}

// FuzzOpen: whatever a disk holds, opening it ends in records or an error.
func FuzzOpen(f *testing.F) {
	disk := sim.NewDisk(sim.NewWorld(1))
	log, _, _ := wal.Open(disk, testConfig)
	_ = log.Append([]byte("seed"))
	_ = log.Sync()
	file, _ := disk.Open("ring-001", testConfig.SegmentBytes)
	content := make([]byte, 256)
	_, _ = file.ReadAt(content, 0)
	f.Add(content)
	f.Fuzz(func(t *testing.T, content []byte) {
		disk := sim.NewDisk(sim.NewWorld(1))
		for i := 0; i < testConfig.SegmentCount; i++ {
			opened, _ := disk.Open(fmt.Sprintf("ring-%03d", i), testConfig.SegmentBytes)
			_, _ = opened.WriteAt(content[:min(len(content), int(testConfig.SegmentBytes))], 0)
		}
		if log, _, err := wal.Open(disk, testConfig); err == nil {
			if err := log.Append([]byte("x")); err != nil && !errors.Is(err, wal.ErrFull) {
				t.Fatal(err)
			}
		}
	})
}
