package eventstream

import (
	"bytes"
	"strconv"
	"unicode/utf8"
)

// Violation is an error that says why bytes are not part of a valid stream. Its text is short and
// has none of the stream's content, so that it can be logged and used as a label of a metric.
type Violation string

// Error returns the violation's text.
func (v Violation) Error() string { return string(v) }

// Violations of a single event.
const (
	InvalidText     Violation = "invalid-text"     // not UTF-8, or with control characters
	InvalidField    Violation = "invalid-field"    // a line that is no known field
	InvalidID       Violation = "invalid-id"       // not a decimal number, or more than one
	MissingID       Violation = "missing-id"       // no id
	MissingData     Violation = "missing-data"     // no data
	TooLong         Violation = "too-long"         // longer than MaxEventBytes
	IncompleteEvent Violation = "incomplete-event" // the stream ended within the event
)

// Violations of the order of events.
const (
	IDNotRising Violation = "id-not-rising" // the id is not above that of the event before
	EmptyStream Violation = "empty-stream"  // the stream ended without an event
)

// MaxEventBytes bounds one event.
const MaxEventBytes = 1 << 20

// Event is one valid event.
type Event struct {
	ID  uint64
	Raw []byte // the event as it was received, with the blank line that ends it
}

// ExtensionField reports whether a field that is not part of the standard may stand in an event.
type ExtensionField func(name, value string) bool

// Parse parses one event with the blank line that ends it. extension may be nil. The error is a
// Violation.
func Parse(raw []byte, extension ExtensionField) (Event, error) {
	if !isText(raw) {
		return Event{}, InvalidText
	}
	var fields fieldSet
	for line := range bytes.Lines(raw) {
		text, ok := trimLineEnd(line)
		switch {
		case !ok:
			return Event{}, IncompleteEvent
		case len(text) == 0:
			return fields.event(raw)
		}
		if err := fields.add(text, extension); err != nil {
			return Event{}, err
		}
	}
	return Event{}, IncompleteEvent
}

// fieldSet is what the lines of an event have declared so far.
type fieldSet struct {
	id       uint64
	hasID    bool
	hasData  bool
	standard bool // a field of the standard was seen
}

// add adds the field of one line.
func (f *fieldSet) add(line []byte, extension ExtensionField) error {
	nameBytes, valueBytes, _ := bytes.Cut(line, []byte(":"))
	name, value := string(nameBytes), string(bytes.TrimPrefix(valueBytes, []byte(" ")))
	switch name {
	case "id":
		id, err := strconv.ParseUint(value, 10, 63)
		if err != nil || f.hasID {
			return InvalidID
		}
		f.id, f.hasID = id, true
	case "data":
		f.hasData = true
	case "event", "retry":
	default:
		if f.standard || extension == nil || !extension(name, value) {
			return InvalidField
		}
		return nil
	}
	f.standard = true
	return nil
}

// event returns the event whose lines have all been added.
func (f *fieldSet) event(raw []byte) (Event, error) {
	switch {
	case !f.hasID:
		return Event{}, MissingID
	case !f.hasData:
		return Event{}, MissingData
	}
	return Event{ID: f.id, Raw: raw}, nil
}

// trimLineEnd removes the LF or CRLF that ends a line; ok is false if there is none.
func trimLineEnd(line []byte) (text []byte, ok bool) {
	text, ok = bytes.CutSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(text, []byte("\r")), ok
}

// isText reports whether b is UTF-8 without control characters other than tabs and line ends. A CR
// counts as a line end only before an LF: alone it ends a line for some receivers only.
func isText(b []byte) bool {
	for i, c := range b {
		switch {
		case c == '\r' && (i+1 == len(b) || b[i+1] != '\n'):
			return false
		case c < ' ' && c != '\t' && c != '\n' && c != '\r', c == 0x7f:
			return false
		}
	}
	return utf8.Valid(b)
}
