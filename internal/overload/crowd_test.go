package overload

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"violetthread/internal/taskgroup"
)

const (
	megabyte = 1 << 20
	// pieceBytes is how much a client of a crowd writes at once.
	pieceBytes = 64 << 10
	// redials is how often a client of a crowd connects again after its connection was closed.
	redials = 3
	// quietTime is how long a crowd must make no progress until it counts as quiet, and quietLimit
	// how long that is waited for.
	quietTime  = 1500 * time.Millisecond
	quietLimit = 25 * time.Second
	// sampleUS is the time between two measurements of the process, in microseconds.
	sampleUS = 100_000
	// answerLimit is how long an ordinary request is repeated until it is answered.
	answerLimit = 40 * time.Second
)

// shape writes what one client of a crowd sends on a connection. The client keeps the connection open
// afterwards and never reads.
type shape func(w io.Writer) error

// crowd is a number of clients that all do the same.
type crowd struct {
	addr        string
	connections int
	send        shape

	written, closed atomic.Int64
}

// run connects all clients and keeps their connections open until ctx ends.
func (c *crowd) run(ctx context.Context, group *taskgroup.Group) (wait func()) {
	var clients sync.WaitGroup
	for range c.connections {
		clients.Add(1)
		group.Go("client", func(context.Context) {
			defer clients.Done()
			for range 1 + redials {
				c.runClient(ctx)
				c.closed.Add(1)
				if !taskgroup.Sleep(ctx, 200_000) {
					return
				}
			}
		})
	}
	return clients.Wait
}

// runClient uses one connection until it is closed or ctx ends.
func (c *crowd) runClient(ctx context.Context) {
	dialer := net.Dialer{Timeout: 10 * time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if err := c.send(countingWriter{conn, &c.written}); err != nil {
		return
	}
	awaitClose(ctx, conn)
}

// awaitClose waits until the peer has closed a connection, without reading more than the kernel's
// smallest buffer from it.
func awaitClose(ctx context.Context, conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	for taskgroup.Sleep(ctx, 250_000) {
		if isClosedByPeer(tcp) {
			return
		}
	}
}

type countingWriter struct {
	net.Conn
	written *atomic.Int64
}

func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.Conn.Write(b)
	w.written.Add(int64(n))
	return n, err
}

// awaitQuiet waits until the crowd makes no more progress.
func (c *crowd) awaitQuiet(ctx context.Context) {
	last, since, end := int64(-1), time.Now(), time.Now().Add(quietLimit)
	for time.Now().Before(end) && time.Since(since) < quietTime {
		if now := c.written.Load() + c.closed.Load(); now != last {
			last, since = now, time.Now()
		}
		taskgroup.Sleep(ctx, sampleUS)
	}
}

// writeZeros writes n bytes in pieces.
func writeZeros(w io.Writer, n int) error {
	piece := make([]byte, pieceBytes)
	for n > 0 {
		written, err := w.Write(piece[:min(n, len(piece))])
		if err != nil {
			return err
		}
		n -= written
	}
	return nil
}

// request returns the head of a POST request.
func request(path string, headers ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s\r\n", path, host, strings.Join(append(headers, ""), "\r\n"))
}

// lengthBody sends a body of known length, and of it only the first sent bytes.
func lengthBody(head func(...string) string, length, sent int) shape {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, head(fmt.Sprintf("Content-Length: %d", length))); err != nil {
			return err
		}
		return writeZeros(w, sent)
	}
}

// chunkedBody sends a body in chunks of one size, without the last chunk.
func chunkedBody(head func(...string) string, chunkBytes, sent int) shape {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	perWrite := max(1, pieceBytes/len(chunk))
	piece := strings.Repeat(chunk, perWrite)
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, head("Transfer-Encoding: chunked")); err != nil {
			return err
		}
		for n := 0; n < sent; n += perWrite * chunkBytes {
			if _, err := io.WriteString(w, piece); err != nil {
				return err
			}
		}
		return nil
	}
}

// endlessHead sends the first bytes of a request's head.
func endlessHead(sent int) shape {
	return func(w io.Writer) error {
		_, err := io.WriteString(w, "POST / HTTP/1.1\r\nHost: "+host+"\r\nX-Long: "+strings.Repeat("h", sent))
		return err
	}
}

// manyFields sends a complete head of about headBytes in very short fields, and a body that is one byte
// short.
func manyFields(head func(...string) string, headBytes int) shape {
	var fields []string
	for size, i := 0, 0; size < headBytes; i++ {
		fields = append(fields, fmt.Sprintf("%x:", i))
		size += len(fields[i]) + len("\r\n")
	}
	return whole(head(append(fields, "Content-Length: 2")...)+"b", 0)
}

// whole sends a complete request, and then more bytes.
func whole(text string, more int) shape {
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
		return writeZeros(w, more)
	}
}

// silent sends nothing.
func silent(io.Writer) error { return nil }

// target is a process under test, and how an ordinary caller uses it.
type target struct {
	process  *process
	group    *taskgroup.Group
	ordinary func() error // one ordinary request on a new connection
	calm     func() error // the largest legal request, which is served in calm; nil for none
}

// bear runs a crowd against a process, and checks that the process lives, that it stays within its
// machine's memory and descriptors, and that it answers an ordinary request while the crowd is there
// and after it.
func (x target) bear(t *testing.T, c *crowd) {
	t.Helper()
	ctx, stop := context.WithCancel(x.group.Context())
	defer stop()
	measuring, stopMeasuring := context.WithCancel(ctx)
	defer stopMeasuring()
	var peak usage
	var measured sync.WaitGroup
	measured.Add(1)
	x.group.Go("measure", func(context.Context) {
		defer measured.Done()
		for taskgroup.Sleep(measuring, sampleUS) {
			now := x.process.usage()
			if now.memoryBytes() > peak.memoryBytes() {
				peak.residentBytes, peak.queuedBytes = now.residentBytes, now.queuedBytes
			}
			peak.descriptors = max(peak.descriptors, now.descriptors)
		}
	})
	wait := c.run(ctx, x.group)
	c.awaitQuiet(ctx)
	during := answered(ctx, x.ordinary)
	stopMeasuring()
	measured.Wait()
	stop()
	wait()
	after := answered(x.group.Context(), x.ordinary)
	if x.calm != nil && after == nil {
		if after = answered(x.group.Context(), x.calm); after != nil {
			t.Errorf("the largest legal request is not served in calm: %v", after)
		}
	}
	peak.residentBytes = max(peak.residentBytes, x.process.peakResidentBytes())
	t.Logf("%s: %d MB resident, %d MB queued, %d descriptors; the crowd wrote %d MB, %d connections ended",
		x.process.name, peak.residentBytes/megabyte, peak.queuedBytes/megabyte, peak.descriptors, c.written.Load()/megabyte, c.closed.Load())
	if !x.process.alive() {
		t.Errorf("%s ended:\n%s", x.process.name, x.process.logTail())
		return
	}
	if peak.memoryBytes() > machineMemoryBytes {
		t.Errorf("%s used %d MB (%d MB resident, %d MB in its sockets), its machine has %d MB", x.process.name,
			peak.memoryBytes()/megabyte, peak.residentBytes/megabyte, peak.queuedBytes/megabyte, machineMemoryMB)
	}
	if peak.descriptors > maxDescriptors {
		t.Errorf("%s had %d descriptors open, %d are allowed", x.process.name, peak.descriptors, maxDescriptors)
	}
	if during != nil {
		t.Errorf("no ordinary request was answered beside the crowd: %v", during)
	}
	if after != nil {
		t.Errorf("no ordinary request was answered after the crowd: %v", after)
	}
	if t.Failed() {
		t.Logf("log of %s:\n%s", x.process.name, x.process.logTail())
	}
}

// answered repeats a request until it is answered, and returns the last error.
func answered(ctx context.Context, ask func() error) error {
	err := ask()
	for end := time.Now().Add(answerLimit); err != nil && time.Now().Before(end); err = ask() {
		taskgroup.Sleep(ctx, 50_000)
	}
	return err
}
