package codec

import (
	"encoding/binary"
	"reflect"

	"violetthread/schema/fb"
)

const maxDepth = 8 // of nested tables

var (
	frameType  = reflect.TypeOf(fb.FrameT{})
	recordType = reflect.TypeOf(fb.RecordT{})
)

// Sizes of the elements of a FlatBuffers buffer, in bytes.
const (
	offsetBytes       = 4 // offset of a table, vector or string, relative to its own position
	vtableEntryBytes  = 2 // offset of one field in its table
	vtableHeaderBytes = 4 // lengths of the vtable and of the table
)

// Verify checks that every offset, table and vector of a buffer lies within the buffer. The
// root table is described by an object type of package fb. The error is a *FormatError.
func Verify(b []byte, object reflect.Type) error {
	v := &verifier{buffer: b, tablesLeft: 1 + len(b)/4}
	if len(b) < 8 {
		return &FormatError{"buffer too short"}
	}
	return v.table(uint64(binary.LittleEndian.Uint32(b)), object, 0)
}

// verifier checks one buffer. Positions are 64-bit offsets from its start, so that the sum of
// two 32-bit numbers does not overflow.
type verifier struct {
	buffer     []byte
	tablesLeft int // bounds the work: a table shared by several fields is verified once for each
}

// contains reports whether the n bytes at a position lie within the buffer.
func (v *verifier) contains(at, n uint64) bool {
	size := uint64(len(v.buffer))
	return at <= size && n <= size-at
}

func (v *verifier) uint32(at uint64) uint64 {
	return uint64(binary.LittleEndian.Uint32(v.buffer[at:]))
}

func (v *verifier) uint16(at uint64) uint64 {
	return uint64(binary.LittleEndian.Uint16(v.buffer[at:]))
}

// table verifies a table and everything that it refers to. Its fields are those of the object
// type, in order; a vtable of another version may have fewer of them, or additional ones,
// which are not read.
func (v *verifier) table(at uint64, object reflect.Type, depth int) error {
	if v.tablesLeft--; v.tablesLeft < 0 || depth > maxDepth {
		return &FormatError{"tables nested too deeply or too many tables"}
	}
	if !v.contains(at, offsetBytes) {
		return &FormatError{"table outside the buffer"}
	}
	signedVtable := int64(at) - int64(int32(v.uint32(at)))
	if signedVtable < 0 || !v.contains(uint64(signedVtable), vtableHeaderBytes) {
		return &FormatError{"vtable outside the buffer"}
	}
	vtable := uint64(signedVtable)
	vtableSize, tableSize := v.uint16(vtable), v.uint16(vtable+2)
	if vtableSize < vtableHeaderBytes || vtableSize%vtableEntryBytes != 0 || !v.contains(vtable, vtableSize) || !v.contains(at, tableSize) {
		return &FormatError{"invalid length of a vtable or table"}
	}
	for i := range object.NumField() {
		entry := uint64(vtableHeaderBytes + vtableEntryBytes*i)
		if entry+vtableEntryBytes > vtableSize {
			break
		}
		offset := v.uint16(vtable + entry)
		if offset == 0 { // field not set
			continue
		}
		if offset < offsetBytes || offset+inlineBytes(object.Field(i).Type) > tableSize {
			return &FormatError{"field outside its table"}
		}
		if err := v.field(at+offset, object.Field(i).Type, depth); err != nil {
			return err
		}
	}
	return nil
}

// inlineBytes returns the size of a value in its table or vector, where a reference takes
// offsetBytes.
func inlineBytes(t reflect.Type) uint64 {
	switch t.Kind() {
	case reflect.Bool, reflect.Uint8, reflect.Int8:
		return 1
	case reflect.Uint16, reflect.Int16:
		return 2
	case reflect.Uint64, reflect.Int64, reflect.Float64:
		return 8
	default:
		return offsetBytes
	}
}

// field verifies what a field refers to. The caller has checked that the field itself lies
// within the buffer.
func (v *verifier) field(at uint64, t reflect.Type, depth int) error {
	switch t.Kind() {
	case reflect.Ptr:
		return v.table(at+v.uint32(at), t.Elem(), depth+1)
	case reflect.String:
		return v.vector(at+v.uint32(at), 1)
	case reflect.Slice:
		return v.elements(at+v.uint32(at), t.Elem(), depth)
	}
	return nil
}

// elements verifies a vector and everything that its elements refer to.
func (v *verifier) elements(vector uint64, t reflect.Type, depth int) error {
	if err := v.vector(vector, inlineBytes(t)); err != nil {
		return err
	}
	if t.Kind() != reflect.Ptr && t.Kind() != reflect.String {
		return nil
	}
	for i := range v.uint32(vector) {
		if err := v.field(vector+offsetBytes+offsetBytes*i, t, depth); err != nil {
			return err
		}
	}
	return nil
}

// vector verifies that the elements of a vector lie within the buffer.
func (v *verifier) vector(at, elementBytes uint64) error {
	if !v.contains(at, offsetBytes) || !v.contains(at+offsetBytes, v.uint32(at)*elementBytes) {
		return &FormatError{"vector outside the buffer"}
	}
	return nil
}
