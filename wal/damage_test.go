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

// tryOpen is open for a log that may be refused.
func tryOpen(fs wal.FS, config wal.Config) ([]string, error) {
	_, raw, err := wal.Open(fs, config)
	var out []string
	for _, data := range raw {
		out = append(out, string(data))
	}
	return out, err
}

// smallest is the smallest log.
var smallestConfig = wal.Config{SegmentCount: 3, SegmentBytes: 4096}

// written is a log that holds so many synced records, and those that must be read back.
func written(t *testing.T, config wal.Config, n int) (*faultyFS, []string) {
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

// TestFlippedByte: whichever byte of any file flips, the log opens with all that was
// synced or says that it can't; only the very last synced batch may be taken for a torn
// tail (design §5).
func TestFlippedByte(t *testing.T) {
	full, want := written(t, smallestConfig, 30) // two of its files
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
				t.Fatalf("%s byte %d: %d of %d records came back without a word", name, i, len(got), len(want))
			}
		}
	}
}

// TestCutFile: a file that was cut at any byte, or is gone, is never taken for one whose
// end was not written yet.
func TestCutFile(t *testing.T) {
	full, _ := written(t, smallestConfig, 30)
	for name := range full.files {
		for i := 0; i < int(smallestConfig.SegmentBytes); i++ {
			fs := full.snapshot()
			f := fs.files[name]
			f.cache, f.durable = f.cache[:i], f.durable[:i]
			if _, err := tryOpen(fs, smallestConfig); !errors.Is(err, wal.ErrLayout) || !strings.Contains(err.Error(), "start again as an empty node") {
				t.Fatalf("%s cut at %d: %v", name, i, err)
			}
			if len(fs.files[name].cache) != i {
				t.Fatalf("%s cut at %d was changed", name, i)
			}
		}
		fs := full.snapshot()
		delete(fs.files, name)
		if _, err := tryOpen(fs, smallestConfig); !errors.Is(err, wal.ErrLayout) {
			t.Fatalf("%s is gone: %v", name, err)
		}
	}
}

// TestCutWhileMade: a log whose files were being made when the process ended opens empty.
func TestCutWhileMade(t *testing.T) {
	for made := 0; made < testConfig.SegmentCount; made++ {
		for _, part := range []int64{0, 1, 31, 32, 33, testConfig.SegmentBytes - 1} {
			fs := newFaultyFS(1)
			for i := 0; i < made; i++ {
				_, _ = fs.Open(fmt.Sprintf("ring-%03d", i), testConfig.SegmentBytes)
			}
			_, _ = fs.Open(fmt.Sprintf("ring-%03d", made), part)
			if got, err := tryOpen(fs, testConfig); err != nil || len(got) != 0 {
				t.Fatalf("%d files and %d bytes made: %v", made, part, err)
			}
		}
	}
}

// TestTornHeader: a file whose header was cut off at any byte while it was being started
// is written anew; nothing is lost and nothing is refused.
func TestTornHeader(t *testing.T) {
	for torn := 0; torn <= 40; torn++ {
		for turn := 0; turn < 2; turn++ { // a new file, and one that is used again
			fs := newFaultyFS(1)
			log, _ := open(t, fs, testConfig)
			if turn == 1 {
				for i := 0; i < 3; i++ {
					fillFiles(t, log, 2)
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
						fs.broken = true // the next is the start of a file
					}
				}
				if n > 100 {
					t.Fatal("no file was started")
				}
			}
			fs.broken = false
			if _, err := tryOpen(fs, testConfig); err != nil {
				t.Fatalf("header torn at %d, turn %d: %v", torn, turn, err)
			}
		}
	}
}

func fillFiles(t *testing.T, log *wal.Log, files int) {
	t.Helper()
	for i := 0; i < files*7; i++ {
		if err := log.Append(make([]byte, 500)); err != nil {
			t.Fatal(err)
		}
	}
	if err := log.Sync(); err != nil {
		t.Fatal(err)
	}
}

// TestNewerFormat: files of another version are left as they are.
func TestNewerFormat(t *testing.T) {
	fs, _ := written(t, testConfig, 3)
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

// TestOtherSizes: a log in use is not opened with other sizes, and opens with its own.
func TestOtherSizes(t *testing.T) {
	for _, other := range []wal.Config{{SegmentCount: 6, SegmentBytes: 4096}, {SegmentCount: 4, SegmentBytes: 4096}, {SegmentCount: 5, SegmentBytes: 8192}, {SegmentCount: 10, SegmentBytes: 8192}} {
		fs, want := written(t, testConfig, 30)
		if _, err := tryOpen(fs, other); !errors.Is(err, wal.ErrLayout) || !strings.Contains(err.Error(), "start with the sizes that the log was made with (ring_files, ring_bytes; fixed under a deploy file)") {
			t.Fatalf("%+v: %v", other, err)
		}
		if got, err := tryOpen(fs, testConfig); err != nil || !slices.Equal(got, want) {
			t.Fatalf("after %+v: %v", other, err)
		}
	}
}

// TestCheckpointCutShort: a checkpoint that is cut at any of its writes, and at any byte
// of it, leaves the state before it and all that was appended between its parts. The
// process is killed there, the power is lost, or the disk refuses once.
func TestCheckpointCutShort(t *testing.T) {
	ends := map[string]func(*faultyFS, *wal.Log) ([][]byte, error){
		"killed": func(fs *faultyFS, _ *wal.Log) ([][]byte, error) { _, r, err := wal.Open(fs, testConfig); return r, err },
		"power": func(fs *faultyFS, _ *wal.Log) ([][]byte, error) {
			fs.powerLoss()
			_, r, err := wal.Open(fs, testConfig)
			return r, err
		},
		"refused": func(_ *faultyFS, log *wal.Log) ([][]byte, error) { return log.Reopen() },
	}
	for how, end := range ends {
		t.Run(how, func(t *testing.T) {
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
					between, err := checkpointWithAppend(log)
					if err == nil {
						complete = true
						break
					}
					raw, err := end(fs, log)
					if err != nil {
						t.Fatalf("cut at write %d after %d bytes: %v", at, torn, err)
					}
					got := state(raw)
					if got["a"] != "2" || got["b"] != "1" || between && got["c"] != "1" {
						t.Fatalf("cut at write %d after %d bytes: %v", at, torn, got)
					}
				}
			}
		})
	}
}

// checkpointWithAppend restates a=2 b=1 with c=1 appended and synced between its parts.
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

// TestReopen: after an operation that failed, at any place of a long run, the log is
// read anew with all that was synced; whatever it returns lasts from then on, also when
// the power goes at once, and the run goes on as if nothing had been.
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
					// The checkpoint was whole on the disk though its sync failed.
					live, synced, err = slices.Clone(kept), len(kept), nil
				} else if reErr == nil {
					live, synced, err = checkPrefix(t, seed, got, live, synced), len(got), nil
				}
			case k < 6:
				next++
				rec := fmt.Sprintf("%d-%s", next, make([]byte, rng.Intn(200)))
				live = append(live, rec) // also one that failed may be on the disk
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
				t.Fatalf("seed %d: a sync after a failure ended in %v", seed, again)
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
			t.Fatalf("seed %d: nothing failed", seed)
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
		t.Fatalf("seed %d: %d records, %d synced of %d", seed, len(got), synced, len(live))
	}
	return slices.Clone(got)
}

// TestReopenNotRetried: a sync that failed is not covered by one that succeeds later.
// What was appended before it lasts only once the log was read and written anew.
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
	// The cache still shows the record, and the medium may have any part of it.
	raw, err := log.Reopen()
	if err != nil {
		t.Fatal(err)
	}
	fs.powerLoss()
	if _, got := open(t, fs, testConfig); len(got) != len(raw) {
		t.Fatalf("reopened with %d records, %d after a power loss", len(raw), len(got))
	}
}

// TestOpenAfterFailedSync: what a new process reads behind a failed sync of the one
// before lasts once Open has returned.
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

// TestLostSync: a disk that came back without what it had synced is not trusted again.
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

// TestFullDisk: a full disk is told apart, names its remedy, gives the records back that
// are there, and opens once there is room.
func TestFullDisk(t *testing.T) {
	fs, want := written(t, testConfig, 5)
	fs.full = true
	got, err := tryOpen(fs, testConfig)
	if !errors.Is(err, wal.ErrDisk) || !errors.Is(err, syscall.ENOSPC) || !strings.Contains(err.Error(), "free space where the data folder lies") {
		t.Fatal(err)
	}
	if !slices.Equal(got, want) {
		t.Fatalf("%d of %d records were shown", len(got), len(want))
	}
	fs.full = false
	log, got := open(t, fs, testConfig)
	if !slices.Equal(got, want) {
		t.Fatalf("%d of %d records came back", len(got), len(want))
	}
	fs.full = true
	if err := log.Append([]byte("refused")); !errors.Is(err, syscall.ENOSPC) {
		t.Fatal(err)
	}
	fs.full = false
	if got, err = reopen(log); err != nil || !slices.Equal(got, want) {
		t.Fatalf("%d of %d records after there was room: %v", len(got), len(want), err)
	}
	empty := newFaultyFS(1)
	empty.full = true
	if _, err := tryOpen(empty, testConfig); !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("no file could be made: %v", err)
	}
	empty.full = false
	if _, err := tryOpen(empty, testConfig); err != nil {
		t.Fatal(err)
	}
}

// FuzzRecovery: whatever the files hold, opening ends in records or a typed error, nothing
// is taken that was not written whole, and a log that opens can be written and reopened.
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
	var whole []byte
	for i := 0; i < smallestConfig.SegmentCount; i++ {
		whole = append(whole, fs.files[fmt.Sprintf("ring-%03d", i)].cache...)
	}
	f.Add(whole, uint32(0), byte(0))
	f.Add(whole, uint32(4096+8), byte(1))
	f.Add(whole, uint32(2*4096+36), byte(255))
	f.Add(whole[:6000], uint32(40), byte(7))
	// The first file is gone, and the header of the second is damaged (found by fuzzing).
	firstGone := slices.Clone(whole)
	clear(firstGone[smallestConfig.SegmentBytes : 2*smallestConfig.SegmentBytes])
	f.Add(firstGone, uint32(2*smallestConfig.SegmentBytes+8), byte(1))
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
