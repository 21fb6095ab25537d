package proxy

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"violetthread/attempt"
	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/placement"
)

const (
	// bufferedAnswerBytes is the size up to which an answer that is no stream is read to its
	// end before any of it goes out.
	bufferedAnswerBytes = 256 << 10

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

// relayPlain passes an answer on that is no stream.
func (a *engineAttempt) relayPlain(answer *http.Response) outcome {
	f := a.forwarded
	a.setLimit(clock.Now(), a.answerLimit())
	var buffered bytes.Buffer
	if _, err := io.Copy(&buffered, io.LimitReader(answer.Body, bufferedAnswerBytes)); err != nil {
		return a.interrupted(reasonEngineLost)
	}
	if answer.StatusCode >= 500 && a.mayRunElsewhere() {
		return a.interrupted(reasonEngineFailed)
	}
	complete := buffered.Len() < bufferedAnswerBytes
	a.responseStarted()
	a.setLength(answer, buffered.Len(), complete)
	a.writeHead(answer)
	if _, err := f.writer.Write(buffered.Bytes()); err != nil {
		return a.interrupted(reasonCallerGone)
	}
	if !complete {
		if _, err := io.Copy(f.writer, answer.Body); err != nil {
			return a.interrupted(reasonEngineLost)
		}
	}
	return completed
}

// mayRunElsewhere reports whether the request would get another attempt if this one
// counted as interrupted.
func (a *engineAttempt) mayRunElsewhere() bool {
	f, now := a.forwarded, clock.Now()
	if !f.forward.Repeatable || now >= f.deadline {
		return false
	}
	trial := f.forward
	trial.Attempts = append([]attempt.Attempt(nil), trial.Attempts...)
	trial.Record(a.id, attempt.Interrupted, reasonEngineFailed)
	conditions := f.conditions(now)
	conditions.TimeLeft = true
	return trial.Next(conditions).Action == attempt.ForwardSend
}

// setLength tells the length of an answer that is no stream, if it is known.
func (a *engineAttempt) setLength(answer *http.Response, read int, complete bool) {
	if a.forwarded.request.Method == http.MethodHead {
		return
	}
	length := answer.ContentLength
	if length < 0 && complete {
		length = int64(read)
	}
	if length >= 0 {
		a.forwarded.writer.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

// writeHead sends the answer's status and headers on.
func (a *engineAttempt) writeHead(answer *http.Response) {
	f := a.forwarded
	h := f.writer.Header()
	for name, values := range answer.Header {
		if !hopByHop[name] {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // the library would guess
	}
	if f.server.daemon.Stopping() {
		h.Set("Connection", "close")
	}
	left := max(0, f.deadline-clock.Now()) + lateWriteUS
	_ = http.NewResponseController(f.writer).SetWriteDeadline(time.Now().Add(clock.Duration(left)))
	f.forward.HeadSent = true
	f.writer.WriteHeader(answer.StatusCode)
}

// responseStarted takes in that the engine answers with content: what it read of the prompt is
// cached there now. The hints say so at once; the engine's own cache events come later
// (docs/design.md §7).
func (a *engineAttempt) responseStarted() {
	s := a.forwarded.server
	a.began = true
	now := clock.Now()
	s.decisions.observe(now, a.choice)
	a.checkVersionAge(now)
	s.mu.Lock()
	s.picker.ResponseStarted(now, a.choice)
	s.reportReads(cacheindex.OpAdd, a.choice.Engine.ID, a.choice.NewBlocks)
	s.loadChanged()
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
