package plan

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
)

// maxDepth is the deepest nesting of values in a plan.
const maxDepth = 32

// objectMember is one member of a JSON object. An object is decoded to a slice of members,
// which preserves their order and repeated names; arrays are []any, numbers json.Number.
type objectMember struct {
	key   string
	value any
}

// decodeTree decodes a text that contains exactly one JSON value.
func decodeTree(raw []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	value, err := decodeValue(decoder, 0)
	if err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.New("unexpected data after the value")
	}
	return value, nil
}

func decodeValue(decoder *json.Decoder, depth int) (any, error) {
	if depth > maxDepth {
		return nil, errors.New("nested too deeply")
	}
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return decodeObject(decoder, depth)
	case json.Delim('['):
		return decodeArray(decoder, depth)
	}
	return token, nil
}

func decodeObject(decoder *json.Decoder, depth int) (any, error) {
	members := []objectMember{}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		value, err := decodeValue(decoder, depth+1)
		if err != nil {
			return nil, err
		}
		members = append(members, objectMember{key.(string), value})
	}
	_, err := decoder.Token()
	return members, err
}

func decodeArray(decoder *json.Decoder, depth int) (any, error) {
	values := []any{}
	for decoder.More() {
		value, err := decodeValue(decoder, depth+1)
		if err != nil {
			return nil, err
		}
		values = append(values, value)
	}
	_, err := decoder.Token()
	return values, err
}

// encodeTree writes a value as JSON without whitespace.
func encodeTree(out *bytes.Buffer, value any) error {
	switch v := value.(type) {
	case []objectMember:
		return encodeObject(out, v)
	case []any:
		return encodeArray(out, v)
	}
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return err
	}
	out.Truncate(out.Len() - 1) // the encoder's line feed
	return nil
}

func encodeObject(out *bytes.Buffer, members []objectMember) error {
	out.WriteByte('{')
	for i, member := range members {
		if i > 0 {
			out.WriteByte(',')
		}
		if err := encodeTree(out, member.key); err != nil {
			return err
		}
		out.WriteByte(':')
		if err := encodeTree(out, member.value); err != nil {
			return err
		}
	}
	out.WriteByte('}')
	return nil
}

func encodeArray(out *bytes.Buffer, values []any) error {
	out.WriteByte('[')
	for i, value := range values {
		if i > 0 {
			out.WriteByte(',')
		}
		if err := encodeTree(out, value); err != nil {
			return err
		}
	}
	out.WriteByte(']')
	return nil
}

// memberPath is the path of a member of the object at path, which is "" for the top level.
func memberPath(path, key string) string { return strings.TrimPrefix(path+"."+key, ".") }

// findDuplicate returns the path of a member that occurs twice in an object: value itself, or
// an object nested in it by members. Arrays are not searched.
func findDuplicate(value any, path string) (duplicate string, found bool) {
	members, _ := value.([]objectMember)
	seen := map[string]bool{}
	for _, member := range members {
		at := memberPath(path, member.key)
		if seen[member.key] {
			return at, true
		}
		seen[member.key] = true
		if below, found := findDuplicate(member.value, at); found {
			return below, true
		}
	}
	return "", false
}
