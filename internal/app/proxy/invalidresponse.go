package proxy

import (
	"errors"
	"io"
	"net"

	"violetthread/internal/eventstream"
)

// Violations of a whole response, in addition to those of its events in package eventstream.
const (
	invalidHead      eventstream.Violation = "invalid-head"      // not the head of a response, or with ambiguous framing
	invalidBody      eventstream.Violation = "invalid-body"      // the body breaks its own framing
	unframedBody     eventstream.Violation = "unframed-body"     // the body ends with the connection, so that its end can't be checked
	foreignResponse  eventstream.Violation = "foreign-response"  // belongs to another attempt
	unsealedResponse eventstream.Violation = "unsealed-response" // a success that the engine did not mark as its own, or that it encoded
	invalidNotRun    eventstream.Violation = "invalid-not-run"   // says that the request did not run, with a status that can't say so
	notAStream       eventstream.Violation = "not-a-stream"      // a success of another type where a stream is due
)

// What became of a request that got an invalid response.
const (
	resultComplete = "complete" // the caller has a complete response
	resultCut      = "cut"      // the response that the caller had begun to get was cut off
	resultLost     = "lost"     // the caller was told that the request may have run
	resultRejected = "rejected" // the caller was told that the request did not run
)

// invalidResponse counts and logs a response that broke the protocol between proxy and engines, and
// returns the outcome of its attempt.
func (a *engineAttempt) invalidResponse(violation eventstream.Violation) outcome {
	a.reportInvalid(violation)
	return a.interrupted(reasonEngineMalformed)
}

// reportInvalid counts and logs the first violation of an attempt.
func (a *engineAttempt) reportInvalid(violation eventstream.Violation) {
	if a.violation != "" {
		return
	}
	a.violation = violation
	f := a.forwarded
	f.invalidResponses++
	f.server.counts.invalidResponses.WithLabelValues(string(violation)).Inc()
	f.server.daemon.Log.Info("response_invalid", "request", f.info.AttemptID, "engine", a.choice.Engine.ID, "violation", string(violation),
		"events", a.events, "reused", a.conn.used > 0)
}

// reportInvalidBody reports a body that could not be read to its end, if its framing is the reason.
func (a *engineAttempt) reportInvalidBody(err error) {
	if !isConnectionError(err) {
		a.reportInvalid(invalidBody)
	}
}

// logInvalidResult logs what became of a request that got an invalid response.
func (f *forwardedRequest) logInvalidResult(result string) {
	if f.invalidResponses == 0 {
		return
	}
	f.server.daemon.Log.Info("response_invalid_result", "request", f.info.AttemptID, "result", result, "attempts", len(f.forward.Attempts))
}

// isConnectionError reports whether a read failed because the connection broke or its deadline
// passed, and not because of what was read.
func isConnectionError(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &network)
}
