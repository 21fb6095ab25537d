package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// How the case "latesend" is timed.
const (
	// pollEvery is how often the platform asks for readiness; a node that misses twice is out.
	pollEvery   = time.Second
	missesToOut = 2
	// lateBodyBytes is a body within max-body-bytes (4,194,304); a client sends it at 10 Mbit/s.
	lateBodyBytes = 4_000_000
	latePieceGap  = 20 * time.Millisecond
	latePiece     = 25_000
	// lateEvery is the time between two clients.
	lateEvery = 150 * time.Millisecond
	// lateClients is how many there are; SIGTERM comes after the first lateBefore.
	lateClients, lateBefore = 34, 10
	lateDeadline            = 10 * time.Second
	// excusedUntil is how long after SIGTERM a request may be sent whose loss is excused while the
	// engine is at work in the last sixth of grace-period-s.
	excusedUntil = 3 * time.Second
	// windowEnd is when the time around planned work ends: 1 s after grace-period-s.
	windowEnd = gracePeriod + time.Second
)

// gate passes new connections to the frontends that are in.
type gate struct {
	mu     sync.Mutex
	nodes  []*node
	misses map[*node]int
	polled chan struct{} // closed with the next round of questions
}

func (g *gate) run(ctx context.Context, f *fleet) {
	for ctx.Err() == nil {
		for _, n := range g.nodes {
			ready := f.isReady(n)
			g.mu.Lock()
			before := g.misses[n]
			if g.misses[n]++; ready {
				g.misses[n] = 0
			}
			if before < missesToOut && g.misses[n] >= missesToOut {
				f.record.note("%s missed %d questions and gets no new connections", n.name, missesToOut)
			}
			g.mu.Unlock()
		}
		g.mu.Lock()
		close(g.polled)
		g.polled = make(chan struct{})
		g.mu.Unlock()
		time.Sleep(pollEvery)
	}
}

// nextPoll waits until the next round of questions has been asked.
func (g *gate) nextPoll() {
	g.mu.Lock()
	polled := g.polled
	g.mu.Unlock()
	<-polled
}

// pick is the node for a client: n if it is in, else another.
func (g *gate) pick(client int) *node {
	g.mu.Lock()
	defer g.mu.Unlock()
	var in []*node
	for _, n := range g.nodes {
		if g.misses[n] < missesToOut {
			in = append(in, n)
		}
	}
	if len(in)*2 < len(g.nodes) {
		in = g.nodes
	}
	return in[client%len(in)]
}

// playLateSend: a proxy gets SIGTERM. Clients that were passed to it before the platform took it out
// send long requests at that time.
func playLateSend(ctx context.Context, f *fleet, trouble bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := &sentBodies{bodies: map[string][]byte{}}
	var engines []*engine
	for i := range 2 {
		e := &engine{record: f.record, id: fmt.Sprintf("i-%d", i+1), service: serviceName, version: 1, sent: sent}
		if err := e.start(ctx, "127.0.0.1"); err != nil {
			return err
		}
		engines = append(engines, e)
	}
	var err error
	if f.platform, err = startPlatform(ctx, "127.0.0.1", func() []*engine { return engines }); err != nil {
		return err
	}
	for range 3 {
		f.addControl()
	}
	g := &gate{misses: map[*node]int{}, polled: make(chan struct{})}
	for range 3 {
		g.nodes = append(g.nodes, f.addProxy())
	}
	if err := f.startAll(); err != nil {
		return err
	}
	if err := f.configure(ctx, config(1)); err != nil {
		return err
	}
	go g.run(ctx, f)
	time.Sleep(5 * time.Second) // all machines are in touch
	g.nextPoll()
	victim := g.nodes[0]
	var wg sync.WaitGroup
	var mu sync.Mutex
	var termAt time.Time
	for i := range lateClients {
		if i == lateBefore {
			g.nextPoll()
			mu.Lock()
			termAt = time.Now()
			mu.Unlock()
			if trouble {
				victim.signal(syscall.SIGTERM)
			}
			f.record.note("SIGTERM for %s: %v", victim.name, trouble)
		}
		n := g.pick(i)
		wg.Add(1)
		go func() {
			defer wg.Done()
			try := f.lateTry(ctx, n, sent)
			mu.Lock()
			defer mu.Unlock()
			f.judgeLate(try, n == victim, termAt, engines)
		}()
		time.Sleep(lateEvery)
	}
	wg.Wait()
	return nil
}

// lateTry is one try of a client on a new connection.
type lateTry struct {
	id     string
	sentAt time.Time // its last byte
	ended  time.Time
	status int
	whole  bool
	events int
	err    error
}

// lateTry connects, sends a whole request at the speed of its link and reads the answer.
func (f *fleet) lateTry(ctx context.Context, n *node, sent *sentBodies) lateTry {
	id := newID()
	body := bytes.Repeat([]byte("ticket "), lateBodyBytes/7+1)[:lateBodyBytes]
	sent.put(id, body)
	t := lateTry{id: id}
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", n.frontendAddr())
	if err != nil {
		t.err = err
		return t
	}
	defer c.Close()
	f.record.note("client of %s is connected to %s and begins to send", id, n.name)
	head := fmt.Sprintf("POST /ticket/4s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nApi-Key: %s\r\nX-Violetthread-Model-Name: %s\r\n"+
		"X-Violetthread-Token-Counts: 1460,80\r\nX-Violetthread-Prompt-Prefix: %s:800,%s:250\r\n"+
		"X-Violetthread-Deadline-Remaining: %d\r\nContent-Length: %d\r\n\r\n",
		hostName, hdrID, id, apiKey, modelName, id[8:], id[:8], lateDeadline.Milliseconds(), len(body))
	began := time.Now()
	_, t.err = io.WriteString(c, head)
	for next := began; t.err == nil && len(body) > 0; next = next.Add(latePieceGap) {
		time.Sleep(time.Until(next))
		piece := body[:min(latePiece, len(body))]
		body = body[len(piece):]
		_, t.err = c.Write(piece)
	}
	t.sentAt = time.Now()
	if t.err != nil {
		t.ended = t.sentAt
		return t
	}
	f.record.note("client has sent %s whole to %s, %d ms from its first byte on", id, n.name, t.sentAt.Sub(began).Milliseconds())
	_ = c.SetReadDeadline(time.Now().Add(lateDeadline))
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.err, t.ended = err, time.Now()
		return t
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	t.status, t.whole, t.err, t.ended = answer.StatusCode, err == nil, err, time.Now()
	for i := range text {
		if text[i] == '\n' && i > 0 && text[i-1] == '\n' {
			t.events++
		}
	}
	return t
}

// judgeLate compares a try with the rule LOST around a SIGTERM.
func (f *fleet) judgeLate(t lateTry, atVictim bool, termAt time.Time, engines []*engine) {
	ran := 0
	for _, e := range engines {
		if e.ran(t.id) {
			ran++
		}
	}
	after := time.Duration(0)
	if !termAt.IsZero() && !t.sentAt.IsZero() {
		after = t.sentAt.Sub(termAt)
	}
	f.record.note("client got status %d to %s, whole %v, %d events, error %v; sent %d ms after SIGTERM, ended %d ms after that, ran at %d engines",
		t.status, t.id, t.whole, t.events, t.err, after.Milliseconds(), t.ended.Sub(t.sentAt).Milliseconds(), ran)
	lost := !t.whole && ran > 0 && t.ended.Sub(t.sentAt) < lateDeadline-100*time.Millisecond
	if atVictim && lost && after > excusedUntil && t.ended.Sub(termAt) < windowEnd {
		f.record.broke("LOST: %s was sent %d ms after SIGTERM and passed on to an engine; its connection ended %d ms after SIGTERM with %d of 20 events and no end",
			t.id, after.Milliseconds(), t.ended.Sub(termAt).Milliseconds(), t.events)
	}
}
