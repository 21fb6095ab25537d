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
		return a.interrupted(reasonEngineMalformed)
	case stream:
		return a.relayStream(answer)
	case a.forwarded.forward.HeadSent: // only a stream can go on with a stream
		return a.interrupted(reasonEngineMalformed)
	}
	return a.relayPlain(answer)
}

// relayStream passes events on as they arrive. The head goes out with the first whole
// event, so that an answer that breaks before it can still come from elsewhere.
func (a *engineAttempt) relayStream(answer *http.Response) outcome {
	a.resumes = a.forwarded.forward.HeadSent
	br := bufio.NewReaderSize(answer.Body, 4096)
	for {
		event, id, err := readEvent(br)
		if err != nil && err != io.EOF {
			return a.interrupted(reasonEngineLost)
		}
		if len(event) > 0 || !a.began {
			a.startStream(answer)
		}
		if len(event) > 0 && !a.relayEvent(event, id) {
			return a.interrupted(reasonCallerGone)
		}
		if err == io.EOF {
			return completed
		}
	}
}

// beginStream sends the head, unless the stream goes on behind the head of another
// engine. It does so once.
func (a *engineAttempt) startStream(answer *http.Response) {
	if a.began {
		return
	}
	a.responseStarted()
	if a.resumes {
		a.forwarded.server.counts.resumed.Add(1)
		return
	}
	a.writeHead(answer)
}

// relayEvent passes one event on, unless it went out before; false if the caller is gone.
func (a *engineAttempt) relayEvent(event []byte, id string) bool {
	p := a.forwarded
	if !a.isNewEvent(id) {
		return true
	}
	if _, err := p.writer.Write(event); err != nil {
		return false
	}
	_ = http.NewResponseController(p.writer).Flush()
	switch {
	case id != "":
		p.lastEventID = id
	case len(bytes.TrimSpace(event)) > 0 && event[0] != ':':
		p.forward.Resumable = false // nothing tells where to go on
	}
	return true
}

// fresh keeps an event from going out twice when a stream was taken up elsewhere. What
// the first engine says goes out as it is.
func (a *engineAttempt) isNewEvent(id string) bool {
	if !a.resumes || id == "" || a.forwarded.lastEventID == "" {
		return true
	}
	this, err1 := strconv.ParseInt(id, 10, 64)
	last, err2 := strconv.ParseInt(a.forwarded.lastEventID, 10, 64)
	return err1 != nil || err2 != nil || this > last
}

// relayPlain passes an answer on that is no stream.
func (a *engineAttempt) relayPlain(answer *http.Response) outcome {
	p := a.forwarded
	var start bytes.Buffer
	if _, err := io.Copy(&start, io.LimitReader(answer.Body, wholeAnswerBytes)); err != nil {
		return a.interrupted(reasonEngineLost)
	}
	if answer.StatusCode >= 500 && a.mayRunElsewhere() {
		return a.interrupted(reasonEngineFailed)
	}
	whole := start.Len() < wholeAnswerBytes
	a.responseStarted()
	a.setLength(answer, start.Len(), whole)
	a.writeHead(answer)
	if _, err := p.writer.Write(start.Bytes()); err != nil {
		return a.interrupted(reasonCallerGone)
	}
	if !whole {
		if _, err := io.Copy(p.writer, answer.Body); err != nil {
			return a.interrupted(reasonEngineLost)
		}
	}
	return completed
}

// mayRunElsewhere reports whether the request would get another attempt if this one
// counted as broken.
func (a *engineAttempt) mayRunElsewhere() bool {
	p, now := a.forwarded, clock.Now()
	if !p.forward.Repeatable || now >= p.deadline {
		return false
	}
	trial := p.forward
	trial.Attempts = append([]attempt.Attempt(nil), trial.Attempts...)
	trial.Record(a.id, attempt.Interrupted, reasonEngineFailed)
	facts := p.conditions(now)
	facts.TimeLeft = true
	return trial.Next(facts).Action == attempt.ForwardSend
}

// setLength tells the length of an answer that is no stream, if it is known.
func (a *engineAttempt) setLength(answer *http.Response, read int, whole bool) {
	if a.forwarded.request.Method == http.MethodHead {
		return
	}
	length := answer.ContentLength
	if length < 0 && whole {
		length = int64(read)
	}
	if length >= 0 {
		a.forwarded.writer.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

// writeHead sends the answer's status and headers on.
func (a *engineAttempt) writeHead(answer *http.Response) {
	p := a.forwarded
	h := p.writer.Header()
	for name, values := range answer.Header {
		if !hopByHop[name] {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // the library would guess
	}
	if p.server.daemon.Stopping() {
		h.Set("Connection", "close")
	}
	left := max(0, p.deadline-clock.Now()) + lateWriteUS
	_ = http.NewResponseController(p.writer).SetWriteDeadline(time.Now().Add(clock.Duration(left)))
	p.forward.HeadSent = true
	p.writer.WriteHeader(answer.StatusCode)
}

// begin notes that the engine answers with content: what it read of the prompt is kept
// there now, and told further at once; the engine's own word comes later (design §7).
func (a *engineAttempt) responseStarted() {
	s := a.forwarded.server
	a.began = true
	s.mu.Lock()
	s.picker.ResponseStarted(a.choice)
	s.mu.Unlock()
	engine := placement.EngineHolderID(a.choice.Engine.ID)
	s.hintMu.Lock()
	defer s.hintMu.Unlock()
	for _, key := range a.choice.BlockKeys {
		s.hints.Put(key, engine)
	}
	if a.choice.Destination == "" {
		return
	}
	store := placement.StoreHolderID(a.choice.Destination)
	for _, key := range a.choice.BlockKeys[:max(0, len(a.choice.BlockKeys)-1)] {
		s.hints.Put(key, store)
	}
}
