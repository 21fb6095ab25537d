package proxy_test

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"violetthread/internal/limits"
)

const (
	largeResponses = 15 // of each kind, of which the median counts
	// A response may take some times as long from a bounded port as from an unbounded one, but must
	// not wait for a delayed acknowledgement, which takes 40 ms.
	boundedFactor  = 5
	boundedSlackMS = 20
)

// TestLargeResponseFromBoundedPort guards against responses that take many times as long because the
// kernel's buffers of a bounded port are small.
func TestLargeResponseFromBoundedPort(t *testing.T) {
	s := newHarness(t, "size")
	bounded := s.proxy.ListenBounded(t, limits.Machine{MemoryBytes: 284 << 20, Descriptors: 4100})
	for _, size := range []int{100 << 10, 300 << 10, 1 << 20, 8 << 20} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(size, " chunked ", chunked), func(t *testing.T) {
				s.begin(func(c *engineConn, _ int) { c.respondLarge(size, chunked) })
				base, got := s.medianTime(s.proxy.Listen, size), s.medianTime(bounded, size)
				t.Logf("unbounded %v, bounded %v", base, got)
				if got > boundedFactor*base+boundedSlackMS*time.Millisecond {
					t.Errorf("a response takes %v, and %v from a port without bounds", got, base)
				}
			})
		}
	}
}

// medianTime returns the median time of a large response on one connection.
func (s *harness) medianTime(addr string, size int) time.Duration {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		s.t.Fatal(err)
	}
	defer conn.Close()
	c := newCaller(conn)
	var times []time.Duration
	for range largeResponses {
		start := time.Now()
		_, _ = io.WriteString(c, request(repeatable, s.newID(), "", 8000))
		if a := c.read(); a.status != 200 || a.readErr != nil || len(a.body) != size {
			s.t.Fatalf("%d, %d bytes, %v", a.status, len(a.body), a.readErr)
		}
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	return times[largeResponses/2]
}

// respondLarge reads a request and sends a response with a body of this size.
func (c *engineConn) respondLarge(size int, chunked bool) {
	r, _, err := c.readRequest()
	if err != nil {
		return
	}
	id := r.Header.Get(headerAttempt)
	body, framing := strings.Repeat("x", size), fmt.Sprint("Content-Length: ", size)
	if chunked {
		framing = "Transfer-Encoding: chunked"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)
	}
	c.send(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s\r\n\r\n%s", headerAttempt, id, headerSeal, sealOf(c.engine, id), framing, body))
}
