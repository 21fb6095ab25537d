// Package clock reads the time since boot, which runs on while a machine is
// suspended and never jumps. No decision rests on wall time (design §3).
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since boot in whole microseconds.
func Now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux since 2.6.39 has this clock
	}
	return t.Sec*1_000_000 + t.Nsec/1000
}

// Micros turns whole microseconds into a duration for the library's timers.
func Duration(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
