package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// How the case "queue" is played.
const (
	queueEngines = 10
	queueSlots   = 4
	// queueKeepers is how many engines go on with what they have queued: most drop it.
	queueKeepers = 3
	// queueLength is three times the slots, as in the site file.
	queueLength  = 3 * queueSlots
	queueClients = 130
	// longStream is how long a request runs.
	longStream = 49 * 200 * time.Millisecond
	// giveUpAfter is the silence after which a client gives a stream up.
	giveUpAfter = 2 * time.Second
)

// queueEngine is an engine that works on a few requests and queues a few more.
type queueEngine struct {
	engine
	// keeps says that it goes on with what it has queued when the connection closes.
	keeps bool
	named func() (version int, acknowledged time.Time) // the newest version

	waiting []*queued
}

// queued is a request that waits for a slot.
type queued struct {
	id      string
	ended   chan int // 0: it may run; else the status by which it is turned away
	decided bool
}

func (e *queueEngine) serveQueue(ctx context.Context, c net.Conn) {
	defer c.Close()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	br := bufio.NewReaderSize(c, 4096)
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if q.URL.Path == "/order" || q.Header.Get(hdrID) == "" {
			if !e.handle(c, q) {
				return
			}
			if q.URL.Path == "/order" {
				e.shed()
			}
			continue
		}
		body, err := io.ReadAll(q.Body)
		id := q.Header.Get(hdrID)
		want, _ := e.sent.get(id)
		if err != nil || !e.compare(id, want, body) {
			return
		}
		// The connection is watched while the request waits or runs.
		closed := make(chan struct{})
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			if _, err := br.Peek(1); err != nil {
				close(closed)
			}
		}()
		if !e.requestInTurn(c, q, id, closed) {
			return
		}
		<-watched
	}
}

// requestInTurn runs a request when its turn comes, or turns it away.
func (e *queueEngine) requestInTurn(c net.Conn, q *http.Request, id string, closed <-chan struct{}) bool {
	w := &queued{id: id, ended: make(chan int, 1)}
	arrived := time.Now()
	if status := e.enter(q, w); status != 0 {
		return say(c, status, "", hdrID+": "+id, hdrSkip+": 1")
	}
	left, _ := strconv.Atoi(q.Header.Get("X-Violetthread-Deadline-Remaining"))
	deadline := time.After(time.Duration(left) * time.Millisecond)
	drop := closed
	if e.keeps {
		drop = nil
	}
	var status int
	select {
	case status = <-w.ended:
	case <-deadline:
		status = e.leave(w, 503)
	case <-drop:
		if e.leave(w, 499) != 0 {
			e.record.note("%s drops %s: its connection closed", e.id, id)
			return false
		}
	}
	if status != 0 {
		return say(c, status, "", hdrID+": "+id, hdrSkip+": 1")
	}
	defer e.next()
	e.begin(id, time.Since(arrived), closed)
	began, limit := time.Now(), arrived.Add(time.Duration(left)*time.Millisecond)
	defer time.AfterFunc(time.Until(limit), func() { _ = c.Close() }).Stop() // it stops its work then
	whole := e.stream(c, q, id)
	if end := began.Add(longStream); !whole && e.keeps && end.Before(limit) {
		time.Sleep(time.Until(end)) // it goes on to its end
	} else if !whole && e.keeps {
		time.Sleep(time.Until(limit))
	}
	return whole
}

// begin notes that a request begins to run, and judges the version on which it does.
func (e *queueEngine) begin(id string, waited time.Duration, closed <-chan struct{}) {
	e.mu.Lock()
	version := e.version
	e.mu.Unlock()
	open := true
	select {
	case <-closed:
		open = false
	default:
	}
	e.record.note("%s begins %s on version %d after %d ms, connection open: %v", e.id, id, version, waited.Milliseconds(), open)
	newest, acknowledged := e.named()
	if late := time.Since(acknowledged) - versionApply; version < newest && late > 0 {
		e.record.broke("VERSION: %s began %s on version %d, %d ms after version %d was acknowledged", e.id, id, version, (late + versionApply).Milliseconds(), newest)
	}
}

// enter takes a request into a slot or the queue, or says by which status it is turned away.
func (e *queueEngine) enter(q *http.Request, w *queued) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	expected, target := q.Header.Get(hdrExpect), q.Header.Get(hdrTarget)
	switch {
	case target != "" && target != e.engine.id, expected != "" && expected != strconv.Itoa(e.version):
		return 421
	case e.ordered != 0, len(e.waiting) >= queueLength:
		return 503
	}
	e.waiting = append(e.waiting, w)
	e.admitNext()
	return 0
}

// admitNext lets those first in the queue run, as many as there are slots. Called under the lock.
func (e *queueEngine) admitNext() {
	for e.active < queueSlots && len(e.waiting) > 0 {
		w := e.waiting[0]
		e.waiting = e.waiting[1:]
		w.decided = true
		e.active++
		w.ended <- 0
	}
}

// next frees a slot.
func (e *queueEngine) next() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	e.admitNext()
}

// leave takes a request out of the queue by a status; 0 if it may run already.
func (e *queueEngine) leave(w *queued, status int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.decided {
		return <-w.ended
	}
	for i, other := range e.waiting {
		if other == w {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			break
		}
	}
	w.decided = true
	return status
}

// shed turns away all that has not begun, once an order is under way.
func (e *queueEngine) shed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ordered == 0 {
		return
	}
	for _, w := range e.waiting {
		w.decided = true
		w.ended <- 503
	}
	e.waiting = nil
}

func (e *queueEngine) startQueue(ctx context.Context, ip string) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	e.addr = l.Addr().String()
	e.shown = []shownVersion{{time.Time{}, e.version}}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				go e.serveQueue(ctx, c)
			}
		}
	}()
	return nil
}

// playQueue: new weights are named while all engines are busy with long streams and a few requests
// wait at each. As trouble, engines go on with what they have queued when a connection closes.
func playQueue(ctx context.Context, f *fleet, trouble bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := &sentBodies{bodies: map[string][]byte{}}
	var mu sync.Mutex
	newest, acknowledged := 1, time.Now()
	named := func() (int, time.Time) {
		mu.Lock()
		defer mu.Unlock()
		return newest, acknowledged
	}
	var engines []*engine
	for i := range queueEngines {
		e := &queueEngine{engine: engine{record: f.record, id: fmt.Sprintf("i-%d", i+1), service: serviceName, version: 1, sent: sent, capacity: queueSlots}, keeps: trouble && i >= queueEngines-queueKeepers-1 && i < queueEngines-1, named: named}
		if err := e.startQueue(ctx, "127.0.0.1"); err != nil {
			return err
		}
		engines = append(engines, &e.engine)
	}
	var err error
	if f.platform, err = startPlatform(ctx, "127.0.0.1", func() []*engine { return engines }); err != nil {
		return err
	}
	for range 3 {
		f.addControl()
	}
	proxies := []*node{f.addProxy(), f.addProxy()}
	if err := f.startAll(); err != nil {
		return err
	}
	settings := config(1)
	if err := f.configure(ctx, settings); err != nil {
		return err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	end := time.Now().Add(45 * time.Second)
	for i := range queueClients {
		c := newClient(f.record, sent, proxies[i%len(proxies)].frontendAddr())
		c.quiet = true
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) && ctx.Err() == nil {
				if c.tryStream(ctx, "/ticket/long", 10*time.Second) != http.StatusOK {
					time.Sleep(300 * time.Millisecond)
				}
			}
		}()
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	if err := f.nameVersion(ctx, 2); err != nil {
		return err
	}
	mu.Lock()
	newest, acknowledged = 2, time.Now()
	mu.Unlock()
	return nil
}
