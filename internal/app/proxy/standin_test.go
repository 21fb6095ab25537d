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

	connPool = "pool"
	patience = 20 * time.Second
)

// The kinds of route, named by what may be done again.
const (
	onceOnly   = "once"
	onceStream = "stream"
	repeatable = "idem"
	resumable  = "resume"
)

var kinds = []string{onceOnly, onceStream, repeatable, resumable}

func mayRepeat(kind string) bool { return kind == repeatable || kind == resumable }

func isStream(kind string) bool { return kind == onceStream || kind == resumable }

// testTable has a route of each kind.
func testTable() *route.Table {
	types := map[string]route.Semantics{onceOnly: route.AtMostOnce, onceStream: route.EventStream, repeatable: route.Idempotent, resumable: route.EventStream}
	config := route.Config{Version: 1, Pools: []route.Pool{{Name: connPool}}}
	for _, kind := range kinds {
		config.Routes = append(config.Routes, route.Route{Name: kind, Host: "h.example", Prefix: "/" + kind + "/", Semantics: types[kind], TimeoutUS: 9_000_000,
			MaxEngines: 2, Public: true, Resumable: kind == resumable, Split: []route.WeightedPool{{Pool: connPool, Weight: 1}}})
	}
	return route.Compile(config, 1)
}

// engines are two stand-in engines behind raw sockets, and what they saw.
type engines struct {
	t         testing.TB
	group     *taskgroup.Group
	mu        sync.Mutex
	listeners []net.Listener // of this case; what comes to those of former ones is not counted
	script    func(c *engineConn, arrival int)
	arrivals  int
	open      []net.Conn
	cases     int
}

// engineConn is a connection of an engine.
type engineConn struct {
	net.Conn
	br     *bufio.Reader
	engine int
	served int  // requests answered on it before
	over   bool // nothing more is read
}

// newEngines starts both. The script deals with each request from its first byte on; it
// gets the number of requests before it.
func newEngines(t testing.TB) *engines {
	t.Helper()
	e := &engines{t: t, group: taskgroup.New(context.Background(), logr.Discard())}
	t.Cleanup(e.close)
	return e
}

func (e *engines) accept(engine, of int, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		former := of != e.cases
		e.open = append(e.open, conn)
		e.mu.Unlock()
		if former {
			resetConn(conn)
			return
		}
		c := &engineConn{Conn: conn, br: bufio.NewReaderSize(conn, 64<<10), engine: engine}
		e.group.Go("connection", func(context.Context) { e.serve(of, c) })
	}
}

func (e *engines) serve(of int, c *engineConn) {
	defer c.Close()
	for !c.over {
		if _, err := c.br.Peek(1); err != nil {
			return
		}
		e.mu.Lock()
		arrival, script, former := e.arrivals, e.script, of != e.cases
		if !former {
			e.arrivals++
		}
		e.mu.Unlock()
		if former {
			return
		}
		script(c, arrival)
		c.served++
	}
}

// reset starts a case at addresses of its own: the connections of the one before end.
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
		of := e.cases
		e.group.Go("engine", func(context.Context) { e.accept(i, of, l) })
	}
}

// follow begins the count anew, with another script and the connections there are.
func (e *engines) follow(script func(c *engineConn, arrival int)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals, e.script = 0, script
}

// count is how many requests arrived.
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

// resetConn closes a connection so that the far end sees a reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// readRequest reads one request to its end.
func (c *engineConn) readRequest() (*http.Request, string, error) {
	r, err := http.ReadRequest(c.br)
	if err != nil {
		c.over = true
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		c.over = true
	}
	return r, string(body), err
}

// say writes what an engine answers.
func (c *engineConn) say(answer string) { _, _ = io.WriteString(c, answer) }

const lastPiece = 4

// piece is one event of every stream.
func piece(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %d of %s\n\n", n, n, id) }

// sealOf is an engine's seal on its answer to a try.
func sealOf(engine int, id string) string { return fmt.Sprintf("seal-%d-%s", engine, id) }

func plainBody(id string) string { return "the answer to " + id }

// streamBody are the events after one.
func streamBody(id string, after int) string {
	var b strings.Builder
	for n := after + 1; n <= lastPiece; n++ {
		b.WriteString(piece(id, n))
	}
	return b.String()
}

// answerTo is the whole answer that an engine gives to a try, to the byte.
func answerTo(kind string, engine int, id string, after int) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", headerAttempt, id, headerSeal, sealOf(engine, id))
	if !isStream(kind) {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(plainBody(id)), plainBody(id))
	}
	var b strings.Builder
	b.WriteString(head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for n := after + 1; n <= lastPiece; n++ {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(piece(id, n)), piece(id, n))
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

// answerProperly reads a request and answers it whole.
func (c *engineConn) answerProperly(kind string) {
	r, _, err := c.readRequest()
	if err != nil {
		return
	}
	after, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
	c.say(answerTo(kind, c.engine, r.Header.Get(headerAttempt), after))
}

// stage is a proxy before two engines.
type stage struct {
	t       testing.TB
	engines *engines
	proxy   *proxy.Unattached
	lives   int
	tries   int
	name    string
}

func newStage(t testing.TB, name string) *stage {
	t.Helper()
	return &stage{t: t, name: name, engines: newEngines(t), proxy: proxy.NewUnattached(t, platform.Adapter{}, testTable())}
}

// begin starts a case with engines that nobody has asked yet.
func (s *stage) begin(script func(c *engineConn, arrival int)) { s.beginMany(2, script) }

// beginMany starts a case with as many engines, which share two addresses.
func (s *stage) beginMany(engines int, script func(c *engineConn, arrival int)) {
	s.engines.reset(script)
	s.lives++
	var es []*placement.Engine
	for i := range engines {
		addr := s.engines.listeners[i%2].Addr().String()
		es = append(es, &placement.Engine{ID: fmt.Sprintf("%s-%06d-%03d", s.name, s.lives, i), Pool: connPool, Addr: addr, Zone: "here", Slots: 8})
	}
	s.proxy.SetEngines(es...)
}

// alone starts a case with one engine.
func (s *stage) alone(script func(c *engineConn, arrival int)) {
	s.engines.reset(script)
	s.lives++
	s.proxy.SetEngines(&placement.Engine{ID: fmt.Sprintf("%s-%06d", s.name, s.lives), Pool: connPool, Addr: s.engines.listeners[0].Addr().String(), Zone: "here", Slots: 8})
}

// newID names a try.
func (s *stage) newID() string {
	s.tries++
	return fmt.Sprintf("%s-%06d", s.name, s.tries)
}

// request is a try as its caller writes it.
func request(kind, id, body string, remainingMS int) string {
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s", kind, headerAttempt, id, headerRemaining, remainingMS, len(body), body)
}

// reply is what a caller got.
type reply struct {
	status int
	head   http.Header
	body   string
	cut    error // it does not look whole
}

// caller is a caller's connection.
type caller struct {
	net.Conn
	br *bufio.Reader
}

func (s *stage) dial() *caller {
	conn, err := net.Dial("tcp", s.proxy.Listen)
	if err != nil {
		s.t.Error(err)
		conn, _ = net.Pipe()
		_ = conn.Close()
	}
	return newCaller(conn)
}

func newCaller(conn net.Conn) *caller {
	_ = conn.SetDeadline(time.Now().Add(patience))
	return &caller{conn, bufio.NewReader(conn)}
}

// read takes one answer.
func (c *caller) read() reply {
	r, err := http.ReadResponse(c.br, &http.Request{Method: http.MethodPost})
	if err != nil {
		return reply{cut: err}
	}
	body, err := io.ReadAll(r.Body)
	return reply{r.StatusCode, r.Header, string(body), err}
}

// call sends one try on a connection of its own.
func (s *stage) call(kind, id, body string, remainingMS int) reply {
	c := s.dial()
	defer resetConn(c.Conn)
	_, _ = io.WriteString(c, request(kind, id, body, remainingMS))
	return c.read()
}

// await waits for a channel to be closed, and reports whether it was.
func await(ch <-chan struct{}) bool {
	ctx, stop := context.WithTimeout(context.Background(), patience)
	defer stop()
	_, _ = taskgroup.Receive(ctx, ch)
	return ctx.Err() == nil
}

// promised reports whether a status says that the request never ran.
func promised(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// whole reports whether a reply is the whole answer of an engine to this try, under the
// seal of the engine that began it.
func (a reply) whole(kind, id string) bool {
	body := plainBody(id)
	if isStream(kind) {
		body = streamBody(id, 0)
	}
	seal := a.head.Get(headerSeal)
	return a.cut == nil && a.status == 200 && a.body == body && a.head.Get(headerAttempt) == id && (seal == sealOf(0, id) || seal == sealOf(1, id))
}

// faithful fails if a reply holds anything that is not the answer to its try, or looks
// whole without being so.
func (a reply) faithful(kind, id string) error {
	switch {
	case a.whole(kind, id):
		return nil
	case a.status == 0:
		return nil // cut before it began
	case a.status < 300 && a.cut == nil:
		return fmt.Errorf("a success that is not the engine's answer: %+v", a)
	case a.status < 300 && !strings.HasPrefix(plainBody(id), a.body) && !strings.HasPrefix(streamBody(id, 0), a.body):
		return fmt.Errorf("a part of what no engine said: %+v", a)
	case a.status >= 300 && a.head.Get(headerSeal) != "":
		return fmt.Errorf("a failure of the proxy's own under an engine's seal: %+v", a)
	}
	return nil
}

// judge fails if an answer is not this try's, or promises what is not so, or if the try
// was sent more often than its route allows.
func (s *stage) judge(kind, id string, a reply) error {
	n := s.engines.count()
	switch err := a.faithful(kind, id); {
	case err != nil:
		return err
	case n > 1 && !mayRepeat(kind):
		return fmt.Errorf("sent %d times, though it may run once", n)
	case n > 2:
		return fmt.Errorf("sent %d times, two are allowed", n)
	case n > 0 && promised(a.status):
		return fmt.Errorf("sent %d times, and its caller is told %d", n, a.status)
	}
	return nil
}

// readSome reads n bytes of a request and no more.
func (c *engineConn) readSome(n int) error {
	_, err := io.CopyN(io.Discard, c.br, int64(n))
	return err
}

// requestLength reads a whole request and tells how long it was.
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
		return 0, errors.New("more came than one request")
	}
	return raw.Len(), nil
}

// readHead reads a request's head and leaves its body.
func (c *engineConn) readHead() (http.Header, error) {
	r, err := http.ReadRequest(c.br)
	if err != nil {
		return nil, err
	}
	return r.Header, nil
}
