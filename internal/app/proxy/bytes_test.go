package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"

	"violetthread/internal/taskgroup"
)

// fault is how a fake engine fails in the middle of an exchange.
type fault string

const (
	faultReset   fault = "reset"
	faultClose   fault = "close"
	faultSilence fault = "silence"
)

// inject makes the engine fail. A silent engine keeps its connection open until the proxy closes
// it.
func (c *engineConn) inject(f fault) {
	c.stopped = true
	switch f {
	case faultReset:
		resetConn(c.Conn)
	case faultClose:
		_ = c.Close()
	case faultSilence:
		for {
			if _, err := c.br.ReadByte(); err != nil {
				return
			}
		}
	}
}

// testCase is one fault scenario, run on a harness.
type testCase struct {
	name string
	run  func(s *harness) error
}

const reportedFailures = 12

// runCases distributes cases over harnesses that run in parallel.
func runCases(t *testing.T, harnesses int, cases []testCase) {
	t.Helper()
	group := taskgroup.New(context.Background(), logr.Discard())
	next := make(chan testCase, len(cases))
	for _, c := range cases {
		next <- c
	}
	close(next)
	var mu sync.Mutex
	var failed []string
	var done sync.WaitGroup
	for i := range min(harnesses, len(cases)) {
		s := newHarness(t, fmt.Sprintf("s%02d", i))
		done.Add(1)
		group.Go("stage", func(context.Context) {
			defer done.Done()
			for c := range next {
				if err := c.run(s); err != nil {
					mu.Lock()
					failed = append(failed, c.name+": "+err.Error())
					mu.Unlock()
				}
			}
		})
	}
	done.Wait()
	group.Stop()
	slices.Sort(failed)
	for i, f := range failed {
		if i == reportedFailures {
			t.Errorf("and %d more", len(failed)-i)
			break
		}
		t.Error(f)
	}
	t.Logf("%d cases, %d failed", len(cases), len(failed))
}

const (
	longWaitMS  = 8000
	shortWaitMS = 60
	body        = "the question"
)

// warmUp sends a request, after which the proxy has an idle connection to the engine in its pool.
func (s *harness) warmUp() error {
	id := s.newID()
	if a := s.call(repeatable, id, body, longWaitMS); !a.complete(repeatable, id) {
		return fmt.Errorf("warm-up request failed: %+v", a)
	}
	return nil
}

// completeResponses returns a script that gives a complete response to every request.
func completeResponses(kind string) func(c *engineConn, arrival int) {
	return func(c *engineConn, _ int) { c.respond(kind) }
}

// sentLength returns how many bytes an engine receives for an attempt.
func sentLength(t *testing.T, kind string, waitMS int) (length int) {
	s := newHarness(t, "s99")
	lengths := make(chan int, 2) // a repeatable request is sent twice
	s.begin(func(c *engineConn, _ int) {
		n, err := c.requestLength()
		if err != nil {
			t.Error(err)
		}
		lengths <- n
		c.inject(faultReset)
	})
	s.call(kind, s.newID(), body, waitMS)
	return <-lengths
}

// responseLength returns the length in bytes of an engine's response to an attempt.
func responseLength(kind string) int { return len(responseTo(kind, 0, "s00-000000", 0)) }

// exchange lets the first engine that an attempt reaches fail; the other one would respond
// completely.
func (s *harness) exchange(kind string, pooled bool, waitMS int, first func(c *engineConn)) error {
	s.begin(completeResponses(repeatable))
	if pooled {
		if err := s.warmUp(); err != nil {
			return err
		}
	}
	var reused atomic.Bool
	s.engines.setScript(func(c *engineConn, arrival int) {
		if arrival > 0 {
			c.respond(kind)
			return
		}
		reused.Store(c.served > 0)
		first(c)
	})
	id := s.newID()
	a := s.call(kind, id, body, waitMS)
	if err := s.check(kind, id, a); err != nil {
		return err
	}
	if s.engines.count() > 0 && reused.Load() != pooled {
		return errors.New("the attempt used the wrong kind of connection (new or pooled)")
	}
	if waitMS == longWaitMS && mayRepeat(kind) && !a.complete(kind, id) {
		return fmt.Errorf("a repeatable request got %+v", a)
	}
	return nil
}

// TestFaultAtEveryByteOfARequest: an engine resets or closes the connection, or goes silent, at
// each byte offset of the request that it reads.
func TestFaultAtEveryByteOfARequest(t *testing.T) {
	var cases []testCase
	for _, kind := range kinds {
		length := sentLength(t, kind, longWaitMS)
		for offset := 0; offset <= length; offset++ {
			for _, f := range []fault{faultReset, faultClose} {
				pooled := (offset%2 == 0) == (f == faultReset)
				name := fmt.Sprintf("%s, %s after %d of %d bytes read, pooled %v", kind, f, offset, length, pooled)
				cases = append(cases, testCase{name, func(s *harness) error { return s.requestFault(kind, f, offset, pooled, longWaitMS) }})
			}
		}
		for offset := 0; offset <= length; offset += 16 {
			name := fmt.Sprintf("%s, silence after %d of %d bytes read", kind, offset, length)
			cases = append(cases, testCase{name, func(s *harness) error { return s.requestFault(kind, faultSilence, offset, offset%32 == 0, shortWaitMS) }})
		}
	}
	runCases(t, 16, cases)
}

func (s *harness) requestFault(kind string, f fault, offset int, pooled bool, waitMS int) error {
	return s.exchange(kind, pooled, waitMS, func(c *engineConn) {
		_ = c.readSome(offset)
		c.inject(f)
	})
}

// TestFaultAtEveryByteOfAResponse: an engine that ran the request resets or closes the connection,
// or goes silent, at each byte offset of its response.
func TestFaultAtEveryByteOfAResponse(t *testing.T) {
	var cases []testCase
	for _, kind := range kinds {
		length := responseLength(kind)
		for offset := range length {
			for _, f := range []fault{faultReset, faultClose, faultSilence} {
				pooled, waitMS := offset%2 == 0, longWaitMS
				if f == faultSilence {
					waitMS = shortWaitMS
				}
				name := fmt.Sprintf("%s, %s after %d of %d bytes of the response", kind, f, offset, length)
				cases = append(cases, testCase{name, func(s *harness) error {
					return s.exchange(kind, pooled, waitMS, func(c *engineConn) { c.respondPartially(kind, offset, f) })
				}})
			}
		}
	}
	runCases(t, 48, cases)
}

// respondPartially reads a request and sends the first bytes of its response.
func (c *engineConn) respondPartially(kind string, bytes int, f fault) {
	r, _, err := c.readRequest()
	if err != nil {
		return
	}
	c.send(responseTo(kind, c.engine, r.Header.Get(headerAttempt), 0)[:bytes])
	c.inject(f)
}
