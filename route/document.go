package route

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/binary"
	"hash/crc32"
	"io"

	"github.com/gravitational/trace"
	"github.com/samber/lo"
)

// ConfigKey is the register that holds the Document.
const ConfigKey = "route/config"

const (
	// MaxBody is the largest text that an operator may send.
	MaxChangeBytes = 8 << 20
	// MaxText is the largest configuration that changes may add up to.
	MaxConfigBytes = 2 * MaxChangeBytes
	// MaxTaken is how many accepted changes are remembered: a few hours' at three
	// thousand a day. What is older is answered Forgotten, never Stale.
	MaxAccepted = 1024
)

// Document is what a register holds: a whole configuration's text, to the byte,
// and which changes led there.
type Document struct {
	Version  uint64
	Text     []byte
	Accepted []AcceptedChange // oldest first, at most MaxTaken
}

// Taken is a change that was accepted. Each builds on the one before it, so that
// there is one for each base.
type AcceptedChange struct {
	Version, Base uint64
	Digest        [sha256.Size]byte // of the change
}

// Formats of what the registers of this package hold.
const (
	formatDocument byte = 0xC1
	formatWeights  byte = 0xA1
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// seal frames a register's value, so that a damaged one is not taken for whole.
func encodeFrame(format byte, body []byte) []byte {
	b := append([]byte{format}, body...)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func decodeFrame(format byte, b []byte) ([]byte, error) {
	if len(b) < 5 || b[0] != format {
		return nil, trace.BadParameter("the register's format is unknown; run a program of the version that wrote it")
	}
	n := len(b) - 4
	if crc32.Checksum(b[:n], castagnoli) != binary.LittleEndian.Uint32(b[n:]) {
		return nil, trace.BadParameter("the register's checksum is wrong; restore the node's disk from another")
	}
	return b[1:n], nil
}

// Bytes is the register's value. Its text is deflated: it is carried to every node.
func (d *Document) Encode() []byte {
	b := binary.AppendUvarint(nil, d.Version)
	b = binary.AppendUvarint(b, uint64(len(d.Accepted)))
	for _, t := range d.Accepted {
		b = binary.AppendUvarint(b, t.Version)
		b = binary.AppendUvarint(b, t.Base)
		b = append(b, t.Digest[:]...)
	}
	b = binary.AppendUvarint(b, uint64(len(d.Text)))
	var z bytes.Buffer
	w := lo.Must(flate.NewWriter(&z, flate.DefaultCompression))
	_, _ = w.Write(d.Text) // a Buffer takes all
	_ = w.Close()
	return encodeFrame(formatDocument, append(b, z.Bytes()...))
}

// ReadDocument reads what Bytes wrote.
func DecodeDocument(b []byte) (*Document, error) {
	b, err := decodeFrame(formatDocument, b)
	if err != nil {
		return nil, err
	}
	bad := trace.BadParameter("the configuration's register is malformed; send the whole configuration again")
	r := bytes.NewReader(b)
	d := &Document{}
	n, err := readUvarintPair(r, &d.Version)
	if err != nil || n > MaxAccepted {
		return nil, bad
	}
	for range n {
		var t AcceptedChange
		if t.Base, err = readUvarintPair(r, &t.Version); err != nil {
			return nil, bad
		}
		if _, err := io.ReadFull(r, t.Digest[:]); err != nil {
			return nil, bad
		}
		d.Accepted = append(d.Accepted, t)
	}
	size, err := binary.ReadUvarint(r)
	if err != nil || size > MaxConfigBytes {
		return nil, bad
	}
	// The size is only believed as far as there are bytes for it.
	d.Text, err = io.ReadAll(io.LimitReader(flate.NewReader(r), int64(size)+1))
	if err != nil || uint64(len(d.Text)) != size || r.Len() != 0 {
		return nil, bad
	}
	return d, nil
}

// uvarints reads two numbers: the first into v, the second as the result.
func readUvarintPair(r io.ByteReader, v *uint64) (w uint64, err error) {
	if *v, err = binary.ReadUvarint(r); err == nil {
		w, err = binary.ReadUvarint(r)
	}
	return w, err
}

// Change is what an operator sends: a whole configuration, or items to merge
// into the one it builds on.
type Change struct {
	Replace bool
	Base    uint64 // version it builds on, 0 being none
	HasBase bool
	Body    []byte
}

// Outcome is what becomes of a change.
type Outcome uint8

// An Accepted change is in force once the register holds the next Document. A
// Duplicate was taken before, though others may have followed. A Stale one
// builds on a version that is not current and was certainly not taken, and an
// Invalid one never will do. Of a Forgotten one nobody knows whether it was taken.
const (
	Accepted Outcome = iota + 1
	Duplicate
	Stale
	Invalid
	Undecidable
)

func (o Outcome) String() string {
	return [...]string{"none", "accepted", "duplicate", "stale", "invalid", "forgotten"}[o]
}

// oldestBase is the base of the oldest change that is remembered. Each change was put
// on the revision that held its base, and versions only rise, so one change was taken
// on each base: whatever builds on this base or a later one was taken if and only if
// it is remembered.
func (d *Document) oldestBase() uint64 {
	if len(d.Accepted) == 0 {
		return d.Version
	}
	return d.Accepted[0].Base
}

func (c Change) digest() [sha256.Size]byte {
	h := sha256.New()
	head := [9]byte{lo.Ternary[byte](c.Replace, 1, 0)}
	binary.LittleEndian.PutUint64(head[1:], c.Base)
	_, _ = h.Write(head[:])
	_, _ = h.Write(c.Body)
	return [sha256.Size]byte(h.Sum(nil))
}

// On decides a change on the current document, nil being none. Only an Accepted
// one has a next document, to be put on the condition that cur is still current.
//
// Whether it was taken before comes first: a change that was taken is never refused
// for what came after it. Whether the base is current comes before whether the change
// is in order: whoever loses a race with a lower version number should learn that the
// base has moved.
func (c Change) Apply(cur *Document, tr func([]byte) (Config, []Finding), w FieldNames) (next *Document, out Outcome, fs []Finding) {
	cur = lo.CoalesceOrEmpty(cur, &Document{})
	if !c.HasBase {
		return nil, Invalid, []Finding{{"", "no-base", "say which version the change builds on, 0 for the first"}}
	}
	sum := c.digest()
	if lo.ContainsBy(cur.Accepted, func(t AcceptedChange) bool { return t.Base == c.Base && t.Digest == sum }) {
		return nil, Duplicate, nil
	}
	if c.Base < cur.oldestBase() {
		return nil, Undecidable, nil
	}
	if c.Base != cur.Version {
		return nil, Stale, nil
	}
	text := c.Body
	if c.Replace {
		// Later merges must be able to tell the parts apart.
		if _, err := topLevelMembers(text); err != nil {
			return nil, Invalid, []Finding{unreadable("", err)}
		}
	} else if text, fs = Merge(cur.Text, c.Body, w); len(fs) > 0 {
		return nil, Invalid, fs
	}
	if len(text) > MaxConfigBytes {
		return nil, Invalid, []Finding{{"", "too-large", "remove items that are not needed any more"}}
	}
	conf, fs := tr(text)
	if len(fs) == 0 {
		fs = Validate(conf, cur.Version)
	}
	if len(fs) > 0 {
		return nil, Invalid, fs
	}
	past := cur.Accepted[max(0, len(cur.Accepted)-MaxAccepted+1):]
	next = &Document{Version: conf.Version, Text: text}
	next.Accepted = append(append(next.Accepted, past...), AcceptedChange{conf.Version, c.Base, sum})
	return next, Accepted, nil
}
