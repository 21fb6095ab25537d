package proxy_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"violetthread/placement"
)

const (
	testModel       = "m"
	headerModel     = "X-Violetthread-Model-Name"
	queueBound      = 5 * time.Second // on new weights
	announcedBefore = 3 * time.Second // the newer version, as the test begins
)

// queueingEngine is an engine on outdated weights whose queue is long: a request begins there
// only at a set time. It drops a request whose connection closes before that.
type queueingEngine struct {
	beginAt time.Time
	mu      sync.Mutex
	queued  int
	began   int
}

// serve queues one request, and begins it if its caller is still there at beginAt.
func (e *queueingEngine) serve(c *engineConn, kind string) {
	r, _, err := c.readRequest()
	if err != nil {
		return
	}
	e.count(&e.queued)
	_ = c.SetReadDeadline(e.beginAt)
	if _, err := c.br.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		c.over = true
		return // the caller has gone
	}
	_ = c.SetReadDeadline(time.Time{})
	e.count(&e.began)
	c.say(answerTo(kind, c.engine, r.Header.Get(headerAttempt), 0))
}

func (e *queueingEngine) count(counter *int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*counter++
}

func (e *queueingEngine) counts() (queued, began int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queued, e.began
}

// modelRequest is an attempt on the test's model, as its caller writes it.
func modelRequest(kind, id string) string {
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
		kind, headerAttempt, id, headerRemaining, patience.Milliseconds(), headerModel, testModel)
}

// onVersions gives a stage an engine on version 1 of the test's model and, if wanted, one on
// version 2 further away. Version 2 was announced at a time.
func (s *stage) onVersions(withCurrent bool, announcedAt time.Time) {
	s.engines.reset(nil)
	s.lives++
	s.proxy.SetVersionBound(queueBound)
	s.proxy.Announce(testModel, map[uint64]time.Duration{1: time.Hour, 2: time.Since(announcedAt)})
	engine := func(i int, zone string) *placement.Engine {
		return &placement.Engine{ID: fmt.Sprintf("%s-%d-%d", s.name, s.lives, i), Pool: connPool, Addr: s.engines.listeners[i].Addr().String(),
			Zone: zone, Slots: 8, Weights: map[string]uint64{testModel: uint64(i + 1)}}
	}
	engines := []*placement.Engine{engine(0, "here")}
	if withCurrent {
		engines = append(engines, engine(1, "there"))
	}
	s.proxy.SetEngines(engines...)
}

// callModel sends one attempt on the test's model.
func (s *stage) callModel(kind string) reply {
	c := s.dial()
	defer resetConn(c.Conn)
	_, _ = io.WriteString(c, modelRequest(kind, s.newID()))
	return c.read()
}

// TestQueuedRequestsDoNotBeginOnOutdatedWeights: a request that waits in an engine's queue, sent
// there in time, does not begin there after the bound on newer weights. One that may run
// again runs on the newer ones; any other is not promised never to have run.
func TestQueuedRequestsDoNotBeginOnOutdatedWeights(t *testing.T) {
	t.Parallel()
	var cases []testCase
	for _, kind := range kinds {
		for _, withCurrent := range []bool{false, true} {
			name := fmt.Sprintf("%s, another engine %v", kind, withCurrent)
			cases = append(cases, testCase{name, func(s *stage) error { return s.queuedPastBound(kind, withCurrent) }})
		}
	}
	runCases(t, len(cases), cases)
}

func (s *stage) queuedPastBound(kind string, withCurrent bool) error {
	announcedAt := time.Now().Add(-announcedBefore)
	s.onVersions(withCurrent, announcedAt)
	old := &queueingEngine{beginAt: announcedAt.Add(queueBound)}
	s.engines.follow(func(c *engineConn, _ int) {
		if c.engine == 0 {
			old.serve(c, kind)
			return
		}
		c.answerProperly(kind)
	})
	a := s.callModel(kind)
	queued, began := old.counts()
	runsElsewhere := mayRepeat(kind) && withCurrent
	switch {
	case queued == 0:
		return fmt.Errorf("the engine on older weights was not asked: %+v", a)
	case began > 0:
		return fmt.Errorf("%d of %d requests began on version 1 when the bound on version 2 had passed", began, queued)
	case runsElsewhere && a.status != http.StatusOK:
		return fmt.Errorf("another engine runs version 2, and the caller got %+v", a)
	case !runsElsewhere && a.status != http.StatusBadGateway:
		return fmt.Errorf("the request may have run, and its caller is told %+v", a)
	}
	return nil
}

// TestSupersededWhileQueued: a version that is announced while a request is queued counts as well.
func TestSupersededWhileQueued(t *testing.T) {
	t.Parallel()
	s := newStage(t, "meanwhile")
	s.onVersions(false, time.Now())
	s.proxy.Announce(testModel, map[uint64]time.Duration{1: time.Hour})
	engine := &queueingEngine{beginAt: time.Now().Add(queueBound)}
	s.engines.follow(func(c *engineConn, _ int) {
		s.proxy.Announce(testModel, map[uint64]time.Duration{1: time.Hour, 2: announcedBefore})
		engine.serve(c, onceOnly)
	})
	a := s.callModel(onceOnly)
	if _, began := engine.counts(); began > 0 || a.status != http.StatusBadGateway {
		t.Errorf("%d requests began on version 1 after the bound on version 2; the caller got %+v", began, a)
	}
}

// TestBeganInTimeGoesOn: what began before the bound goes on past it.
func TestBeganInTimeGoesOn(t *testing.T) {
	t.Parallel()
	s := newStage(t, "began")
	announcedAt := time.Now().Add(-announcedBefore)
	s.onVersions(false, announcedAt)
	s.engines.follow(func(c *engineConn, _ int) {
		r, _, err := c.readRequest()
		if err != nil {
			return
		}
		answer := answerTo(onceStream, c.engine, r.Header.Get(headerAttempt), 0)
		most := len(answer) * 3 / 4
		c.say(answer[:most])
		_ = c.SetReadDeadline(announcedAt.Add(queueBound + time.Second/2))
		_, _ = c.br.Peek(1)
		c.say(answer[most:])
		c.over = true
	})
	if a := s.callModel(onceStream); a.status != http.StatusOK || a.cut != nil {
		t.Errorf("a stream that began in time was broken off: %+v", a)
	}
}

// TestQueuedOnTheNewestVersion: a request may be queued for longer than the bound at an engine
// whose weights nothing has superseded.
func TestQueuedOnTheNewestVersion(t *testing.T) {
	t.Parallel()
	s := newStage(t, "newest")
	s.onVersions(false, time.Now())
	s.proxy.Announce(testModel, map[uint64]time.Duration{1: time.Hour})
	s.proxy.SetVersionBound(time.Second)
	engine := &queueingEngine{beginAt: time.Now().Add(5 * time.Second / 2)}
	s.engines.follow(func(c *engineConn, _ int) { engine.serve(c, onceOnly) })
	if a := s.callModel(onceOnly); a.status != http.StatusOK {
		t.Errorf("its engine runs the newest version, and the caller got %+v", a)
	}
}
