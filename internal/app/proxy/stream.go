package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"

	"violetthread/internal/eventstream"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// readEvent reads one event, including the blank line that ends it, and returns its id. At the end
// of the response it returns the remaining bytes together with io.EOF.
func readEvent(br *bufio.Reader) (event []byte, id string, err error) {
	for {
		line, err := br.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return nil, "", io.ErrUnexpectedEOF
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return event, id, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return event, id, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}

// relayStream passes events on as they arrive. The head is sent with the first complete event, so
// that a stream that breaks before that can still be retried at another engine.
func (a *engineAttempt) relayStream(response *http.Response) outcome {
	if response.ContentLength != 0 && !a.awaitFirstByte() {
		return a.interrupted(reasonEngineLost)
	}
	a.resuming = a.forwarded.forward.HeadSent
	br := bufio.NewReaderSize(response.Body, 4096)
	for {
		event, id, err := readEvent(br)
		a.observeEvent(event, err)
		if err != nil && err != io.EOF {
			a.reportInvalidBody(err)
			return a.interrupted(reasonEngineLost)
		}
		if len(event) > 0 || !a.started {
			a.startStream(response)
		}
		if len(event) > 0 && !a.relayEvent(event, id) {
			return a.interrupted(reasonCallerGone)
		}
		if err == io.EOF {
			return completed
		}
	}
}

// observeEvent reports an event that a stream may not hold. It decides nothing.
func (a *engineAttempt) observeEvent(event []byte, readErr error) {
	if readErr != nil && (readErr != io.EOF || len(event) == 0) {
		return
	}
	parsed, err := eventstream.Parse(event, a.forwarded.server.adapter.ValidEventField)
	var violation eventstream.Violation
	switch {
	case errors.As(err, &violation):
		a.reportInvalid(violation)
	case a.events > 0 && parsed.ID <= a.lastID:
		a.reportInvalid(eventstream.IDNotRising)
	}
	a.lastID = parsed.ID
}

// startStream sends the head, unless the stream continues that of another engine. Only the first
// call has an effect.
func (a *engineAttempt) startStream(response *http.Response) {
	if a.started {
		return
	}
	a.responseStarted()
	if a.resuming {
		a.forwarded.server.counts.resumed.Add(1)
		return
	}
	a.writeHead(response)
}

// relayEvent passes one event on, unless the caller already has it; false if the caller is gone.
func (a *engineAttempt) relayEvent(event []byte, id string) bool {
	f := a.forwarded
	if !a.isNewEvent(id) {
		return true
	}
	if _, err := f.writer.Write(event); err != nil {
		return false
	}
	_ = http.NewResponseController(f.writer).Flush()
	a.events++
	switch {
	case id != "":
		f.lastEventID = id
	case len(bytes.TrimSpace(event)) > 0 && event[0] != ':':
		f.forward.Resumable = false // without an id there is no position to resume from
	}
	return true
}

// isNewEvent reports whether an event must be passed on: after a resumption it filters out events
// that the caller already has. Events of the first engine are never filtered.
func (a *engineAttempt) isNewEvent(id string) bool {
	if !a.resuming || id == "" || a.forwarded.lastEventID == "" {
		return true
	}
	this, err1 := strconv.ParseInt(id, 10, 64)
	last, err2 := strconv.ParseInt(a.forwarded.lastEventID, 10, 64)
	return err1 != nil || err2 != nil || this > last
}
