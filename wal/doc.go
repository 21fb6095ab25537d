// Package wal is a write-ahead log: records are appended in order to preallocated segment
// files, synced, and replayed after a crash. It has the role of etcd's wal package for Raft
// and makes the same assumption (docs/design.md section 5): a voter replies to a message
// only after everything that the reply depends on has been synced.
//
// # Use
//
// [Open] returns the log and the records to replay. [Log.Append] writes a record, which is
// durable once [Log.Sync] has returned. A checkpoint contains the complete current state
// ([Log.BeginCheckpoint], [Log.AppendCheckpoint], [Log.EndCheckpoint]); once it is complete,
// the segments before the one in which it begins can be reused. Records appended while a
// checkpoint is being written are kept, and are replayed after the checkpoint.
//
// A Log must be used by one goroutine at a time. The storage code of violetthread-control
// calls it from the goroutine that writes to the disk; the simulator has a single goroutine.
// Only one process may use the files, which osdisk.Directory.Lock ensures.
//
// # Files
//
// The log consists of Config.SegmentCount files of exactly Config.SegmentBytes bytes, named
// ring-000, ring-001 and so on. All are filled with zeros and synced before the first
// record is written, so that appending never changes a file's length or allocates space.
// Segments have sequence numbers that start at 1 and increase by 1; the segment with
// sequence number s is stored in file s mod SegmentCount. All integers are little-endian,
// and all checksums are CRC-32C (Castagnoli).
//
// A segment begins with a header of 32 bytes:
//
//	offset  bytes  field
//	0       8      "VTRING01": format and its version
//	8       8      sequence number of the segment, 0 in a file that was never used
//	16      8      offset at which the preceding segment ends, 0 for the first
//	24      4      checksum of bytes 0..23
//	28      4      zero
//
// Records follow. Each starts at a multiple of 8 and is padded with zeros to one:
//
//	offset  bytes  field
//	0       4      length n of the data
//	4       4      checksum, see below
//	8       8      synced position, see below
//	16      1      type, see below
//	17      3      zero
//	20      n      data
//
// The types are 1 data, 2 checkpoint begin, 3 checkpoint data and 4 checkpoint end. A data record
// that does not fit into one segment is written as fragments, one in each segment that it spans: 5
// first, 6 middle, 7 last, or 8, 9 and 10 in a checkpoint. A record whose last fragment is missing
// does not exist; the next record that is no later fragment of it shows that it was never completed.
//
// The checksum covers, in this order: the sequence number of the segment (8 bytes), the
// record's offset in the segment (8 bytes), bytes 0..3 and 8..19 of the record, and the
// data. A record left over from an earlier segment in the same file therefore fails the
// checksum, and so does a record that was copied to another offset.
//
// A position is a byte offset in the whole log: sequence number * SegmentBytes + offset. The
// synced position of a record is the position up to which everything had been synced when
// the record was written. Recovery uses it to detect the loss of synced data.
//
// # State after a crash
//
// Everything that was synced is on the medium. Any part of the remaining writes may be there
// too: the tail may be torn, and later sectors may have been written without earlier ones. A
// segment is written in full, with its header, and synced before its first record, so a
// crash may also leave a damaged header that is followed by no record. A checkpoint without
// its end record is ignored, but the data records interleaved with it are not.
//
// # Recovery
//
// Open reads every file and takes, in each segment, the records from the header up to the
// first that fails its checksum. It then decides:
//
//   - The records to replay are those from the beginning of the newest complete checkpoint:
//     first the checkpoint's own records, then the data records that were appended since it
//     began. Without a checkpoint they are all data records from segment 1.
//   - The end of a segment's valid records is treated as a torn tail, unless there is
//     evidence that synced data is missing: a later record in the file whose synced position
//     is past that end, or a following segment whose header gives another end for this one.
//     Either one is an error that matches [ErrCorrupt].
//   - A missing header between the oldest needed and the newest segment, records after
//     a damaged header, and a first segment other than 1 without a checkpoint match
//     ErrCorrupt as well.
//   - The newest segment is then rewritten with the content that was read, followed by zeros,
//     and synced: the content may have come from a page cache that an earlier process failed
//     to sync, and the remains of a torn tail must not be taken for later records.
//
// A number or length of files that differs from the Config matches [ErrLayout], and a valid
// header of another format version matches [ErrVersion]. In all these cases nothing is
// written, and the error contains the remedy. Damage to the very last synced batch, with
// no record after it, can't be distinguished from a torn tail; replication to a majority of
// voters covers this case.
//
// # Disk errors
//
// After a failed write or sync, the state of unsynced data is unknown: it may be on the
// medium in full, in part, or not at all, and a later sync that succeeds does not cover it
// (Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC 2020).
// Every later call fails with the same error, which matches [ErrDisk], until [Log.Reopen]
// has read the files again.
package wal
