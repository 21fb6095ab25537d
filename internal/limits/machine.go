package limits

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"
)

// Machine is what a process may use.
type Machine struct {
	MemoryBytes int64
	Descriptors int
}

const (
	// GoMemoryPercent is the share of the memory that is the Go runtime's soft limit. The rest is for
	// the kernel's buffers and the program's text.
	GoMemoryPercent = 60

	connectionPercent = 30 // share of the memory that connections may take
	heldPercent       = 25 // share of the memory for held bytes

	connectionDescriptorPercent = 45 // share of the descriptors for accepted connections
	dialedDescriptorPercent     = 45 // share of the descriptors for connections that the process dials
	reservedDescriptors         = 200

	// minDescriptors and minMemoryBytes are assumed on machines with less, so that a process can work at all.
	minDescriptors = 2 * reservedDescriptors
	minMemoryBytes = 64 << 20
)

// DetectMachine returns the limits of this process: the memory that the Go runtime's soft limit is
// GoMemoryPercent of, or else that of the machine, and the limit of open files.
func DetectMachine() Machine {
	var m Machine
	var system unix.Sysinfo_t
	if err := unix.Sysinfo(&system); err == nil {
		m.MemoryBytes = int64(uint64(system.Totalram) * uint64(system.Unit))
	}
	const unchanged = -1
	if limit := debug.SetMemoryLimit(unchanged); limit < math.MaxInt64 {
		m.MemoryBytes = limit / GoMemoryPercent * 100
	}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err == nil {
		m.Descriptors = int(min(files.Cur, math.MaxInt32))
	}
	return m
}

// OrDetected returns m with what is not set replaced by what DetectMachine finds.
func (m Machine) OrDetected() Machine {
	detected := DetectMachine()
	if m.MemoryBytes <= 0 {
		m.MemoryBytes = detected.MemoryBytes
	}
	if m.Descriptors <= 0 {
		m.Descriptors = detected.Descriptors
	}
	return m
}

// SetGoMemoryLimit sets the Go runtime's soft limit according to the machine's memory.
func (m Machine) SetGoMemoryLimit() {
	debug.SetMemoryLimit(m.MemoryBytes / 100 * GoMemoryPercent)
}

// usableDescriptors returns the number of descriptors for connections.
func (m Machine) usableDescriptors() int {
	return max(m.Descriptors, minDescriptors) - reservedDescriptors
}

// DialedConnections returns how many connections to other processes may be kept idle.
func (m Machine) DialedConnections() int {
	return m.usableDescriptors() * dialedDescriptorPercent / 100 / 2
}
