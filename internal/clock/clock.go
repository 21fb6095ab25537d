// Package clock reads the machine's time since boot, which runs on while the machine is
// suspended and never jumps. All decisions rest on it; none rests on wall time
// (docs/design.md section 3). Deciding packages don't import it: they take the time as an
// argument, so that the simulator and replay can give it.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	microsecondsPerSecond     = 1_000_000
	nanosecondsPerMicrosecond = 1_000
)

// Now is the time since boot in whole microseconds. It may be called from any goroutine.
// Readings of different machines, or of different boots, can't be compared.
func Now() int64 {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		panic(err) // every Linux since 2.6.39 has this clock
	}
	return reading.Sec*microsecondsPerSecond + reading.Nsec/nanosecondsPerMicrosecond
}

// Duration turns whole microseconds into a duration for the timers of package time.
func Duration(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
