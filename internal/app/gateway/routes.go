package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"

	"violetthread/internal/callerapi"
	"violetthread/internal/clock"
	"violetthread/internal/daemon"
	"violetthread/internal/limits"
	"violetthread/plan"
)

// Headers of plain calls that may run at most once.
const (
	headerRequestID  = "X-Ticket-Id"
	headerGeneration = "X-Ticket-Era"
)

// hopHeaders are not forwarded: the hop-by-hop headers, which apply to one connection only, the
// caller's key, and the content length, which is set anew.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "Content-Length"}

// serveRoute forwards a plain call to an application back end. A call that failed is retried
// at most once, and only if its method is safe or nothing of it was sent. A call with an
// unsafe method and an id is claimed first, so that it runs at most once.
func (g *gateway) serveRoute(w http.ResponseWriter, r *http.Request) {
	from, rejected := g.authenticate(r)
	if rejected != nil {
		g.reject(w, *rejected)
		return
	}
	route, found := from.plan.RouteFor(r.URL.Path)
	if !found {
		daemon.WriteJSON(w, http.StatusNotFound, daemon.ErrorResponse{Reason: "no-entry", Remedy: "the plan has no entry for this path; check the path, or have an operator add it"})
		return
	}
	g.plainCalls.Add(1)
	defer g.plainCalls.Add(-1)
	body, err := limits.ReadBody(w, r, maxBodyBytes, plainCopies)
	if errors.Is(err, limits.ErrOverloaded) {
		g.reject(w, overloaded)
		return
	}
	if err != nil {
		g.reject(w, rejection{http.StatusRequestEntityTooLarge, callerapi.ReasonTooLarge, 0})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), clock.Duration(route.TimeoutUS))
	defer cancel()
	if id := r.Header.Get(headerRequestID); id != "" && !isSafe(r.Method) {
		if !g.claimRoute(ctx, w, r, from.group, id) {
			return
		}
	}
	g.forwardPlain(ctx, w, r, from.plan, route, body)
}

// isSafe reports whether a method is safe, so that a call may be sent twice.
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// claimRoute acquires the claim of a plain call with an id, and reports whether the call may
// proceed. If not, it has responded to the caller.
func (g *gateway) claimRoute(ctx context.Context, w http.ResponseWriter, r *http.Request, group, id string) bool {
	generation, _ := strconv.ParseUint(r.Header.Get(headerGeneration), 10, 64)
	if reason := g.checkGeneration(generation); reason != "" {
		g.reject(w, *badRequest(reason))
		return false
	}
	switch reason := g.claimPlain(ctx, generation, group, id); reason {
	case "":
		return true
	case callerapi.ReasonDuplicate, callerapi.ReasonGenerationClosed:
		daemon.WriteJSON(w, http.StatusConflict, callerapi.Frame{Frame: callerapi.FrameUnknown, RequestID: id, Reason: reason, Remedy: callerapi.Remedy(reason)})
	default:
		g.reject(w, rejection{http.StatusServiceUnavailable, reason, transientRetryAfterUS})
	}
	return false
}

// forwardPlain sends a plain call and the response to it. It retries once if the call may be
// repeated and the retry budget allows it.
func (g *gateway) forwardPlain(ctx context.Context, w http.ResponseWriter, r *http.Request, compiled *plan.Compiled, route plan.Route, body []byte) {
	g.mu.Lock()
	g.plainRetryBudget.Permille = compiled.Limits.RetryPermille
	g.plainRetryBudget.CountRequest()
	g.mu.Unlock()
	for attempt := 0; ; attempt++ {
		response, sent, err := g.sendPlain(ctx, r, route, body)
		repeatable := isSafe(r.Method) || !sent
		switch {
		case err == nil:
			copyResponse(w, response)
			return
		case repeatable && attempt == 0 && ctx.Err() == nil && g.spendPlainRetry():
			continue
		case sent:
			reason := callerapi.ReasonBackendLost
			daemon.WriteJSON(w, http.StatusBadGateway, callerapi.Frame{Frame: callerapi.FrameUnknown, Reason: reason, Remedy: callerapi.Remedy(reason)})
			return
		default:
			g.reject(w, rejection{http.StatusServiceUnavailable, callerapi.ReasonBackendUnreachable, transientRetryAfterUS})
			return
		}
	}
}

// spendPlainRetry takes a retry from the retry budget of plain calls, and reports whether there
// was one.
func (g *gateway) spendPlainRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.plainRetryBudget.Allows() {
		return false
	}
	g.plainRetryBudget.CountRetry()
	return true
}

// sendPlain sends a plain call once. sent reports whether the back end may have received any of
// it, which is possible even without a response.
func (g *gateway) sendPlain(ctx context.Context, r *http.Request, route plan.Route, body []byte) (response *http.Response, sent bool, err error) {
	var connected atomic.Bool
	request, err := newTracedRequest(ctx, r.Method, "http://"+route.Backend+r.URL.RequestURI(), body, &connected)
	if err != nil {
		return nil, false, err
	}
	if len(body) == 0 {
		request.Body = http.NoBody
	}
	copyHeaders(request.Header, r.Header)
	response, err = g.backends.Do(request)
	return response, connected.Load(), err
}

// copyHeaders copies all headers except hopHeaders.
func copyHeaders(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopHeaders, http.CanonicalHeaderKey(name)) {
			to[name] = values
		}
	}
}

// copyResponse forwards a back end's response. If the response is cut off, the caller's
// connection is aborted, so that the caller can't mistake the response for a complete one.
func copyResponse(w http.ResponseWriter, response *http.Response) {
	defer response.Body.Close()
	copyHeaders(w.Header(), response.Header)
	if response.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	w.WriteHeader(response.StatusCode)
	if _, err := io.Copy(w, response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
