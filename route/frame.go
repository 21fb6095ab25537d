package route

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/gravitational/trace"
)

// Formats of what the registers of this package hold. A stored value is the format's byte,
// the body, and the CRC-32C (Castagnoli) of both in little endian.
const (
	formatDocument byte = 0xC1
	formatWeights  byte = 0xA1
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeFrame frames a register's value, so that a damaged one is never taken for complete.
func encodeFrame(format byte, body []byte) []byte {
	frame := append([]byte{format}, body...)
	return binary.LittleEndian.AppendUint32(frame, crc32.Checksum(frame, castagnoli))
}

// decodeFrame is the body that encodeFrame framed.
func decodeFrame(format byte, frame []byte) ([]byte, error) {
	if len(frame) < 5 || frame[0] != format {
		return nil, trace.BadParameter("the register's format is unknown; run a program of the version that wrote it")
	}
	end := len(frame) - 4
	if crc32.Checksum(frame[:end], castagnoli) != binary.LittleEndian.Uint32(frame[end:]) {
		return nil, trace.BadParameter("the register's checksum is wrong; report it with the versions of all control nodes")
	}
	return frame[1:end], nil
}
