package proxy_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
)

// answers are what an engine may say in place of, before or behind the answer to an
// attempt. IDs and bodies of other attempts must reach nobody.
var answers = []struct {
	name string
	say  func(c *engineConn, kind, id string)
	lost bool // the try's own answer is not among it, or can't be told from it
}{
	{"an interim answer before it", func(c *engineConn, kind, id string) {
		c.say("HTTP/1.1 103 Soon\r\nLink: x\r\n\r\n" + answerTo(kind, c.engine, id, 0))
	}, false},
	{"interim answers with another id", func(c *engineConn, kind, id string) {
		c.say(strings.Repeat("HTTP/1.1 102 Soon\r\n"+headerAttempt+": other\r\n\r\n", 3) + answerTo(kind, c.engine, id, 0))
	}, false},
	{"a switch of protocols", func(c *engineConn, _, _ string) {
		c.say("HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nbytes of x")
	}, true},
	{"the same answer twice", func(c *engineConn, kind, id string) {
		c.say(answerTo(kind, c.engine, id, 0) + answerTo(kind, c.engine, id, 0))
	}, false},
	{"another's answer behind it", func(c *engineConn, kind, id string) {
		c.say(answerTo(kind, c.engine, id, 0) + answerTo(kind, c.engine, "other", 0))
	}, false},
	{"garbage behind it", func(c *engineConn, kind, id string) {
		c.say(answerTo(kind, c.engine, id, 0) + "\x00\xff\r\n\r\nHTTP/1.1 200 OK\r\n\r\n")
	}, false},
	{"another's answer alone", func(c *engineConn, kind, _ string) { c.say(answerTo(kind, c.engine, "other", 0)) }, true},
	{"another's refusal alone", func(c *engineConn, _, _ string) { c.say(withHead("503 Full", "other", "", headerSkipped+": 1")) }, true},
	{"an answer without an id", func(c *engineConn, kind, id string) {
		c.say(strings.Replace(answerTo(kind, c.engine, id, 0), headerAttempt+": "+id+"\r\n", "", 1))
	}, true},
	{"an answer without a seal", func(c *engineConn, kind, id string) {
		c.say(strings.Replace(answerTo(kind, c.engine, id, 0), headerSeal+":", "X-Else:", 1))
	}, true},
	{"no length and no chunks", func(c *engineConn, _, id string) {
		c.say(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\n%s", headerAttempt, id, headerSeal, plainBody(id)))
	}, true},
	{"two lengths", func(c *engineConn, _, id string) {
		c.say(strings.Replace(withHead("200 OK", id, plainBody(id), headerSeal+": s"), "Content-Length", "Content-Length: 5\r\nContent-Length", 1))
	}, true},
	{"the same length twice", func(c *engineConn, _, id string) {
		length := fmt.Sprintf("Content-Length: %d\r\n", len(plainBody(id)))
		c.say(strings.Replace(withHead("200 OK", id, plainBody(id), headerSeal+": s"), length, length+length, 1))
	}, true},
	{"a folded line", func(c *engineConn, kind, id string) {
		c.say(strings.Replace(answerTo(kind, c.engine, id, 0), headerSeal+": ", headerSeal+":\r\n ", 1))
	}, true},
	{"an old protocol", func(c *engineConn, _, id string) {
		c.say(fmt.Sprintf("HTTP/1.0 200 OK\r\n%s: %s\r\n%s: s\r\n\r\n%s", headerAttempt, id, headerSeal, plainBody(id)))
	}, true},
	{"an encoding", func(c *engineConn, _, id string) {
		c.say(withHead("200 OK", id, plainBody(id), headerSeal+": s", "Content-Encoding: gzip"))
	}, true},
	{"a run called busy", func(c *engineConn, _, id string) { c.say(withHead("503 Busy", id, "ran", headerSeal+": s")) }, true},
	{"a run called too early", func(c *engineConn, _, id string) { c.say(withHead("429 Wait", id, "ran", headerSeal+": s")) }, true},
	{"a run called late", func(c *engineConn, _, id string) { c.say(withHead("408 Late", id, "ran", headerSeal+": s")) }, true},
	{"a chunk longer than it says", func(c *engineConn, _, id string) {
		c.say(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcdef\r\n0\r\n\r\n", headerAttempt, id, headerSeal))
	}, true},
	{"no HTTP", func(c *engineConn, _, id string) { c.say("\x16\x03\x01" + id + "\r\n\r\n") }, true},
	{"a head without an end", func(c *engineConn, _, _ string) {
		c.say("HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Long: "+strings.Repeat("x", 1000)+"\r\n", 20))
	}, true},
}

// TestAnswersReachTheirOwnAttempt: whatever an engine says, on a new connection or a kept one,
// a caller gets its own answer completely or sees that there is none, and the caller behind it
// gets its own as well.
func TestAnswersReachTheirOwnAttempt(t *testing.T) {
	var cases []testCase
	for _, kind := range kinds {
		for _, x := range answers {
			for _, kept := range []bool{false, true} {
				name := fmt.Sprintf("%s, %s, kept %v", kind, x.name, kept)
				cases = append(cases, testCase{name, func(s *stage) error { return s.oddAnswer(kind, kept, x.lost, x.say) }})
			}
		}
	}
	runCases(t, 16, cases)
}

func (s *stage) oddAnswer(kind string, kept, lost bool, say func(c *engineConn, kind, id string)) error {
	s.begin(properly(repeatable))
	if kept {
		if err := s.keep(); err != nil {
			return err
		}
	}
	s.engines.follow(func(c *engineConn, arrival int) {
		if arrival > 0 {
			c.answerProperly(kind)
			return
		}
		r, _, err := c.readRequest()
		if err != nil {
			return
		}
		say(c, kind, r.Header.Get(headerAttempt))
	})
	id := s.newID()
	a := s.call(kind, id, body, oddWaitMS)
	if err := s.judge(kind, id, a); err != nil {
		return err
	}
	if !lost && !a.whole(kind, id) {
		return fmt.Errorf("its answer came, and it got %+v", a)
	}
	s.engines.follow(properly(kind))
	id = s.newID()
	a = s.call(kind, id, body, longWaitMS)
	if err := s.judge(kind, id, a); err != nil {
		return fmt.Errorf("the next one: %w", err)
	}
	if n := s.engines.count(); n > 0 && !a.whole(kind, id) && a.status != 502 {
		return fmt.Errorf("the next one got %+v", a)
	}
	return nil
}

// oddWaitMS bounds cases in which an engine says nothing more.
const oddWaitMS = 300

// TestAnswersInPlaceOfOthers: an engine that answers the requests of two connections on
// each other's, and one that is always an answer behind, mislead nobody.
func TestAnswersInPlaceOfOthers(t *testing.T) {
	var cases []testCase
	for _, kind := range kinds {
		cases = append(cases,
			testCase{kind + ", swapped", func(s *stage) error { return s.swapped(kind) }},
			testCase{kind + ", one behind", func(s *stage) error { return s.oneBehind(kind) }})
	}
	runCases(t, len(cases), cases)
}

func (s *stage) swapped(kind string) error {
	var mu sync.Mutex
	conns, ids := []*engineConn{}, []string{}
	met := make(chan struct{})
	s.alone(func(c *engineConn, _ int) {
		r, _, err := c.readRequest()
		if err != nil {
			return
		}
		mu.Lock()
		conns, ids = append(conns, c), append(ids, r.Header.Get(headerAttempt))
		both := len(conns) == 2
		mu.Unlock()
		if both {
			conns[0].say(answerTo(kind, 0, ids[1], 0))
			conns[1].say(answerTo(kind, 0, ids[0], 0))
			close(met)
		}
		await(met)
	})
	first, second := s.newID(), s.newID()
	c, d := s.dial(), s.dial()
	defer resetConn(c.Conn)
	defer resetConn(d.Conn)
	_, _ = io.WriteString(c, request(kind, first, body, oddWaitMS))
	_, _ = io.WriteString(d, request(kind, second, body, oddWaitMS))
	a, b := c.read(), d.read()
	if a.status < 300 && a.status > 0 || b.status < 300 && b.status > 0 || promised(a.status) || promised(b.status) {
		return fmt.Errorf("swapped answers went out: %+v %+v", a, b)
	}
	if n := s.engines.count(); n != 2 {
		return fmt.Errorf("%d runs of two requests", n)
	}
	return nil
}

func (s *stage) oneBehind(kind string) error {
	last := ""
	var mu sync.Mutex
	s.alone(func(c *engineConn, _ int) {
		r, _, err := c.readRequest()
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get(headerAttempt)
		if c.served > 0 {
			c.say(answerTo(kind, 0, last, 0))
		}
		c.say(answerTo(kind, 0, id, 0))
		last = id
	})
	for range 8 {
		id := s.newID()
		s.engines.mu.Lock()
		s.engines.arrivals = 0
		s.engines.mu.Unlock()
		a := s.call(kind, id, body, longWaitMS)
		if !a.whole(kind, id) {
			return fmt.Errorf("%s got %+v", id, a)
		}
	}
	return nil
}

// TestFaultAtEveryByteFromACaller: a caller that closes or resets after every byte of its
// request starts no run, and disturbs nobody who comes from its port after it.
func TestFaultAtEveryByteFromACaller(t *testing.T) {
	var cases []testCase
	for _, kind := range kinds {
		for _, chunked := range []bool{false, true} {
			length := len(callerRequest(kind, "s00-000000", chunked))
			for offset := range length {
				f := []fault{faultReset, faultClose}[offset%2]
				name := fmt.Sprintf("%s, chunks %v, %s after %d of %d bytes sent", kind, chunked, f, offset, length)
				cases = append(cases, testCase{name, func(s *stage) error { return s.callerFault(kind, chunked, offset, f) }})
			}
		}
	}
	runCases(t, 16, cases)
}

// callerRequest is an attempt in either framing.
func callerRequest(kind, id string, chunked bool) string {
	q := request(kind, id, body, longWaitMS)
	if !chunked {
		return q
	}
	head, _, _ := strings.Cut(q, "Content-Length")
	return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n5\r\n%s\r\n%x;x=y\r\n%s\r\n0\r\n\r\n", head, body[:5], len(body)-5, body[5:])
}

func (s *stage) callerFault(kind string, chunked bool, offset int, f fault) error {
	s.begin(properly(kind))
	c := s.dial()
	_, _ = io.WriteString(c, callerRequest(kind, s.newID(), chunked)[:offset])
	from := c.LocalAddr().(*net.TCPAddr)
	if f == faultReset {
		resetConn(c.Conn)
	} else {
		if t, ok := c.Conn.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
		if a := c.read(); a.cut == nil && a.status < 400 {
			return fmt.Errorf("an answer to a part of a request: %+v", a)
		}
		resetConn(c.Conn)
	}
	id := s.newID()
	again := s.dialFrom(from)
	defer resetConn(again.Conn)
	_, _ = io.WriteString(again, callerRequest(kind, id, chunked))
	if a := again.read(); !a.whole(kind, id) {
		return fmt.Errorf("the next one from its port got %+v", a)
	}
	if n := s.engines.count(); n != 1 {
		return fmt.Errorf("%d requests reached an engine, one was whole", n)
	}
	return nil
}

// dialFrom connects from a port that was just in use, or another if it is taken.
func (s *stage) dialFrom(from *net.TCPAddr) *caller {
	d := net.Dialer{LocalAddr: from}
	conn, err := d.Dial("tcp", s.proxy.Listen)
	if err != nil {
		return s.dial()
	}
	return newCaller(conn)
}

// TestCallerGoneAtEveryByteOfItsAnswer: what was meant for a caller that has left reaches
// nobody, not on its engine's connection and not from its port.
func TestCallerGoneAtEveryByteOfItsAnswer(t *testing.T) {
	var cases []testCase
	for _, kind := range kinds {
		for offset := 0; offset < answerLength(kind); offset += 3 {
			name := fmt.Sprintf("%s, gone after %d bytes", kind, offset)
			cases = append(cases, testCase{name, func(s *stage) error { return s.callerGone(kind, offset) }})
		}
	}
	runCases(t, 16, cases)
}

func (s *stage) callerGone(kind string, offset int) error {
	arrived, gone := make(chan struct{}), make(chan struct{})
	left, id := s.newID(), s.newID()
	var mu sync.Mutex
	runs := map[string]int{}
	s.alone(func(c *engineConn, _ int) {
		r, _, err := c.readRequest()
		if err != nil {
			return
		}
		this := r.Header.Get(headerAttempt)
		mu.Lock()
		runs[this]++
		again := runs[this] > 1
		mu.Unlock()
		whole := answerTo(kind, c.engine, this, 0)
		if this != left || again {
			c.say(whole)
			return
		}
		c.say(whole[:offset])
		close(arrived)
		await(gone)
		c.say(whole[offset:])
	})
	c := s.dial()
	_, _ = io.WriteString(c, request(kind, left, body, longWaitMS))
	if !await(arrived) {
		return errNoAnswer
	}
	from := c.LocalAddr().(*net.TCPAddr)
	resetConn(c.Conn)
	again := s.dialFrom(from)
	defer resetConn(again.Conn)
	_, _ = io.WriteString(again, request(kind, id, body, longWaitMS))
	close(gone)
	if a := again.read(); !a.whole(kind, id) {
		return fmt.Errorf("the next one from its port got %+v", a)
	}
	mu.Lock()
	defer mu.Unlock()
	if runs[left] != 1 || runs[id] != 1 {
		return fmt.Errorf("runs: %v", runs)
	}
	return nil
}
