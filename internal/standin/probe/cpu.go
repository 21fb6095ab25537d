package probe

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/gravitational/trace"
)

// Indexes of fields of /proc/PID/stat, counted from the first one after the command's name
// (proc_pid_stat(5): utime is field 14, stime field 15).
const (
	userTimeField   = 11
	systemTimeField = 12
)

// clockTickUS is the length of a clock tick: USER_HZ is 100 on Linux.
const clockTickUS = 10_000

// CPUProbe prints the CPU time that processes have used so far; the difference between two
// readings is the time used in between.
type CPUProbe struct {
	PIDs []string `json:"pids" validate:"required,min=1" help:"process ids, with commas"`
}

// Run prints the sum over the processes, in microseconds.
func (p CPUProbe) Run(out io.Writer) error {
	var sum int64
	for _, pid := range p.PIDs {
		stat, err := os.ReadFile("/proc/" + pid + "/stat")
		if err != nil {
			return trace.NotFound("no process with id %s", pid)
		}
		us, err := parseCPUTime(stat)
		if err != nil {
			return err
		}
		sum += us
	}
	fmt.Fprintln(out, sum)
	return nil
}

// parseCPUTime returns a process's user plus system time, in microseconds. The command's name
// is in parentheses and may itself contain blanks and parentheses, so fields are counted from
// the last closing one.
func parseCPUTime(stat []byte) (us int64, err error) {
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	var user, system int64
	if _, err := fmt.Sscan(fields[userTimeField]+" "+fields[systemTimeField], &user, &system); err != nil {
		return 0, err
	}
	return (user + system) * clockTickUS, nil
}
