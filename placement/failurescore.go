package placement

import "math"

// failureScore counts the failures of an engine. A success halves it, and so does time: an
// engine that fails a part of its requests keeps a score, and one that nobody uses any more is
// tried again.
type failureScore struct {
	score  float64
	scored int64 // monotonic microseconds at which the score was that
}

const (
	maxFailureScore       = 6
	minFailureScore       = 0.1 // below which it counts as none
	failureScoreHalfLife  = 2_500_000
	failureSuccessHalving = 0.5
)

// at is the score at the time now.
func (f *failureScore) at(now int64) float64 {
	score := f.score * math.Exp2(-float64(max(0, now-f.scored))/failureScoreHalfLife)
	if score < minFailureScore {
		return 0
	}
	return score
}

// failed counts a failure.
func (f *failureScore) failed(now int64) {
	f.score, f.scored = min(f.at(now)+1, maxFailureScore), now
}

// succeeded takes in an answer.
func (f *failureScore) succeeded(now int64) {
	f.score, f.scored = f.at(now)*failureSuccessHalving, now
}
