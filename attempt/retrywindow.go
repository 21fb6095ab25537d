package attempt

// RetryWindow limits retries over a sliding window to a fraction of the requests seen in it,
// plus an allowance (docs/design.md §14). It counts per step, a twentieth of the window.
// Retries count for one step longer than the window and requests for one step less, so that
// the rounding error always allows fewer retries, never more.
type RetryWindow struct {
	Ratio     float64 // retries per request; 0 allows none beyond the allowance
	Allowance float64 // retries on top of that, in each window
	SpanUS    int64   // length of the window, in microseconds

	requests [windowSteps + 2]int // ring buffer by step number
	retries  [windowSteps + 2]int // ring buffer by step number
	step     int64                // current step number
	started  bool                 // step is set
}

const windowSteps = 20

// advance moves on to the step of the time now and clears the counts of the steps it enters.
func (w *RetryWindow) advance(now int64) {
	step := now / max(w.SpanUS/windowSteps, 1)
	slots := int64(len(w.requests))
	if !w.started || step-w.step >= slots {
		w.requests, w.retries = [windowSteps + 2]int{}, [windowSteps + 2]int{}
		w.step, w.started = step, true
		return
	}
	for w.step < step {
		w.step++
		w.requests[w.step%slots], w.retries[w.step%slots] = 0, 0
	}
}

// CountRequest counts a request at the time now, in monotonic microseconds.
func (w *RetryWindow) CountRequest(now int64) {
	w.advance(now)
	w.requests[w.step%int64(len(w.requests))]++
}

// Allows reports whether a retry at the time now is within the limit.
func (w *RetryWindow) Allows(now int64) bool {
	w.advance(now)
	slots := int64(len(w.requests))
	requests, retries := 0, 0
	for age := range slots {
		slot := (w.step - age + 2*slots) % slots
		if age < windowSteps-1 {
			requests += w.requests[slot]
		}
		retries += w.retries[slot]
	}
	return float64(retries+1) <= w.Ratio*float64(requests)+w.Allowance
}

// CountRetry counts a retry at the time now. The caller must check Allows first.
func (w *RetryWindow) CountRetry(now int64) {
	w.advance(now)
	w.retries[w.step%int64(len(w.retries))]++
}
