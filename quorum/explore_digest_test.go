package quorum

import (
	"bytes"
	"encoding/binary"
	"hash/fnv"
	"reflect"
	"slices"
	"unsafe"
)

// digest identifies a value by a hash of its canonical encoding.
type digest [16]byte

// digestOf hashes the canonical encoding of the value that p points to: maps in the order of
// their encoded keys, pointers by what they point to.
func digestOf[T any](p *T) digest {
	return sum(encode(nil, reflect.ValueOf(p).Elem()))
}

func sum(b []byte) digest {
	h := fnv.New128a()
	_, _ = h.Write(b)
	return digest(h.Sum(nil))
}

// fieldValue gives access to a field whether or not it is exported.
func fieldValue(v reflect.Value) reflect.Value {
	return reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
}

// addressable returns v itself, or a copy whose fields can be read.
func addressable(v reflect.Value) reflect.Value {
	if v.CanAddr() {
		return v
	}
	c := reflect.New(v.Type()).Elem()
	c.Set(v)
	return c
}

func encode(b []byte, v reflect.Value) []byte {
	switch v.Kind() {
	case reflect.Struct:
		v = addressable(v)
		for i := range v.NumField() {
			b = encode(b, fieldValue(v.Field(i)))
		}
	case reflect.Pointer:
		if v.IsNil() {
			return append(b, 0)
		}
		b = encode(append(b, 1), v.Elem())
	case reflect.Slice:
		b = binary.AppendUvarint(b, uint64(v.Len()))
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return append(b, v.Bytes()...)
		}
		for i := range v.Len() {
			b = encode(b, v.Index(i))
		}
	case reflect.Map:
		b = encodeMap(b, v)
	case reflect.String:
		b = binary.AppendUvarint(b, uint64(v.Len()))
		b = append(b, v.String()...)
	case reflect.Bool:
		if v.Bool() {
			return append(b, 1)
		}
		b = append(b, 0)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		b = binary.AppendVarint(b, v.Int())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		b = binary.AppendUvarint(b, v.Uint())
	default:
		panic("no canonical encoding of " + v.Type().String())
	}
	return b
}

func encodeMap(b []byte, v reflect.Value) []byte {
	var pairs [][]byte
	for it := v.MapRange(); it.Next(); {
		pairs = append(pairs, encode(encode(nil, it.Key()), it.Value()))
	}
	slices.SortFunc(pairs, bytes.Compare)
	b = binary.AppendUvarint(b, uint64(len(pairs)))
	for _, p := range pairs {
		b = append(b, p...)
	}
	return b
}

// copier makes deep copies. Equal pointers in the original are equal in the copy.
type copier map[unsafe.Pointer]reflect.Value

// copyNode copies a node that is not waiting for a sync: pending effects are closures, which
// can't be copied.
func copyNode(n *Node) *Node {
	c := new(Node)
	copier{}.copy(reflect.ValueOf(c).Elem(), reflect.ValueOf(n).Elem())
	return c
}

// flat caches which types share nothing with a plain copy, or only immutable data.
var flat = map[reflect.Type]bool{}

func isFlat(t reflect.Type) bool {
	if f, ok := flat[t]; ok {
		return f
	}
	f := true
	switch t.Kind() {
	case reflect.Pointer, reflect.Map, reflect.Func:
		f = false
	case reflect.Slice:
		f = t.Elem().Kind() == reflect.Uint8
	case reflect.Struct:
		for i := range t.NumField() {
			f = f && isFlat(t.Field(i).Type)
		}
	}
	flat[t] = f
	return f
}

func (c copier) copy(dst, src reflect.Value) {
	if isFlat(src.Type()) {
		dst.Set(src)
		return
	}
	switch src.Kind() {
	case reflect.Struct:
		for i := range src.NumField() {
			c.copy(fieldValue(dst.Field(i)), fieldValue(src.Field(i)))
		}
	case reflect.Pointer:
		c.pointer(dst, src)
	case reflect.Slice:
		if src.IsNil() {
			return
		}
		dst.Set(reflect.MakeSlice(src.Type(), src.Len(), src.Len()))
		for i := range src.Len() {
			c.copy(dst.Index(i), src.Index(i))
		}
	case reflect.Map:
		c.table(dst, src)
	default:
		panic("no copy of " + src.Type().String())
	}
}

func (c copier) pointer(dst, src reflect.Value) {
	if src.IsNil() {
		return
	}
	at := src.UnsafePointer()
	if p, ok := c[at]; ok {
		dst.Set(p)
		return
	}
	p := reflect.New(src.Type().Elem())
	c[at] = p
	c.copy(p.Elem(), src.Elem())
	dst.Set(p)
}

func (c copier) table(dst, src reflect.Value) {
	if src.IsNil() {
		return
	}
	dst.Set(reflect.MakeMapWithSize(src.Type(), src.Len()))
	for it := src.MapRange(); it.Next(); {
		v := reflect.New(src.Type().Elem()).Elem()
		c.copy(v, addressable(it.Value()))
		dst.SetMapIndex(it.Key(), v)
	}
}
