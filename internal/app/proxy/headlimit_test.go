package proxy_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"violetthread/route"
)

// setHeadLimit puts a configuration with a limit of request heads in force.
func (s *harness) setHeadLimit(bytes int64) {
	config := testTable().Config
	config.Limits.HeaderBytes = bytes
	s.proxy.SetTable(route.Compile(config, 2))
}

// longRequest returns an attempt whose head has a field of this length.
func longRequest(kind, id string, length int) string {
	field := "X-Padding: " + strings.Repeat("p", length)
	return strings.Replace(request(kind, id, "body", 8000), "Content-Length", field+"\r\nContent-Length", 1)
}

// TestHeadLimitInForce guards against a limit of heads that is looked up only when the port opens: after
// an operator raised it, running proxies went on answering 431 to heads within it.
func TestHeadLimitInForce(t *testing.T) {
	s := newHarness(t, "head")
	s.begin(func(c *engineConn, _ int) { c.respond(repeatable) })
	kept := s.dial()
	defer kept.Close()
	for _, step := range []struct {
		limit     int64
		length    int
		newStatus int // on a new connection
		status    int // on the one that is kept open since before all changes; 0 to leave it alone
	}{
		{16 << 10, 1 << 10, 200, 200},
		{16 << 10, 27 << 10, 431, 0},
		{64 << 10, 27 << 10, 200, 200}, // raised
		{64 << 10, 80 << 10, 431, 0},
		{0, 500 << 10, 200, 200}, // no limit is set: the default
		{0, 1100 << 10, 431, 0},  // beyond the default
		{2 << 20, 1500 << 10, 200, 200},
		{16 << 10, 1 << 10, 200, 200}, // lowered
		{16 << 10, 27 << 10, 431, 431},
	} {
		t.Run(fmt.Sprint(step.length, " within ", step.limit), func(t *testing.T) {
			s.setHeadLimit(step.limit)
			fresh := s.dial()
			defer fresh.Close()
			for c, want := range map[*caller]int{fresh: step.newStatus, kept: step.status} {
				if want == 0 {
					continue
				}
				id := s.newID()
				_, _ = io.WriteString(c, longRequest(repeatable, id, step.length))
				a := c.read()
				if a.status != want || a.readErr != nil {
					t.Errorf("%d %v, want %d", a.status, a.readErr, want)
				}
				if want != 431 {
					continue
				}
				if _, err := c.br.ReadByte(); !errors.Is(err, io.EOF) {
					t.Errorf("the connection stays open after 431: %v", err)
				}
			}
		})
	}
}

// TestHeadLimitByPieces guards against counting a head wrongly that arrives byte by byte, or beside the
// body of the request before it.
func TestHeadLimitByPieces(t *testing.T) {
	s := newHarness(t, "pieces")
	s.begin(func(c *engineConn, _ int) { c.respond(repeatable) })
	s.setHeadLimit(1 << 10)
	c := s.dial()
	defer c.Close()
	first, second := s.newID(), s.newID()
	text := request(repeatable, first, strings.Repeat("b", 20<<10), 8000) + request(repeatable, second, "", 8000)
	for i := range len(text) {
		if i < 300 || i > len(text)-300 {
			_, _ = io.WriteString(c, text[i:i+1])
		} else if i == 300 {
			_, _ = io.WriteString(c, text[300:len(text)-299])
		}
	}
	for _, id := range []string{first, second} {
		if err := s.check(repeatable, id, c.read()); err != nil {
			t.Error(err)
		}
	}
}
