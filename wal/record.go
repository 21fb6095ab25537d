package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// The layout of headers and records; doc.go describes it byte by byte.
const (
	magic       = "VTRING01"
	magicPrefix = "VTRING" // common to all versions of the format

	headerBytes       = 32
	headerSequence    = 8
	headerPreviousEnd = 16
	headerChecksum    = 24

	recordHeaderBytes = 20
	recordChecksum    = 4
	recordSynced      = 8
	recordTypeOffset  = 16
	recordAlignment   = 8
)

// recordType is stored on disk: its values must not change.
type recordType byte

const (
	typeData recordType = 1 + iota
	typeCheckpointBegin
	typeCheckpointData
	typeCheckpointEnd
	// The fragments of a data record that does not fit into one segment.
	typeDataFirst
	typeDataMiddle
	typeDataLast
	// The same of a checkpoint's data record.
	typeCheckpointDataFirst
	typeCheckpointDataMiddle
	typeCheckpointDataLast
)

func (t recordType) valid() bool { return typeData <= t && t <= typeCheckpointDataLast }

var recordTypeNames = [...]string{
	"data", "checkpoint begin", "checkpoint data", "checkpoint end",
	"data first", "data middle", "data last",
	"checkpoint data first", "checkpoint data middle", "checkpoint data last",
}

// String returns the name of the type, for debugging.
func (t recordType) String() string {
	if !t.valid() {
		return "invalid"
	}
	return recordTypeNames[t-typeData]
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one decoded record.
type record struct {
	recordType recordType
	sequence   uint64 // of the segment that contains it
	synced     uint64 // position up to which the log was synced when the record was written
	data       []byte
}

// recordBytes is the size in a segment of a record with the given number of data bytes,
// including header and padding.
func recordBytes(dataBytes int) int64 {
	return (int64(recordHeaderBytes+dataBytes) + recordAlignment - 1) &^ (recordAlignment - 1)
}

// encodeRecord encodes a record for an offset of a segment; the checksum depends on it.
func encodeRecord(rec record, offset int64) []byte {
	out := make([]byte, recordBytes(len(rec.data)))
	binary.LittleEndian.PutUint32(out, uint32(len(rec.data)))
	binary.LittleEndian.PutUint64(out[recordSynced:], rec.synced)
	out[recordTypeOffset] = byte(rec.recordType)
	copy(out[recordHeaderBytes:], rec.data)
	sum := checksum(rec.sequence, offset, out[:recordHeaderBytes], rec.data)
	binary.LittleEndian.PutUint32(out[recordChecksum:], sum)
	return out
}

// decodeRecord decodes the record at an offset of a segment; its data is a copy. It returns
// false if there is no record with a valid checksum.
func decodeRecord(segment []byte, sequence uint64, offset int64) (record, bool) {
	if offset+recordHeaderBytes > int64(len(segment)) {
		return record{}, false
	}
	header := segment[offset : offset+recordHeaderBytes]
	end := offset + recordHeaderBytes + int64(binary.LittleEndian.Uint32(header))
	storedType := recordType(header[recordTypeOffset])
	if !storedType.valid() || end > int64(len(segment)) {
		return record{}, false
	}
	data := segment[offset+recordHeaderBytes : end]
	if binary.LittleEndian.Uint32(header[recordChecksum:]) != checksum(sequence, offset, header, data) {
		return record{}, false
	}
	synced := binary.LittleEndian.Uint64(header[recordSynced:])
	return record{storedType, sequence, synced, append([]byte(nil), data...)}, true
}

// checksum covers a record's location as well as its content, so that a record of an earlier
// segment in the same file is never taken for one of this segment.
func checksum(sequence uint64, offset int64, header, data []byte) uint32 {
	var location [16]byte
	binary.LittleEndian.PutUint64(location[:], sequence)
	binary.LittleEndian.PutUint64(location[8:], uint64(offset))
	sum := crc32.Update(0, castagnoli, location[:])
	sum = crc32.Update(sum, castagnoli, header[:recordChecksum])
	sum = crc32.Update(sum, castagnoli, header[recordSynced:])
	return crc32.Update(sum, castagnoli, data)
}

func encodeHeader(sequence uint64, previousEnd int64) []byte {
	out := make([]byte, headerBytes)
	copy(out, magic)
	binary.LittleEndian.PutUint64(out[headerSequence:], sequence)
	binary.LittleEndian.PutUint64(out[headerPreviousEnd:], uint64(previousEnd))
	binary.LittleEndian.PutUint32(out[headerChecksum:], crc32.Checksum(out[:headerChecksum], castagnoli))
	return out
}

// decodeHeader decodes a segment's header; ok is false if the header is blank or damaged.
func decodeHeader(segment []byte) (sequence uint64, previousEnd int64, ok bool) {
	sequence = binary.LittleEndian.Uint64(segment[headerSequence:])
	previousEnd = int64(binary.LittleEndian.Uint64(segment[headerPreviousEnd:]))
	ok = sequence != 0 && string(encodeHeader(sequence, previousEnd)) == string(segment[:headerBytes])
	return sequence, previousEnd, ok
}

// isOtherVersion reports whether the segment has a header of another version of this format
// with a valid checksum.
func isOtherVersion(segment []byte) bool {
	if string(segment[:len(magicPrefix)]) != magicPrefix || string(segment[:len(magic)]) == magic {
		return false
	}
	return crc32.Checksum(segment[:headerChecksum], castagnoli) == binary.LittleEndian.Uint32(segment[headerChecksum:])
}

func isZero(content []byte) bool {
	for _, value := range content {
		if value != 0 {
			return false
		}
	}
	return true
}
