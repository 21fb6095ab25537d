package route

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/binary"
	"io"

	"github.com/gravitational/trace"
	"github.com/samber/lo"
)

// ConfigKey is the register that holds the Document.
const ConfigKey = "route/config"

const (
	// MaxChangeBytes is the largest text that an operator may send.
	MaxChangeBytes = 8 << 20
	// MaxConfigBytes is the largest configuration that changes may add up to.
	MaxConfigBytes = 2 * MaxChangeBytes
	// MaxAccepted is how many accepted changes are remembered: a few hours' at three thousand
	// a day. What is older is answered Undecidable, never Stale.
	MaxAccepted = 1024
)

// Document is what the register holds: a whole configuration's text, to the byte, and which
// changes led there.
type Document struct {
	Version  uint64 // of the configuration, as its operator numbered it
	Text     []byte
	Accepted []AcceptedChange // oldest first, at most MaxAccepted
}

// AcceptedChange is a change that was accepted. Each builds on the one before it, so that
// there is one for each base.
type AcceptedChange struct {
	Version, Base uint64            // the version it led to, and the one it was made on
	Digest        [sha256.Size]byte // of the change
}

// Encode is the register's value. Its text is deflated, since it is carried to every node.
func (d *Document) Encode() []byte {
	body := binary.AppendUvarint(nil, d.Version)
	body = binary.AppendUvarint(body, uint64(len(d.Accepted)))
	for _, accepted := range d.Accepted {
		body = binary.AppendUvarint(body, accepted.Version)
		body = binary.AppendUvarint(body, accepted.Base)
		body = append(body, accepted.Digest[:]...)
	}
	body = binary.AppendUvarint(body, uint64(len(d.Text)))
	var deflated bytes.Buffer
	w := lo.Must(flate.NewWriter(&deflated, flate.DefaultCompression))
	_, _ = w.Write(d.Text) // a Buffer takes all
	_ = w.Close()
	return encodeFrame(formatDocument, append(body, deflated.Bytes()...))
}

// DecodeDocument reads what Encode wrote. A value that is damaged, of another format or over
// a limit is an error.
func DecodeDocument(frame []byte) (*Document, error) {
	body, err := decodeFrame(formatDocument, frame)
	if err != nil {
		return nil, err
	}
	malformed := trace.BadParameter("the configuration's register is malformed; ask a node of the version that wrote it")
	r := bytes.NewReader(body)
	d := &Document{}
	count, err := readUvarintPair(r, &d.Version)
	if err != nil || count > MaxAccepted {
		return nil, malformed
	}
	for range count {
		var accepted AcceptedChange
		if accepted.Base, err = readUvarintPair(r, &accepted.Version); err != nil {
			return nil, malformed
		}
		if _, err := io.ReadFull(r, accepted.Digest[:]); err != nil {
			return nil, malformed
		}
		d.Accepted = append(d.Accepted, accepted)
	}
	size, err := binary.ReadUvarint(r)
	if err != nil || size > MaxConfigBytes {
		return nil, malformed
	}
	// The size is only believed as far as there are bytes for it.
	d.Text, err = io.ReadAll(io.LimitReader(flate.NewReader(r), int64(size)+1))
	if err != nil || uint64(len(d.Text)) != size || r.Len() != 0 {
		return nil, malformed
	}
	return d, nil
}

// readUvarintPair reads two numbers: the first into first, the second as the result.
func readUvarintPair(r io.ByteReader, first *uint64) (second uint64, err error) {
	if *first, err = binary.ReadUvarint(r); err == nil {
		second, err = binary.ReadUvarint(r)
	}
	return second, err
}

// oldestBase is the base of the oldest change that is remembered. Each change was put on the
// revision that held its base, and versions only rise, so one change was accepted on each
// base: whatever builds on this base or a later one was accepted if and only if it is
// remembered.
func (d *Document) oldestBase() uint64 {
	if len(d.Accepted) == 0 {
		return d.Version
	}
	return d.Accepted[0].Base
}
