package goldendigest

import (
	"encoding/hex"
	"os"
	"testing"
)

func digestOf(add func(*Digest)) string {
	d := New()
	add(d)
	return hex.EncodeToString(d.sum.Sum(nil))
}

// TestDigestsDiffer: different values, another order or another division of a text result in
// different digests, and the same values in the same digest.
func TestDigestsDiffer(t *testing.T) {
	seen := map[string]string{}
	for _, c := range []struct {
		name string
		add  func(*Digest)
	}{
		{"nothing", func(*Digest) {}},
		{"number", func(d *Digest) { d.Number(2) }},
		{"negative number", func(d *Digest) { d.Number(-2) }},
		{"unset flag", func(d *Digest) { d.Flag(false) }},
		{"set flag", func(d *Digest) { d.Flag(true) }},
		{"empty text twice", func(d *Digest) { d.Text(""); d.Text("") }},
		{"texts", func(d *Digest) { d.Text("ab"); d.Text("c") }},
		{"texts divided differently", func(d *Digest) { d.Text("a"); d.Text("bc") }},
		{"texts in another order", func(d *Digest) { d.Text("c"); d.Text("ab") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			digest := digestOf(c.add)
			if other, found := seen[digest]; found {
				t.Errorf("the same digest as %s", other)
			}
			seen[digest] = c.name
			if again := digestOf(c.add); again != digest {
				t.Errorf("%s, then %s", digest, again)
			}
		})
	}
}

// TestCompare: a digest that was stored with VT_GOLDEN=write passes the comparison.
func TestCompare(t *testing.T) {
	t.Chdir(t.TempDir())
	d := New()
	d.Text("value")
	for _, c := range []struct{ name, mode string }{{"write", "write"}, {"compare", ""}} {
		t.Run(c.name, func(t *testing.T) {
			t.Setenv(writeEnv, c.mode)
			if err := os.MkdirAll("testdata", 0o750); err != nil {
				t.Fatal(err)
			}
			d.Compare(t)
		})
	}
}
