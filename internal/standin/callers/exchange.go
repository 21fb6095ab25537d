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

// Outcomes of a request: the name of the last frame of its response.
const (
	outcomeDone       = "done"
	outcomeRejected   = "refused"
	outcomeUnknown    = "unknown"
	outcomeIncomplete = "" // the last frame was not received
)

// Frames that do not end a response.
const (
	frameAccepted = "accepted"
	framePiece    = "piece"
)

// Reasons that the caller itself sets; no proxy sends them.
const (
	reasonUnreachable       = "unreachable"
	reasonConnectionRefused = "nobody-there"
	reasonHungUp            = "hung-up" // the caller closed the connection
)

const (
	responseGraceUS   = 10_000_000 // how long a caller waits after the deadline
	maxRejectionBytes = 1 << 16
	maxFrameBytes     = 1 << 20
)

// Result is the result of one request as its caller observed it. Times are in microseconds.
type Result struct {
	Group, Kind, ID string
	Proxy           string // the proxy that the request was last sent to
	OnceOnly        bool
	Generation      uint64 // claim generation sent with the request
	DueUS           int64  // deadline, from the time of sending

	HangsUp    bool // the caller disconnects after the first piece
	Resent     bool // this is the second copy of a request that is sent twice
	FailedOver bool // sent to another proxy because the first did not accept it

	Status       int    // HTTP status; 0 if there was no response
	Outcome      string // name of the last frame; empty if it was not received
	Reason       string // why the request was not done
	FirstPieceUS int64
	TotalUS      int64
	Violation    string // how the response violated the protocol; empty if it did not
}

// exchange sends a request, reads the response and fills in the result.
func (g *loadGenerator) exchange(ctx context.Context, result *Result, prompt string, began int64) {
	ctx, stop := context.WithTimeout(ctx, clock.Duration(result.DueUS+responseGraceUS))
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
	reader := &responseReader{generator: g, result: result, began: began}
	reader.read(response.Body)
}

// readRejection reads a response with a status other than 200, which has one frame.
func (g *loadGenerator) readRejection(result *Result, body io.Reader) {
	text, _ := io.ReadAll(io.LimitReader(body, maxRejectionBytes))
	var frame client.Frame
	if json.Unmarshal(text, &frame) != nil || frame.Frame == "" || lo.FromPtr(frame.Remedy) == "" {
		result.Violation = fmt.Sprintf("status %d without a valid rejection frame: %.100s", result.Status, text)
	}
	result.Outcome, result.Reason = frame.Frame, lo.FromPtr(frame.Reason)
	g.observeGeneration(lo.FromPtr(frame.Era))
}

// responseReader reads the frames of one response and checks them against docs/caller-api.md.
type responseReader struct {
	generator *loadGenerator
	result    *Result
	began     int64  // when the request was sent
	attempt   string // attempt named by the pieces
	pieces    int    // pieces received so far
}

func (r *responseReader) read(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxFrameBytes)
	for lines.Scan() {
		if !r.readFrame(lines.Bytes()) {
			return
		}
	}
}

// readFrame checks one frame, and returns false if the caller stops reading. Reading goes on
// after the last frame to detect frames that follow it.
func (r *responseReader) readFrame(line []byte) bool {
	var frame client.Frame
	if json.Unmarshal(line, &frame) != nil {
		return r.violation("invalid JSON: " + string(line))
	}
	if r.result.Outcome != outcomeIncomplete {
		return r.violation("frame after the last one: " + string(line))
	}
	switch {
	case frame.Frame == frameAccepted:
		r.generator.observeGeneration(lo.FromPtr(frame.Era))
	case frame.Frame == framePiece:
		return r.readPiece(frame)
	case frame.Last():
		r.readLast(frame)
	default:
		return r.violation("unknown frame: " + frame.Frame)
	}
	return true
}

// violation records a protocol violation, and returns false: the caller stops reading.
func (r *responseReader) violation(text string) bool {
	r.result.Violation = text
	return false
}

// readPiece checks that the pieces are in order and all from one attempt: the text of a
// simulated engine's piece is ATTEMPT#NUMBER.
func (r *responseReader) readPiece(frame client.Frame) bool {
	if r.pieces == 0 {
		r.result.FirstPieceUS = clock.Now() - r.began
	}
	attempt, number, _ := strings.Cut(lo.FromPtr(frame.Text), "#")
	if r.attempt == "" {
		r.attempt = attempt
	}
	if attempt != r.attempt || number != fmt.Sprint(r.pieces) || lo.FromPtr(frame.N) != r.pieces {
		r.result.Violation = fmt.Sprintf("pieces of two attempts or out of order: piece %d is %s after %d pieces of %s", lo.FromPtr(frame.N), lo.FromPtr(frame.Text), r.pieces, r.attempt)
	}
	r.pieces++
	if r.result.HangsUp {
		r.result.Reason = reasonHungUp
		return false
	}
	return true
}

func (r *responseReader) readLast(frame client.Frame) {
	r.result.Outcome, r.result.Reason = frame.Frame, lo.FromPtr(frame.Reason)
	if frame.Frame != outcomeDone {
		if lo.FromPtr(frame.Remedy) == "" {
			r.result.Violation = "no remedy for " + r.result.Reason
		}
		return
	}
	if frame.Pieces == nil || *frame.Pieces != r.pieces || r.pieces != engine.PiecesByKind[r.result.Kind] {
		r.result.Violation = fmt.Sprintf("done after %d pieces", r.pieces)
	}
}
