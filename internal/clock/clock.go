// Package clock reads the time since boot of the machine (CLOCK_BOOTTIME), which includes time
// in suspend and never jumps. All decisions use it and none uses wall-clock time
// (docs/design.md section 3). Packages with decision logic don't import this package: they take
// the current time as an argument, so that the simulator and replay can control it.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	microsecondsPerSecond     = 1_000_000
	nanosecondsPerMicrosecond = 1_000
)

// Now returns the time since boot in whole microseconds. It may be called from any goroutine.
// Times of different machines, or of different boots, can't be compared.
func Now() int64 {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		panic(err) // every Linux since 2.6.39 has this clock
	}
	return reading.Sec*microsecondsPerSecond + reading.Nsec/nanosecondsPerMicrosecond
}

// Duration converts microseconds to a time.Duration.
func Duration(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
