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

// fault is what an engine does in place of going on.
type fault string

const (
	faultReset   fault = "reset"
	faultClose   fault = "close"
	faultSilence fault = "silence"
)

// strike does it. A silent engine holds its connection until the far end drops it.
func (c *engineConn) strike(f fault) {
	c.over = true
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

// testCase is one trouble, brought about on a stage.
type testCase struct {
	name string
	run  func(s *stage) error
}

const reportedFailures = 12

// runCases spreads cases over stages that run beside each other.
func runCases(t *testing.T, stages int, cases []testCase) {
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
	for i := range min(stages, len(cases)) {
		s := newStage(t, fmt.Sprintf("s%02d", i))
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

// keep makes the proxy keep a connection to the engine that it asks next.
func (s *stage) keep() error {
	id := s.newID()
	if a := s.call(repeatable, id, body, longWaitMS); !a.whole(repeatable, id) {
		return fmt.Errorf("warming up: %+v", a)
	}
	return nil
}

// properly is a script that answers everything completely.
func properly(kind string) func(c *engineConn, arrival int) {
	return func(c *engineConn, _ int) { c.answerProperly(kind) }
}

// sentLength is how many bytes an engine gets of an attempt.
func sentLength(t *testing.T, kind string, waitMS int) (length int) {
	s := newStage(t, "s99")
	lengths := make(chan int, 2) // one that may be repeated comes twice
	s.begin(func(c *engineConn, _ int) {
		n, err := c.requestLength()
		if err != nil {
			t.Error(err)
		}
		lengths <- n
		c.strike(faultReset)
	})
	s.call(kind, s.newID(), body, waitMS)
	return <-lengths
}

// answerLength is how many bytes an engine's answer to an attempt has.
func answerLength(kind string) int { return len(answerTo(kind, 0, "s00-000000", 0)) }

// exchange brings a fault about at the first engine that an attempt reaches; the other one
// would answer properly.
func (s *stage) exchange(kind string, kept bool, waitMS int, first func(c *engineConn)) error {
	s.begin(properly(repeatable))
	if kept {
		if err := s.keep(); err != nil {
			return err
		}
	}
	var reused atomic.Bool
	s.engines.follow(func(c *engineConn, arrival int) {
		if arrival > 0 {
			c.answerProperly(kind)
			return
		}
		reused.Store(c.served > 0)
		first(c)
	})
	id := s.newID()
	a := s.call(kind, id, body, waitMS)
	if err := s.judge(kind, id, a); err != nil {
		return err
	}
	if s.engines.count() > 0 && reused.Load() != kept {
		return errors.New("not the connection that was meant")
	}
	if waitMS == longWaitMS && mayRepeat(kind) && !a.whole(kind, id) {
		return fmt.Errorf("it may be repeated, and got %+v", a)
	}
	return nil
}

// TestFaultAtEveryByteOfARequest: an engine resets or closes after every byte that it
// reads, or falls silent.
func TestFaultAtEveryByteOfARequest(t *testing.T) {
	var cases []testCase
	for _, kind := range kinds {
		length := sentLength(t, kind, longWaitMS)
		for offset := 0; offset <= length; offset++ {
			for _, f := range []fault{faultReset, faultClose} {
				kept := (offset%2 == 0) == (f == faultReset)
				name := fmt.Sprintf("%s, %s after %d of %d bytes read, kept %v", kind, f, offset, length, kept)
				cases = append(cases, testCase{name, func(s *stage) error { return s.requestFault(kind, f, offset, kept, longWaitMS) }})
			}
		}
		for offset := 0; offset <= length; offset += 16 {
			name := fmt.Sprintf("%s, silence after %d of %d bytes read", kind, offset, length)
			cases = append(cases, testCase{name, func(s *stage) error { return s.requestFault(kind, faultSilence, offset, offset%32 == 0, shortWaitMS) }})
		}
	}
	runCases(t, 16, cases)
}

func (s *stage) requestFault(kind string, f fault, offset int, kept bool, waitMS int) error {
	return s.exchange(kind, kept, waitMS, func(c *engineConn) {
		_ = c.readSome(offset)
		c.strike(f)
	})
}

// TestFaultAtEveryByteOfAnAnswer: an engine that ran the request resets, closes or falls
// silent after every byte of its answer.
func TestFaultAtEveryByteOfAnAnswer(t *testing.T) {
	var cases []testCase
	for _, kind := range kinds {
		length := answerLength(kind)
		for offset := range length {
			for _, f := range []fault{faultReset, faultClose, faultSilence} {
				kept, waitMS := offset%2 == 0, longWaitMS
				if f == faultSilence {
					waitMS = shortWaitMS
				}
				name := fmt.Sprintf("%s, %s after %d of %d bytes answered", kind, f, offset, length)
				cases = append(cases, testCase{name, func(s *stage) error {
					return s.exchange(kind, kept, waitMS, func(c *engineConn) { c.answerPart(kind, offset, f) })
				}})
			}
		}
	}
	runCases(t, 48, cases)
}

// answerPart reads a request and answers the first bytes of what it should.
func (c *engineConn) answerPart(kind string, bytes int, f fault) {
	r, _, err := c.readRequest()
	if err != nil {
		return
	}
	c.say(answerTo(kind, c.engine, r.Header.Get(headerAttempt), 0)[:bytes])
	c.strike(f)
}
