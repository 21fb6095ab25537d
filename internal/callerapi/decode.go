package callerapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// UnknownFieldError means that a request has a field that the API does not define.
type UnknownFieldError struct{ Field string }

func (e *UnknownFieldError) Error() string {
	return "unknown field " + e.Field + "; " + Remedy(ReasonUnknownField)
}

// ErrMalformed means that a body is not one JSON object with values of the right types.
var ErrMalformed = errors.New("the body is not one JSON object with values of the right types; " + Remedy(ReasonMalformed))

// fieldNames are the names of the fields of Request.
var fieldNames = []string{"kind", "id", "era", "due_us", "prompt"}

// DecodeRequest decodes the body of a request. Its errors wrap *UnknownFieldError or
// ErrMalformed, whichever fault comes first in the body.
func DecodeRequest(body []byte) (Request, error) {
	var request Request
	decoder := json.NewDecoder(bytes.NewReader(body))
	err := decoder.Decode(&request)
	var wrongType *json.UnmarshalTypeError
	isWrongType := errors.As(err, &wrongType)
	if err != nil && !isWrongType {
		return request, trace.Wrap(ErrMalformed)
	}
	field, end, unknown := firstUnknownField(body)
	if unknown && (!isWrongType || end < wrongType.Offset) {
		return request, trace.Wrap(&UnknownFieldError{Field: field})
	}
	if isWrongType {
		return request, trace.Wrap(ErrMalformed)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return request, trace.Wrap(ErrMalformed) // more input after the object
	}
	return request, nil
}

// firstUnknownField returns the first field of a JSON value that is not a field of Request, by
// the case-insensitive comparison of encoding/json, and the offset where its name ends.
// encoding/json has no typed error for unknown fields. The value is known to be valid JSON; one
// that is not an object has no fields.
func firstUnknownField(body []byte) (name string, end int64, found bool) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return "", 0, false
	}
	for decoder.More() {
		token, err := decoder.Token()
		name, isName := token.(string)
		if err != nil || !isName {
			return "", 0, false
		}
		known := slices.ContainsFunc(fieldNames, func(field string) bool { return strings.EqualFold(field, name) })
		if !known {
			return name, decoder.InputOffset(), true
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return "", 0, false
		}
	}
	return "", 0, false
}
