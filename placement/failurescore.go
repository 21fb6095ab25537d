package placement

import "math"

// failureScore is a decaying count of an engine's failures. Each success halves it, and so does
// each half-life. An engine that fails a part of its requests therefore keeps a positive score,
// while the score of an engine that is no longer used decays to 0, so that it is tried again.
type failureScore struct {
	score     float64
	updatedAt int64 // monotonic microseconds of the last update of score
}

const (
	maxFailureScore      = 6
	minFailureScore      = 0.1       // lower scores count as 0
	failureScoreHalfLife = 2_500_000 // microseconds
	successFactor        = 0.5
)

// at returns the score at the time now.
func (f *failureScore) at(now int64) float64 {
	score := f.score * math.Exp2(-float64(max(0, now-f.updatedAt))/failureScoreHalfLife)
	if score < minFailureScore {
		return 0
	}
	return score
}

func (f *failureScore) recordFailure(now int64) {
	f.score, f.updatedAt = min(f.at(now)+1, maxFailureScore), now
}

func (f *failureScore) recordSuccess(now int64) {
	f.score, f.updatedAt = f.at(now)*successFactor, now
}
