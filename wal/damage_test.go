package wal_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand"
	"slices"
	"strings"
	"syscall"
	"testing"

	"violetthread/wal"
)

// tryOpen opens a log and returns the error, if any, instead of failing the test.
func tryOpen(fs wal.FS, config wal.Config) ([]string, error) {
	_, raw, err := wal.Open(fs, config)
	var out []string
	for _, data := range raw {
		out = append(out, string(data))
	}
	return out, err
}

// smallestConfig is the smallest valid configuration.
var smallestConfig = wal.Config{SegmentCount: 3, SegmentBytes: 4096}

// newSyncedLog writes a log of n synced records, and returns its files and the records to
// expect.
func newSyncedLog(t *testing.T, config wal.Config, n int) (*faultyFS, []string) {
	t.Helper()
	fs := newFaultyFS(1)
	log, _ := open(t, fs, config)
	var want []string
	for i := 0; i < n; i++ {
		rec := fmt.Sprintf("record %03d %s", i, strings.Repeat("x", 150))
		if err := log.Append([]byte(rec)); err != nil {
			t.Fatal(err)
		}
		if err := log.Sync(); err != nil {
			t.Fatal(err)
		}
		want = append(want, rec)
	}
	return fs, want
}

// TestFlippedByte damages each byte of each file in turn: the log must open with all synced
// records or return a typed error. Only the very last synced batch may be taken for a torn
// tail (design §5).
func TestFlippedByte(t *testing.T) {
	full, want := newSyncedLog(t, smallestConfig, 30) // fills two of the files
	last := len(want) - 1
	for name := range full.files {
		for i := 0; i < int(smallestConfig.SegmentBytes); i++ {
			fs := full.snapshot()
			fs.files[name].cache[i] ^= 0x41
			got, err := tryOpen(fs, smallestConfig)
			switch {
			case err != nil && !isTyped(err):
				t.Fatalf("%s byte %d: %v", name, i, err)
			case err == nil && !slices.Equal(got, want) && !slices.Equal(got, want[:last]):
				t.Fatalf("%s byte %d: %d of %d records replayed without an error", name, i, len(got), len(want))
			}
		}
	}
}

// TestCutFile checks that a file that was truncated at any byte, or is missing, is never taken
// for one whose end was not written yet.
func TestCutFile(t *testing.T) {
	full, _ := newSyncedLog(t, smallestConfig, 30)
	for name := range full.files {
		for i := 0; i < int(smallestConfig.SegmentBytes); i++ {
			fs := full.snapshot()
			f := fs.files[name]
			f.cache, f.durable = f.cache[:i], f.durable[:i]
			if _, err := tryOpen(fs, smallestConfig); !errors.Is(err, wal.ErrLayout) || !strings.Contains(err.Error(), "start again as an empty node") {
				t.Fatalf("%s truncated at %d: %v", name, i, err)
			}
			if len(fs.files[name].cache) != i {
				t.Fatalf("%s truncated at %d was changed", name, i)
			}
		}
		fs := full.snapshot()
		delete(fs.files, name)
		if _, err := tryOpen(fs, smallestConfig); !errors.Is(err, wal.ErrLayout) {
			t.Fatalf("%s missing: %v", name, err)
		}
	}
}

// TestInterruptedCreation checks that a log opens empty if the process exited while creating
// the files.
func TestInterruptedCreation(t *testing.T) {
	for complete := 0; complete < testConfig.SegmentCount; complete++ {
		for _, partBytes := range []int64{0, 1, 31, 32, 33, testConfig.SegmentBytes - 1} {
			fs := newFaultyFS(1)
			for i := 0; i < complete; i++ {
				_, _ = fs.Open(fmt.Sprintf("ring-%03d", i), testConfig.SegmentBytes)
			}
			_, _ = fs.Open(fmt.Sprintf("ring-%03d", complete), partBytes)
			if got, err := tryOpen(fs, testConfig); err != nil || len(got) != 0 {
				t.Fatalf("%d files and %d bytes created: %v", complete, partBytes, err)
			}
		}
	}
}

// TestTornHeader checks that a segment whose header was torn at any byte while the segment was
// begun is written again: the log still opens.
func TestTornHeader(t *testing.T) {
	for torn := 0; torn <= 40; torn++ {
		for reuse := 0; reuse < 2; reuse++ { // 0: a new file, 1: a reused file
			fs := newFaultyFS(1)
			log, _ := open(t, fs, testConfig)
			if reuse == 1 {
				for i := 0; i < 3; i++ {
					fillSegments(t, log, 2)
					if err := log.Checkpoint([][]byte{[]byte("state")}); err != nil {
						t.Fatal(err)
					}
				}
			}
			fs.tornBytes = torn
			err := error(nil)
			for n := 0; err == nil; n++ {
				if err = log.Append(make([]byte, 500)); err == nil {
					if log.UsedPermille()*testConfig.SegmentCount%1000 > 850 {
						fs.broken = true // the next append begins a segment
					}
				}
				if n > 100 {
					t.Fatal("no segment was begun")
				}
			}
			fs.broken = false
			if _, err := tryOpen(fs, testConfig); err != nil {
				t.Fatalf("header torn at %d, reuse %d: %v", torn, reuse, err)
			}
		}
	}
}

func fillSegments(t *testing.T, log *wal.Log, segments int) {
	t.Helper()
	for i := 0; i < segments*7; i++ {
		if err := log.Append(make([]byte, 500)); err != nil {
			t.Fatal(err)
		}
	}
	if err := log.Sync(); err != nil {
		t.Fatal(err)
	}
}

// TestNewerFormat checks that files of another format version are rejected and not changed.
func TestNewerFormat(t *testing.T) {
	fs, _ := newSyncedLog(t, testConfig, 3)
	b := fs.files["ring-001"].cache
	copy(b, "VTRING02")
	binary.LittleEndian.PutUint32(b[24:], crc32.Checksum(b[:24], crc32.MakeTable(crc32.Castagnoli)))
	before := slices.Clone(b)
	if _, err := tryOpen(fs, testConfig); !errors.Is(err, wal.ErrVersion) || !strings.Contains(err.Error(), "start the version that wrote it") {
		t.Fatal(err)
	}
	if !slices.Equal(fs.files["ring-001"].cache, before) {
		t.Fatal("the file was changed")
	}
}

// TestOtherSizes checks that a log in use is rejected with other sizes, and still opens with its
// own sizes afterwards.
func TestOtherSizes(t *testing.T) {
	for _, other := range []wal.Config{{SegmentCount: 6, SegmentBytes: 4096}, {SegmentCount: 4, SegmentBytes: 4096}, {SegmentCount: 5, SegmentBytes: 8192}, {SegmentCount: 10, SegmentBytes: 8192}} {
		fs, want := newSyncedLog(t, testConfig, 30)
		if _, err := tryOpen(fs, other); !errors.Is(err, wal.ErrLayout) || !strings.Contains(err.Error(), "start with the sizes that the log was made with (ring_files, ring_bytes; fixed under a deploy file)") {
			t.Fatalf("%+v: %v", other, err)
		}
		if got, err := tryOpen(fs, testConfig); err != nil || !slices.Equal(got, want) {
			t.Fatalf("after %+v: %v", other, err)
		}
	}
}

// TestCheckpointCutShort interrupts a checkpoint at each of its writes and at different bytes of
// the write, by killing the process, by a power loss or by a single disk error. The state from
// before the checkpoint and the records synced during it must be replayed.
func TestCheckpointCutShort(t *testing.T) {
	interruptions := map[string]func(*faultyFS, *wal.Log) ([][]byte, error){
		"killed": func(fs *faultyFS, _ *wal.Log) ([][]byte, error) { _, r, err := wal.Open(fs, testConfig); return r, err },
		"power": func(fs *faultyFS, _ *wal.Log) ([][]byte, error) {
			fs.powerLoss()
			_, r, err := wal.Open(fs, testConfig)
			return r, err
		},
		"refused": func(_ *faultyFS, log *wal.Log) ([][]byte, error) { return log.Reopen() },
	}
	for name, reopenAfter := range interruptions {
		t.Run(name, func(t *testing.T) {
			complete := false
			for at := 1; !complete; at++ {
				for torn := 0; torn < 64; torn += 3 {
					fs := newFaultyFS(int64(at))
					log, _ := open(t, fs, testConfig)
					for _, rec := range []string{"a=1", "b=1", "a=2"} {
						if err := log.Append([]byte(rec)); err != nil {
							t.Fatal(err)
						}
					}
					if err := log.Sync(); err != nil {
						t.Fatal(err)
					}
					fs.failAt, fs.tornBytes = fs.operations+at, torn
					appended, err := checkpointWithAppend(log)
					if err == nil {
						complete = true
						break
					}
					raw, err := reopenAfter(fs, log)
					if err != nil {
						t.Fatalf("interrupted at write %d after %d bytes: %v", at, torn, err)
					}
					got := state(raw)
					if got["a"] != "2" || got["b"] != "1" || appended && got["c"] != "1" {
						t.Fatalf("interrupted at write %d after %d bytes: %v", at, torn, got)
					}
				}
			}
		})
	}
}

// checkpointWithAppend writes a checkpoint of a=2 and b=1, and appends and syncs c=1 between
// its records.
func checkpointWithAppend(log *wal.Log) (appended bool, err error) {
	steps := []func() error{
		log.BeginCheckpoint,
		func() error { return log.AppendCheckpoint([][]byte{[]byte("a=2")}) },
		func() error { return log.Append([]byte("c=1")) },
		log.Sync,
		func() error { appended = true; return log.AppendCheckpoint([][]byte{[]byte("b=1")}) },
		log.EndCheckpoint,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return appended, err
		}
	}
	return appended, nil
}

func state(raw [][]byte) map[string]string {
	out := map[string]string{}
	for _, b := range raw {
		key, value, _ := strings.Cut(string(b), "=")
		out[key] = value
	}
	return out
}

// TestReopen injects disk errors at random points of a long run. Reopen must return everything
// that was synced; what it returns must be durable, even if a power loss follows at once, and
// the log must be usable again.
func TestReopen(t *testing.T) {
	for seed := int64(1); seed <= 80; seed++ {
		rng := rand.New(rand.NewSource(seed))
		fs := newFaultyFS(seed)
		log, _ := open(t, fs, testConfig)
		var live []string
		synced, next, reopened := 0, 0, 0
		for step := 0; step < 200; step++ {
			if rng.Intn(6) == 0 {
				fs.failAt, fs.tornBytes = fs.operations+1+rng.Intn(4), rng.Intn(300)
			}
			err := error(nil)
			switch k := rng.Intn(10); {
			case log.UsedPermille() > 300:
				kept := live[max(0, len(live)-3):]
				var raw [][]byte
				for _, rec := range kept {
					raw = append(raw, []byte(rec))
				}
				if err = log.Checkpoint(raw); err == nil {
					live, synced = slices.Clone(kept), len(kept)
				} else if got, reErr := reopen(log); reErr == nil && slices.Equal(got, kept) {
					// The checkpoint is complete on the disk although its sync failed.
					live, synced, err = slices.Clone(kept), len(kept), nil
				} else if reErr == nil {
					live, synced, err = checkPrefix(t, seed, got, live, synced), len(got), nil
				}
			case k < 6:
				next++
				rec := fmt.Sprintf("%d-%s", next, make([]byte, rng.Intn(200)))
				live = append(live, rec) // may be on the disk even if Append fails
				err = log.Append([]byte(rec))
			default:
				if err = log.Sync(); err == nil {
					synced = len(live)
				}
			}
			if err == nil {
				continue
			}
			if !errors.Is(err, wal.ErrDisk) {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if again := log.Sync(); !errors.Is(again, wal.ErrDisk) {
				t.Fatalf("seed %d: a sync after a failure returned %v", seed, again)
			}
			got, err := reopen(log)
			for errors.Is(err, wal.ErrDisk) {
				got, err = reopen(log)
			}
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			reopened++
			live = checkPrefix(t, seed, got, live, synced)
			synced = len(live)
			if rng.Intn(2) == 0 {
				fs.powerLoss()
				if log, got = open(t, fs, testConfig); !slices.Equal(got, live) {
					t.Fatalf("seed %d: reopened with %d records, %d after a power loss", seed, len(live), len(got))
				}
			}
		}
		if reopened == 0 {
			t.Fatalf("seed %d: no operation failed", seed)
		}
	}
}

func reopen(log *wal.Log) ([]string, error) {
	raw, err := log.Reopen()
	var out []string
	for _, b := range raw {
		out = append(out, string(b))
	}
	return out, err
}

func checkPrefix(t *testing.T, seed int64, got, live []string, synced int) []string {
	t.Helper()
	if len(got) < synced || len(got) > len(live) || !slices.Equal(got, live[:len(got)]) {
		t.Fatalf("seed %d: replayed %d records, %d synced of %d", seed, len(got), synced, len(live))
	}
	return slices.Clone(got)
}

// TestReopenNotRetried checks that a failed sync is not retried: a later sync that succeeds
// would not cover it. Earlier records are durable only once Reopen has rewritten the log.
func TestReopenNotRetried(t *testing.T) {
	fs := newFaultyFS(1)
	log, _ := open(t, fs, testConfig)
	if err := log.Append([]byte("a=1")); err != nil {
		t.Fatal(err)
	}
	fs.failAt = fs.operations + 1
	for range 2 {
		if err := log.Sync(); !errors.Is(err, wal.ErrDisk) {
			t.Fatal(err)
		}
	}
	// The cache still contains the record, and the medium may contain any part of it.
	raw, err := log.Reopen()
	if err != nil {
		t.Fatal(err)
	}
	fs.powerLoss()
	if _, got := open(t, fs, testConfig); len(got) != len(raw) {
		t.Fatalf("reopened with %d records, %d after a power loss", len(raw), len(got))
	}
}

// TestOpenAfterFailedSync checks that records which a new process reads from the page cache,
// after a failed sync of the previous process, are durable once Open has returned.
func TestOpenAfterFailedSync(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		fs := newFaultyFS(seed)
		log, _ := open(t, fs, testConfig)
		if err := log.Append([]byte("promise")); err != nil {
			t.Fatal(err)
		}
		fs.failAt = fs.operations + 1
		if err := log.Sync(); !errors.Is(err, wal.ErrDisk) {
			t.Fatal(err)
		}
		_, before := open(t, fs, testConfig)
		fs.powerLoss()
		if _, after := open(t, fs, testConfig); !slices.Equal(before, after) {
			t.Fatalf("seed %d: opened with %d records, %d after a power loss", seed, len(before), len(after))
		}
	}
}

// TestLostSync checks that Reopen reports corruption if a disk has lost data that it had synced.
func TestLostSync(t *testing.T) {
	fs := newFaultyFS(1)
	log, _ := open(t, fs, testConfig)
	if err := log.Append([]byte("promise")); err != nil {
		t.Fatal(err)
	}
	before := fs.snapshot()
	if err := log.Sync(); err != nil {
		t.Fatal(err)
	}
	clear(before.files["ring-001"].cache[32:])
	fs.broken = true
	if err := log.Append([]byte("more")); !errors.Is(err, wal.ErrDisk) {
		t.Fatal(err)
	}
	fs.broken = false
	fs.files = before.files
	for _, f := range fs.files {
		f.fs = fs
	}
	if _, err := log.Reopen(); !errors.Is(err, wal.ErrCorrupt) || !strings.Contains(err.Error(), "start again as an empty node") {
		t.Fatal(err)
	}
}

// TestFullDisk checks that a full disk is reported with its own remedy, that the records are
// returned nevertheless, and that the log opens once there is space.
func TestFullDisk(t *testing.T) {
	fs, want := newSyncedLog(t, testConfig, 5)
	fs.full = true
	got, err := tryOpen(fs, testConfig)
	if !errors.Is(err, wal.ErrDisk) || !errors.Is(err, syscall.ENOSPC) || !strings.Contains(err.Error(), "free space where the data folder lies") {
		t.Fatal(err)
	}
	if !slices.Equal(got, want) {
		t.Fatalf("%d of %d records were returned", len(got), len(want))
	}
	fs.full = false
	log, got := open(t, fs, testConfig)
	if !slices.Equal(got, want) {
		t.Fatalf("%d of %d records were replayed", len(got), len(want))
	}
	fs.full = true
	if err := log.Append([]byte("refused")); !errors.Is(err, syscall.ENOSPC) {
		t.Fatal(err)
	}
	fs.full = false
	if got, err = reopen(log); err != nil || !slices.Equal(got, want) {
		t.Fatalf("%d of %d records once there was space: %v", len(got), len(want), err)
	}
	empty := newFaultyFS(1)
	empty.full = true
	if _, err := tryOpen(empty, testConfig); !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("files could not be created: %v", err)
	}
	empty.full = false
	if _, err := tryOpen(empty, testConfig); err != nil {
		t.Fatal(err)
	}
}

// FuzzRecovery checks that opening files with arbitrary content returns records or a typed
// error, and that a log that opens can be appended to and reopened with all its records.
func FuzzRecovery(f *testing.F) {
	fs := newFaultyFS(1)
	log, _, err := wal.Open(fs, smallestConfig)
	if err != nil {
		f.Fatal(err)
	}
	for i := 0; i < 12; i++ {
		if err := errors.Join(log.Append(make([]byte, 500)), log.Sync()); err != nil {
			f.Fatal(err)
		}
	}
	if err := log.Checkpoint([][]byte{[]byte("a=1"), []byte("b=1")}); err != nil {
		f.Fatal(err)
	}
	var intact []byte
	for i := 0; i < smallestConfig.SegmentCount; i++ {
		intact = append(intact, fs.files[fmt.Sprintf("ring-%03d", i)].cache...)
	}
	f.Add(intact, uint32(0), byte(0))
	f.Add(intact, uint32(4096+8), byte(1))
	f.Add(intact, uint32(2*4096+36), byte(255))
	f.Add(intact[:6000], uint32(40), byte(7))
	// The first segment is erased, and the header of the second is damaged (found by fuzzing).
	firstErased := slices.Clone(intact)
	clear(firstErased[smallestConfig.SegmentBytes : 2*smallestConfig.SegmentBytes])
	f.Add(firstErased, uint32(2*smallestConfig.SegmentBytes+8), byte(1))
	f.Add([]byte("VTRING02"), uint32(0), byte(0))
	f.Fuzz(func(t *testing.T, content []byte, at uint32, flip byte) {
		fs := newFaultyFS(1)
		for i := 0; i < smallestConfig.SegmentCount; i++ {
			cache := make([]byte, smallestConfig.SegmentBytes)
			copy(cache, content[min(len(content), i*int(smallestConfig.SegmentBytes)):])
			fs.files[fmt.Sprintf("ring-%03d", i)] = &faultyFile{fs: fs, cache: cache, durable: slices.Clone(cache)}
		}
		if n := uint32(smallestConfig.SegmentCount) * uint32(smallestConfig.SegmentBytes); at < n {
			fs.files[fmt.Sprintf("ring-%03d", at/uint32(smallestConfig.SegmentBytes))].cache[at%uint32(smallestConfig.SegmentBytes)] ^= flip
		}
		log, raw, err := wal.Open(fs, smallestConfig)
		if err != nil {
			if !isTyped(err) {
				t.Fatal(err)
			}
			return
		}
		err = errors.Join(log.Append([]byte("x")), log.Sync())
		if err != nil && !errors.Is(err, wal.ErrFull) {
			t.Fatal(err)
		}
		again, reopenErr := reopen(log)
		if reopenErr != nil || len(again) < len(raw) || err == nil && len(again) != len(raw)+1 {
			t.Fatalf("%d records became %d: %v", len(raw), len(again), reopenErr)
		}
	})
}
