package proxy_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"violetthread/internal/app/proxy"
	"violetthread/internal/taskgroup"
	"violetthread/placement"
	"violetthread/platform"
	"violetthread/route"
)

const (
	headerAttempt   = "X-Violetthread-Attempt-Id"
	headerRemaining = "X-Violetthread-Deadline-Remaining"
	headerSeal      = "X-Violetthread-Response-Seal"
	headerSkipped   = "X-Violetthread-Request-Skipped"
	headerLastEvent = "Last-Event-Id"
	headerLoad      = "X-Violetthread-Instance-Load"
	headerTarget    = "X-Violetthread-Target-Instance"

	testPool    = "pool"
	testTimeout = 20 * time.Second
)

// The kinds of route, by what may be repeated.
const (
	onceOnly   = "once"
	onceStream = "stream"
	repeatable = "idem"
	resumable  = "resume"
)

var kinds = []string{onceOnly, onceStream, repeatable, resumable}

func mayRepeat(kind string) bool { return kind == repeatable || kind == resumable }

func isStream(kind string) bool { return kind == onceStream || kind == resumable }

// testTable returns a configuration with a route of each kind.
func testTable() *route.Table {
	types := map[string]route.Semantics{onceOnly: route.AtMostOnce, onceStream: route.EventStream, repeatable: route.Idempotent, resumable: route.EventStream}
	config := route.Config{Version: 1, Pools: []route.Pool{{Name: testPool}}}
	for _, kind := range kinds {
		config.Routes = append(config.Routes, route.Route{Name: kind, Host: "h.example", Prefix: "/" + kind + "/", Semantics: types[kind], TimeoutUS: 9_000_000,
			MaxEngines: 2, Public: true, Resumable: kind == resumable, Split: []route.WeightedPool{{Pool: testPool, Weight: 1}}})
	}
	return route.Compile(config, 1)
}

// engines are two fake engines on raw sockets, with a record of what they received.
type engines struct {
	t         testing.TB
	group     *taskgroup.Group
	mu        sync.Mutex
	listeners []net.Listener // of the current case; connections to those of earlier cases are not counted
	script    func(c *engineConn, arrival int)
	arrivals  int
	open      []net.Conn
	cases     int
}

// engineConn is an engine's side of a connection.
type engineConn struct {
	net.Conn
	br      *bufio.Reader
	engine  int
	served  int  // requests served on it before
	stopped bool // no further requests are read
}

// newEngines returns fake engines; reset starts them. The script handles each request from its
// first byte; its argument arrival is the number of requests before this one.
func newEngines(t testing.TB) *engines {
	t.Helper()
	e := &engines{t: t, group: taskgroup.New(context.Background(), logr.Discard())}
	t.Cleanup(e.close)
	return e
}

func (e *engines) accept(engine, caseNumber int, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		stale := caseNumber != e.cases
		e.open = append(e.open, conn)
		e.mu.Unlock()
		if stale {
			resetConn(conn)
			return
		}
		c := &engineConn{Conn: conn, br: bufio.NewReaderSize(conn, 64<<10), engine: engine}
		e.group.Go("connection", func(context.Context) { e.serve(caseNumber, c) })
	}
}

func (e *engines) serve(caseNumber int, c *engineConn) {
	defer c.Close()
	for !c.stopped {
		if _, err := c.br.Peek(1); err != nil {
			return
		}
		e.mu.Lock()
		arrival, script, stale := e.arrivals, e.script, caseNumber != e.cases
		if !stale {
			e.arrivals++
		}
		e.mu.Unlock()
		if stale {
			return
		}
		script(c, arrival)
		c.served++
	}
}

// reset starts a case with new addresses, and closes the connections of the previous case.
func (e *engines) reset(script func(c *engineConn, arrival int)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.open {
		resetConn(c)
	}
	for _, l := range e.listeners {
		_ = l.Close()
	}
	e.cases++
	e.listeners, e.open, e.arrivals, e.script = nil, nil, 0, script
	for i := range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			e.t.Error(err)
			return
		}
		e.listeners = append(e.listeners, l)
		caseNumber := e.cases
		e.group.Go("engine", func(context.Context) { e.accept(i, caseNumber, l) })
	}
}

// setScript sets another script and restarts the count; connections stay open.
func (e *engines) setScript(script func(c *engineConn, arrival int)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals, e.script = 0, script
}

// count returns how many requests have arrived.
func (e *engines) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivals
}

func (e *engines) close() {
	e.mu.Lock()
	for _, l := range e.listeners {
		_ = l.Close()
	}
	for _, c := range e.open {
		_ = c.Close()
	}
	e.mu.Unlock()
	e.group.Stop()
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// readRequest reads one whole request.
func (c *engineConn) readRequest() (*http.Request, string, error) {
	r, err := http.ReadRequest(c.br)
	if err != nil {
		c.stopped = true
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		c.stopped = true
	}
	return r, string(body), err
}

// send writes bytes of a response.
func (c *engineConn) send(response string) { _, _ = io.WriteString(c, response) }

const lastEvent = 4

// event returns the n-th event of a stream.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %d of %s\n\n", n, n, id) }

// sealOf returns the value of an engine's success marker on its response to an attempt.
func sealOf(engine int, id string) string { return fmt.Sprintf("seal-%d-%s", engine, id) }

func plainBody(id string) string { return "the answer to " + id }

// streamBody returns the events of a stream that follow the given one.
func streamBody(id string, after int) string {
	var b strings.Builder
	for n := after + 1; n <= lastEvent; n++ {
		b.WriteString(event(id, n))
	}
	return b.String()
}

// responseTo returns the exact bytes of an engine's complete response to an attempt.
func responseTo(kind string, engine int, id string, after int) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", headerAttempt, id, headerSeal, sealOf(engine, id))
	if !isStream(kind) {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(plainBody(id)), plainBody(id))
	}
	var b strings.Builder
	b.WriteString(head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for n := after + 1; n <= lastEvent; n++ {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(event(id, n)), event(id, n))
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

// respond reads a request and sends its complete response.
func (c *engineConn) respond(kind string) {
	r, _, err := c.readRequest()
	if err != nil {
		return
	}
	after, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
	c.send(responseTo(kind, c.engine, r.Header.Get(headerAttempt), after))
}

// harness is a proxy with two fake engines.
type harness struct {
	t          testing.TB
	engines    *engines
	proxy      *proxy.Standalone
	generation int
	attempts   int
	name       string
}

func newHarness(t testing.TB, name string) *harness {
	t.Helper()
	return &harness{t: t, name: name, engines: newEngines(t), proxy: proxy.NewStandalone(t, platform.Adapter{}, testTable())}
}

// begin starts a case with engines that have received nothing yet.
func (s *harness) begin(script func(c *engineConn, arrival int)) { s.beginMany(2, script) }

// beginMany starts a case with this many engines, which share two addresses.
func (s *harness) beginMany(engines int, script func(c *engineConn, arrival int)) {
	s.engines.reset(script)
	s.generation++
	var es []*placement.Engine
	for i := range engines {
		addr := s.engines.listeners[i%2].Addr().String()
		es = append(es, &placement.Engine{ID: fmt.Sprintf("%s-%06d-%03d", s.name, s.generation, i), Pool: testPool, Addr: addr, Zone: "here", Slots: 8})
	}
	s.proxy.SetEngines(es...)
}

// beginSingle starts a case with one engine.
func (s *harness) beginSingle(script func(c *engineConn, arrival int)) {
	s.engines.reset(script)
	s.generation++
	s.proxy.SetEngines(&placement.Engine{ID: fmt.Sprintf("%s-%06d", s.name, s.generation), Pool: testPool, Addr: s.engines.listeners[0].Addr().String(), Zone: "here", Slots: 8})
}

// newID returns a new attempt id.
func (s *harness) newID() string {
	s.attempts++
	return fmt.Sprintf("%s-%06d", s.name, s.attempts)
}

// request returns an attempt in wire format, as its caller sends it.
func request(kind, id, body string, remainingMS int) string {
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s", kind, headerAttempt, id, headerRemaining, remainingMS, len(body), body)
}

// reply is what a caller received.
type reply struct {
	status  int
	head    http.Header
	body    string
	readErr error // set if the response is incomplete
}

// caller is a caller's connection.
type caller struct {
	net.Conn
	br *bufio.Reader
}

func (s *harness) dial() *caller {
	conn, err := net.Dial("tcp", s.proxy.Listen)
	if err != nil {
		s.t.Error(err)
		conn, _ = net.Pipe()
		_ = conn.Close()
	}
	return newCaller(conn)
}

func newCaller(conn net.Conn) *caller {
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return &caller{conn, bufio.NewReader(conn)}
}

// read reads one response.
func (c *caller) read() reply {
	r, err := http.ReadResponse(c.br, &http.Request{Method: http.MethodPost})
	if err != nil {
		return reply{readErr: err}
	}
	body, err := io.ReadAll(r.Body)
	return reply{r.StatusCode, r.Header, string(body), err}
}

// call sends one attempt on a new connection.
func (s *harness) call(kind, id, body string, remainingMS int) reply {
	c := s.dial()
	defer resetConn(c.Conn)
	_, _ = io.WriteString(c, request(kind, id, body, remainingMS))
	return c.read()
}

// await waits for a channel to be closed, and reports whether it was.
func await(ch <-chan struct{}) bool {
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	_, _ = taskgroup.Receive(ctx, ch)
	return ctx.Err() == nil
}

// promisesNotRun reports whether a status tells the caller that the request never ran.
func promisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// complete reports whether a reply is an engine's complete response to this attempt, with the
// marker of one of the two engines.
func (a reply) complete(kind, id string) bool {
	body := plainBody(id)
	if isStream(kind) {
		body = streamBody(id, 0)
	}
	seal := a.head.Get(headerSeal)
	return a.readErr == nil && a.status == 200 && a.body == body && a.head.Get(headerAttempt) == id && (seal == sealOf(0, id) || seal == sealOf(1, id))
}

// checkContent returns an error if a reply contains anything but the response to its attempt, or
// looks complete without being so.
func (a reply) checkContent(kind, id string) error {
	switch {
	case a.complete(kind, id):
		return nil
	case a.status == 0:
		return nil // closed before the response started
	case a.status < 300 && a.readErr == nil:
		return fmt.Errorf("a success that is not the engine's response: %+v", a)
	case a.status < 300 && !strings.HasPrefix(plainBody(id), a.body) && !strings.HasPrefix(streamBody(id, 0), a.body):
		return fmt.Errorf("a partial response that no engine sent: %+v", a)
	case a.status >= 300 && a.head.Get(headerSeal) != "":
		return fmt.Errorf("an error response of the proxy with an engine's success marker: %+v", a)
	}
	return nil
}

// check returns an error if a reply belongs to another attempt or wrongly says that the request did
// not run, or if the attempt was sent more often than its route allows.
func (s *harness) check(kind, id string, a reply) error {
	n := s.engines.count()
	switch err := a.checkContent(kind, id); {
	case err != nil:
		return err
	case n > 1 && !mayRepeat(kind):
		return fmt.Errorf("sent %d times, though it may run only once", n)
	case n > 2:
		return fmt.Errorf("sent %d times, two are allowed", n)
	case n > 0 && promisesNotRun(a.status):
		return fmt.Errorf("sent %d times, and the caller got status %d", n, a.status)
	}
	return nil
}

// readSome reads exactly n bytes of a request.
func (c *engineConn) readSome(n int) error {
	_, err := io.CopyN(io.Discard, c.br, int64(n))
	return err
}

// requestLength reads a whole request and returns its length.
func (c *engineConn) requestLength() (int, error) {
	var raw bytes.Buffer
	br := bufio.NewReader(io.TeeReader(c.br, &raw))
	r, err := http.ReadRequest(br)
	if err != nil {
		return 0, err
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return 0, err
	}
	if br.Buffered() > 0 {
		return 0, errors.New("received more than one request")
	}
	return raw.Len(), nil
}

// readHead reads a request's head but not its body.
func (c *engineConn) readHead() (http.Header, error) {
	r, err := http.ReadRequest(c.br)
	if err != nil {
		return nil, err
	}
	return r.Header, nil
}
