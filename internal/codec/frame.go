package codec

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"slices"

	flatbuffers "github.com/google/flatbuffers/go"

	"violetthread/schema/fb"
)

// MaxFrameBytes bounds the body of a frame. It is checked before the body is allocated.
const MaxFrameBytes = 32 << 20

const (
	headerBytes      = 8       // length and checksum
	builderBytes     = 512     // initial size of a frame's builder
	initialBodyBytes = 8 << 10 // allocated for a body before any of it has arrived
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode returns the header and the body of a frame.
func Encode(frame *fb.FrameT) []byte {
	builder := flatbuffers.NewBuilder(builderBytes)
	builder.Finish(frame.Pack(builder))
	body := builder.FinishedBytes()
	encoded := make([]byte, headerBytes, headerBytes+len(body))
	binary.LittleEndian.PutUint32(encoded, uint32(len(body)))
	binary.LittleEndian.PutUint32(encoded[4:], crc32.Checksum(body, castagnoli))
	return append(encoded, body...)
}

// Decode verifies and decodes the body of a frame. The error is a *FormatError.
func Decode(body []byte) (*fb.FrameT, error) {
	if err := Verify(body, frameType); err != nil {
		return nil, err
	}
	return fb.GetRootAsFrame(body, 0).UnPack(), nil
}

// ReadFrame reads one frame. It returns io.EOF if the input ends before the frame and
// io.ErrUnexpectedEOF if it ends within the frame. Other errors are those of the reader,
// *FrameSizeError and *FormatError.
func ReadFrame(r io.Reader) (*fb.FrameT, error) {
	return ReadFrameReserving(r, func(int) error { return nil })
}

// ReadFrameReserving is ReadFrame, but calls reserve before it allocates more than initialBodyBytes for
// the body, and fails with the error of reserve.
func ReadFrameReserving(r io.Reader, reserve func(bytes int) error) (*fb.FrameT, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.LittleEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return nil, &FrameSizeError{Bytes: size}
	}
	body, err := readBody(r, int(size), reserve)
	if err != nil {
		return nil, err
	}
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, &FormatError{"checksum"}
	}
	return Decode(body)
}

// readBody reads size bytes. The buffer starts with at most initialBodyBytes and about doubles
// each time it is full, so that a false declared size can't cause a large allocation.
func readBody(r io.Reader, size int, reserve func(bytes int) error) ([]byte, error) {
	body := make([]byte, 0, min(size, initialBodyBytes))
	for len(body) < size {
		if more := min(size-len(body), max(len(body), initialBodyBytes)); more > cap(body)-len(body) {
			if err := reserve(more); err != nil {
				return nil, err
			}
			body = slices.Grow(body, more)
		}
		start := len(body)
		body = body[:min(size, cap(body))]
		if _, err := io.ReadFull(r, body[start:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF // within a frame
			}
			return nil, err
		}
	}
	return body, nil
}
