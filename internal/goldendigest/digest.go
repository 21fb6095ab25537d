// Package goldendigest compares the decisions of a deciding package with those that it
// made before. A test makes seeded decisions, adds their values one by one, in an order of
// its own, and compares the digest with the one in its testdata folder. Names of types,
// fields and functions never enter a digest; log texts should not.
//
// VT_GOLDEN=write writes the digests anew, which only a change of behaviour calls for.
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

// Digest is a SHA-256 sum of values in the order they were added. One goroutine uses it.
type Digest struct {
	sum    hash.Hash
	values int
}

// New makes a digest of nothing.
func New() *Digest { return &Digest{sum: sha256.New()} }

// Number adds a number.
func (d *Digest) Number(n int64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = d.sum.Write(b[:])
	d.values++
}

// Flag adds a truth value.
func (d *Digest) Flag(set bool) {
	if set {
		d.Number(1)
		return
	}
	d.Number(0)
}

// Text adds a text with its length.
func (d *Digest) Text(text string) {
	d.Number(int64(len(text)))
	_, _ = d.sum.Write([]byte(text))
}

// Compare fails the test if the digest is not the one in its testdata folder, or if nothing was
// added. With VT_GOLDEN=write it writes the digest there instead.
func (d *Digest) Compare(t *testing.T) {
	t.Helper()
	if d.values == 0 {
		t.Fatal("the digest is of nothing")
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
		t.Errorf("decides otherwise: the digest of %d values is %s, not %s", d.values, got, want)
	}
}
