package attempt

// RetryWindow bounds retries over a sliding window: they may be a part of the requests seen
// in it, plus an allowance (docs/design.md §14). It counts in steps. Retries count for a step
// longer than the window and requests for a step less, so that the error is always on the
// side of fewer retries.
type RetryWindow struct {
	Ratio     float64 // retries for each request; 0 allows none beyond the allowance
	Allowance float64 // retries on top of that, in each window
	SpanUS    int64   // length of the window, in microseconds

	requests [windowSteps + 2]int // by step, modulo their number
	retries  [windowSteps + 2]int
	step     int64 // the present one
	started  bool  // step is set
}

const windowSteps = 20

// advance goes on to the step of the time now and clears the steps in between.
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

// Allows reports whether a retry at the time now fits.
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

// CountRetry counts a retry at the time now. The caller has asked Allows.
func (w *RetryWindow) CountRetry(now int64) {
	w.advance(now)
	w.retries[w.step%int64(len(w.retries))]++
}
