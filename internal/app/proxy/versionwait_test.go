package proxy_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"violetthread/placement"
)

const (
	testModel       = "m"
	headerModel     = "X-Violetthread-Model-Name"
	versionDeadline = 5 * time.Second // deadline for new weights
	announcedAge    = 3 * time.Second // age of the newer version's announcement when the test starts
)

// queueingEngine is an engine on outdated weights with a long queue: a request starts there only at
// a set time. A request whose connection closes before that is dropped.
type queueingEngine struct {
	startAt time.Time
	mu      sync.Mutex
	queued  int
	started int
}

// serve queues one request, and starts it if its caller is still there at startAt.
func (e *queueingEngine) serve(c *engineConn, kind string) {
	r, _, err := c.readRequest()
	if err != nil {
		return
	}
	e.count(&e.queued)
	_ = c.SetReadDeadline(e.startAt)
	if _, err := c.br.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		c.stopped = true
		return // the caller has gone
	}
	_ = c.SetReadDeadline(time.Time{})
	e.count(&e.started)
	c.send(responseTo(kind, c.engine, r.Header.Get(headerAttempt), 0))
}

func (e *queueingEngine) count(counter *int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*counter++
}

func (e *queueingEngine) counts() (queued, started int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queued, e.started
}

// modelRequest returns an attempt on the test's model in wire format.
func modelRequest(kind, id string) string {
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
		kind, headerAttempt, id, headerRemaining, testTimeout.Milliseconds(), headerModel, testModel)
}

// onVersions gives a harness an engine on version 1 of the test's model and, if wanted, one on
// version 2 in another zone. Version 2 was announced at announcedAt.
func (s *harness) onVersions(withCurrent bool, announcedAt time.Time) {
	s.engines.reset(nil)
	s.generation++
	s.proxy.SetVersionBound(versionDeadline)
	s.proxy.Announce(testModel, map[uint64]time.Duration{1: time.Hour, 2: time.Since(announcedAt)})
	engine := func(i int, zone string) *placement.Engine {
		return &placement.Engine{ID: fmt.Sprintf("%s-%d-%d", s.name, s.generation, i), Pool: testPool, Addr: s.engines.listeners[i].Addr().String(),
			Zone: zone, Slots: 8, Weights: map[string]uint64{testModel: uint64(i + 1)}}
	}
	engines := []*placement.Engine{engine(0, "here")}
	if withCurrent {
		engines = append(engines, engine(1, "there"))
	}
	s.proxy.SetEngines(engines...)
}

// callModel sends one attempt on the test's model.
func (s *harness) callModel(kind string) reply {
	c := s.dial()
	defer resetConn(c.Conn)
	_, _ = io.WriteString(c, modelRequest(kind, s.newID()))
	return c.read()
}

// TestQueuedRequestsDoNotBeginOnOutdatedWeights: a request that was sent in time and waits in an
// engine's queue does not start there after the deadline for newer weights. A repeatable one runs
// on the newer weights instead; the callers of the others are not told that it never ran.
func TestQueuedRequestsDoNotBeginOnOutdatedWeights(t *testing.T) {
	t.Parallel()
	var cases []testCase
	for _, kind := range kinds {
		for _, withCurrent := range []bool{false, true} {
			name := fmt.Sprintf("%s, engine on newer weights: %v", kind, withCurrent)
			cases = append(cases, testCase{name, func(s *harness) error { return s.queuedPastDeadline(kind, withCurrent) }})
		}
	}
	runCases(t, len(cases), cases)
}

func (s *harness) queuedPastDeadline(kind string, withCurrent bool) error {
	announcedAt := time.Now().Add(-announcedAge)
	s.onVersions(withCurrent, announcedAt)
	old := &queueingEngine{startAt: announcedAt.Add(versionDeadline)}
	s.engines.setScript(func(c *engineConn, _ int) {
		if c.engine == 0 {
			old.serve(c, kind)
			return
		}
		c.respond(kind)
	})
	a := s.callModel(kind)
	queued, started := old.counts()
	runsElsewhere := mayRepeat(kind) && withCurrent
	switch {
	case queued == 0:
		return fmt.Errorf("the engine on older weights got no request: %+v", a)
	case started > 0:
		return fmt.Errorf("%d of %d requests started on version 1 after the deadline for version 2", started, queued)
	case runsElsewhere && a.status != http.StatusOK:
		return fmt.Errorf("another engine runs version 2, and the caller got %+v", a)
	case !runsElsewhere && a.status != http.StatusBadGateway:
		return fmt.Errorf("the request may have run, and the caller got %+v", a)
	}
	return nil
}

// TestSupersededWhileQueued: a version that is announced while a request is queued counts as well.
func TestSupersededWhileQueued(t *testing.T) {
	t.Parallel()
	s := newHarness(t, "meanwhile")
	s.onVersions(false, time.Now())
	s.proxy.Announce(testModel, map[uint64]time.Duration{1: time.Hour})
	engine := &queueingEngine{startAt: time.Now().Add(versionDeadline)}
	s.engines.setScript(func(c *engineConn, _ int) {
		s.proxy.Announce(testModel, map[uint64]time.Duration{1: time.Hour, 2: announcedAge})
		engine.serve(c, onceOnly)
	})
	a := s.callModel(onceOnly)
	if _, started := engine.counts(); started > 0 || a.status != http.StatusBadGateway {
		t.Errorf("%d requests started on version 1 after the deadline for version 2; the caller got %+v", started, a)
	}
}

// TestBeganInTimeGoesOn: a stream that started before the deadline continues past it.
func TestBeganInTimeGoesOn(t *testing.T) {
	t.Parallel()
	s := newHarness(t, "began")
	announcedAt := time.Now().Add(-announcedAge)
	s.onVersions(false, announcedAt)
	s.engines.setScript(func(c *engineConn, _ int) {
		r, _, err := c.readRequest()
		if err != nil {
			return
		}
		response := responseTo(onceStream, c.engine, r.Header.Get(headerAttempt), 0)
		most := len(response) * 3 / 4
		c.send(response[:most])
		_ = c.SetReadDeadline(announcedAt.Add(versionDeadline + time.Second/2))
		_, _ = c.br.Peek(1)
		c.send(response[most:])
		c.stopped = true
	})
	if a := s.callModel(onceStream); a.status != http.StatusOK || a.readErr != nil {
		t.Errorf("a stream that started in time was cut off: %+v", a)
	}
}

// TestQueuedOnTheNewestVersion: a request may be queued for longer than the version deadline at an
// engine whose weights have not been superseded.
func TestQueuedOnTheNewestVersion(t *testing.T) {
	t.Parallel()
	s := newHarness(t, "newest")
	s.onVersions(false, time.Now())
	s.proxy.Announce(testModel, map[uint64]time.Duration{1: time.Hour})
	s.proxy.SetVersionBound(time.Second)
	engine := &queueingEngine{startAt: time.Now().Add(5 * time.Second / 2)}
	s.engines.setScript(func(c *engineConn, _ int) { engine.serve(c, onceOnly) })
	if a := s.callModel(onceOnly); a.status != http.StatusOK {
		t.Errorf("the engine runs the newest version, and the caller got %+v", a)
	}
}

// TestPartlyWrittenRequestIsNotFollowedByAnother: the engine still reads the rest of the body where it comes.
func TestPartlyWrittenRequestIsNotFollowedByAnother(t *testing.T) {
	t.Parallel()
	const (
		bodyBytes     = 8 << 20
		receiveBuffer = 16 << 10 // so that the body is not written to its end
	)
	s := newHarness(t, "partly")
	s.onVersions(false, time.Now().Add(-announcedAge))
	answered, kept := make(chan struct{}), make(chan bool, 1)
	s.engines.setScript(func(c *engineConn, _ int) {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(receiveBuffer)
		}
		head, err := c.readHead()
		if err != nil {
			return
		}
		c.stopped = true
		c.send(withHead("503 Full", head.Get(headerAttempt), "", headerSkipped+": 1"))
		await(answered)
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, err = io.Copy(io.Discard, c.br)
		kept <- errors.Is(err, os.ErrDeadlineExceeded)
	})
	c := s.dial()
	defer resetConn(c.Conn)
	_, _ = io.WriteString(c, strings.Replace(request(onceOnly, s.newID(), strings.Repeat("x", bodyBytes), longWaitMS), "\r\n", "\r\n"+headerModel+": "+testModel+"\r\n", 1))
	if a := c.read(); a.readErr != nil || a.status != http.StatusServiceUnavailable {
		t.Errorf("%+v", a)
	}
	close(answered)
	if <-kept {
		t.Error("the connection is still open, with a part of the request on it")
	}
}
