package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/internal/engineapi"
	"violetthread/internal/taskgroup"
)

const (
	maxRunBytes        = 16 << 20 // bytes of a run request's body
	slowAverageDivisor = 8        // the newest time has a weight of 1/8 in the moving average
)

// serveRun simulates one run and streams its frames. The run ends early when the client
// disconnects.
func (e *engine) serveRun(w http.ResponseWriter, request *http.Request) {
	var run engineapi.RunRequest
	request.Body = http.MaxBytesReader(w, request.Body, maxRunBytes)
	if !decodeBody(w, request, &run) {
		return
	}
	index, rejected := e.startRun(run)
	if rejected != nil {
		rejected.write(w)
		return
	}
	defer e.endRun()
	began := clock.Now()
	w.Header().Set("Content-Type", "application/x-ndjson")
	stream := &frameStream{ctx: request.Context(), writer: w, encoder: json.NewEncoder(w)}
	if !stream.send(engineapi.RunFrame{Began: true}) || !e.prefill(stream.ctx, run, index) {
		return
	}
	pieces := pieceCount(run.Kind)
	for i := range pieces {
		if !taskgroup.Sleep(stream.ctx, e.settings.PieceUS) {
			return
		}
		if i == 0 {
			e.recordFirstPieceTime(clock.Now() - began)
		}
		if !stream.send(pieceFrame(run.Attempt, i)) {
			return
		}
	}
	e.mu.Lock()
	e.observed.Runs[index].Completed = true
	e.mu.Unlock()
	stream.send(engineapi.RunFrame{Done: true, Pieces: pieces})
}

// startRun registers a run and returns the index of its entry in e.observed.Runs, or the
// reason for rejecting it.
func (e *engine) startRun(run engineapi.RunRequest) (index int, rejected *rejection) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.settings.Store:
		return 0, &rejectStore
	case run.NodeID != cacheindex.NodeID(e.settings.Name, e.incarnation):
		return 0, &rejectOtherIncarnation
	case run.FencingToken < e.fencingToken:
		e.observeStaleToken("run "+run.Attempt, run.FencingToken)
		return 0, &rejectOldToken
	case run.Weights != e.weights || e.nextWeights != "":
		return 0, &rejectOtherWeights
	case e.running >= e.settings.Capacity:
		return 0, &rejectBusy
	}
	e.fencingToken = run.FencingToken
	e.running++
	e.observed.Runs = append(e.observed.Runs, ObservedRun{
		Group:     run.Group,
		RequestID: run.RequestID,
		Kind:      run.Kind,
		Attempt:   run.Attempt,
		Weights:   run.Weights,
	})
	return len(e.observed.Runs) - 1, nil
}

func (e *engine) endRun() {
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
}

// prefill brings all blocks of a run's prompt into the cache: cached ones are reused, some may
// be transferred from a peer, and the others are recomputed. It returns false if the client
// disconnects.
func (e *engine) prefill(ctx context.Context, run engineapi.RunRequest, index int) bool {
	reused, transferred := e.cachedPrefix(run), 0
	if run.Transfer != nil && run.Transfer.Block+1 > reused {
		if fetched := e.fetchBlocks(ctx, run, reused); fetched > reused {
			transferred, reused = fetched-reused, fetched
		}
	}
	recomputed := len(run.Blocks) - reused
	if !taskgroup.Sleep(ctx, int64(recomputed)*e.settings.RecomputeUS) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range run.Blocks {
		e.cache(name, run.Domain, run.Weights)
	}
	observed := &e.observed.Runs[index]
	observed.Blocks, observed.Reused, observed.Transferred = len(run.Blocks), reused, transferred
	e.appendEvent(engineapi.Event{Op: opRunEnded, Attempt: run.Attempt, RecomputedBlocks: uint64(recomputed)})
	return true
}

func (e *engine) recordFirstPieceTime(us int64) {
	e.mu.Lock()
	e.slowUS += (us - e.slowUS) / slowAverageDivisor
	e.mu.Unlock()
}

// pieceFrame returns a frame whose text names the attempt and the piece's number, so that a
// client can detect a response that mixes pieces of two runs.
func pieceFrame(attempt string, number int) engineapi.RunFrame {
	text := attempt + "#" + strconv.Itoa(number)
	return engineapi.RunFrame{Piece: &text}
}

// frameStream writes the frames of one response, one JSON object per line.
type frameStream struct {
	ctx     context.Context
	writer  http.ResponseWriter
	encoder *json.Encoder
}

// send writes and flushes a frame. It returns false if the client has disconnected.
func (s *frameStream) send(frame engineapi.RunFrame) bool {
	err := s.encoder.Encode(frame)
	s.writer.(http.Flusher).Flush()
	return err == nil && s.ctx.Err() == nil
}
