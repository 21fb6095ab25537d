package wal_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"violetthread/sim"
	"violetthread/wal"
)

// Sizes of the format (doc.go).
const (
	segmentHeaderBytes = 32
	recordHeaderBytes  = 20
)

// largestRecord returns how many bytes fit into an empty log: two fifths of its segments are reserved.
func largestRecord(config wal.Config) int {
	segments := config.SegmentCount - config.SegmentCount*2/5
	return segments * (fragmentBytes(config))
}

// fragmentBytes returns how much of a record fits into a whole segment.
func fragmentBytes(config wal.Config) int {
	return int(config.SegmentBytes) - segmentHeaderBytes - recordHeaderBytes
}

// fragmentConfig is that of logs with records of up to a few segments.
var fragmentConfig = wal.Config{SegmentCount: 64, SegmentBytes: 4096}

// TestRecordLargerThanSegment guards against a log that refuses a record because it does not fit into
// one segment: a voter that was sent such a record by its leader gave up its disk.
func TestRecordLargerThanSegment(t *testing.T) {
	whole := fragmentBytes(fragmentConfig)
	for _, size := range []int{whole - 1, whole, whole + 1, 2*whole - 1, 2 * whole, 2*whole + 1, 5 * whole, 5*whole + 7} {
		for _, before := range []int{0, 1, 100, 2000, 3050, 3100, whole - 30, whole} {
			t.Run(fmt.Sprint(size, " after ", before), func(t *testing.T) {
				disk := sim.NewDisk(sim.NewWorld(1))
				log, _ := open(t, disk, fragmentConfig)
				records := []string{strings.Repeat("b", before), strings.Repeat("x", size-1) + "y", "after", strings.Repeat("z", size)}
				for _, record := range records {
					if err := log.Append([]byte(record)); err != nil {
						t.Fatal(err)
					}
				}
				if err := log.Sync(); err != nil {
					t.Fatal(err)
				}
				disk.PowerLoss()
				log, got := open(t, disk, fragmentConfig)
				if !slices.Equal(got, records) {
					t.Fatalf("replayed %d records of %d", len(got), len(records))
				}
				// The same as records of a checkpoint, with a record appended meanwhile.
				checkpointWith(t, log, records, "meanwhile")
				disk.PowerLoss()
				if _, got = open(t, disk, fragmentConfig); !slices.Equal(got, append(records, "meanwhile")) {
					t.Fatalf("replayed %d records of %d after a checkpoint", len(got), len(records)+1)
				}
			})
		}
	}
}

// checkpointWith writes a checkpoint, and appends a record before the checkpoint's second one.
func checkpointWith(t *testing.T, log *wal.Log, records []string, appended string) {
	t.Helper()
	err := log.BeginCheckpoint()
	for i, record := range records {
		err = errors.Join(err, log.AppendCheckpoint([][]byte{[]byte(record)}))
		if i == 0 {
			err = errors.Join(err, log.Append([]byte(appended)))
		}
	}
	if err = errors.Join(err, log.EndCheckpoint()); err != nil {
		t.Fatal(err)
	}
}

// powerLossConfig has room for the checkpoints that power losses cut short in a whole run.
var powerLossConfig = wal.Config{SegmentCount: 256, SegmentBytes: 1 << 12}

// TestPowerLossWithFragments guards against a record that is replayed in part, or joined with the
// fragments of another one, after a power loss between its fragments.
func TestPowerLossWithFragments(t *testing.T) {
	for seed := int64(1); seed <= 50; seed++ {
		r := newPowerLossRun(t, seed, powerLossConfig, 2*int(powerLossConfig.SegmentBytes))
		for step := 0; step < 300; step++ {
			r.step()
		}
	}
}

// TestFragmentsWithoutRoom guards against fragments that are left in the log when there is no room for
// the rest of their record.
func TestFragmentsWithoutRoom(t *testing.T) {
	disk := sim.NewDisk(sim.NewWorld(1))
	log, _ := open(t, disk, testConfig)
	first := strings.Repeat("x", fragmentBytes(testConfig))
	if err := log.Append([]byte(first)); err != nil {
		t.Fatal(err)
	}
	used := log.UsedPermille()
	if err := log.Append(make([]byte, 3*testConfig.SegmentBytes)); !errors.Is(err, wal.ErrFull) {
		t.Fatal(err)
	}
	if log.UsedPermille() != used {
		t.Fatalf("%d thousandths are used, before %d", log.UsedPermille(), used)
	}
	if err := errors.Join(log.Append([]byte("second")), log.Sync()); err != nil {
		t.Fatal(err)
	}
	if _, got := open(t, disk, testConfig); !slices.Equal(got, []string{first, "second"}) {
		t.Fatalf("replayed %d records", len(got))
	}
}
