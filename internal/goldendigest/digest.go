// Package goldendigest detects changes of behaviour in packages with decision logic. A test
// runs a package on inputs from a fixed seed, adds the values of its decisions one by one in
// a fixed order, and compares the digest with the one in its testdata folder. Names of types,
// fields and functions are never part of a digest; log texts should not be.
//
// VT_GOLDEN=write replaces the stored digest, which only a change of behaviour justifies.
package goldendigest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"os"
	"strings"
	"testing"
)

const (
	path     = "testdata/golden_digest.txt"
	writeEnv = "VT_GOLDEN"
)

// Digest is a SHA-256 digest of values in the order of their addition. It must not be used
// concurrently.
type Digest struct {
	sum    hash.Hash
	values int
}

// New returns an empty digest.
func New() *Digest { return &Digest{sum: sha256.New()} }

// Number adds an integer.
func (d *Digest) Number(n int64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = d.sum.Write(b[:])
	d.values++
}

// Flag adds a boolean, as 0 or 1.
func (d *Digest) Flag(set bool) {
	if set {
		d.Number(1)
		return
	}
	d.Number(0)
}

// Text adds a string, preceded by its length.
func (d *Digest) Text(text string) {
	d.Number(int64(len(text)))
	_, _ = d.sum.Write([]byte(text))
}

// Compare fails the test if the digest differs from the one in the test's testdata folder, or if
// no value was added. With VT_GOLDEN=write it stores the digest there instead.
func (d *Digest) Compare(t *testing.T) {
	t.Helper()
	if d.values == 0 {
		t.Fatal("no values were added to the digest")
	}
	got := hex.EncodeToString(d.sum.Sum(nil))
	if os.Getenv(writeEnv) == "write" {
		if err := os.WriteFile(path, []byte(got+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if want := strings.TrimSpace(string(stored)); got != want {
		t.Errorf("behaviour has changed: the digest of %d values is %s, not %s", d.values, got, want)
	}
}
