package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"violetthread/attempt"
	"violetthread/internal/clock"
	"violetthread/placement"
)

const (
	// wholeAnswerBytes is the size up to which an answer that is no stream is read whole
	// before any of it goes out.
	wholeAnswerBytes = 256 << 10

	// lateWriteUS is how much later than its deadline a caller may still read.
	lateWriteUS = 2_000_000
)

// relay passes an answer on.
func (a *engineAttempt) relay(answer *http.Response) outcome {
	stream := strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream") && answer.StatusCode == http.StatusOK
	framed := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0 || answer.StatusCode == http.StatusNoContent
	switch {
	case !framed: // nothing would tell where it ends
		return a.broken(reasonEngineMalformed)
	case stream:
		return a.relayStream(answer)
	case a.p.ledger.HeadSent: // only a stream can go on with a stream
		return a.broken(reasonEngineMalformed)
	}
	return a.relayPlain(answer)
}

// relayStream passes events on as they arrive. The head goes out with the first whole
// event, so that an answer that breaks before it can still come from elsewhere.
func (a *engineAttempt) relayStream(answer *http.Response) outcome {
	a.resumes = a.p.ledger.HeadSent
	br := bufio.NewReaderSize(answer.Body, 4096)
	for {
		event, id, err := readEvent(br)
		if err != nil && err != io.EOF {
			return a.broken(reasonEngineLost)
		}
		if len(event) > 0 || !a.began {
			a.beginStream(answer)
		}
		if len(event) > 0 && !a.relayEvent(event, id) {
			return a.broken(reasonCallerGone)
		}
		if err == io.EOF {
			return finished
		}
	}
}

// beginStream sends the head, unless the stream goes on behind the head of another
// engine. It does so once.
func (a *engineAttempt) beginStream(answer *http.Response) {
	if a.began {
		return
	}
	a.begin()
	if a.resumes {
		a.p.c.counts.resumed.Add(1)
		return
	}
	a.writeHead(answer)
}

// relayEvent passes one event on, unless it went out before; false if the caller is gone.
func (a *engineAttempt) relayEvent(event []byte, id string) bool {
	p := a.p
	if !a.fresh(id) {
		return true
	}
	if _, err := p.w.Write(event); err != nil {
		return false
	}
	_ = http.NewResponseController(p.w).Flush()
	switch {
	case id != "":
		p.lastEvent = id
	case len(bytes.TrimSpace(event)) > 0 && event[0] != ':':
		p.ledger.Resumable = false // nothing tells where to go on
	}
	return true
}

// fresh keeps an event from going out twice when a stream was taken up elsewhere. What
// the first engine says goes out as it is.
func (a *engineAttempt) fresh(id string) bool {
	if !a.resumes || id == "" || a.p.lastEvent == "" {
		return true
	}
	this, err1 := strconv.ParseInt(id, 10, 64)
	last, err2 := strconv.ParseInt(a.p.lastEvent, 10, 64)
	return err1 != nil || err2 != nil || this > last
}

// relayPlain passes an answer on that is no stream.
func (a *engineAttempt) relayPlain(answer *http.Response) outcome {
	p := a.p
	var start bytes.Buffer
	if _, err := io.Copy(&start, io.LimitReader(answer.Body, wholeAnswerBytes)); err != nil {
		return a.broken(reasonEngineLost)
	}
	if answer.StatusCode >= 500 && a.mayRunElsewhere() {
		return a.broken(reasonEngineFailed)
	}
	whole := start.Len() < wholeAnswerBytes
	a.begin()
	a.setLength(answer, start.Len(), whole)
	a.writeHead(answer)
	if _, err := p.w.Write(start.Bytes()); err != nil {
		return a.broken(reasonCallerGone)
	}
	if !whole {
		if _, err := io.Copy(p.w, answer.Body); err != nil {
			return a.broken(reasonEngineLost)
		}
	}
	return finished
}

// mayRunElsewhere reports whether the request would get another attempt if this one
// counted as broken.
func (a *engineAttempt) mayRunElsewhere() bool {
	p, now := a.p, clock.Now()
	if !p.ledger.Repeatable || now >= p.deadline {
		return false
	}
	trial := p.ledger
	trial.Attempts = append([]attempt.Attempt(nil), trial.Attempts...)
	trial.Record(a.id, attempt.Interrupted, reasonEngineFailed)
	facts := p.facts(now)
	facts.TimeLeft = true
	return trial.Next(facts).Action == attempt.ForwardSend
}

// setLength tells the length of an answer that is no stream, if it is known.
func (a *engineAttempt) setLength(answer *http.Response, read int, whole bool) {
	if a.p.r.Method == http.MethodHead {
		return
	}
	length := answer.ContentLength
	if length < 0 && whole {
		length = int64(read)
	}
	if length >= 0 {
		a.p.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

// writeHead sends the answer's status and headers on.
func (a *engineAttempt) writeHead(answer *http.Response) {
	p := a.p
	h := p.w.Header()
	for name, values := range answer.Header {
		if !hopByHop[name] {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // the library would guess
	}
	if p.c.d.Stopping() {
		h.Set("Connection", "close")
	}
	left := max(0, p.deadline-clock.Now()) + lateWriteUS
	_ = http.NewResponseController(p.w).SetWriteDeadline(time.Now().Add(clock.Duration(left)))
	p.ledger.HeadSent = true
	p.w.WriteHeader(answer.StatusCode)
}

// begin notes that the engine answers with content: what it read of the prompt is kept
// there now, and told further at once; the engine's own word comes later (design §7).
func (a *engineAttempt) begin() {
	c := a.p.c
	a.began = true
	c.mu.Lock()
	c.pick.ResponseStarted(a.choice)
	c.mu.Unlock()
	engine := placement.EngineHolderID(a.choice.Engine.ID)
	c.hintMu.Lock()
	defer c.hintMu.Unlock()
	for _, key := range a.choice.BlockKeys {
		c.hints.Put(key, engine)
	}
	if a.choice.Destination == "" {
		return
	}
	store := placement.StoreHolderID(a.choice.Destination)
	for _, key := range a.choice.BlockKeys[:max(0, len(a.choice.BlockKeys)-1)] {
		c.hints.Put(key, store)
	}
}
