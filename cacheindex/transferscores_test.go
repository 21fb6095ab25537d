package cacheindex

import "testing"

// TestTransferScores checks that a peer becomes unusable after two failures, is then probed
// rarely, and becomes usable again after successes.
func TestTransferScores(t *testing.T) {
	const peer = 1
	scores := NewTransferScores()
	now := int64(0)
	usable := func() bool { return UsableScore(scores.Score(now, peer)) }
	if !usable() {
		t.Fatal("unknown peer is not usable")
	}
	scores.Record(now, peer, false)
	scores.Record(now, peer, false)
	if usable() {
		t.Fatal("peer is still usable after two failures in a row")
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
		t.Fatal("peer is unusable after four successes")
	}
}
