package overload

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"golang.org/x/sys/unix"

	"violetthread/internal/taskgroup"
)

// Limits of each process's machine. They are lower than those of any deployment, so that a small crowd
// is enough.
const (
	machineMemoryMB    = 160
	machineMemoryBytes = machineMemoryMB << 20
	machineDescriptors = 2048
	// reservedDescriptors are kept for files outside of the data directory.
	reservedDescriptors = 200
	maxDescriptors      = machineDescriptors - reservedDescriptors
	// goMemoryLimit is set as GOMEMLIMIT for the product's own programs, which have no settings file of
	// a platform: 60% of the machine's memory.
	goMemoryLimit = "96MiB"
)

// buildPrograms builds the programs without the race detector, whose memory would be counted.
var buildPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "overload")
	if err != nil {
		return "", err
	}
	build := exec.Command("go", "build", "-o", dir+"/", "violetthread/cmd/...")
	output, err := build.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("go build: %v\n%s", err, output)
	}
	return dir, nil
})

// process is a running program on an IP address of its own.
type process struct {
	t       *testing.T
	name    string
	ip      string
	command *exec.Cmd
	ended   chan struct{}
	logPath string
}

// startProcess starts a program with its limit of descriptors.
func startProcess(t *testing.T, group *taskgroup.Group, dir, name, ip string, env []string, program string, args ...string) *process {
	t.Helper()
	programs, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, name: name, ip: ip, ended: make(chan struct{}), logPath: filepath.Join(dir, name+".log")}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	script := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, machineDescriptors)
	p.command = exec.Command("/bin/sh", append([]string{"-c", script, filepath.Join(programs, program)}, args...)...)
	p.command.Env = append(append(os.Environ(), "GOMAXPROCS=2"), env...)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	group.Go("wait", func(context.Context) {
		_ = p.command.Wait()
		close(p.ended)
	})
	return p
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// alive reports whether the process still runs.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// logTail returns the end of what the process has logged.
func (p *process) logTail() string {
	const maxBytes = 3000
	text, _ := os.ReadFile(p.logPath)
	return string(text[max(0, len(text)-maxBytes):])
}

// usage is what a process uses at one moment.
type usage struct {
	residentBytes int64 // of the process
	queuedBytes   int64 // of its sockets: received and not read, or written and not acknowledged
	descriptors   int
}

func (u usage) memoryBytes() int64 { return u.residentBytes + u.queuedBytes }

// usage measures what the process uses now.
func (p *process) usage() usage {
	inodes := p.socketInodes()
	u := usage{descriptors: inodes.descriptors}
	u.residentBytes = p.statusBytes("VmRSS:")
	u.queuedBytes = p.queuedBytes(inodes.sockets)
	return u
}

// peakResidentBytes returns the largest resident size of the process so far.
func (p *process) peakResidentBytes() int64 { return p.statusBytes("VmHWM:") }

// statusBytes returns a size from the process's status file.
func (p *process) statusBytes(field string) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	_, after, _ := strings.Cut(string(text), field)
	value, _, _ := strings.Cut(strings.TrimSpace(after), " ")
	kilobytes, _ := strconv.ParseInt(value, 10, 64)
	return kilobytes << 10
}

type openFiles struct {
	descriptors int
	sockets     map[string]bool // inodes
}

// socketInodes lists the process's open descriptors.
func (p *process) socketInodes() openFiles {
	open := openFiles{sockets: map[string]bool{}}
	dir := fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)
	entries, _ := os.ReadDir(dir)
	for _, entry := range entries {
		open.descriptors++
		target, _ := os.Readlink(filepath.Join(dir, entry.Name()))
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			open.sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return open
}

// queuedBytes sums the queues of the process's sockets, and of the connections to its address that it
// has not accepted yet.
func (p *process) queuedBytes(sockets map[string]bool) (sum int64) {
	const listenState = "0A"
	text, _ := os.ReadFile("/proc/net/tcp")
	own := hexAddress(p.ip)
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 10 || fields[3] == listenState {
			continue
		}
		inode := fields[9]
		notAccepted := inode == "0" && strings.HasPrefix(fields[1], own+":")
		if !sockets[inode] && !notAccepted {
			continue
		}
		sent, received, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{sent, received} {
			n, _ := strconv.ParseInt(queue, 16, 64)
			sum += n
		}
	}
	return sum
}

// hexAddress returns an IPv4 address as /proc/net/tcp prints it.
func hexAddress(ip string) string {
	b := net.ParseIP(ip).To4()
	return fmt.Sprintf("%02X%02X%02X%02X", b[3], b[2], b[1], b[0])
}

// raiseDescriptorLimit lets this test process open the connections of a crowd.
func raiseDescriptorLimit(t *testing.T, n uint64) {
	t.Helper()
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if limit.Cur >= n {
		return
	}
	limit.Cur = min(n, limit.Max)
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < n {
		t.Skipf("this machine allows %d open files, the crowd needs %d", limit.Cur, n)
	}
}
