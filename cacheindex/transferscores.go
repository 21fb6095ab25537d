package cacheindex

import (
	"slices"

	"github.com/samber/lo"
)

// TransferScores estimate, for each peer, the success rate of block transfers from it, in
// thousandths. The result of a transfer is not known at the time of the transfer; the scores are
// learned from later reports of the receiver.
type TransferScores struct {
	byPeer map[uint64]*transferScore
}

type transferScore struct {
	permille      int64
	probeAt       int64 // time at which an unusable peer is tried again
	probeInterval int64 // microseconds
}

const (
	initialScore   = 800 // thousandths
	minUsableScore = 450
	// An unusable peer is probed rarely: the interval between probes doubles with each failed
	// transfer.
	minProbeInterval = 1_000_000 // microseconds
	maxProbeInterval = 60_000_000
)

// NewTransferScores creates scores without any peers.
func NewTransferScores() *TransferScores {
	return &TransferScores{byPeer: map[uint64]*transferScore{}}
}

// Record updates the score of a peer with the result of one transfer.
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

// Score returns the score of a peer in thousandths. For an unusable peer that is due for a probe
// it returns the lowest usable score, once per probe interval.
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

// Peers returns the peers with recorded transfers, sorted.
func (s *TransferScores) Peers() []uint64 {
	peers := lo.Keys(s.byPeer)
	slices.Sort(peers)
	return peers
}

// UsableScore reports whether a score is high enough to attempt a transfer.
func UsableScore(score int) bool { return score >= minUsableScore }
