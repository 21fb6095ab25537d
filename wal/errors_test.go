package wal_test

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"syscall"
	"testing"

	"violetthread/wal"
)

// TestTypedErrors checks that each kind of error exposes its details to errors.As and matches
// only its own sentinel.
func TestTypedErrors(t *testing.T) {
	for _, test := range []struct {
		name     string
		sentinel error
		damage   func(fs *faultyFS)
		details  func(err error) bool
	}{
		{"corruption", wal.ErrCorrupt,
			func(fs *faultyFS) { fs.files["ring-001"].cache[8] ^= 1 },
			func(err error) bool {
				var typed *wal.CorruptionError
				return errors.As(err, &typed) && typed.File == 1 && typed.Offset == 0
			}},
		{"another version", wal.ErrVersion,
			func(fs *faultyFS) {
				content := fs.files["ring-001"].cache
				copy(content, "VTRING07")
				binary.LittleEndian.PutUint32(content[24:], crc32.Checksum(content[:24], crc32.MakeTable(crc32.Castagnoli)))
			},
			func(err error) bool {
				var typed *wal.VersionError
				return errors.As(err, &typed) && typed.File == 1 && typed.Found == "VTRING07"
			}},
		{"another layout", wal.ErrLayout,
			func(fs *faultyFS) { fs.files["ring-002"].cache = fs.files["ring-002"].cache[:100] },
			func(err error) bool {
				var typed *wal.LayoutError
				return errors.As(err, &typed) && typed.File == 2
			}},
		{"disk", wal.ErrDisk,
			func(fs *faultyFS) { fs.broken = true },
			func(err error) bool {
				var typed *wal.DiskError
				return errors.As(err, &typed) && typed.Op == "write" && errors.Is(typed.Err, syscall.EIO)
			}},
	} {
		t.Run(test.name, func(t *testing.T) {
			fs, _ := newSyncedLog(t, testConfig, 3)
			test.damage(fs)
			_, err := tryOpen(fs, testConfig)
			if !test.details(err) {
				t.Fatalf("%v (%T)", err, err)
			}
			for _, sentinel := range []error{wal.ErrCorrupt, wal.ErrVersion, wal.ErrLayout, wal.ErrDisk, wal.ErrFull} {
				if errors.Is(err, sentinel) != (sentinel == test.sentinel) {
					t.Errorf("%v matches %v: got %v", err, sentinel, errors.Is(err, sentinel))
				}
			}
		})
	}
}

// TestFullError checks the remedy for a record that never fits into the segments which Append may
// use, and that one byte less does fit.
func TestFullError(t *testing.T) {
	log, _ := open(t, newFaultyFS(1), testConfig)
	err := log.Append(make([]byte, largestRecord(testConfig)+1))
	var full *wal.FullError
	if !errors.As(err, &full) || !errors.Is(err, wal.ErrFull) || full.Remedy != "raise ring_bytes (fixed under a deploy file), with an empty data folder" {
		t.Fatalf("%v (%T)", err, err)
	}
	if err := log.Append(make([]byte, largestRecord(testConfig))); err != nil {
		t.Fatal(err)
	}
}
