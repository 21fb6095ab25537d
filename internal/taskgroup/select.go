package taskgroup

import (
	"context"
	"time"
)

// Every calls step immediately and then once each period, until ctx ends. Calls missed during a
// step that takes longer than the period are not made up for. step may be called again after
// ctx has ended if the period ends at the same moment, and can check ctx for that.
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

// Serve calls handle for each value from the channel, and tick once each period, until ctx
// ends. The calls do not overlap.
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

// Receive waits for the next value from the channel. It returns false if the channel is
// closed or ctx ends first.
func Receive[T any](ctx context.Context, values <-chan T) (value T, ok bool) {
	select {
	case value, ok = <-values:
		return value, ok
	case <-ctx.Done():
		return value, false
	}
}

// Send sends the value and blocks until that is possible. It returns false if ctx ends first.
func Send[T any](ctx context.Context, values chan<- T, value T) bool {
	select {
	case values <- value:
		return true
	case <-ctx.Done():
		return false
	}
}

// TrySend sends the value unless that would block, and reports whether the value was sent.
func TrySend[T any](values chan<- T, value T) bool {
	select {
	case values <- value:
		return true
	default:
		return false
	}
}

// Sleep waits for us microseconds. It returns false if ctx ends first.
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
