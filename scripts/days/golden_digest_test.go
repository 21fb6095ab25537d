package main

import (
	"os"
	"path/filepath"
	"testing"

	"violetthread/internal/goldendigest"
)

// TestGoldenDays checks, by a digest, that a seed still gives the same day, on a site with all
// contracts and on one without. Days that found a fault are run again by their seeds.
func TestGoldenDays(t *testing.T) {
	s, _ := testSite(t)
	everyContract := s
	everyContract.Contracts = []string{"base", "config", "pool", "health"}
	digest := goldendigest.New()
	path := filepath.Join(t.TempDir(), "day.toml")
	for seed := range uint64(manySeeds) {
		for _, drawn := range []day{draw(s, seed), draw(everyContract, seed)} {
			if err := drawn.write(path); err != nil {
				t.Fatal(err)
			}
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			digest.Text(string(text))
		}
	}
	digest.Compare(t)
}
