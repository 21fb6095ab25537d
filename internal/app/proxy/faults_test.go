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

// withHead is an answer of a known length under any head.
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

// TestStrayAnswerIsReadToItsEnd: what is left of a long answer to a former request is no
// answer to the next one, whatever its bytes say.
func TestStrayAnswerIsReadToItsEnd(t *testing.T) {
	s := newStage(t, "stray")
	s.alone(properly(repeatable))
	if err := s.keep(); err != nil {
		t.Fatal(err)
	}
	id := s.newID()
	s.engines.follow(func(c *engineConn, _ int) {
		if _, _, err := c.readRequest(); err != nil {
			return
		}
		inside := withHead("200 OK", id, "not the answer", headerSeal+": forged")
		c.say(withHead("200 OK", "one-before", strings.Repeat("x", 1<<20)+inside, headerSeal+": old"))
		c.say(answerTo(onceOnly, c.engine, id, 0))
	})
	a := s.call(onceOnly, id, body, longWaitMS)
	if err := s.judge(onceOnly, id, a); err != nil {
		t.Error(err)
	}
}

// TestNotRunBodyIsReadToItsEnd: a connection on which a rejection's body still comes is not
// used again.
func TestNotRunBodyIsReadToItsEnd(t *testing.T) {
	s := newStage(t, "skip")
	s.begin(properly(repeatable))
	var mu sync.Mutex
	dirty := 0
	s.engines.follow(func(c *engineConn, arrival int) {
		r, _, err := c.readRequest()
		if err != nil {
			return
		}
		id := r.Header.Get(headerAttempt)
		if arrival > 0 {
			c.say(answerTo(onceOnly, c.engine, id, 0))
			return
		}
		c.say(fmt.Sprintf("HTTP/1.1 503 Full\r\n%s: %s\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s", headerAttempt, id, headerSkipped, 65<<10, strings.Repeat("x", 64<<10)))
		if _, err := c.br.Peek(1); err == nil { // another request, before the body's end
			mu.Lock()
			dirty++
			mu.Unlock()
		}
		c.over = true
	})
	for range 3 {
		id := s.newID()
		if a := s.call(onceOnly, id, body, longWaitMS); a.cut != nil || a.status != 200 && !promised(a.status) {
			t.Errorf("%+v", a)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if dirty > 0 {
		t.Error("a connection was used again with a part of a refusal still to come")
	}
}

// TestOneEnginesStreamStaysIntact: what one engine says goes out as it is, also where its
// ids do not rise or begin below what the caller has.
func TestOneEnginesStreamStaysIntact(t *testing.T) {
	for _, after := range []string{"", "3"} {
		for _, kind := range []string{onceStream, resumable} {
			s := newStage(t, "ids-"+kind+after)
			events := "id: 2\ndata: a\n\nid: 2\ndata: b\n\nid: 1\ndata: c\n\nid: 9\ndata: d\n\n"
			s.begin(func(c *engineConn, _ int) {
				r, _, err := c.readRequest()
				if err != nil {
					return
				}
				c.say(withHead("200 OK", r.Header.Get(headerAttempt), events, headerSeal+": s", "Content-Type: text/event-stream"))
			})
			id := s.newID()
			c := s.dial()
			q := request(kind, id, body, longWaitMS)
			if after != "" {
				q = strings.Replace(q, "Content-Length", headerLastEvent+": "+after+"\r\nContent-Length", 1)
			}
			_, _ = io.WriteString(c, q)
			if a := c.read(); a.cut != nil || a.body != events {
				t.Errorf("%s after %q: %+v", kind, after, a)
			}
			resetConn(c.Conn)
		}
	}
}

// TestOnlyRejectionsAreProof: the sign of a request that did not run counts on a status that
// rejects, and nowhere else.
func TestOnlyRejectionsAreProof(t *testing.T) {
	for _, status := range []string{"200 OK", "201 Made", "302 There", "404 Gone", "500 Broken", "504 Late"} {
		s := newStage(t, "proof-"+status[:3])
		s.begin(func(c *engineConn, _ int) {
			r, _, err := c.readRequest()
			if err != nil {
				return
			}
			id := r.Header.Get(headerAttempt)
			c.say(withHead(status, id, plainBody(id), headerSeal+": "+sealOf(c.engine, id), headerSkipped+": 1"))
		})
		id := s.newID()
		a := s.call(onceOnly, id, body, longWaitMS)
		if err := s.judge(onceOnly, id, a); err != nil {
			t.Errorf("%s: %v", status, err)
		}
	}
}

// TestLengthBesideChunks: an answer that states its end in two ways is trusted in neither.
func TestLengthBesideChunks(t *testing.T) {
	for _, kind := range kinds {
		s := newStage(t, "both-"+kind)
		script := func(c *engineConn, arrival int) {
			if arrival > 0 {
				c.answerProperly(kind)
				return
			}
			r, _, err := c.readRequest()
			if err != nil {
				return
			}
			c.say(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: two\r\nContent-Type: text/event-stream\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
				headerAttempt, r.Header.Get(headerAttempt), headerSeal))
		}
		s.begin(script)
		id := s.newID()
		a := s.call(kind, id, body, longWaitMS)
		if err := s.judge(kind, id, a); err != nil {
			t.Errorf("%s: %v", kind, err)
		}
		if mayRepeat(kind) && !a.whole(kind, id) {
			t.Errorf("%s may be repeated, and got %+v", kind, a)
		}
	}
}

// TestRefusedBeforeItWasSentWhole: an engine that rejects a long request without reading it
// is believed.
func TestRefusedBeforeItWasSentWhole(t *testing.T) {
	s := newStage(t, "early")
	s.begin(func(c *engineConn, arrival int) {
		if arrival > 0 {
			c.answerProperly(onceOnly)
			return
		}
		head, err := c.readHead()
		if err != nil {
			return
		}
		id := head.Get(headerAttempt)
		c.say(withHead("503 Full", id, "", headerSkipped+": 1", "Connection: close"))
		c.strike(faultClose)
	})
	id := s.newID()
	a := s.call(onceOnly, id, strings.Repeat("x", 8<<20), longWaitMS)
	if !a.whole(onceOnly, id) {
		t.Errorf("the second engine was free: %+v", a)
	}
}

// TestCutAnswerToAnOldClient: without chunks nothing but a reset tells that an answer
// broke off.
func TestCutAnswerToAnOldClient(t *testing.T) {
	s := newStage(t, "old")
	s.begin(func(c *engineConn, _ int) { c.answerPart(onceStream, answerLength(onceStream)-20, faultClose) })
	id := s.newID()
	c := s.dial()
	_, _ = io.WriteString(c, strings.Replace(request(onceStream, id, body, longWaitMS), "HTTP/1.1", "HTTP/1.0", 1))
	if a := c.read(); a.cut == nil {
		t.Errorf("the answer broke off, and looks whole: %+v", a)
	}
}

// TestRetryBudgetIsSpentOnce: attempts that fail at one moment get no more retries than the
// budget has.
func TestRetryBudgetIsSpentOnce(t *testing.T) {
	const callers = 64
	s := newStage(t, "budget")
	for round := range 6 {
		s.proxy.SetRetries(0, 1)
		all := make(chan struct{})
		s.beginMany(2*callers, func(c *engineConn, arrival int) {
			if arrival >= callers {
				c.answerProperly(repeatable)
				return
			}
			if _, _, err := c.readRequest(); err != nil {
				return
			}
			if arrival == callers-1 {
				close(all)
			}
			await(all)
			c.strike(faultReset)
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
			t.Fatalf("round %d: %d attempts beyond the first, one is allowed", round, n-callers)
		}
	}
}

// TestCallerGoneIsNoFaultOfTheEngine: an engine that could not be reached because the
// caller had left is not ejected.
func TestCallerGoneIsNoFaultOfTheEngine(t *testing.T) {
	s := newStage(t, "gone")
	s.alone(properly(repeatable))
	for i := range 40 {
		c := s.dial()
		_, _ = io.WriteString(c, request(repeatable, s.newID(), body, longWaitMS))
		resetConn(c.Conn)
		id := s.newID()
		if a := s.call(repeatable, id, body, longWaitMS); !a.whole(repeatable, id) {
			t.Fatalf("after %d callers that left: %+v", i+1, a)
		}
	}
}

var errNoAnswer = errors.New("no answer")

// TestAmbiguityIsJudgedAnew: the head of each request on a connection is judged, also after
// one that was answered before its body had been read.
func TestAmbiguityIsJudgedAnew(t *testing.T) {
	s := newStage(t, "heads")
	both := "POST /once/x HTTP/1.1\r\nHost: h.example\r\n" + headerAttempt + ": %s\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	for name, before := range map[string]func(c *caller) error{
		"no configuration yet": func(c *caller) error {
			s.proxy.NewView(nil)
			defer s.proxy.NewView(testTable())
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
		s.begin(properly(onceOnly))
		c := s.dial()
		if err := before(c); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		ran := s.engines.count()
		_, _ = fmt.Fprintf(c, both, s.newID())
		if a := c.read(); a.status == 200 || s.engines.count() > ran {
			t.Errorf("%s: a request that ends in two places was passed on: %+v", name, a)
		}
		resetConn(c.Conn)
		// And a proper one is not taken for anything else.
		c = s.dial()
		if err := before(c); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		id := s.newID()
		_, _ = io.WriteString(c, request(onceOnly, id, body, longWaitMS))
		if a := c.read(); a.cut == nil && !a.whole(onceOnly, id) && !promised(a.status) {
			t.Errorf("%s: a proper request got %+v", name, a)
		}
		resetConn(c.Conn)
	}
}

func expectStatus(c *caller, status int) error {
	a := c.read()
	if a.cut != nil || a.status != status {
		return fmt.Errorf("%w of %d: %+v", errNoAnswer, status, a)
	}
	return nil
}

// TestPipelined: requests that come together are answered in order, each its own answer,
// or told to come again; none is rejected for good, and none runs twice.
func TestPipelined(t *testing.T) {
	s := newStage(t, "pipe")
	s.begin(properly(onceOnly))
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
		if a.cut != nil {
			if i == 0 {
				t.Errorf("not even the first was answered: %+v", a)
			}
			break
		}
		if !a.whole(onceOnly, id) && !promised(a.status) {
			t.Errorf("request %d of 4 at once got %+v", i+1, a)
		}
	}
	if n := s.engines.count(); n > len(ids) {
		t.Errorf("%d runs of %d requests", n, len(ids))
	}
}

// TestAddressesOfOthers: where many addresses have become other engines', a request meets
// one of them at most while an engine is known that answered lately, and each of them is
// asked less and less often.
func TestAddressesOfOthers(t *testing.T) {
	const engines, calls = 40, 200
	s := newStage(t, "others")
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
			c.say(strings.Replace(answerTo(onceOnly, c.engine, id, 0), "\r\n", "\r\n"+headerLoad+": 8,9,8\r\n", 1))
			return
		}
		met[id]++
		c.say(withHead("421 Other", id, "", headerSkipped+": 1"))
	})
	served := 0
	for range calls {
		id := s.newID()
		if a := s.call(onceOnly, id, body, longWaitMS); a.whole(onceOnly, id) {
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
		t.Errorf("%d of %d requests met two engines of others, %d were served", twice, calls, served)
	}
	if all > 2*engines {
		t.Errorf("%d engines of others were asked %d times", engines-1, all)
	}
}

// TestClosingConnectionIsNotUsedAgain: an engine that said that it closes may not read what
// comes after, also while its connection is still open.
func TestClosingConnectionIsNotUsedAgain(t *testing.T) {
	s := newStage(t, "closing")
	var mu sync.Mutex
	again := 0
	s.alone(func(c *engineConn, _ int) {
		r, _, err := c.readRequest()
		if err != nil {
			return
		}
		mu.Lock()
		if c.served > 0 {
			again++
		}
		mu.Unlock()
		c.say(strings.Replace(answerTo(onceOnly, c.engine, r.Header.Get(headerAttempt), 0), "\r\n", "\r\nConnection: close\r\n", 1))
	})
	for range 5 {
		id := s.newID()
		if a := s.call(onceOnly, id, body, longWaitMS); !a.whole(onceOnly, id) {
			t.Errorf("%+v", a)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if again > 0 {
		t.Errorf("%d requests came on connections that were to close", again)
	}
}
