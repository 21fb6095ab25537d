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

func open(t *testing.T, fs wal.FS, p wal.Config) (*wal.Log, []string) {
	t.Helper()
	r, raw, err := wal.Open(fs, p)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, b := range raw {
		out = append(out, string(b))
	}
	return r, out
}

var plan = wal.Config{SegmentCount: 5, SegmentBytes: 4096}

// TestPowerLoss: whatever was synced is read back in order, however the power
// goes, over many turns of the ring.
func TestPowerLoss(t *testing.T) {
	for seed := int64(1); seed <= 200; seed++ {
		w := sim.NewWorld(seed)
		d := sim.NewDisk(w)
		r, _ := open(t, d, plan)
		rng := rand.New(rand.NewSource(seed))
		var live []string // what must be found: since the last checkpoint, at least the synced
		synced, n := 0, 0
		var parts [][]byte // still to come of the checkpoint under way
		under, since := false, 0
		for step := 0; step < 300; step++ {
			if under && rng.Intn(2) == 0 {
				if len(parts) > 0 {
					if err := r.AppendCheckpoint(parts[:1]); err != nil {
						t.Fatalf("seed %d: %v", seed, err)
					}
					parts = parts[1:]
				} else {
					if err := r.EndCheckpoint(); err != nil {
						t.Fatalf("seed %d: %v", seed, err)
					}
					live, under = live[since:], false
					synced = len(live)
				}
			}
			switch k := rng.Intn(20); {
			case k < 14:
				n++
				x := fmt.Sprintf("%d-%s", n, make([]byte, rng.Intn(120)))
				if err := r.Append([]byte(x)); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				live = append(live, x)
			case k < 18:
				if err := r.Sync(); err != nil {
					t.Fatal(err)
				}
				synced = len(live)
			default:
				d.PowerLoss()
				var got []string
				r, got = open(t, d, plan)
				under = false // what was written of a checkpoint counts for nothing
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
			if r.UsedPermille() > 250 && !under {
				// Keep the last few, as a checkpoint would restate live state;
				// others are appended between its parts.
				since = max(0, len(live)-4)
				parts = nil
				for _, x := range live[since:] {
					parts = append(parts, []byte(x))
				}
				if err := r.BeginCheckpoint(); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				under = true
			}
		}
	}
}

// TestFlippedBit: a bit that flips in synced data is found, never passed on and
// never taken for a torn tail, as long as something was synced after it.
func TestFlippedBit(t *testing.T) {
	w := sim.NewWorld(1)
	rng := rand.New(rand.NewSource(7))
	found := 0
	for i := 0; i < 300; i++ {
		d := sim.NewDisk(w)
		r, _ := open(t, d, plan)
		var want []string
		for j := 0; j < 40; j++ {
			x := fmt.Sprintf("record %d", j)
			want = append(want, x)
			if r.Append([]byte(x)) != nil || r.Sync() != nil {
				t.Fatal("append")
			}
		}
		f, _ := d.Open("ring-001", plan.SegmentBytes)
		b := make([]byte, 1)
		at := int64(32 + rng.Intn(39*32)) // not in the last record
		_, _ = f.ReadAt(b, at)
		b[0] ^= 1 << rng.Intn(8)
		_, _ = f.WriteAt(b, at)
		_, raw, err := wal.Open(d, plan)
		switch {
		case errors.Is(err, wal.ErrCorrupt):
			found++
		case err != nil:
			t.Fatal(err)
		default:
			// Only padding may flip unnoticed.
			for j, x := range raw {
				if string(x) != want[j] {
					t.Fatalf("bit at %d: record %d came back as %q", at, j, x)
				}
			}
			if len(raw) != len(want) {
				t.Fatalf("bit at %d: %d of %d records came back without a word", at, len(raw), len(want))
			}
		}
	}
	if found < 200 {
		t.Fatalf("found only %d of 300", found)
	}
}

// TestFull: a ring without room refuses and keeps what it has; a checkpoint
// still fits, and makes room again.
func TestFull(t *testing.T) {
	d := sim.NewDisk(sim.NewWorld(1))
	r, _ := open(t, d, plan)
	n := 0
	var err error
	for ; err == nil; n++ {
		err = r.Append(make([]byte, 500))
	}
	if !errors.Is(err, wal.ErrFull) || n < 15 {
		t.Fatalf("after %d: %v", n, err)
	}
	if err := r.Checkpoint([][]byte{[]byte("all")}); err != nil {
		t.Fatal(err)
	}
	if err := r.Append([]byte("more")); err != nil {
		t.Fatal(err)
	}
	if err := r.Sync(); err != nil {
		t.Fatal(err)
	}
	if _, got := open(t, d, plan); fmt.Sprint(got) != "[all more]" {
		t.Fatalf("read back %q", got)
	}
}

// TestFailedSync: after one failed sync nothing of this ring is trusted again.
func TestFailedSync(t *testing.T) {
	d := sim.NewDisk(sim.NewWorld(1))
	r, _ := open(t, d, plan)
	_ = r.Append([]byte("a"))
	d.Fail = true
	if err := r.Sync(); !errors.Is(err, wal.ErrDisk) {
		t.Fatalf("failed sync: %v", err)
	}
	d.Fail = false
	if err := r.Append([]byte("b")); !errors.Is(err, wal.ErrDisk) {
		t.Fatalf("append after a failed sync: %v", err)
	}
	if err := r.Sync(); !errors.Is(err, wal.ErrDisk) {
		t.Fatalf("sync after a failed sync: %v", err)
	}
}

// TestFolder: the same on a real folder.
func TestFolder(t *testing.T) {
	f := osdisk.Directory{Path: t.TempDir() + "/ring"}
	r, _ := open(t, f, plan)
	_ = r.Append([]byte("kept"))
	if err := r.Sync(); err != nil {
		t.Fatal(err)
	}
	_ = r.Close()
	l, err := f.Lock()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Lock(); err == nil {
		t.Fatal("two processes may use one folder")
	}
	_ = l.Close()
	if _, got := open(t, f, plan); fmt.Sprint(got) != "[kept]" {
		t.Fatalf("read back %q", got)
	}
}

// FuzzOpen: whatever a disk holds, opening it ends in records or an error.
func FuzzOpen(f *testing.F) {
	d := sim.NewDisk(sim.NewWorld(1))
	r, _, _ := wal.Open(d, plan)
	_ = r.Append([]byte("seed"))
	_ = r.Sync()
	file, _ := d.Open("ring-001", plan.SegmentBytes)
	b := make([]byte, 256)
	_, _ = file.ReadAt(b, 0)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		d := sim.NewDisk(sim.NewWorld(1))
		for i := 0; i < plan.SegmentCount; i++ {
			g, _ := d.Open(fmt.Sprintf("ring-%03d", i), plan.SegmentBytes)
			_, _ = g.WriteAt(b[:min(len(b), int(plan.SegmentBytes))], 0)
		}
		if r, _, err := wal.Open(d, plan); err == nil {
			if err := r.Append([]byte("x")); err != nil && !errors.Is(err, wal.ErrFull) {
				t.Fatal(err)
			}
		}
	})
}
