package engineapi

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/samber/lo"

	"violetthread/cacheindex"
)

// keyBytes is the length of a key's binary form: hash and check, in big-endian order.
const keyBytes = 20

// FormatKey writes a key as engines know it: 40 hexadecimal digits, the check last.
func FormatKey(key cacheindex.Key) string {
	var b [keyBytes]byte
	binary.BigEndian.PutUint64(b[:], key.Hi)
	binary.BigEndian.PutUint64(b[8:], key.Lo)
	binary.BigEndian.PutUint32(b[16:], key.Check)
	return hex.EncodeToString(b[:])
}

// FormatKeys writes the keys of a prompt's blocks. It never returns nil.
func FormatKeys(keys []cacheindex.Key) []string {
	return lo.Map(keys, func(key cacheindex.Key, _ int) string { return FormatKey(key) })
}

// ParseKey reads what FormatKey writes, and reports whether it could.
func ParseKey(s string) (key cacheindex.Key, ok bool) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != keyBytes {
		return cacheindex.Key{}, false
	}
	return cacheindex.Key{Hi: binary.BigEndian.Uint64(b), Lo: binary.BigEndian.Uint64(b[8:]), Check: binary.BigEndian.Uint32(b[16:])}, true
}
