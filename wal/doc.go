// Package wal is a write-ahead log: records are appended in order to preallocated segment
// files, synced, and read back after a crash. It plays the part that the wal package of
// etcd plays for Raft, and rests on the same premise (docs/design.md section 5): a voter
// answers a message only when everything that the answer promises has been synced.
//
// # Use
//
// [Open] returns the log and the records to apply. [Log.Append] writes a record, which
// lasts once [Log.Sync] has returned. A checkpoint restates all that still matters
// ([Log.BeginCheckpoint], [Log.AppendCheckpoint], [Log.EndCheckpoint]); the segments
// before its beginning are then free for reuse. Records appended while a checkpoint is
// being written are kept, and are applied after the checkpoint.
//
// A Log belongs to one goroutine at a time. The storage code of violetthread-control calls
// it from the goroutine that writes the disk; the simulator calls it from its only one.
// One process alone may use the files, which osdisk.Directory.Lock ensures.
//
// # Files
//
// The log has Config.SegmentCount files of exactly Config.SegmentBytes bytes, named
// ring-000, ring-001 and so on. All are filled with zeros and synced before the first
// record, so that appending never changes a file's length or allocates space. Segments
// have sequence numbers that start at 1 and rise by 1; the segment with sequence number s
// lies in file s mod SegmentCount. All integers are little-endian, and all checksums are
// CRC-32C (Castagnoli).
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
//	16      1      type: 1 data, 2 checkpoint begins, 3 checkpoint data, 4 checkpoint ends
//	17      3      zero
//	20      n      data
//
// The checksum covers, in this order: the sequence number of the segment (8 bytes), the
// record's offset in it (8 bytes), bytes 0..3 and 8..19 of the record, and the data. A
// record of an earlier segment that lay in the same file therefore never passes for one
// of this segment, and neither does one that was copied to another offset.
//
// A position is a place in the whole log: sequence number * SegmentBytes + offset. The
// synced position of a record is the one up to which everything had been synced when the
// record was written. It is what recovery proves losses with.
//
// # What a crash may leave
//
// Whatever was synced is on the medium. Of the rest, any part may be there: the
// tail may be torn, and later sectors may have been written without earlier ones. A segment is written whole, with its header, and synced before its first
// record, so that a crash may also leave a damaged header with no record behind it. A
// checkpoint without its end record does not count, but the data records between its
// parts do.
//
// # Recovery
//
// Open reads every file and takes, in each segment, the records from the header up to the
// first that fails its checksum. It then decides:
//
//   - The records to apply are those from the beginning of the newest complete checkpoint:
//     first the checkpoint's own, then the data records that were appended since its
//     beginning. Without a checkpoint they are all data records from segment 1.
//   - Where a segment's records stop is a torn tail, unless something proves that synced
//     data is gone: a later record in the file whose synced position lies past that place,
//     or a following segment whose header names another end of this one. Either one is an
//     error that matches [ErrCorrupt].
//   - A missing header between the oldest needed and the newest segment, records behind
//     a damaged header, and a first segment other than 1 without a checkpoint match
//     ErrCorrupt as well.
//   - The newest segment is then written as it was read, with zeros behind it, and synced:
//     what was read may have come from a cache that a failed sync of an earlier process
//     left behind, and remains of a torn tail must not pass for later records.
//
// Files of other lengths or another number than the Config says match [ErrLayout], a valid
// header of another format version matches [ErrVersion]. In all these cases nothing is
// written, and the error names the remedy. Damage to the very last synced batch, with
// nothing behind it, can't be told from a torn tail; the majority of voters covers that.
//
// # Failures of the disk
//
// After a write or sync that failed, nothing is known of what was not synced: it may be on
// the medium, in part, or not at all, and a later sync that succeeds does not cover it
// (Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC 2020).
// Every later call fails with the same error, which matches [ErrDisk], until [Log.Reopen]
// has read the files anew.
package wal
