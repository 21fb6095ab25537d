package proxy

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"

	"violetthread/internal/eventstream"
	"violetthread/internal/limits"
)

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// streamPosition is how far the caller has got in a stream; the zero value is the start.
type streamPosition struct {
	lastID uint64 // of the last event that the caller has
	known  bool   // the caller has an event
}

// parsePosition parses the id of the last event that a caller says it has. The position is the start
// if the id is not a plain decimal number, which no event can have.
func parsePosition(id string) streamPosition {
	lastID, err := strconv.ParseUint(id, 10, 63)
	if err != nil || strconv.FormatUint(lastID, 10) != id {
		return streamPosition{}
	}
	return streamPosition{lastID: lastID, known: true}
}

// lastEventID returns the id after which an engine continues the stream; empty at the start.
func (p streamPosition) lastEventID() string {
	if !p.known {
		return ""
	}
	return strconv.FormatUint(p.lastID, 10)
}

// passed reports whether the caller already has an event.
func (p streamPosition) passed(event eventstream.Event) bool {
	return p.known && event.ID <= p.lastID
}

// isEventStream reports whether a response is a stream of events.
func isEventStream(response *http.Response) bool {
	types := response.Header.Values("Content-Type")
	if response.StatusCode != http.StatusOK || len(types) != 1 {
		return false
	}
	mediaType, _, err := mime.ParseMediaType(types[0])
	return err == nil && mediaType == eventStreamType
}

// relayStream passes events on as they arrive, each once it is complete and valid. The head is sent
// with the first event, so that a stream that breaks before that can still be retried at another
// engine.
func (a *engineAttempt) relayStream(response *http.Response) outcome {
	if response.ContentLength != 0 && !a.awaitFirstByte() {
		return a.interrupted(reasonEngineLost)
	}
	a.resuming = a.forwarded.forward.HeadSent
	events := eventstream.NewReader(response.Body, a.forwarded.server.adapter.ValidEventField)
	events.Reserve = func(bytes int) error {
		if !a.forwarded.conn.Reserve(int64(bytes)) {
			return limits.ErrOverloaded
		}
		return nil
	}
	for {
		event, err := events.Next()
		if err != nil {
			return a.streamEnded(response, err)
		}
		if a.forwarded.position.passed(event) {
			continue
		}
		a.startStream(response)
		if !a.relayEvent(event) {
			return a.interrupted(reasonCallerGone)
		}
	}
}

// streamEnded returns the outcome of a stream whose next event could not be read because of err,
// which is io.EOF if the engine ended the stream in order.
func (a *engineAttempt) streamEnded(response *http.Response, err error) outcome {
	var violation eventstream.Violation
	switch {
	case errors.As(err, &violation):
		return a.invalidResponse(violation)
	case errors.Is(err, limits.ErrOverloaded):
		a.forwarded.forward.StopReason = reasonOverloaded
		return a.interrupted(reasonOverloaded)
	case !errors.Is(err, io.EOF):
		a.reportInvalidBody(err)
		return a.interrupted(reasonEngineLost)
	case !a.started && !a.forwarded.mayHaveAllEvents():
		return a.invalidResponse(eventstream.EmptyStream)
	}
	a.startStream(response)
	return completed
}

// mayHaveAllEvents reports whether the caller may already have every event of the stream, so that an
// engine has none to add.
func (f *forwardedRequest) mayHaveAllEvents() bool {
	return f.position.known || f.info.LastEventID != ""
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

// relayEvent passes one event on; false if the caller is gone.
func (a *engineAttempt) relayEvent(event eventstream.Event) bool {
	f := a.forwarded
	if _, err := f.writer.Write(event.Raw); err != nil {
		return false
	}
	_ = http.NewResponseController(f.writer).Flush()
	f.position = streamPosition{lastID: event.ID, known: true}
	a.events++
	return true
}
