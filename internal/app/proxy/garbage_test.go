package proxy_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
)

// streamWithAt returns a complete stream with more bytes after its n-th event, as a chunk of their own
// or with a Content-Length. It continues after the given event.
func streamWithAt(engine int, id string, after, n int, more string, chunked bool) string {
	var parts []string
	for i := after; i <= lastEvent; i++ {
		if i > after {
			parts = append(parts, event(id, i))
		}
		if i == max(n, after) {
			parts = append(parts, more)
		}
	}
	return streamOf(engine, id, parts, chunked)
}

// streamOf returns a complete response whose body are these parts.
func streamOf(engine int, id string, parts []string, chunked bool) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\n", headerAttempt, id, headerSeal, sealOf(engine, id))
	if !chunked {
		body := strings.Join(parts, "")
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	var b strings.Builder
	b.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
	for _, part := range parts {
		if part != "" {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
		}
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

// streamKinds are the kinds of route that stream.
var streamKinds = []string{onceStream, resumable}

// garbageAfter returns bytes that no engine may put into a stream after its n-th event, by name.
func garbageAfter(n int) map[string]string {
	garbage := map[string]string{}
	for _, c := range invalidEvents {
		garbage[c.name] = c.bytes
	}
	garbage["an id again"] = fmt.Sprintf("id: %d\ndata: junk\n\n", n)
	garbage["an id that goes back"] = fmt.Sprintf("id: %d\ndata: junk\n\n", n-1)
	if n == 0 {
		delete(garbage, "an id again")
	}
	return garbage
}

// TestGarbageInAStreamIsNotPassedOn: nor does a stream that holds it look complete; its framing is intact.
func TestGarbageInAStreamIsNotPassedOn(t *testing.T) {
	var cases []testCase
	for _, kind := range streamKinds {
		for n := range lastEvent + 1 {
			for garbageName, garbage := range garbageAfter(n) {
				for _, chunked := range []bool{true, false} {
					name := fmt.Sprintf("%s, %s after event %d, chunked %v", kind, garbageName, n, chunked)
					cases = append(cases, testCase{name, func(s *harness) error {
						return s.exchange(kind, chunked, longWaitMS, func(c *engineConn) {
							r, _, err := c.readRequest()
							if err != nil {
								return
							}
							c.send(streamWithAt(c.engine, r.Header.Get(headerAttempt), 0, n, garbage, chunked))
						})
					}})
				}
			}
		}
	}
	runCases(t, 16, cases)
}

// TestGarbageInAResumedStreamIsNotPassedOn: the same of the engine that continues another one's stream.
func TestGarbageInAResumedStreamIsNotPassedOn(t *testing.T) {
	var cases []testCase
	for n := 2; n <= lastEvent; n++ {
		for garbageName, garbage := range garbageAfter(n) {
			cases = append(cases, testCase{fmt.Sprintf("%s after event %d", garbageName, n), func(s *harness) error {
				return s.garbageAfterResumption(n, garbage)
			}})
		}
	}
	runCases(t, 16, cases)
}

func (s *harness) garbageAfterResumption(n int, garbage string) error {
	s.begin(func(c *engineConn, arrival int) {
		r, _, err := c.readRequest()
		if err != nil {
			return
		}
		id := r.Header.Get(headerAttempt)
		if arrival == 0 {
			whole := responseTo(resumable, c.engine, id, 0)
			c.send(whole[:strings.Index(whole, event(id, 2))+len(event(id, 2))])
			c.inject(faultReset)
			return
		}
		c.send(streamWithAt(c.engine, id, 2, n, garbage, true))
	})
	id := s.newID()
	a := s.call(resumable, id, body, longWaitMS)
	if a.status != 200 {
		return fmt.Errorf("no stream: %+v", a)
	}
	return s.check(resumable, id, a)
}

// TestStreamThatEndsWithinAnEventIsNotComplete: the engine ends its response in order, within an event.
func TestStreamThatEndsWithinAnEventIsNotComplete(t *testing.T) {
	var cases []testCase
	for _, kind := range streamKinds {
		whole := len(streamBody("s00-000000", 0))
		perEvent := whole / lastEvent
		for length := range whole {
			if length > 0 && length%perEvent == 0 {
				continue // nothing shows that further events are missing
			}
			for _, chunked := range []bool{true, false} {
				name := fmt.Sprintf("%s, %d of %d bytes, chunked %v", kind, length, whole, chunked)
				cases = append(cases, testCase{name, func(s *harness) error {
					return s.exchange(kind, chunked, longWaitMS, func(c *engineConn) {
						r, _, err := c.readRequest()
						if err != nil {
							return
						}
						id := r.Header.Get(headerAttempt)
						c.send(streamOf(c.engine, id, []string{streamBody(id, 0)[:length]}, chunked))
					})
				}})
			}
		}
	}
	runCases(t, 16, cases)
}

// TestStreamingRoutePassesOnEventStreamsOnly: a success of another or of a hidden type is not passed on.
func TestStreamingRoutePassesOnEventStreamsOnly(t *testing.T) {
	var cases []testCase
	for _, kind := range streamKinds {
		for _, contentType := range []string{"", "Content-Type: text/plain\r\n", "Content-Type: application/json\r\n",
			"Content-Type: text/plain\r\nContent-Type: text/event-stream\r\n", "Content-Type: text/event-streams\r\n"} {
			for _, status := range []string{"200 OK", "201 Made", "206 Part"} {
				cases = append(cases, testCase{fmt.Sprintf("%s, %q, %s", kind, contentType, status), func(s *harness) error {
					return s.exchange(kind, false, longWaitMS, func(c *engineConn) {
						r, _, err := c.readRequest()
						if err != nil {
							return
						}
						response := streamWithAt(c.engine, r.Header.Get(headerAttempt), 0, 2, "data: junk\n\n", true)
						response = strings.Replace(response, "Content-Type: text/event-stream\r\n", contentType, 1)
						c.send(strings.Replace(response, "200 OK", status, 1))
					})
				}})
			}
		}
	}
	runCases(t, 16, cases)
}

// TestContentTypeOfEventStreams: the type is compared without regard to case and parameters.
func TestContentTypeOfEventStreams(t *testing.T) {
	s := newHarness(t, "type")
	for _, contentType := range []string{"text/event-stream", "text/event-stream; charset=utf-8", "Text/Event-Stream;charset=UTF-8"} {
		s.begin(func(c *engineConn, _ int) {
			r, _, err := c.readRequest()
			if err != nil {
				return
			}
			response := responseTo(onceStream, c.engine, r.Header.Get(headerAttempt), 0)
			c.send(strings.Replace(response, "text/event-stream", contentType, 1))
		})
		id := s.newID()
		if a := s.call(onceStream, id, body, longWaitMS); !a.complete(onceStream, id) {
			t.Errorf("%s: %+v", contentType, a)
		}
	}
}

// TestEngineThatSendsGarbageIsEjected: it gets few requests while another engine is sound.
func TestEngineThatSendsGarbageIsEjected(t *testing.T) {
	const calls = 60
	s := newHarness(t, "ejected")
	var faulty atomic.Int64
	s.begin(func(c *engineConn, _ int) {
		r, _, err := c.readRequest()
		if err != nil {
			return
		}
		id := r.Header.Get(headerAttempt)
		if c.engine == 1 {
			c.send(responseTo(resumable, c.engine, id, 0))
			return
		}
		faulty.Add(1)
		c.send(streamWithAt(c.engine, id, 0, 0, "junk\n\n", true))
	})
	for range calls {
		id := s.newID()
		if a := s.call(resumable, id, body, longWaitMS); !a.complete(resumable, id) {
			t.Errorf("%+v", a)
		}
	}
	if n := faulty.Load(); n == 0 || n > calls/4 {
		t.Errorf("the engine that sends garbage got %d of %d requests", n, calls)
	}
}

// garbagePlaces returns the offsets of a response at which garbage can be told from it: the ends of its
// lines, but for those within an event.
func garbagePlaces(response string) (places []int) {
	inEvent := false
	for offset := 0; offset < len(response); {
		end := offset + strings.IndexByte(response[offset:], '\n') + 1
		line := response[offset:end]
		inEvent = strings.HasPrefix(line, "id: ") || inEvent && line != "\n"
		if offset = end; !inEvent {
			places = append(places, offset)
		}
	}
	return places
}

// randomGarbage returns bytes that consist of what delimits heads, chunks and events.
func randomGarbage(random *rand.Rand) string {
	const alphabet = "\r\n\r\n\n:: 0123idata\x00\xff"
	garbage := make([]byte, 1+random.IntN(24))
	for i := range garbage {
		garbage[i] = alphabet[random.IntN(len(alphabet))]
	}
	return string(garbage)
}

// TestRandomGarbageAtEveryPlaceOfAStream: neither the stream's own caller nor the next one gets any of it.
func TestRandomGarbageAtEveryPlaceOfAStream(t *testing.T) {
	const perPlace = 12
	random := rand.New(rand.NewPCG(1, 34))
	var cases []testCase
	for _, kind := range streamKinds {
		for _, place := range garbagePlaces(responseTo(kind, 0, "s00-000000", 0)) {
			for i := range perPlace {
				garbage := randomGarbage(random)
				cases = append(cases, testCase{fmt.Sprintf("%s, %q at %d", kind, garbage, place), func(s *harness) error {
					return s.garbageAt(kind, place, garbage, i%2 == 0)
				}})
			}
		}
	}
	runCases(t, 16, cases)
}

func (s *harness) garbageAt(kind string, place int, garbage string, pooled bool) error {
	err := s.exchange(kind, pooled, stalledWaitMS, func(c *engineConn) {
		r, _, err := c.readRequest()
		if err != nil {
			return
		}
		whole := responseTo(kind, c.engine, r.Header.Get(headerAttempt), 0)
		c.send(whole[:place] + garbage + whole[place:])
	})
	if err != nil {
		return err
	}
	s.engines.setScript(completeResponses(onceOnly))
	id := s.newID()
	if a := s.call(onceOnly, id, body, longWaitMS); !a.complete(onceOnly, id) && !promisesNotRun(a.status) {
		return fmt.Errorf("the next caller got %+v", a)
	}
	return nil
}
