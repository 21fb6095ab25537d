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
	// MaxChangeBytes is the largest change that an operator may send.
	MaxChangeBytes = 8 << 20
	// MaxDocumentBytes is the largest value of the register. The former value and the next one must
	// fit into the state of a control node, beside the other registers.
	MaxDocumentBytes = 13 << 18
	// MaxConfigBytes is the largest configuration that may result from a change.
	MaxConfigBytes = 2 * MaxChangeBytes
	// MaxAccepted is how many accepted changes are recorded: those of a few hours at three
	// thousand changes a day. Older ones are answered with Undecidable, never Stale.
	MaxAccepted = 1024
)

// Document is the value of the register: the exact text of a whole configuration, and the
// changes that led to it.
type Document struct {
	Version  uint64 // of the configuration, as numbered by the operator
	Text     []byte
	Accepted []AcceptedChange // oldest first, at most MaxAccepted
	// KeysRequired means that an earlier configuration required API keys and that the text, which has
	// no list of tenants, does not say so: Config.KeysRequired holds for it too.
	KeysRequired bool
}

// format returns the format of the register's value.
func (d *Document) format() byte {
	if d.KeysRequired {
		return formatDocumentKeysRequired
	}
	return formatDocument
}

// AcceptedChange is a change that was accepted. Each is based on the one before it, so that
// there is exactly one per base.
type AcceptedChange struct {
	Version, Base uint64            // the resulting version, and the one it was based on
	Digest        [sha256.Size]byte // of the change
}

// Encode returns the register's value. The text is compressed (DEFLATE), since it is sent to
// every node.
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
	_, _ = w.Write(d.Text) // writing to a Buffer does not fail
	_ = w.Close()
	return encodeFrame(d.format(), append(body, deflated.Bytes()...))
}

// DecodeDocument decodes a value written by Encode. It returns an error if the value is
// corrupt, has another format or exceeds a limit.
func DecodeDocument(frame []byte) (*Document, error) {
	d := &Document{KeysRequired: len(frame) > 0 && frame[0] == formatDocumentKeysRequired}
	body, err := decodeFrame(d.format(), frame)
	if err != nil {
		return nil, err
	}
	malformed := trace.BadParameter("the configuration register is malformed; use a node of the software version that wrote it")
	r := bytes.NewReader(body)
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
	// The buffer grows with the data read, because the size field may be wrong.
	d.Text, err = io.ReadAll(io.LimitReader(flate.NewReader(r), int64(size)+1))
	if err != nil || uint64(len(d.Text)) != size || r.Len() != 0 {
		return nil, malformed
	}
	return d, nil
}

// readUvarintPair reads two numbers: it stores the first in *first and returns the second.
func readUvarintPair(r io.ByteReader, first *uint64) (second uint64, err error) {
	if *first, err = binary.ReadUvarint(r); err == nil {
		second, err = binary.ReadUvarint(r)
	}
	return second, err
}

// oldestBase returns the base of the oldest recorded change. A change is only written over the
// revision that holds its base, and versions only increase, so exactly one change is accepted
// per base: a change to this base or a later one was accepted if and only if it is recorded.
func (d *Document) oldestBase() uint64 {
	if len(d.Accepted) == 0 {
		return d.Version
	}
	return d.Accepted[0].Base
}
