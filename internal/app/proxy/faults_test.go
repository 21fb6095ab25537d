package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/go-logr/logr"

	"violetthread/internal/taskgroup"
)

// withHead returns a response with a Content-Length and the given status and headers.
func withHead(status, id, text string, heads ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %s\r\n", status)
	if id != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", headerAttempt, id)
	}
	for _, h := range heads {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(text), text)
	return b.String()
}

// TestStaleResponseIsReadToItsEnd: the rest of a long response to an earlier request must not be
// taken for the response to the next one, even if its bytes look like one.
func TestStaleResponseIsReadToItsEnd(t *testing.T) {
	s := newHarness(t, "stray")
	s.beginSingle(completeResponses(repeatable))
	if err := s.warmUp(); err != nil {
		t.Fatal(err)
	}
	id := s.newID()
	s.engines.setScript(func(c *engineConn, _ int) {
		if _, _, err := c.readRequest(); err != nil {
			return
		}
		inside := withHead("200 OK", id, "not the answer", headerSeal+": forged")
		c.send(withHead("200 OK", "one-before", strings.Repeat("x", 1<<20)+inside, headerSeal+": old"))
		c.send(responseTo(onceOnly, c.engine, id, 0))
	})
	a := s.call(onceOnly, id, body, longWaitMS)
	if err := s.check(onceOnly, id, a); err != nil {
		t.Error(err)
	}
}

// TestNotRunBodyIsReadToItsEnd: a connection is not reused while the body of a rejection is still
// arriving on it.
func TestNotRunBodyIsReadToItsEnd(t *testing.T) {
	s := newHarness(t, "skip")
	s.begin(completeResponses(repeatable))
	var mu sync.Mutex
	dirty := 0
	s.engines.setScript(func(c *engineConn, arrival int) {
		r, _, err := c.readRequest()
		if err != nil {
			return
		}
		id := r.Header.Get(headerAttempt)
		if arrival > 0 {
			c.send(responseTo(onceOnly, c.engine, id, 0))
			return
		}
		c.send(fmt.Sprintf("HTTP/1.1 503 Full\r\n%s: %s\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s", headerAttempt, id, headerSkipped, 65<<10, strings.Repeat("x", 64<<10)))
		if _, err := c.br.Peek(1); err == nil { // another request before the end of the body
			mu.Lock()
			dirty++
			mu.Unlock()
		}
		c.stopped = true
	})
	for range 3 {
		id := s.newID()
		if a := s.call(onceOnly, id, body, longWaitMS); a.readErr != nil || a.status != 200 && !promisesNotRun(a.status) {
			t.Errorf("%+v", a)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if dirty > 0 {
		t.Error("a connection was reused before the end of a rejection's body")
	}
}

// callAfter sends an attempt that takes up a stream after an event; empty for the start.
func (s *harness) callAfter(kind, id, after string) reply {
	c := s.dial()
	defer resetConn(c.Conn)
	q := request(kind, id, body, longWaitMS)
	if after != "" {
		q = strings.Replace(q, "Content-Length", headerLastEvent+": "+after+"\r\nContent-Length", 1)
	}
	_, _ = io.WriteString(c, q)
	return c.read()
}

// TestOneEnginesStreamStaysIntact: the stream of a single engine is passed on unchanged as far as its ids
// rise, with gaps, and from any id on; only of a stream that is taken up are events left out that the
// caller has. From the first id that does not rise on, nothing is passed on, and the stream is cut off.
func TestOneEnginesStreamStaysIntact(t *testing.T) {
	const (
		first  = "id: 2\ndata: a\n\n"
		second = "id: 5\ndata: b\n\n"
		third  = "id: 9\ndata: d\n\n"
	)
	for _, c := range []struct {
		kind, after, events, want string
		complete                  bool
	}{
		{onceStream, "", first + second + third, first + second + third, true},
		{onceStream, "3", first + second + third, first + second + third, true},
		{resumable, "", first + second + third, first + second + third, true},
		{resumable, "3", first + second + third, second + third, true},
		{resumable, "03", first + second + third, first + second + third, true},
		{resumable, "9", first + second + third, "", true},
		{resumable, "9", "", "", true},
		{onceStream, "9", "", "", true},
		{onceStream, "", first + first + third, first, false},
		{onceStream, "", second + first + third, second, false},
		{onceStream, "3", first + second + first + third, first + second, false},
		{resumable, "", first + second + first + third, first + second, false},
		{resumable, "3", second + first + third, second, false},
	} {
		s := newHarness(t, "ids-"+c.kind+c.after)
		s.begin(func(conn *engineConn, _ int) {
			r, _, err := conn.readRequest()
			if err != nil {
				return
			}
			conn.send(withHead("200 OK", r.Header.Get(headerAttempt), c.events, headerSeal+": s", "Content-Type: text/event-stream"))
		})
		a := s.callAfter(c.kind, s.newID(), c.after)
		if a.status != 200 || a.body != c.want || (a.readErr == nil) != c.complete {
			t.Errorf("%s after %q, %q: %+v", c.kind, c.after, c.events, a)
		}
	}
}

// TestNotRunMarkerNeedsRejectionStatus: the engine's not-run marker is accepted only with a
// rejection status.
func TestNotRunMarkerNeedsRejectionStatus(t *testing.T) {
	for _, status := range []string{"200 OK", "201 Made", "302 There", "404 Gone", "500 Broken", "504 Late"} {
		s := newHarness(t, "proof-"+status[:3])
		s.begin(func(c *engineConn, _ int) {
			r, _, err := c.readRequest()
			if err != nil {
				return
			}
			id := r.Header.Get(headerAttempt)
			c.send(withHead(status, id, plainBody(id), headerSeal+": "+sealOf(c.engine, id), headerSkipped+": 1"))
		})
		id := s.newID()
		a := s.call(onceOnly, id, body, longWaitMS)
		if err := s.check(onceOnly, id, a); err != nil {
			t.Errorf("%s: %v", status, err)
		}
	}
}

// TestContentLengthWithChunked: a response with both a Content-Length and chunked encoding is
// rejected.
func TestContentLengthWithChunked(t *testing.T) {
	for _, kind := range kinds {
		s := newHarness(t, "both-"+kind)
		script := func(c *engineConn, arrival int) {
			if arrival > 0 {
				c.respond(kind)
				return
			}
			r, _, err := c.readRequest()
			if err != nil {
				return
			}
			c.send(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: two\r\nContent-Type: text/event-stream\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
				headerAttempt, r.Header.Get(headerAttempt), headerSeal))
		}
		s.begin(script)
		id := s.newID()
		a := s.call(kind, id, body, longWaitMS)
		if err := s.check(kind, id, a); err != nil {
			t.Errorf("%s: %v", kind, err)
		}
		if mayRepeat(kind) && !a.complete(kind, id) {
			t.Errorf("%s is repeatable, and got %+v", kind, a)
		}
	}
}

// TestRejectedBeforeFullySent: a rejection by an engine that has not read the whole request counts.
func TestRejectedBeforeFullySent(t *testing.T) {
	s := newHarness(t, "early")
	s.begin(func(c *engineConn, arrival int) {
		if arrival > 0 {
			c.respond(onceOnly)
			return
		}
		head, err := c.readHead()
		if err != nil {
			return
		}
		id := head.Get(headerAttempt)
		c.send(withHead("503 Full", id, "", headerSkipped+": 1", "Connection: close"))
		c.inject(faultClose)
	})
	id := s.newID()
	a := s.call(onceOnly, id, strings.Repeat("x", 8<<20), longWaitMS)
	if !a.complete(onceOnly, id) {
		t.Errorf("the second engine could have run it: %+v", a)
	}
}

// TestTruncatedResponseToHTTP10Client: without chunks only a reset shows that a response was cut
// off.
func TestTruncatedResponseToHTTP10Client(t *testing.T) {
	s := newHarness(t, "old")
	s.begin(func(c *engineConn, _ int) { c.respondPartially(onceStream, responseLength(onceStream)-20, faultClose) })
	id := s.newID()
	c := s.dial()
	_, _ = io.WriteString(c, strings.Replace(request(onceStream, id, body, longWaitMS), "HTTP/1.1", "HTTP/1.0", 1))
	if a := c.read(); a.readErr == nil {
		t.Errorf("a truncated response looks complete: %+v", a)
	}
}

// TestRetryBudgetIsSpentOnce: attempts that fail at the same time get no more retries than the
// budget allows.
func TestRetryBudgetIsSpentOnce(t *testing.T) {
	const callers = 64
	s := newHarness(t, "budget")
	for round := range 6 {
		s.proxy.SetRetries(0, 1)
		all := make(chan struct{})
		s.beginMany(2*callers, func(c *engineConn, arrival int) {
			if arrival >= callers {
				c.respond(repeatable)
				return
			}
			if _, _, err := c.readRequest(); err != nil {
				return
			}
			if arrival == callers-1 {
				close(all)
			}
			await(all)
			c.inject(faultReset)
		})
		group := taskgroup.New(context.Background(), logr.Discard())
		var done sync.WaitGroup
		done.Add(callers)
		for i := range callers {
			id := fmt.Sprintf("budget-%d-%d", round, i)
			group.Go("caller", func(context.Context) {
				defer done.Done()
				s.call(repeatable, id, body, longWaitMS)
			})
		}
		done.Wait()
		group.Stop()
		if n := s.engines.count(); n > callers+1 {
			t.Fatalf("round %d: %d retries, one is allowed", round, n-callers)
		}
	}
}

// TestCallerGoneDoesNotEjectEngine: an engine is not ejected if connecting to it failed because the
// caller had gone.
func TestCallerGoneDoesNotEjectEngine(t *testing.T) {
	s := newHarness(t, "gone")
	s.beginSingle(completeResponses(repeatable))
	for i := range 40 {
		c := s.dial()
		_, _ = io.WriteString(c, request(repeatable, s.newID(), body, longWaitMS))
		resetConn(c.Conn)
		id := s.newID()
		if a := s.call(repeatable, id, body, longWaitMS); !a.complete(repeatable, id) {
			t.Fatalf("after %d callers had gone: %+v", i+1, a)
		}
	}
}

var errNoResponse = errors.New("no response")

// TestFramingIsCheckedForEachRequest: the head of every request on a connection is checked, even
// after a request that was answered before its body had been read.
func TestFramingIsCheckedForEachRequest(t *testing.T) {
	s := newHarness(t, "heads")
	both := "POST /once/x HTTP/1.1\r\nHost: h.example\r\n" + headerAttempt + ": %s\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	for name, before := range map[string]func(c *caller) error{
		"no configuration yet": func(c *caller) error {
			s.proxy.SetTable(nil)
			defer s.proxy.SetTable(testTable())
			_, _ = io.WriteString(c, request(onceOnly, s.newID(), body, longWaitMS))
			return expectStatus(c, 503)
		},
		"malformed": func(c *caller) error {
			_, _ = io.WriteString(c, strings.Replace(request(onceOnly, s.newID(), "a\r\n\r\nb", longWaitMS), ": 8000", ": soon", 1))
			return expectStatus(c, 400)
		},
		"answered": func(c *caller) error {
			_, _ = io.WriteString(c, request(onceOnly, s.newID(), body, longWaitMS))
			return expectStatus(c, 200)
		},
	} {
		s.begin(completeResponses(onceOnly))
		c := s.dial()
		if err := before(c); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		ran := s.engines.count()
		_, _ = fmt.Fprintf(c, both, s.newID())
		if a := c.read(); a.status == 200 || s.engines.count() > ran {
			t.Errorf("%s: a request with ambiguous framing was forwarded: %+v", name, a)
		}
		resetConn(c.Conn)
		// A well-formed request must not be misread either.
		c = s.dial()
		if err := before(c); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		id := s.newID()
		_, _ = io.WriteString(c, request(onceOnly, id, body, longWaitMS))
		if a := c.read(); a.readErr == nil && !a.complete(onceOnly, id) && !promisesNotRun(a.status) {
			t.Errorf("%s: a well-formed request got %+v", name, a)
		}
		resetConn(c.Conn)
	}
}

func expectStatus(c *caller, status int) error {
	a := c.read()
	if a.readErr != nil || a.status != status {
		return fmt.Errorf("%w of %d: %+v", errNoResponse, status, a)
	}
	return nil
}

// TestPipelined: pipelined requests get their own responses in order, or a status that allows a
// retry. None is rejected permanently, and none runs twice.
func TestPipelined(t *testing.T) {
	s := newHarness(t, "pipe")
	s.begin(completeResponses(onceOnly))
	c := s.dial()
	defer resetConn(c.Conn)
	var ids []string
	var all strings.Builder
	for range 4 {
		id := s.newID()
		ids = append(ids, id)
		all.WriteString(request(onceOnly, id, body, longWaitMS))
	}
	_, _ = io.WriteString(c, all.String())
	for i, id := range ids {
		a := c.read()
		if a.readErr != nil {
			if i == 0 {
				t.Errorf("the first request got no response: %+v", a)
			}
			break
		}
		if !a.complete(onceOnly, id) && !promisesNotRun(a.status) {
			t.Errorf("request %d of 4 pipelined ones got %+v", i+1, a)
		}
	}
	if n := s.engines.count(); n > len(ids) {
		t.Errorf("%d runs of %d requests", n, len(ids))
	}
}

// TestMisdirectedAddresses: if many addresses now belong to other engines, a request reaches at
// most one of them while an engine is known that responded recently, and each of them is tried less
// and less often.
func TestMisdirectedAddresses(t *testing.T) {
	const engines, calls = 40, 200
	s := newHarness(t, "others")
	var mu sync.Mutex
	met := map[string]int{}
	good := ""
	s.beginMany(engines, func(c *engineConn, _ int) {
		r, _, err := c.readRequest()
		if err != nil {
			return
		}
		id, target := r.Header.Get(headerAttempt), r.Header.Get(headerTarget)
		mu.Lock()
		defer mu.Unlock()
		if good == "" || good == target {
			good = target
			c.send(strings.Replace(responseTo(onceOnly, c.engine, id, 0), "\r\n", "\r\n"+headerLoad+": 8,9,8\r\n", 1))
			return
		}
		met[id]++
		c.send(withHead("421 Other", id, "", headerSkipped+": 1"))
	})
	served := 0
	for range calls {
		id := s.newID()
		if a := s.call(onceOnly, id, body, longWaitMS); a.complete(onceOnly, id) {
			served++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	twice, all := 0, 0
	for _, n := range met {
		all += n
		if n > 1 {
			twice++
		}
	}
	if twice > 0 || served < calls {
		t.Errorf("%d of %d requests reached two misdirected addresses, %d were served", twice, calls, served)
	}
	if all > 2*engines {
		t.Errorf("%d misdirected addresses received %d requests", engines-1, all)
	}
}

// TestClosingConnectionIsNotUsedAgain: an engine that sent Connection: close may not read further
// requests, even while its connection is still open.
func TestClosingConnectionIsNotUsedAgain(t *testing.T) {
	s := newHarness(t, "closing")
	var mu sync.Mutex
	again := 0
	s.beginSingle(func(c *engineConn, _ int) {
		r, _, err := c.readRequest()
		if err != nil {
			return
		}
		mu.Lock()
		if c.served > 0 {
			again++
		}
		mu.Unlock()
		c.send(strings.Replace(responseTo(onceOnly, c.engine, r.Header.Get(headerAttempt), 0), "\r\n", "\r\nConnection: close\r\n", 1))
	})
	for range 5 {
		id := s.newID()
		if a := s.call(onceOnly, id, body, longWaitMS); !a.complete(onceOnly, id) {
			t.Errorf("%+v", a)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if again > 0 {
		t.Errorf("%d requests arrived on connections that the engine had announced to close", again)
	}
}
