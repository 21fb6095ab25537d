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

// TestPowerLoss checks that synced records are replayed in order after power losses at random
// points, while segments are reused many times.
func TestPowerLoss(t *testing.T) {
	for seed := int64(1); seed <= 200; seed++ {
		r := newPowerLossRun(t, seed, testConfig, 120)
		for step := 0; step < 300; step++ {
			r.step()
		}
	}
}

// powerLossRun writes and checkpoints a log, and opens it again after power losses.
type powerLossRun struct {
	t        *testing.T
	seed     int64
	config   wal.Config
	maxBytes int // of a record, without its number
	rng      *rand.Rand
	disk     *sim.Disk
	log      *wal.Log

	live         []string // records since the last checkpoint
	synced       int      // number of live records that are synced and must be replayed
	recordNumber int      // of the last record

	checkpointing  bool
	checkpointFrom int      // index in live of the first record that the checkpoint keeps
	checkpointRest [][]byte // records not yet written to the checkpoint
}

func newPowerLossRun(t *testing.T, seed int64, config wal.Config, maxBytes int) *powerLossRun {
	t.Helper()
	disk := sim.NewDisk(sim.NewWorld(seed))
	log, _ := open(t, disk, config)
	return &powerLossRun{t: t, seed: seed, config: config, maxBytes: maxBytes, rng: rand.New(rand.NewSource(seed)), disk: disk, log: log}
}

func (r *powerLossRun) step() {
	r.t.Helper()
	if r.checkpointing && r.rng.Intn(2) == 0 {
		r.advanceCheckpoint()
	}
	switch choice := r.rng.Intn(20); {
	case choice < 14:
		r.append()
	case choice < 18:
		r.requireNoError(r.log.Sync())
		r.synced = len(r.live)
	default:
		r.losePower()
	}
	if r.log.UsedPermille() > 250 && !r.checkpointing {
		r.beginCheckpoint()
	}
}

func (r *powerLossRun) requireNoError(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatalf("seed %d: %v", r.seed, err)
	}
}

func (r *powerLossRun) append() {
	r.t.Helper()
	r.recordNumber++
	text := fmt.Sprintf("%d-%s", r.recordNumber, make([]byte, r.rng.Intn(r.maxBytes)))
	r.requireNoError(r.log.Append([]byte(text)))
	r.live = append(r.live, text)
}

func (r *powerLossRun) losePower() {
	r.t.Helper()
	r.disk.PowerLoss()
	var got []string
	r.log, got = open(r.t, r.disk, r.config)
	r.checkpointing = false // an incomplete checkpoint is ignored
	if len(got) < r.synced || len(got) > len(r.live) {
		r.t.Fatalf("seed %d: replayed %d records, %d synced of %d", r.seed, len(got), r.synced, len(r.live))
	}
	for i := range got {
		if got[i] != r.live[i] {
			r.t.Fatalf("seed %d: record %d is %q, want %q", r.seed, i, got[i], r.live[i])
		}
	}
	r.live, r.synced = got, len(got)
}

// beginCheckpoint begins a checkpoint of the last few records, which stand in for the live
// state. Other records are appended while it is being written.
func (r *powerLossRun) beginCheckpoint() {
	r.t.Helper()
	r.checkpointFrom = max(0, len(r.live)-4)
	r.checkpointRest = nil
	for _, text := range r.live[r.checkpointFrom:] {
		r.checkpointRest = append(r.checkpointRest, []byte(text))
	}
	r.requireNoError(r.log.BeginCheckpoint())
	r.checkpointing = true
}

func (r *powerLossRun) advanceCheckpoint() {
	r.t.Helper()
	if len(r.checkpointRest) > 0 {
		r.requireNoError(r.log.AppendCheckpoint(r.checkpointRest[:1]))
		r.checkpointRest = r.checkpointRest[1:]
		return
	}
	r.requireNoError(r.log.EndCheckpoint())
	r.live, r.checkpointing = r.live[r.checkpointFrom:], false
	r.synced = len(r.live)
}

// TestFlippedBit checks that a flipped bit in synced data is detected: the damaged record must
// not be returned or taken for a torn tail, as long as a later record was synced.
func TestFlippedBit(t *testing.T) {
	world := sim.NewWorld(1)
	rng := rand.New(rand.NewSource(7))
	detected := 0
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
		offset := int64(32 + rng.Intn(39*32)) // not in the last record, which can't be told from a torn tail
		_, _ = file.ReadAt(buffer, offset)
		buffer[0] ^= 1 << rng.Intn(8)
		_, _ = file.WriteAt(buffer, offset)
		_, raw, err := wal.Open(disk, testConfig)
		switch {
		case errors.Is(err, wal.ErrCorrupt):
			detected++
		case err != nil:
			t.Fatal(err)
		default:
			// Only a flip in the padding may go undetected.
			for j, text := range raw {
				if string(text) != want[j] {
					t.Fatalf("bit flipped at %d: record %d replayed as %q", offset, j, text)
				}
			}
			if len(raw) != len(want) {
				t.Fatalf("bit flipped at %d: %d of %d records replayed without an error", offset, len(raw), len(want))
			}
		}
	}
	if detected < 200 {
		t.Fatalf("detected only %d of 300 flipped bits", detected)
	}
}

// TestFull checks that a full log rejects a record and keeps the earlier ones, and that a
// checkpoint still fits and frees space.
func TestFull(t *testing.T) {
	disk := sim.NewDisk(sim.NewWorld(1))
	log, _ := open(t, disk, testConfig)
	count := 0
	var err error
	for ; err == nil; count++ {
		err = log.Append(make([]byte, 500))
	}
	if !errors.Is(err, wal.ErrFull) || count < 15 {
		t.Fatalf("after %d records: %v", count, err)
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
		t.Fatalf("replayed %q", got)
	}
}

// TestFailedSync checks that after a failed sync every call fails, even if the disk works again.
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

// TestDirectory tests osdisk: records are durable, and the lock excludes a second process.
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
		t.Fatal("the lock was taken twice")
	}
	_ = lock.Close()
	if _, got := open(t, directory, testConfig); fmt.Sprint(got) != "[kept]" {
		t.Fatalf("replayed %q", got)
	}
}

// FuzzOpen checks that opening files with arbitrary content returns records or an error.
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
