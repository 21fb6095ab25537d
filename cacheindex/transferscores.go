package cacheindex

import (
	"slices"

	"github.com/samber/lo"
)

// TransferScores estimate, for each peer, how often a transfer of blocks from it succeeds,
// in thousandths. Nothing says so at the time; it is learnt from what the taker reports
// later.
type TransferScores struct {
	byPeer map[uint64]*transferScore
}

type transferScore struct {
	permille      int64
	probeAt       int64 // an unusable peer is tried again then
	probeInterval int64 // microseconds
}

const (
	initialScore   = 800 // thousandths
	minUsableScore = 450
	// An unusable peer is probed sparingly; the pause doubles with each failure.
	minProbeInterval = 1_000_000 // microseconds
	maxProbeInterval = 60_000_000
)

// NewTransferScores makes an empty estimate.
func NewTransferScores() *TransferScores {
	return &TransferScores{byPeer: map[uint64]*transferScore{}}
}

// Record takes in how one transfer from a peer went.
func (s *TransferScores) Record(now int64, peer uint64, succeeded bool) {
	score := s.byPeer[peer]
	if score == nil {
		score = &transferScore{permille: initialScore}
		s.byPeer[peer] = score
	}
	if succeeded {
		score.permille += (1000 - score.permille) / 3
		score.probeInterval = 0
		return
	}
	score.permille -= score.permille / 2
	score.probeInterval = min(max(2*score.probeInterval, minProbeInterval), maxProbeInterval)
	score.probeAt = now + score.probeInterval
}

// Score is the estimate for a peer in thousandths. An unusable peer that is due for a probe
// counts as just usable, once for each probe.
func (s *TransferScores) Score(now int64, peer uint64) int {
	score := s.byPeer[peer]
	switch {
	case score == nil:
		return initialScore
	case score.permille < minUsableScore && now >= score.probeAt:
		score.probeAt = now + max(score.probeInterval, minProbeInterval)
		return minUsableScore
	}
	return int(score.permille)
}

// Peers lists the peers with an estimate, in order.
func (s *TransferScores) Peers() []uint64 {
	peers := lo.Keys(s.byPeer)
	slices.Sort(peers)
	return peers
}

// UsableScore reports whether a score justifies a transfer at all.
func UsableScore(score int) bool { return score >= minUsableScore }
