package proxy

import (
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"violetthread/attempt"
	"violetthread/internal/clock"
)

const (
	maxStrayAnswers = 2        // answers to former requests that are discarded before the right one
	maxStrayBytes   = 1 << 20  // how long such an answer may be
	notRunBodyBytes = 64 << 10 // how long the body of a rejection may be
	notRunBodyUS    = 50_000   // and how long it may take: the caller waits for another engine
)

// readHead reads the head of the answer to this very attempt. An answer to a former one
// may come in its place, on a connection that was used before. Without an answer the
// outcome says why.
func (a *engineAttempt) readHead() (*http.Response, ResponseInfo, outcome) {
	for stray := 0; ; {
		answer, err := a.conn.readHead(a.forwarded.request)
		if err != nil && a.mayWaitOn(err) {
			continue
		}
		if err != nil {
			a.recordIdleLoss(err)
			return nil, ResponseInfo{}, a.interrupted(reasonEngineLost)
		}
		if answer.StatusCode < http.StatusOK {
			continue // an interim answer
		}
		info := a.forwarded.server.adapter.ParseResponse(answer.StatusCode, answer.Header)
		if a.matches(info, stray) {
			return answer, info, outcome{}
		}
		if a.conn.used == 0 || info.AttemptID == "" || stray == maxStrayAnswers || answer.Close {
			return nil, ResponseInfo{}, a.interrupted(reasonEngineMalformed)
		}
		if !discard(answer.Body, maxStrayBytes) {
			return nil, ResponseInfo{}, a.interrupted(reasonEngineMalformed)
		}
		stray++
	}
}

// recordIdleLoss takes in that a connection of the pool broke before its engine said anything:
// the engine may have forgotten it.
func (a *engineAttempt) recordIdleLoss(err error) {
	closed := errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	if closed && a.conn.used > 0 && a.forwarded.request.Context().Err() == nil {
		a.forwarded.server.pool.lost(a.choice.Engine.Pool, a.conn)
	}
}

// matches reports whether an answer belongs to this attempt. One without an attempt id is
// accepted only as a rejection, and only as the first answer on a new connection.
func (a *engineAttempt) matches(info ResponseInfo, stray int) bool {
	if info.AttemptID == "" {
		return info.NotRun && stray == 0 && a.conn.used == 0
	}
	return info.AttemptID == a.forwarded.info.AttemptID
}

// notRunStatuses are the statuses by which an engine says that it did not run a request.
var notRunStatuses = map[int]bool{
	http.StatusBadRequest:         true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// notRun deals with an answer by which the engine says that it did not run the request. It
// returns the answer if that was read to its end.
func (a *engineAttempt) notRun(answer *http.Response) (outcome, *http.Response) {
	if !notRunStatuses[answer.StatusCode] {
		return a.interrupted(reasonEngineMalformed), nil
	}
	end := outcome{attempt.NotStarted, causeNotRun}
	if answer.StatusCode == http.StatusMisdirectedRequest {
		end.cause = causeMisdirected
	}
	_ = a.conn.SetReadDeadline(time.Now().Add(clock.Duration(notRunBodyUS)))
	if !discard(answer.Body, notRunBodyBytes) {
		return end, nil
	}
	return end, answer
}

// discard reads a body to its end; false if it breaks off or is longer than limit.
func discard(body io.Reader, limit int64) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	return err == nil && n <= limit
}

// promisesNotRun are the statuses by which a caller is told that its request never ran.
var promisesNotRun = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// rejectAnswer says why an answer may not reach the caller; it is empty if it may.
func rejectAnswer(answer *http.Response, info ResponseInfo) string {
	switch {
	case answer.StatusCode < 300 && (!info.HasSuccessStamp || answer.Header.Get("Content-Encoding") != ""):
		// A success without the engine's own stamp, or in an encoding nobody asked for.
		return reasonEngineMalformed
	case promisesNotRun[answer.StatusCode]:
		// Passed on it would promise that the request never ran, which only an
		// engine's own answer of that kind shows.
		return reasonEngineFailed
	}
	return ""
}
