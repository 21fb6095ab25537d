package engineapi

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/samber/lo"

	"violetthread/cacheindex"
)

// keyBytes is the length of a key's binary form: Hi, Lo and Check in big-endian order.
const keyBytes = 20

// FormatKey formats a key as in the engine protocol: 40 hexadecimal digits, Check last.
func FormatKey(key cacheindex.Key) string {
	var b [keyBytes]byte
	binary.BigEndian.PutUint64(b[:], key.Hi)
	binary.BigEndian.PutUint64(b[8:], key.Lo)
	binary.BigEndian.PutUint32(b[16:], key.Check)
	return hex.EncodeToString(b[:])
}

// FormatKeys formats the keys of a prompt's blocks. It never returns nil, which JSON would
// encode as null.
func FormatKeys(keys []cacheindex.Key) []string {
	return lo.Map(keys, func(key cacheindex.Key, _ int) string { return FormatKey(key) })
}

// ParseKey parses a key in the format of FormatKey, and reports whether it is valid.
func ParseKey(s string) (key cacheindex.Key, ok bool) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != keyBytes {
		return cacheindex.Key{}, false
	}
	return cacheindex.Key{Hi: binary.BigEndian.Uint64(b), Lo: binary.BigEndian.Uint64(b[8:]), Check: binary.BigEndian.Uint32(b[16:])}, true
}
