package probe

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/gravitational/trace"
)

// Fields of /proc/PID/stat after the command's name (proc_pid_stat(5): utime is the 14th of
// all, stime the 15th).
const (
	statUserTime   = 11
	statSystemTime = 12
)

// clockTickUS is what USER_HZ comes to on Linux: a hundredth of a second.
const clockTickUS = 10_000

// CPUProbe prints the processor time that processes have used; the difference of two runs is
// what they used in between.
type CPUProbe struct {
	PIDs []string `json:"pids" validate:"required,min=1" help:"process ids, with commas"`
}

// Run prints the sum over the processes, in microseconds.
func (p CPUProbe) Run(out io.Writer) error {
	var sum int64
	for _, pid := range p.PIDs {
		stat, err := os.ReadFile("/proc/" + pid + "/stat")
		if err != nil {
			return trace.NotFound("process %s is not there", pid)
		}
		us, err := parseProcessTime(stat)
		if err != nil {
			return err
		}
		sum += us
	}
	fmt.Fprintln(out, sum)
	return nil
}

// parseProcessTime reads a process's user and system time, in microseconds. The command's
// name may hold blanks and parentheses, so that fields are counted from the last one.
func parseProcessTime(stat []byte) (us int64, err error) {
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	var user, system int64
	if _, err := fmt.Sscan(fields[statUserTime]+" "+fields[statSystemTime], &user, &system); err != nil {
		return 0, err
	}
	return (user + system) * clockTickUS, nil
}
