package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// readEvent reads one event with the blank line that ends it, and its id. At the end of
// the answer it returns what is left together with io.EOF.
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

// relayStream passes events on as they arrive. The head goes out with the first complete
// event, so that an answer that breaks before it can still come from elsewhere.
func (a *engineAttempt) relayStream(answer *http.Response) outcome {
	if answer.ContentLength != 0 && !a.awaitBegin() {
		return a.interrupted(reasonEngineLost)
	}
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

// startStream sends the head, unless the stream goes on behind the head of another
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
	f := a.forwarded
	if !a.isNewEvent(id) {
		return true
	}
	if _, err := f.writer.Write(event); err != nil {
		return false
	}
	_ = http.NewResponseController(f.writer).Flush()
	switch {
	case id != "":
		f.lastEventID = id
	case len(bytes.TrimSpace(event)) > 0 && event[0] != ':':
		f.forward.Resumable = false // nothing tells where to go on
	}
	return true
}

// isNewEvent keeps an event from going out twice when a stream was resumed elsewhere. What the
// first engine sends goes out as it is.
func (a *engineAttempt) isNewEvent(id string) bool {
	if !a.resumes || id == "" || a.forwarded.lastEventID == "" {
		return true
	}
	this, err1 := strconv.ParseInt(id, 10, 64)
	last, err2 := strconv.ParseInt(a.forwarded.lastEventID, 10, 64)
	return err1 != nil || err2 != nil || this > last
}
