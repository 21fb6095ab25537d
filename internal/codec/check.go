package codec

import (
	"encoding/binary"
	"reflect"

	"github.com/gravitational/trace"

	"violetthread/schema/fb"
)

// The FlatBuffers library for Go reads without checking. This walks a buffer by
// the declared tables first, so that a bad frame is an error: never a panic and
// never an allocation larger than the buffer itself (design §9).

const maxDepth = 8

type checker struct {
	b    []byte
	left int // tables still allowed; shared ones could else be walked for ever
}

func bad(what string) error {
	return trace.BadParameter("malformed buffer: %s; close this wire and look at the sender's version", what)
}

// Check verifies that b holds a table shaped like the object type t.
func Verify(b []byte, t reflect.Type) error {
	c := &checker{b: b, left: 1 + len(b)/4}
	if len(b) < 8 {
		return bad("too short")
	}
	return c.table(uint64(binary.LittleEndian.Uint32(b)), t, 0)
}

func (c *checker) span(at, n uint64) bool {
	l := uint64(len(c.b))
	return at <= l && n <= l-at
}

func (c *checker) u32(at uint64) uint64 { return uint64(binary.LittleEndian.Uint32(c.b[at:])) }

func (c *checker) table(at uint64, t reflect.Type, depth int) error {
	if c.left--; c.left < 0 || depth > maxDepth {
		return bad("too deep or too many tables")
	}
	if !c.span(at, 4) {
		return bad("table outside")
	}
	vt := int64(at) - int64(int32(c.u32(at)))
	if vt < 0 || !c.span(uint64(vt), 4) {
		return bad("field list outside")
	}
	vl := uint64(binary.LittleEndian.Uint16(c.b[vt:]))
	tl := uint64(binary.LittleEndian.Uint16(c.b[vt+2:]))
	if vl < 4 || vl%2 != 0 || !c.span(uint64(vt), vl) || !c.span(at, tl) {
		return bad("field list too long")
	}
	for i := 0; i < t.NumField(); i++ {
		sl := uint64(4 + 2*i)
		if sl+2 > vl {
			break
		}
		o := uint64(binary.LittleEndian.Uint16(c.b[uint64(vt)+sl:]))
		if o == 0 {
			continue
		}
		if err := c.field(at, o, tl, t.Field(i).Type, depth); err != nil {
			return err
		}
	}
	return nil
}

func inlineSize(t reflect.Type) uint64 {
	switch t.Kind() {
	case reflect.Bool, reflect.Uint8, reflect.Int8:
		return 1
	case reflect.Uint16, reflect.Int16:
		return 2
	case reflect.Uint64, reflect.Int64, reflect.Float64:
		return 8
	default:
		return 4
	}
}

func (c *checker) field(at, o, tl uint64, t reflect.Type, depth int) error {
	n := inlineSize(t)
	if o < 4 || o+n > tl {
		return bad("field outside its table")
	}
	p := at + o
	switch t.Kind() {
	case reflect.Ptr:
		return c.table(p+c.u32(p), t.Elem(), depth+1)
	case reflect.String:
		return c.vector(p+c.u32(p), 1)
	case reflect.Slice:
		v := p + c.u32(p)
		e := t.Elem()
		if err := c.vector(v, inlineSize(e)); err != nil {
			return err
		}
		if k := e.Kind(); k != reflect.Ptr && k != reflect.String {
			return nil
		}
		for i := uint64(0); i < c.u32(v); i++ {
			q := v + 4 + 4*i
			var err error
			if e.Kind() == reflect.Ptr {
				err = c.table(q+c.u32(q), e.Elem(), depth+1)
			} else {
				err = c.vector(q+c.u32(q), 1)
			}
			if err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *checker) vector(at, size uint64) error {
	if !c.span(at, 4) || !c.span(at+4, c.u32(at)*size) {
		return bad("vector outside")
	}
	return nil
}

var (
	frameType = reflect.TypeOf(fb.FrameT{})
	recType   = reflect.TypeOf(fb.RecordT{})
)
