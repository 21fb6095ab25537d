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

// processStats are a process's counters at one time.
type processStats struct {
	at        int64   // microseconds
	cpu       int64   // nanoseconds
	rss, peak float64 // MB

	// From the node's own metrics, since its start.
	inBytes, outBytes, inFrames, outFrames float64
}

// processClock is the processor time of a whole process (clock_getcpuclockid(3)).
func processClock(pid int) (int64, error) {
	var used unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|2), &used); err != nil {
		return 0, trace.NotFound("process %d can't be measured: %v; give the ids of running processes", pid, err)
	}
	return used.Nano(), nil
}

// processMemory is a process's resident memory and its peak, in MB.
func processMemory(pid int) (rss, peak float64, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, trace.NotFound("process %d can't be measured: %v; give the ids of running processes", pid, err)
	}
	for _, line := range strings.Split(string(status), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "VmRSS:":
			rss = kilobytes / 1024
		case "VmHWM:":
			peak = kilobytes / 1024
		}
	}
	return rss, peak, nil
}

// readMetrics reads a node's own counters.
func readMetrics(ctx context.Context, addr string) (map[string]float64, error) {
	ctx, stop := context.WithTimeout(ctx, clock.Duration(requestTimeoutUS))
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%s shows no metrics; check that the node runs", addr)
	}
	defer response.Body.Close()
	return parseMetrics(response.Body), nil
}

// parseMetrics reads samples without labels in Prometheus' text format, by name without the
// product's prefix.
func parseMetrics(text io.Reader) map[string]float64 {
	metrics := map[string]float64{}
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		name, written, found := strings.Cut(lines.Text(), " ")
		if !found || strings.HasPrefix(name, "#") {
			continue
		}
		if value, err := strconv.ParseFloat(written, 64); err == nil {
			metrics[strings.TrimPrefix(name, "violetthread_")] = value
		}
	}
	return metrics
}

// measureProcess reads a process's clock and memory, and its node's own counters at addr.
func measureProcess(ctx context.Context, pid, addr string) (stats processStats, err error) {
	number, err := strconv.Atoi(pid)
	if err != nil {
		return stats, trace.BadParameter("%q is no process id", pid)
	}
	if stats.rss, stats.peak, err = processMemory(number); err != nil {
		return stats, err
	}
	if stats.cpu, err = processClock(number); err != nil {
		return stats, err
	}
	stats.at = clock.Now()
	metrics, err := readMetrics(ctx, addr)
	if err != nil {
		return stats, err
	}
	stats.inBytes, stats.outBytes = metrics["link_received_bytes_total"], metrics["link_sent_bytes_total"]
	stats.inFrames, stats.outFrames = metrics["link_received_frames_total"], metrics["link_sent_frames_total"]
	return stats, nil
}
