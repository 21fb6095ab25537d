package cacheindex

import "testing"

// TestTransferScores: a peer from which transfers fail is left at once, probed sparingly,
// and comes back.
func TestTransferScores(t *testing.T) {
	const peer = 1
	scores := NewTransferScores()
	now := int64(0)
	usable := func() bool { return UsableScore(scores.Score(now, peer)) }
	if !usable() {
		t.Fatal("an unknown peer must be tried")
	}
	scores.Record(now, peer, false)
	scores.Record(now, peer, false)
	if usable() {
		t.Fatal("two failures in a row and still used")
	}
	probes := 0
	for ; now < 120_000_000; now += 100_000 {
		if usable() {
			probes++
			scores.Record(now, peer, false)
		}
	}
	if probes < 3 || probes > 10 {
		t.Fatalf("%d probes in two minutes", probes)
	}
	for range 4 {
		scores.Record(now, peer, true)
	}
	if !usable() {
		t.Fatal("a mended peer stays unused")
	}
}
