package proxy

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"violetthread/attempt"
	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/internal/limits"
	"violetthread/placement"
	"violetthread/route"
)

const (
	// bufferedResponseBytes is the size up to which a non-streaming response is read to its end
	// before any of it is passed on.
	bufferedResponseBytes  = 256 << 10
	minResponseBufferBytes = 4 << 10 // first allocation for it

	// writeGraceUS is how long after its deadline a caller may still read the response.
	writeGraceUS = 2_000_000
)

// relay passes a response on to the caller.
func (a *engineAttempt) relay(response *http.Response) outcome {
	f := a.forwarded
	stream := isEventStream(response)
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.StatusCode == http.StatusNoContent
	switch {
	case !framed: // without framing, a truncated response would look complete
		return a.invalidResponse(unframedBody)
	case stream:
		return a.relayStream(response)
	case f.forward.HeadSent: // only a stream can continue a stream
		return a.invalidResponse(notAStream)
	case f.route.Semantics == route.EventStream && response.StatusCode < http.StatusMultipleChoices:
		return a.invalidResponse(notAStream)
	}
	return a.relayNonStream(response)
}

// relayNonStream passes on a response that is not a stream.
func (a *engineAttempt) relayNonStream(response *http.Response) outcome {
	f := a.forwarded
	a.setConnDeadline(clock.Now(), a.responseDeadline())
	buffered, complete, err := a.bufferResponse(response.Body)
	if err != nil {
		a.reportInvalidBody(err)
		return a.interrupted(reasonEngineLost)
	}
	if response.StatusCode >= 500 && a.mayRetryElsewhere() {
		return a.interrupted(reasonEngineFailed)
	}
	a.responseStarted()
	a.setLength(response, len(buffered), complete)
	a.writeHead(response)
	if _, err := f.writer.Write(buffered); err != nil {
		return a.interrupted(reasonCallerGone)
	}
	if !complete {
		if _, err := io.Copy(f.writer, response.Body); err != nil {
			return a.interrupted(reasonEngineLost)
		}
	}
	return completed
}

// bufferResponse reads the start of a response: bufferedResponseBytes, or less if there is no memory for
// more. complete says that this is the whole response.
func (a *engineAttempt) bufferResponse(body io.Reader) (buffered []byte, complete bool, err error) {
	buffered = make([]byte, 0, minResponseBufferBytes)
	for len(buffered) < bufferedResponseBytes {
		if len(buffered) == cap(buffered) {
			size := min(2*cap(buffered), bufferedResponseBytes)
			if size > limits.Allowance && !a.forwarded.conn.Reserve(int64(size)) {
				return buffered, false, nil
			}
			buffered = slices.Grow(buffered, size-len(buffered))
		}
		n, err := body.Read(buffered[len(buffered):min(cap(buffered), bufferedResponseBytes)])
		buffered = buffered[:len(buffered)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffered, true, nil
		case err != nil:
			return nil, false, err
		}
	}
	return buffered, false, nil
}

// mayRetryElsewhere reports whether the request would get another attempt if this one counted as
// interrupted.
func (a *engineAttempt) mayRetryElsewhere() bool {
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

// setLength sets the Content-Length of a non-streaming response, if it is known.
func (a *engineAttempt) setLength(response *http.Response, read int, complete bool) {
	if a.forwarded.request.Method == http.MethodHead {
		return
	}
	length := response.ContentLength
	if length < 0 && complete {
		length = int64(read)
	}
	if length >= 0 {
		a.forwarded.writer.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

// writeHead passes on the response's status and headers.
func (a *engineAttempt) writeHead(response *http.Response) {
	f := a.forwarded
	h := f.writer.Header()
	for name, values := range response.Header {
		if !hopByHop[name] {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // otherwise net/http would guess one
	}
	if f.server.daemon.Stopping() {
		h.Set("Connection", "close")
	}
	left := max(0, f.deadline-clock.Now()) + writeGraceUS
	_ = http.NewResponseController(f.writer).SetWriteDeadline(time.Now().Add(clock.Duration(left)))
	f.forward.HeadSent = true
	f.writer.WriteHeader(response.StatusCode)
}

// responseStarted records that the engine has started the content of its response: the prompt's
// blocks are cached there now. The hints are updated at once, since the engine's own cache events
// arrive later (docs/design.md §7).
func (a *engineAttempt) responseStarted() {
	s := a.forwarded.server
	a.started = true
	now := clock.Now()
	s.decisions.observe(now, a.choice)
	a.checkVersionAge(now)
	s.mu.Lock()
	s.picker.ResponseStarted(now, a.choice)
	s.queueCacheUpdates(cacheindex.OpAdd, a.choice.Engine.ID, a.choice.NewBlocks)
	s.loadChanged()
	s.mu.Unlock()
	engine := placement.EngineHolderID(a.choice.Engine.ID)
	s.hintsMu.Lock()
	defer s.hintsMu.Unlock()
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
