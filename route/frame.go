package route

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/gravitational/trace"
)

// Formats of the values of this package's registers. A stored value is the format byte, the
// body, and the CRC-32C (Castagnoli) of both in little endian.
const (
	formatDocument             byte = 0xC1
	formatDocumentKeysRequired byte = 0xC2 // of a Document with KeysRequired
	formatWeights              byte = 0xA1
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeFrame adds the format byte and the checksum to a register's value, so that a corrupt
// or truncated value is detected.
func encodeFrame(format byte, body []byte) []byte {
	frame := append([]byte{format}, body...)
	return binary.LittleEndian.AppendUint32(frame, crc32.Checksum(frame, castagnoli))
}

// decodeFrame checks a frame made by encodeFrame and returns its body.
func decodeFrame(format byte, frame []byte) ([]byte, error) {
	if len(frame) < 5 || frame[0] != format {
		return nil, trace.BadParameter("the register has an unknown format; use a node of the software version that wrote it")
	}
	end := len(frame) - 4
	if crc32.Checksum(frame[:end], castagnoli) != binary.LittleEndian.Uint32(frame[end:]) {
		return nil, trace.BadParameter("the register's checksum does not match; report this with the software versions of all control nodes")
	}
	return frame[1:end], nil
}
