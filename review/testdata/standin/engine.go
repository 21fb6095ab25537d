package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	modelName = "daka510000"
	hdrID     = "X-Violetthread-Attempt-Id"
	hdrSeal   = "X-Violetthread-Response-Seal"
	hdrSkip   = "X-Violetthread-Request-Skipped"
	hdrTarget = "X-Violetthread-Target-Instance"
	hdrExpect = "X-Violetthread-Expected-Version"

	loadTime = 1100 * time.Millisecond // new weights take an engine 1.1 s
	listLag  = 800 * time.Millisecond
)

// engine is a model engine that reads its wire by the letter.
type engine struct {
	record  *record
	id      string
	service string
	addr    string

	// early: a long request that can't run is turned away before it is in, and the rest of it
	// is read after readOn.
	early  bool
	readOn time.Duration
	// sent is what clients sent, by id, to compare with what arrives.
	sent *sentBodies

	mu                    sync.Mutex
	version               int
	ordered               int // version being loaded, 0 for none
	sequence              int
	fence                 int
	active                int
	shown                 []shownVersion
	capacity              int            // slots that the list shows; 0 for 128
	runs                  map[string]int // by id
	earlyAnswers, answers int            // counted by countAnswer
}

// shownVersion is what the list shows from a time on.
type shownVersion struct {
	from    time.Time
	version int
}

// sentBodies are the bodies that clients sent, by id.
type sentBodies struct {
	mu     sync.Mutex
	bodies map[string][]byte
}

func (s *sentBodies) put(id string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodies[id] = body
}

func (s *sentBodies) get(id string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.bodies[id]
	return body, ok
}

// Links have small windows: a peer that does not read holds the writer up.
const (
	windowBytes  = 16 << 10
	segmentBytes = 1460
)

// listenSmall listens with windows as small as those of the platform's links.
func listenSmall(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = errors.Join(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes))
		})
		return errors.Join(err, failed)
	}}
	return config.Listen(ctx, "tcp", addr)
}

func (e *engine) start(ctx context.Context, ip string) error {
	l, err := listenSmall(ctx, ip+":0")
	if err != nil {
		return err
	}
	e.addr = l.Addr().String()
	e.shown = []shownVersion{{time.Time{}, e.version}}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(ctx, c)
		}
	}()
	return nil
}

// serve takes one request after the other from a connection.
func (e *engine) serve(ctx context.Context, c net.Conn) {
	defer c.Close()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	br := bufio.NewReaderSize(c, 4096)
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, net.ErrClosed) {
				e.record.note("%s could not read a request: %v", e.id, err)
			}
			return
		}
		if !e.handle(c, q) {
			return
		}
	}
}

// handle answers one request; false ends the connection.
func (e *engine) handle(c net.Conn, q *http.Request) bool {
	switch q.URL.Path {
	case "/health":
		return say(c, 200, "", "X-Violetthread-Instance-Id: "+e.id)
	case "/report":
		return e.report(c)
	case "/order":
		return e.order(c, q)
	case "/kv-events":
		wait, _ := strconv.Atoi(q.Header.Get("Wait-Ms"))
		time.Sleep(time.Duration(min(wait, 1000)) * time.Millisecond)
		return say(c, 200, `{"boot-epoch":1,"next-page-token":0,"missing":false,"events":[]}`, "Content-Type: application/json")
	case "/kv-list":
		return say(c, 200, `{"boot-epoch":1,"next-page-token":0,"retained":[]}`, "Content-Type: application/json")
	}
	return e.request(c, q)
}

// say writes an answer of a known length.
func say(c net.Conn, status int, body string, heads ...string) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for _, h := range heads {
		b.WriteString(h + "\r\n")
	}
	b.WriteString("\r\n" + body)
	_, err := c.Write(b.Bytes())
	return err == nil
}

func (e *engine) report(c net.Conn) bool {
	e.mu.Lock()
	text, _ := json.Marshal(map[string]any{
		"phase": "combined", "models": []any{map[string]any{"name": modelName, "version": e.version, "adapters": []any{}}},
		"saturated": e.ordered != 0, "sequence": e.sequence, "queued": 0, "active": e.active,
		"cache-used": 0, "cache-total": 90000, "cache-handles": 0,
	})
	e.mu.Unlock()
	return say(c, 200, string(text), "Content-Type: application/json")
}

// order takes an order of other weights: what runs ends first, then the weights are loaded.
func (e *engine) order(c net.Conn, q *http.Request) bool {
	var body struct {
		Operation, Model, Method, Holder string
		Version                          int
		Fence                            int `json:"fencing-token"`
	}
	if err := json.NewDecoder(q.Body).Decode(&body); err != nil {
		return say(c, 400, "")
	}
	_, _ = io.Copy(io.Discard, q.Body)
	status := e.takeOrder(q.Header.Get(hdrTarget), body.Version, body.Fence)
	e.record.note("%s was ordered version %d by %s with fence %d: %d", e.id, body.Version, body.Holder, body.Fence, status)
	return say(c, status, "")
}

func (e *engine) takeOrder(target string, version, fence int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case target != "" && target != e.id:
		return 421
	case fence < e.fence:
		return 412
	case e.version >= version:
		return 200
	case e.ordered != 0:
		return 409
	}
	e.fence, e.ordered = fence, version
	e.sequence++
	go e.load(version)
	return 202
}

func (e *engine) load(version int) {
	for {
		e.mu.Lock()
		active := e.active
		e.mu.Unlock()
		if active == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(loadTime)
	e.mu.Lock()
	e.version, e.ordered = version, 0
	e.shown = append(e.shown, shownVersion{time.Now().Add(listLag), version})
	e.mu.Unlock()
	e.record.note("%s runs version %d", e.id, version)
}

// listed is the version that the platform's list shows.
func (e *engine) listed() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	version := 0
	for _, s := range e.shown {
		if time.Now().After(s.from) {
			version = s.version
		}
	}
	return version
}

// admit begins a request, or says by which status it is turned away.
func (e *engine) admit(q *http.Request) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	expected := q.Header.Get(hdrExpect)
	target := q.Header.Get(hdrTarget)
	switch {
	case q.Header.Get(hdrID) == "":
		return 400
	case target != "" && target != e.id, expected != "" && expected != strconv.Itoa(e.version):
		return 421
	case e.ordered != 0:
		return 503
	}
	e.active++
	if e.runs == nil {
		e.runs = map[string]int{}
	}
	e.runs[q.Header.Get(hdrID)]++
	return 0
}

// request runs a request of a client, or turns it away.
func (e *engine) request(c net.Conn, q *http.Request) bool {
	id := q.Header.Get(hdrID)
	want, known := e.sent.get(id)
	if !known {
		e.record.broke("UNASKED: %s got a request with id %q that no client sent: %s %s", e.id, id, q.Method, q.RequestURI)
	}
	status := e.admit(q)
	if e.countAnswer(status != 0, len(want) > longBytes) {
		return e.turnAwayEarly(c, q, id, want, status)
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		e.record.note("%s lost the connection in the body of %s: %v", e.id, id, err)
		if status == 0 {
			e.finish()
		}
		return false
	}
	if !e.compare(id, want, body) {
		if status == 0 {
			e.finish()
		}
		return false
	}
	if status != 0 {
		e.record.note("%s turned %s away with %d", e.id, id, status)
		return say(c, status, "", hdrID+": "+id, hdrSkip+": 1")
	}
	e.record.note("%s runs %s on version %d", e.id, id, e.version)
	defer e.finish()
	return e.stream(c, q, id)
}

// ran reports whether a request ran here.
func (e *engine) ran(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id] > 0
}

func (e *engine) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
}

// longBytes is the size from which a request counts as long.
const longBytes = 20_000

// turnAwayEarly answers before the body is in, keeps the connection, and reads on later.
func (e *engine) turnAwayEarly(c net.Conn, q *http.Request, id string, want []byte, status int) bool {
	e.record.note("%s turns %s away with %d before its %d bytes are in", e.id, id, status, len(want))
	if !say(c, status, "", hdrID+": "+id, hdrSkip+": 1") {
		return false
	}
	time.Sleep(e.readOn)
	body, err := io.ReadAll(q.Body)
	if !e.compare(id, want[:min(len(want), len(body))], body) {
		return false
	}
	if err != nil {
		e.record.note("%s lost the connection in the body of %s after %d of %d bytes", e.id, id, len(body), len(want))
		return false
	}
	e.record.note("%s has read all of %s", e.id, id)
	return true
}

// compare reports whether a body is the client's; if not the rule is broken.
func (e *engine) compare(id string, want, got []byte) bool {
	if bytes.Equal(want, got) {
		return true
	}
	at := 0
	for at < len(got) && at < len(want) && got[at] == want[at] {
		at++
	}
	found := strconv.QuoteToASCII(string(got[at:min(len(got), at+240)]))
	e.record.broke("UNASKED: where the rest of the body of %s was due, from byte %d of %d on, %s got other bytes: %s", id, at, len(want), e.id, found)
	return false
}

// stream answers with a stream of events; the path says how many and how far apart.
func (e *engine) stream(c net.Conn, q *http.Request, id string) bool {
	count, gap := 3, 20*time.Millisecond
	if strings.HasSuffix(q.URL.Path, "/fast") {
		count, gap = 2, time.Millisecond
	}
	if strings.HasSuffix(q.URL.Path, "/4s") {
		count, gap = 20, 200*time.Millisecond
	}
	if strings.HasSuffix(q.URL.Path, "/long") {
		count, gap = 49, 200*time.Millisecond
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n%s: %s.%s\r\n\r\n", hdrID, id, hdrSeal, e.id, id)
	if _, err := c.Write([]byte(head)); err != nil {
		return false
	}
	for i := 1; i <= count; i++ {
		time.Sleep(gap)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, id)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			e.record.note("%s lost the caller of %s after %d events", e.id, id, i)
			return false
		}
	}
	_, err := c.Write([]byte("0\r\n\r\n"))
	return err == nil
}

// startPlatform serves the list of engines.
func startPlatform(ctx context.Context, ip string, engines func() []*engine) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		instances := []any{}
		for _, e := range engines() {
			instances = append(instances, map[string]any{
				"instance-id": e.id, "service": e.service, "address": e.addr, "zone": "cyb-a", "version": "v1", "capacity": cmp.Or(e.capacity, 128),
				"state": "ready", "warmup-remaining-ms": 0, "phase": "combined",
				"models": []any{map[string]any{"name": modelName, "version": e.listed(), "adapters": []any{}}},
			})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": instances, "next-page-token": nil})
	})}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}
