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
	maxStaleResponses     = 2        // responses to earlier requests that are discarded before the expected one
	maxStaleResponseBytes = 1 << 20  // longest body of such a response
	notRunBodyBytes       = 64 << 10 // longest body of a rejection
	notRunBodyUS          = 50_000   // and the longest time to read it: the caller is waiting for another engine
)

// readHead reads the head of the response to this attempt. On a reused connection, responses to
// earlier requests may come first; they are discarded. If the response is nil, the outcome says
// why.
func (a *engineAttempt) readHead() (*http.Response, ResponseInfo, outcome) {
	for stale := 0; ; {
		response, err := a.conn.readHead(a.forwarded.request)
		if err != nil && a.mayKeepWaiting(err) {
			continue
		}
		if err != nil {
			if !isConnectionError(err) {
				a.reportInvalid(invalidHead)
			}
			a.recordIdleLoss(err)
			return nil, ResponseInfo{}, a.interrupted(reasonEngineLost)
		}
		if response.StatusCode < http.StatusOK {
			continue // interim response
		}
		info := a.forwarded.server.adapter.ParseResponse(response.StatusCode, response.Header)
		if a.matches(info, stale) {
			return response, info, outcome{}
		}
		if a.conn.used == 0 || info.AttemptID == "" || stale == maxStaleResponses || response.Close {
			return nil, ResponseInfo{}, a.invalidResponse(foreignResponse)
		}
		if !discard(response.Body, maxStaleResponseBytes) {
			return nil, ResponseInfo{}, a.invalidResponse(foreignResponse)
		}
		stale++
	}
}

// recordIdleLoss records that a reused connection broke before the engine responded: the engine had
// probably closed it while it was idle.
func (a *engineAttempt) recordIdleLoss(err error) {
	closed := errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	if closed && a.conn.used > 0 && a.forwarded.request.Context().Err() == nil {
		a.forwarded.server.pool.recordIdleLoss(a.choice.Engine.Pool, a.conn)
	}
}

// matches reports whether a response belongs to this attempt. One without an attempt id is accepted
// only as a rejection, and only as the first response on a new connection.
func (a *engineAttempt) matches(info ResponseInfo, stale int) bool {
	if info.AttemptID == "" {
		return info.NotRun && stale == 0 && a.conn.used == 0
	}
	return info.AttemptID == a.forwarded.info.AttemptID
}

// engineNotRunStatuses are the statuses with which an engine may say that it did not run a request.
var engineNotRunStatuses = map[int]bool{
	http.StatusBadRequest:         true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// notRun handles a response that says that the engine did not run the request. It returns the
// response if its body was read to the end.
func (a *engineAttempt) notRun(response *http.Response) (outcome, *http.Response) {
	if !engineNotRunStatuses[response.StatusCode] {
		return a.invalidResponse(invalidNotRun), nil
	}
	end := outcome{attempt.NotStarted, causeNotRun}
	if response.StatusCode == http.StatusMisdirectedRequest {
		end.cause = causeMisdirected
	}
	_ = a.conn.SetReadDeadline(time.Now().Add(clock.Duration(notRunBodyUS)))
	if !discard(response.Body, notRunBodyBytes) {
		return end, nil
	}
	return end, response
}

// discard reads a body to its end; false if it breaks off or is longer than limit.
func discard(body io.Reader, limit int64) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	return err == nil && n <= limit
}

// callerNotRunStatuses are the statuses that tell a caller that its request never ran.
var callerNotRunStatuses = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// rejectReason returns why a response may not be passed on to the caller; empty if it may.
func rejectReason(response *http.Response, info ResponseInfo) string {
	switch {
	case response.StatusCode < 300 && (!info.HasSuccessStamp || response.Header.Get("Content-Encoding") != ""):
		// A success that the engine has not marked as its own, or with a content encoding that was
		// not requested.
		return reasonEngineMalformed
	case callerNotRunStatuses[response.StatusCode]:
		// Passed on, this status would tell the caller that the request never ran. Only a response
		// with the engine's not-run marker proves that, and those were handled before.
		return reasonEngineFailed
	}
	return ""
}
