package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A file begins with a header: magic, generation, where the file before it ended, a
// checksum. Records follow, each at a multiple of 8: length, checksum, the position up
// to which everything was synced when it was written, kind, data. Numbers are
// little-endian. A record's checksum covers generation and offset as well, so that one
// of an earlier turn of the ring is never taken for one of this.
const (
	magic       = "VTRING01"
	magicFamily = "VTRING"
	headerLen   = 32
	recordLen   = 20
	alignment   = 8
)

type recordKind byte

const (
	kindData recordKind = 1 + iota
	kindBegin
	kindCheckpoint
	kindEnd
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one record as found.
type record struct {
	kind   recordKind
	gen    uint64
	synced uint64
	data   []byte
}

// span is what a record with so many bytes of data takes.
func span(dataLen int) int64 {
	return (int64(recordLen+dataLen) + alignment - 1) &^ (alignment - 1)
}

// encodeRecord lays a record out as it stands at an offset of a generation's file.
func encodeRecord(kind recordKind, gen uint64, offset int64, synced uint64, data []byte) []byte {
	out := make([]byte, span(len(data)))
	binary.LittleEndian.PutUint32(out, uint32(len(data)))
	binary.LittleEndian.PutUint64(out[8:], synced)
	out[16] = byte(kind)
	copy(out[recordLen:], data)
	binary.LittleEndian.PutUint32(out[4:], checksum(gen, offset, out[:recordLen], data))
	return out
}

// decodeRecord reads the record at an offset of a generation's file; its data is a copy.
func decodeRecord(file []byte, gen uint64, offset int64) (record, bool) {
	if offset+recordLen > int64(len(file)) {
		return record{}, false
	}
	head := file[offset : offset+recordLen]
	end := offset + recordLen + int64(binary.LittleEndian.Uint32(head))
	kind := recordKind(head[16])
	if kind < kindData || kind > kindEnd || end > int64(len(file)) {
		return record{}, false
	}
	data := file[offset+recordLen : end]
	if binary.LittleEndian.Uint32(head[4:]) != checksum(gen, offset, head, data) {
		return record{}, false
	}
	return record{kind, gen, binary.LittleEndian.Uint64(head[8:]), append([]byte(nil), data...)}, true
}

func checksum(gen uint64, offset int64, head, data []byte) uint32 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[:], gen)
	binary.LittleEndian.PutUint64(place[8:], uint64(offset))
	sum := crc32.Update(0, castagnoli, place[:])
	sum = crc32.Update(sum, castagnoli, head[:4])
	sum = crc32.Update(sum, castagnoli, head[8:])
	return crc32.Update(sum, castagnoli, data)
}

func encodeHeader(gen uint64, prevEnd int64) []byte {
	out := make([]byte, headerLen)
	copy(out, magic)
	binary.LittleEndian.PutUint64(out[8:], gen)
	binary.LittleEndian.PutUint64(out[16:], uint64(prevEnd))
	binary.LittleEndian.PutUint32(out[24:], crc32.Checksum(out[:24], castagnoli))
	return out
}

// decodeHeader reads a file's header; ok is false for a blank or damaged one.
func decodeHeader(file []byte) (gen uint64, prevEnd int64, ok bool) {
	gen = binary.LittleEndian.Uint64(file[8:])
	prevEnd = int64(binary.LittleEndian.Uint64(file[16:]))
	return gen, prevEnd, gen != 0 && string(encodeHeader(gen, prevEnd)) == string(file[:headerLen])
}

// newerFormat tells whether a whole header is marked by another version.
func newerFormat(file []byte) bool {
	if string(file[:len(magicFamily)]) != magicFamily || string(file[:len(magic)]) == magic {
		return false
	}
	return crc32.Checksum(file[:24], castagnoli) == binary.LittleEndian.Uint32(file[24:])
}

func blank(b []byte) bool {
	for _, x := range b {
		if x != 0 {
			return false
		}
	}
	return true
}
