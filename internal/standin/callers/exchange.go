package callers

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"

	"github.com/samber/lo"

	"violetthread/client"
	"violetthread/internal/clock"
	"violetthread/internal/standin/engine"
)

// Outcomes of an answer are the names of its last frame.
const (
	outcomeDone       = "done"
	outcomeRejected   = "refused"
	outcomeUnknown    = "unknown"
	outcomeIncomplete = "" // the last frame did not come
)

// Frames that do not end an answer.
const (
	frameAccepted = "accepted"
	framePiece    = "piece"
)

// Reasons that no proxy gives.
const (
	reasonUnreachable       = "unreachable"
	reasonConnectionRefused = "nobody-there"
	reasonHungUp            = "hung-up" // the caller itself
)

const (
	patienceUS        = 10_000_000 // that a caller waits beyond the due time
	maxRejectionBytes = 1 << 16
	maxFrameBytes     = 1 << 20
)

// Result is what a caller saw of one request. Times are in microseconds.
type Result struct {
	Group, Kind, ID string
	Proxy           string // that the request was last sent to
	OnceOnly        bool
	Generation      uint64 // of claims, that the request carries
	DueUS           int64  // from its sending

	HangsUp    bool // the caller goes after the first piece
	Resent     bool // the second sending of a request
	FailedOver bool // the first proxy took nothing in

	Status       int    // of HTTP; 0 if no answer came
	Outcome      string // the last frame; empty if it did not come
	Reason       string // why it was not done
	FirstPieceUS int64
	TotalUS      int64
	Violation    string // what was wrong with the answer
}

// exchange sends a request and notes what came of it.
func (g *loadGenerator) exchange(ctx context.Context, result *Result, prompt string, began int64) {
	ctx, stop := context.WithTimeout(ctx, clock.Duration(result.DueUS+patienceUS))
	defer stop()
	caller, err := g.client(result.Proxy, CallerKey(result.Group))
	if err != nil {
		result.Violation = err.Error()
		return
	}
	response, err := caller.SendTicket(ctx, client.Ticket{Kind: result.Kind, Id: &result.ID, Era: &result.Generation, DueUs: &result.DueUS, Prompt: prompt})
	if err != nil {
		result.Reason = reasonUnreachable
		if errors.Is(err, syscall.ECONNREFUSED) {
			result.Reason = reasonConnectionRefused
		}
		return
	}
	defer response.Body.Close()
	result.Status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		g.readRejection(result, response.Body)
		return
	}
	answer := &answerReader{generator: g, result: result, began: began}
	answer.read(response.Body)
}

// readRejection reads an answer with a status other than 200, which has one frame.
func (g *loadGenerator) readRejection(result *Result, body io.Reader) {
	text, _ := io.ReadAll(io.LimitReader(body, maxRejectionBytes))
	var frame client.Frame
	if json.Unmarshal(text, &frame) != nil || frame.Frame == "" || lo.FromPtr(frame.Remedy) == "" {
		result.Violation = fmt.Sprintf("status %d without a typed reason: %.100s", result.Status, text)
	}
	result.Outcome, result.Reason = frame.Frame, lo.FromPtr(frame.Reason)
	g.observeGeneration(lo.FromPtr(frame.Era))
}

// answerReader reads the frames of one answer and checks them against docs/caller-api.md.
type answerReader struct {
	generator *loadGenerator
	result    *Result
	began     int64  // when the request was sent
	attempt   string // that the pieces name
	pieces    int    // so far
}

func (a *answerReader) read(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxFrameBytes)
	for lines.Scan() {
		if !a.readFrame(lines.Bytes()) {
			return
		}
	}
}

// readFrame is false when the caller reads no further. After the last frame it does, since
// nothing may follow it.
func (a *answerReader) readFrame(line []byte) bool {
	var frame client.Frame
	if json.Unmarshal(line, &frame) != nil {
		return a.violation("no JSON: " + string(line))
	}
	if a.result.Outcome != outcomeIncomplete {
		return a.violation("a frame after the last one: " + string(line))
	}
	switch {
	case frame.Frame == frameAccepted:
		a.generator.observeGeneration(lo.FromPtr(frame.Era))
	case frame.Frame == framePiece:
		return a.readPiece(frame)
	case frame.Last():
		a.readLast(frame)
	default:
		return a.violation("frame of no known kind: " + frame.Frame)
	}
	return true
}

// violation notes what was wrong; the caller reads no further.
func (a *answerReader) violation(text string) bool {
	a.result.Violation = text
	return false
}

// readPiece checks that pieces come in order and from one attempt: the stand-in engine names
// both in the text.
func (a *answerReader) readPiece(frame client.Frame) bool {
	if a.pieces == 0 {
		a.result.FirstPieceUS = clock.Now() - a.began
	}
	attempt, number, _ := strings.Cut(lo.FromPtr(frame.Text), "#")
	if a.attempt == "" {
		a.attempt = attempt
	}
	if attempt != a.attempt || number != fmt.Sprint(a.pieces) || lo.FromPtr(frame.N) != a.pieces {
		a.result.Violation = fmt.Sprintf("stitched: piece %d of %s after %d of %s", lo.FromPtr(frame.N), lo.FromPtr(frame.Text), a.pieces, a.attempt)
	}
	a.pieces++
	if a.result.HangsUp {
		a.result.Reason = reasonHungUp
		return false
	}
	return true
}

func (a *answerReader) readLast(frame client.Frame) {
	a.result.Outcome, a.result.Reason = frame.Frame, lo.FromPtr(frame.Reason)
	if frame.Frame != outcomeDone {
		if lo.FromPtr(frame.Remedy) == "" {
			a.result.Violation = "no remedy with " + a.result.Reason
		}
		return
	}
	if frame.Pieces == nil || *frame.Pieces != a.pieces || a.pieces != engine.PiecesByKind[a.result.Kind] {
		a.result.Violation = fmt.Sprintf("done after %d pieces", a.pieces)
	}
}
