package proxy_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
)

// engineResponses are what an engine may send instead of, before or after the response to an
// attempt. IDs and bodies of other attempts must not reach any caller.
var engineResponses = []struct {
	name string
	send func(c *engineConn, kind, id string)
	lost bool // the attempt's own response is missing or can't be recognized
}{
	{"an interim response before it", func(c *engineConn, kind, id string) {
		c.send("HTTP/1.1 103 Soon\r\nLink: x\r\n\r\n" + responseTo(kind, c.engine, id, 0))
	}, false},
	{"interim responses with another id", func(c *engineConn, kind, id string) {
		c.send(strings.Repeat("HTTP/1.1 102 Soon\r\n"+headerAttempt+": other\r\n\r\n", 3) + responseTo(kind, c.engine, id, 0))
	}, false},
	{"a switch of protocols", func(c *engineConn, _, _ string) {
		c.send("HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nbytes of x")
	}, true},
	{"the same response twice", func(c *engineConn, kind, id string) {
		c.send(responseTo(kind, c.engine, id, 0) + responseTo(kind, c.engine, id, 0))
	}, false},
	{"another attempt's response after it", func(c *engineConn, kind, id string) {
		c.send(responseTo(kind, c.engine, id, 0) + responseTo(kind, c.engine, "other", 0))
	}, false},
	{"garbage after it", func(c *engineConn, kind, id string) {
		c.send(responseTo(kind, c.engine, id, 0) + "\x00\xff\r\n\r\nHTTP/1.1 200 OK\r\n\r\n")
	}, false},
	{"only another attempt's response", func(c *engineConn, kind, _ string) { c.send(responseTo(kind, c.engine, "other", 0)) }, true},
	{"only another attempt's rejection", func(c *engineConn, _, _ string) { c.send(withHead("503 Full", "other", "", headerSkipped+": 1")) }, true},
	{"a response without an id", func(c *engineConn, kind, id string) {
		c.send(strings.Replace(responseTo(kind, c.engine, id, 0), headerAttempt+": "+id+"\r\n", "", 1))
	}, true},
	{"a response without a success marker", func(c *engineConn, kind, id string) {
		c.send(strings.Replace(responseTo(kind, c.engine, id, 0), headerSeal+":", "X-Else:", 1))
	}, true},
	{"neither Content-Length nor chunks", func(c *engineConn, _, id string) {
		c.send(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\n%s", headerAttempt, id, headerSeal, plainBody(id)))
	}, true},
	{"two different Content-Length headers", func(c *engineConn, _, id string) {
		c.send(strings.Replace(withHead("200 OK", id, plainBody(id), headerSeal+": s"), "Content-Length", "Content-Length: 5\r\nContent-Length", 1))
	}, true},
	{"two equal Content-Length headers", func(c *engineConn, _, id string) {
		length := fmt.Sprintf("Content-Length: %d\r\n", len(plainBody(id)))
		c.send(strings.Replace(withHead("200 OK", id, plainBody(id), headerSeal+": s"), length, length+length, 1))
	}, true},
	{"a folded header line", func(c *engineConn, kind, id string) {
		c.send(strings.Replace(responseTo(kind, c.engine, id, 0), headerSeal+": ", headerSeal+":\r\n ", 1))
	}, true},
	{"an HTTP/1.0 response", func(c *engineConn, _, id string) {
		c.send(fmt.Sprintf("HTTP/1.0 200 OK\r\n%s: %s\r\n%s: s\r\n\r\n%s", headerAttempt, id, headerSeal, plainBody(id)))
	}, true},
	{"a content encoding", func(c *engineConn, _, id string) {
		c.send(withHead("200 OK", id, plainBody(id), headerSeal+": s", "Content-Encoding: gzip"))
	}, true},
	{"status 503 after a run", func(c *engineConn, _, id string) { c.send(withHead("503 Busy", id, "ran", headerSeal+": s")) }, true},
	{"status 429 after a run", func(c *engineConn, _, id string) { c.send(withHead("429 Wait", id, "ran", headerSeal+": s")) }, true},
	{"status 408 after a run", func(c *engineConn, _, id string) { c.send(withHead("408 Late", id, "ran", headerSeal+": s")) }, true},
	{"a chunk longer than its size", func(c *engineConn, _, id string) {
		c.send(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcdef\r\n0\r\n\r\n", headerAttempt, id, headerSeal))
	}, true},
	{"not HTTP", func(c *engineConn, _, id string) { c.send("\x16\x03\x01" + id + "\r\n\r\n") }, true},
	{"an oversized head", func(c *engineConn, _, _ string) {
		c.send("HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Long: "+strings.Repeat("x", 1000)+"\r\n", 20))
	}, true},
}

// TestResponsesReachTheirOwnAttempt: whatever an engine sends, on a new connection or a pooled one,
// a caller gets the complete response to its own request or an error, and so does the next caller.
func TestResponsesReachTheirOwnAttempt(t *testing.T) {
	var cases []testCase
	for _, kind := range kinds {
		for _, x := range engineResponses {
			for _, pooled := range []bool{false, true} {
				name := fmt.Sprintf("%s, %s, pooled %v", kind, x.name, pooled)
				cases = append(cases, testCase{name, func(s *harness) error { return s.unusualResponse(kind, pooled, x.lost, x.send) }})
			}
		}
	}
	runCases(t, 16, cases)
}

func (s *harness) unusualResponse(kind string, pooled, lost bool, send func(c *engineConn, kind, id string)) error {
	s.begin(completeResponses(repeatable))
	if pooled {
		if err := s.warmUp(); err != nil {
			return err
		}
	}
	s.engines.setScript(func(c *engineConn, arrival int) {
		if arrival > 0 {
			c.respond(kind)
			return
		}
		r, _, err := c.readRequest()
		if err != nil {
			return
		}
		send(c, kind, r.Header.Get(headerAttempt))
	})
	id := s.newID()
	a := s.call(kind, id, body, stalledWaitMS)
	if err := s.check(kind, id, a); err != nil {
		return err
	}
	if !lost && !a.complete(kind, id) {
		return fmt.Errorf("the engine sent its response, and the caller got %+v", a)
	}
	s.engines.setScript(completeResponses(kind))
	id = s.newID()
	a = s.call(kind, id, body, longWaitMS)
	if err := s.check(kind, id, a); err != nil {
		return fmt.Errorf("next request: %w", err)
	}
	if n := s.engines.count(); n > 0 && !a.complete(kind, id) && a.status != 502 {
		return fmt.Errorf("the next request got %+v", a)
	}
	return nil
}

// stalledWaitMS bounds cases in which an engine sends nothing more.
const stalledWaitMS = 300

// TestSwappedAndRepeatedResponses: an engine that swaps the responses of two connections, or that
// repeats its previous response before each new one, causes no wrong response to a caller.
func TestSwappedAndRepeatedResponses(t *testing.T) {
	var cases []testCase
	for _, kind := range kinds {
		cases = append(cases,
			testCase{kind + ", swapped", func(s *harness) error { return s.swappedResponses(kind) }},
			testCase{kind + ", previous response repeated", func(s *harness) error { return s.repeatedResponses(kind) }})
	}
	runCases(t, len(cases), cases)
}

func (s *harness) swappedResponses(kind string) error {
	var mu sync.Mutex
	conns, ids := []*engineConn{}, []string{}
	swapped := make(chan struct{})
	s.beginSingle(func(c *engineConn, _ int) {
		r, _, err := c.readRequest()
		if err != nil {
			return
		}
		mu.Lock()
		conns, ids = append(conns, c), append(ids, r.Header.Get(headerAttempt))
		both := len(conns) == 2
		mu.Unlock()
		if both {
			conns[0].send(responseTo(kind, 0, ids[1], 0))
			conns[1].send(responseTo(kind, 0, ids[0], 0))
			close(swapped)
		}
		await(swapped)
	})
	first, second := s.newID(), s.newID()
	c, d := s.dial(), s.dial()
	defer resetConn(c.Conn)
	defer resetConn(d.Conn)
	_, _ = io.WriteString(c, request(kind, first, body, stalledWaitMS))
	_, _ = io.WriteString(d, request(kind, second, body, stalledWaitMS))
	a, b := c.read(), d.read()
	if a.status < 300 && a.status > 0 || b.status < 300 && b.status > 0 || promisesNotRun(a.status) || promisesNotRun(b.status) {
		return fmt.Errorf("swapped responses reached callers: %+v %+v", a, b)
	}
	if n := s.engines.count(); n != 2 {
		return fmt.Errorf("%d runs of two requests", n)
	}
	return nil
}

func (s *harness) repeatedResponses(kind string) error {
	last := ""
	var mu sync.Mutex
	s.beginSingle(func(c *engineConn, _ int) {
		r, _, err := c.readRequest()
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get(headerAttempt)
		if c.served > 0 {
			c.send(responseTo(kind, 0, last, 0))
		}
		c.send(responseTo(kind, 0, id, 0))
		last = id
	})
	for range 8 {
		id := s.newID()
		s.engines.mu.Lock()
		s.engines.arrivals = 0
		s.engines.mu.Unlock()
		a := s.call(kind, id, body, longWaitMS)
		if !a.complete(kind, id) {
			return fmt.Errorf("%s got %+v", id, a)
		}
	}
	return nil
}

// TestFaultAtEveryByteFromACaller: a caller that closes or resets its connection at any byte offset
// of its request causes no run, and does not affect the next caller from the same port.
func TestFaultAtEveryByteFromACaller(t *testing.T) {
	var cases []testCase
	for _, kind := range kinds {
		for _, chunked := range []bool{false, true} {
			length := len(callerRequest(kind, "s00-000000", chunked))
			for offset := range length {
				f := []fault{faultReset, faultClose}[offset%2]
				name := fmt.Sprintf("%s, chunked %v, %s after %d of %d bytes sent", kind, chunked, f, offset, length)
				cases = append(cases, testCase{name, func(s *harness) error { return s.callerFault(kind, chunked, offset, f) }})
			}
		}
	}
	runCases(t, 16, cases)
}

// callerRequest returns an attempt with a Content-Length or with chunks.
func callerRequest(kind, id string, chunked bool) string {
	q := request(kind, id, body, longWaitMS)
	if !chunked {
		return q
	}
	head, _, _ := strings.Cut(q, "Content-Length")
	return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n5\r\n%s\r\n%x;x=y\r\n%s\r\n0\r\n\r\n", head, body[:5], len(body)-5, body[5:])
}

func (s *harness) callerFault(kind string, chunked bool, offset int, f fault) error {
	s.begin(completeResponses(kind))
	c := s.dial()
	_, _ = io.WriteString(c, callerRequest(kind, s.newID(), chunked)[:offset])
	from := c.LocalAddr().(*net.TCPAddr)
	if f == faultReset {
		resetConn(c.Conn)
	} else {
		if t, ok := c.Conn.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
		if a := c.read(); a.readErr == nil && a.status < 400 {
			return fmt.Errorf("a response to an incomplete request: %+v", a)
		}
		resetConn(c.Conn)
	}
	id := s.newID()
	again := s.dialFrom(from)
	defer resetConn(again.Conn)
	_, _ = io.WriteString(again, callerRequest(kind, id, chunked))
	if a := again.read(); !a.complete(kind, id) {
		return fmt.Errorf("the next one from its port got %+v", a)
	}
	if n := s.engines.count(); n != 1 {
		return fmt.Errorf("%d requests reached an engine, only one was complete", n)
	}
	return nil
}

// dialFrom connects from a port that was in use just before, or from another one if that is taken.
func (s *harness) dialFrom(from *net.TCPAddr) *caller {
	d := net.Dialer{LocalAddr: from}
	conn, err := d.Dial("tcp", s.proxy.Listen)
	if err != nil {
		return s.dial()
	}
	return newCaller(conn)
}

// TestCallerGoneAtEveryByteOfItsResponse: the rest of a response whose caller has gone reaches no
// other caller, neither by the engine's connection nor by the caller's port.
func TestCallerGoneAtEveryByteOfItsResponse(t *testing.T) {
	var cases []testCase
	for _, kind := range kinds {
		for offset := 0; offset < responseLength(kind); offset += 3 {
			name := fmt.Sprintf("%s, caller gone after %d bytes", kind, offset)
			cases = append(cases, testCase{name, func(s *harness) error { return s.callerGone(kind, offset) }})
		}
	}
	runCases(t, 16, cases)
}

func (s *harness) callerGone(kind string, offset int) error {
	arrived, gone := make(chan struct{}), make(chan struct{})
	left, id := s.newID(), s.newID()
	var mu sync.Mutex
	runs := map[string]int{}
	s.beginSingle(func(c *engineConn, _ int) {
		r, _, err := c.readRequest()
		if err != nil {
			return
		}
		this := r.Header.Get(headerAttempt)
		mu.Lock()
		runs[this]++
		again := runs[this] > 1
		mu.Unlock()
		complete := responseTo(kind, c.engine, this, 0)
		if this != left || again {
			c.send(complete)
			return
		}
		c.send(complete[:offset])
		close(arrived)
		await(gone)
		c.send(complete[offset:])
	})
	c := s.dial()
	_, _ = io.WriteString(c, request(kind, left, body, longWaitMS))
	if !await(arrived) {
		return errNoResponse
	}
	from := c.LocalAddr().(*net.TCPAddr)
	resetConn(c.Conn)
	again := s.dialFrom(from)
	defer resetConn(again.Conn)
	_, _ = io.WriteString(again, request(kind, id, body, longWaitMS))
	close(gone)
	if a := again.read(); !a.complete(kind, id) {
		return fmt.Errorf("the next one from its port got %+v", a)
	}
	mu.Lock()
	defer mu.Unlock()
	if runs[left] != 1 || runs[id] != 1 {
		return fmt.Errorf("runs: %v", runs)
	}
	return nil
}
