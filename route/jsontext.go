package route

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"
	"github.com/samber/lo"
)

// member is a member of a JSON object. Its value is kept as text: numbers are never parsed, so
// that a merge cannot change them.
type member struct {
	name  string
	value json.RawMessage
}

const jsonSpace = " \t\n\r"

// splitJSON splits an object or an array that is known to be valid JSON, and calls visit with
// the name (nil in an array) and the value of each member.
func splitJSON(text []byte, visit func(name, value []byte)) {
	depth, start := 0, -1 // start of the current name or value, -1 if there is none
	var name []byte
	for i := 0; i < len(text); i++ {
		switch c := text[i]; c {
		case ' ', '\t', '\n', '\r':
			continue
		case '{', '[':
			if depth++; depth == 1 {
				continue
			}
		case ':':
			if depth == 1 {
				name, start = bytes.TrimRight(text[start:i], jsonSpace), -1
				continue
			}
		case ',', '}', ']':
			if c != ',' {
				depth--
			}
			ended := depth == 0 || depth == 1 && c == ','
			if ended && start >= 0 {
				visit(name, bytes.TrimRight(text[start:i], jsonSpace))
				name, start = nil, -1
			}
			if ended {
				continue
			}
		}
		if start < 0 {
			start = i
		}
		if text[i] == '"' {
			i = stringEnd(text, i)
		}
	}
}

// stringEnd returns the index of the quote that ends the string whose opening quote is at start.
func stringEnd(text []byte, start int) int {
	i := start + 1
	for ; text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

// unquote decodes a JSON string.
func unquote(text []byte) (s string, err error) {
	if last := len(text) - 1; last > 0 && text[0] == '"' && bytes.IndexByte(text, '\\') < 0 {
		return string(text[1:last]), nil
	}
	err = json.Unmarshal(text, &s)
	return s, err
}

// topLevelMembers returns the members of a text that is exactly one JSON object, in order.
func topLevelMembers(text []byte) ([]member, error) {
	if !json.Valid(text) {
		var v json.RawMessage
		return nil, json.Unmarshal(text, &v) // returns the syntax error and its offset
	}
	return objectMembers(text)
}

// scannedMembers is the number of members up to which a repeated name is searched for linearly;
// beyond it a set is used.
const scannedMembers = 32

// objectMembers is topLevelMembers for a text that is known to be valid JSON.
func objectMembers(text []byte) (ms []member, err error) {
	if t := bytes.TrimLeft(text, jsonSpace); t[0] != '{' {
		return nil, trace.BadParameter("send one JSON object")
	}
	var seen map[string]bool // nil up to scannedMembers
	splitJSON(text, func(quoted, value []byte) {
		name, nameErr := unquote(quoted)
		if len(ms) == scannedMembers {
			seen = lo.SliceToMap(ms, func(m member) (string, bool) { return m.name, true })
		}
		if seen[name] || seen == nil && lo.ContainsBy(ms, func(m member) bool { return m.name == name }) {
			nameErr = trace.BadParameter("send %q once", name)
		}
		if seen != nil {
			seen[name] = true
		}
		err = lo.CoalesceOrEmpty(err, nameErr)
		ms = append(ms, member{name, value})
	})
	return ms, err
}

// unreadable makes the finding that a text is not one JSON object.
func unreadable(path string, err error) Finding {
	return Finding{path, "unreadable", err.Error() + "; send one whole JSON object"}
}

// encodeObject encodes an object with these members.
func encodeObject(ms []member) []byte {
	var b bytes.Buffer
	for i, m := range ms {
		b.WriteByte(lo.Ternary[byte](i == 0, '{', ','))
		b.Write(lo.Must(json.Marshal(m.name)))
		b.WriteByte(':')
		b.Write(m.value)
	}
	if len(ms) == 0 {
		b.WriteByte('{')
	}
	b.WriteByte('}')
	return b.Bytes()
}

// encodeList encodes an array of these items.
func encodeList(items []json.RawMessage) json.RawMessage {
	texts := lo.Map(items, func(item json.RawMessage, _ int) []byte { return item })
	return append(append([]byte{'['}, bytes.Join(texts, []byte{','})...), ']')
}

// setMember replaces a member's value in place, or appends the member.
func setMember(ms []member, name string, value json.RawMessage) []member {
	for i := range ms {
		if ms[i].name == name {
			ms[i].value = value
			return ms
		}
	}
	return append(ms, member{name, value})
}

// memberValue returns a member's value, nil if it is missing or null.
func memberValue(ms []member, name string) json.RawMessage {
	for _, m := range ms {
		if m.name == name && string(m.value) != "null" {
			return m.value
		}
	}
	return nil
}
