package scale

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"violetthread/internal/clock"
)

// processStats are a process's counters as they stand.
type processStats struct {
	at                                     int64
	cpu                                    int64 // nanoseconds
	rss, peak                              float64
	inBytes, outBytes, inFrames, outFrames float64
}

// processClock is the processor time of a whole process (clock_getcpuclockid(3)).
func processClock(pid int) (int64, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|2), &t); err != nil {
		return 0, trace.NotFound("process %d can't be measured: %v; give the ids of running processes", pid, err)
	}
	return t.Nano(), nil
}

// processMemory is a process's resident memory and its peak, in MB.
func processMemory(pid int) (rss, peak float64, err error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, trace.NotFound("process %d can't be measured: %v; give the ids of running processes", pid, err)
	}
	for _, l := range strings.Split(string(b), "\n") {
		f := strings.Fields(l)
		if len(f) < 2 {
			continue
		}
		n, _ := strconv.ParseFloat(f[1], 64)
		switch f[0] {
		case "VmRSS:":
			rss = n / 1024
		case "VmHWM:":
			peak = n / 1024
		}
	}
	return rss, peak, nil
}

// readMetrics reads a node's own counters.
func readMetrics(ctx context.Context, addr string) (map[string]float64, error) {
	ctx, stop := context.WithTimeout(ctx, clock.Duration(3_000_000))
	defer stop()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%s shows no metrics; check that the node runs", addr)
	}
	defer r.Body.Close()
	return parseMetrics(r.Body), nil
}

func parseMetrics(r io.Reader) map[string]float64 {
	m := map[string]float64{}
	s := bufio.NewScanner(r)
	for s.Scan() {
		if n, v, ok := strings.Cut(s.Text(), " "); ok && !strings.HasPrefix(n, "#") {
			if x, err := strconv.ParseFloat(v, 64); err == nil {
				m[strings.TrimPrefix(n, "violetthread_")] = x
			}
		}
	}
	return m
}

// measureProcess reads a process's clock and memory, and its node's own counters at addr.
func measureProcess(ctx context.Context, pid, addr string) (v processStats, err error) {
	n, err := strconv.Atoi(pid)
	if err != nil {
		return v, trace.BadParameter("%q is no process id", pid)
	}
	if v.rss, v.peak, err = processMemory(n); err != nil {
		return v, err
	}
	if v.cpu, err = processClock(n); err != nil {
		return v, err
	}
	v.at = clock.Now()
	m, err := readMetrics(ctx, addr)
	if err != nil {
		return v, err
	}
	v.inBytes, v.outBytes = m["link_received_bytes_total"], m["link_sent_bytes_total"]
	v.inFrames, v.outFrames = m["link_received_frames_total"], m["link_sent_frames_total"]
	return v, nil
}
