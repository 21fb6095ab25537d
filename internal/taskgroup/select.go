package taskgroup

import (
	"context"
	"time"
)

// Every runs step at once and then each period, until ctx ends. A step that takes longer
// than the period is not caught up on. A step may still follow the end of ctx if the period
// passes at the same moment; step gets ctx for that.
func Every(ctx context.Context, period time.Duration, step func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Serve passes each value from the channel to handle and calls tick each period, one at a
// time, until ctx ends.
func Serve[T any](ctx context.Context, values <-chan T, period time.Duration, handle func(T), tick func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case value := <-values:
			handle(value)
		case <-ticker.C:
			tick()
		}
	}
}

// Receive waits for the next value of the channel. It returns false if the channel is
// closed or ctx ends first.
func Receive[T any](ctx context.Context, values <-chan T) (value T, ok bool) {
	select {
	case value, ok = <-values:
		return value, ok
	case <-ctx.Done():
		return value, false
	}
}

// Send waits until the channel takes the value. It returns false if ctx ends first.
func Send[T any](ctx context.Context, values chan<- T, value T) bool {
	select {
	case values <- value:
		return true
	case <-ctx.Done():
		return false
	}
}

// TrySend sends the value unless that would block, and reports whether it did.
func TrySend[T any](values chan<- T, value T) bool {
	select {
	case values <- value:
		return true
	default:
		return false
	}
}

// Sleep waits for so many microseconds. It returns false if ctx ends first.
func Sleep(ctx context.Context, us int64) bool {
	timer := time.NewTimer(time.Duration(us) * time.Microsecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
