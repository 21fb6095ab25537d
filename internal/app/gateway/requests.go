package gateway

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"violetthread/cacheindex"
	"violetthread/dispatch"
	"violetthread/internal/callerapi"
	"violetthread/internal/clock"
	"violetthread/internal/daemon"
	"violetthread/internal/limits"
)

const (
	maxBodyBytes = 4 << 20
	maxIDBytes   = 128
	// requestCopies is how often the content of a request is held: as it was received, decoded, and
	// encoded for an engine.
	requestCopies = 4
	// plainCopies is how often the body of a plain call is held.
	plainCopies = 2
	// writeGraceUS is how long after the deadline of a request its response may still be
	// written to a slow caller, in microseconds.
	writeGraceUS = 2_000_000
)

// serveRequest serves POST /v1/tickets.
func (g *gateway) serveRequest(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		daemon.WriteJSON(w, http.StatusMethodNotAllowed, daemon.ErrorResponse{Reason: "no-such-method", Remedy: "use POST"})
		return
	}
	arrived := clock.Now()
	from, rejected := g.authenticate(r)
	if rejected != nil {
		g.reject(w, *rejected)
		return
	}
	body, rejected := g.readRequest(w, r, from)
	if rejected != nil {
		g.reject(w, *rejected)
		return
	}
	request := g.newRequest(body, from, arrived)
	c := newCall(w, request.Ref)
	if rejected := g.admit(w, c, request, body.DueUS); rejected != nil {
		g.reject(w, *rejected)
		return
	}
	g.awaitFinish(r.Context(), c, request.ID)
}

// admit passes a request to the dispatcher and writes the frame that says it was accepted. An
// attempt that the dispatcher starts at once can't write before that frame, because admit
// holds the call's lock.
func (g *gateway) admit(w http.ResponseWriter, c *call, request dispatch.Request, dueUS int64) *rejection {
	c.mu.Lock()
	defer c.mu.Unlock()
	var refused *dispatch.Rejection
	g.step(func(now int64) []dispatch.Action {
		g.calls[c.ref] = c
		actions, rejected := g.dispatcher.Admit(now, request)
		if refused = rejected; refused != nil {
			delete(g.calls, c.ref)
		}
		return actions
	})
	if refused != nil {
		return &rejection{statusOf(refused.Reason), refused.Reason, refused.RetryAfterUS}
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(clock.Duration(dueUS + writeGraceUS)))
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.Header().Set("X-Ticket-Id", request.ID)
	accepted := callerapi.Frame{Frame: callerapi.FrameAccepted, RequestID: request.ID, Node: g.settings.Name, Generation: g.generation.Load()}
	c.writeFrameLocked(accepted, false)
	return nil
}

// awaitFinish waits for the end of a request and writes its last frame. At most one last frame
// is ever written, and a response without one is recognizably incomplete.
func (g *gateway) awaitFinish(ctx context.Context, c *call, id string) {
	select {
	case <-c.done:
	case <-ctx.Done():
		g.step(func(now int64) []dispatch.Action {
			return g.dispatcher.Stop(now, c.ref, callerapi.ReasonCallerGone)
		})
		<-c.done
	}
	c.finish(id)
}

// newRequest returns a caller's request in the dispatcher's form.
func (g *gateway) newRequest(body callerapi.Request, from caller, arrived int64) dispatch.Request {
	id := body.ID
	if id == "" {
		id = g.newRequestID()
	}
	request := dispatch.Request{
		Ref:          g.lastRef.Add(1),
		ID:           id,
		IDFromCaller: body.ID != "",
		Generation:   body.Generation,
		Group:        from.group,
		Kind:         body.Kind,
		KeyDigest:    from.keyDigest,
		Deadline:     arrived + body.DueUS,
		Prompt:       body.Prompt,
		Weights:      from.plan.Weights,
		Domain:       from.plan.CacheDomain(from.group, from.plan.Weights),
	}
	request.PrefixKeys = cacheindex.PrefixKeys(request.Domain, request.Weights, request.Prompt)
	if g.settings.Index {
		request.Hints = g.table.Hints(request.PrefixKeys, dispatch.MaxHints)
	}
	return request
}

// newRequestID generates an id that is unique among all gateways and their incarnations.
func (g *gateway) newRequestID() string {
	b := binary.BigEndian.AppendUint64(nil, g.incarnation)
	b = binary.BigEndian.AppendUint32(b, uint32(g.lastRef.Add(1)))
	return "t-" + hex.EncodeToString(b)
}

// overloaded rejects a request that this process has no memory for.
var overloaded = rejection{http.StatusServiceUnavailable, callerapi.ReasonOverloaded, transientRetryAfterUS}

// readRequest reads the body of a request, checks it against the plan, and sets the default
// deadline if the caller gave none.
func (g *gateway) readRequest(w http.ResponseWriter, r *http.Request, from caller) (callerapi.Request, *rejection) {
	var request callerapi.Request
	body, err := limits.ReadBody(w, r, maxBodyBytes, requestCopies)
	switch {
	case errors.Is(err, limits.ErrOverloaded):
		return request, &overloaded
	case err != nil:
		return request, &rejection{http.StatusRequestEntityTooLarge, callerapi.ReasonTooLarge, 0}
	}
	request, err = callerapi.DecodeRequest(body)
	var unknownField *callerapi.UnknownFieldError
	switch {
	case errors.As(err, &unknownField):
		return request, badRequest(callerapi.ReasonUnknownField)
	case err != nil:
		return request, badRequest(callerapi.ReasonMalformed)
	}
	if rejected := checkRequest(&request, from); rejected != nil {
		return request, rejected
	}
	if request.ID != "" && from.plan.Kinds[request.Kind].Once {
		if reason := g.checkGeneration(request.Generation); reason != "" {
			return request, badRequest(reason)
		}
	}
	return request, nil
}

// checkRequest checks a request against the plan, and sets the default deadline if there is
// none.
func checkRequest(request *callerapi.Request, from caller) *rejection {
	kind, known := from.plan.Kinds[request.Kind]
	switch {
	case !known:
		return badRequest(callerapi.ReasonUnknownKind)
	case !from.plan.MaySend(from.group, request.Kind):
		return &rejection{http.StatusForbidden, callerapi.ReasonKindRevoked, 0}
	case len(request.ID) > maxIDBytes || strings.ContainsFunc(request.ID, unprintable):
		return badRequest(callerapi.ReasonBadID)
	case request.DueUS < 0:
		return badRequest(callerapi.ReasonDeadlinePast)
	}
	if request.DueUS == 0 {
		request.DueUS = kind.DueUS
	}
	if request.DueUS > max(kind.MaxDueUS, kind.DueUS) {
		return badRequest(callerapi.ReasonDeadlineTooFar)
	}
	return nil
}

func unprintable(c rune) bool { return c <= ' ' || c > '~' }

func badRequest(reason string) *rejection { return &rejection{http.StatusBadRequest, reason, 0} }

// newCall returns a call whose response is written to w.
func newCall(w http.ResponseWriter, ref uint64) *call {
	c := &call{ref: ref, done: make(chan struct{}), cancels: map[string]context.CancelFunc{}, encoder: json.NewEncoder(w)}
	c.encoder.SetEscapeHTML(false)
	c.flusher, _ = w.(http.Flusher)
	return c
}
