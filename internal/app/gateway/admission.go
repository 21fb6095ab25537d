package gateway

import (
	"net/http"
	"strconv"
	"strings"

	"violetthread/dispatch"
	"violetthread/internal/callerapi"
	"violetthread/internal/clock"
	"violetthread/internal/daemon"
	"violetthread/plan"
)

// reasonStopping ends what is left when the gateway stops.
const reasonStopping = callerapi.ReasonStopping

// retrySoonUS is told to callers whom a moment's trouble kept out, in microseconds.
const retrySoonUS = 1_000_000

// caller is who sends a call, under the plan that says so.
type caller struct {
	plan      *plan.Compiled
	group     string
	keyDigest string
}

// rejection is the answer to a call that was not taken in.
type rejection struct {
	status       int // of HTTP
	reason       string
	retryAfterUS int64 // 0: sending it again does not help
}

// authenticate says who calls, or why the call is rejected. The plan must be known to be in
// force.
func (g *gateway) authenticate(r *http.Request) (caller, *rejection) {
	cached := g.plan.Load()
	switch {
	case g.daemon.Stopping():
		return caller{}, &rejection{http.StatusServiceUnavailable, callerapi.ReasonStopping, retrySoonUS}
	case cached.Plan == nil || cached.Age(clock.Now()) > dispatch.MaxPlanAge:
		return caller{}, &rejection{http.StatusServiceUnavailable, callerapi.ReasonPlanNotFresh, retrySoonUS}
	}
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return caller{}, &rejection{http.StatusUnauthorized, callerapi.ReasonKeyMissing, 0}
	}
	digest := plan.KeyDigest(key)
	group, known := cached.Plan.GroupOf(digest)
	if !known {
		return caller{}, &rejection{http.StatusUnauthorized, callerapi.ReasonKeyUnknown, 0}
	}
	return caller{plan: cached.Plan, group: group, keyDigest: digest}, nil
}

// checkGeneration says why an id that may come again can't have a claim of a generation,
// "" if it can. The leader of the claim has the last word; what is a little ahead of this
// proxy is left to it.
func (g *gateway) checkGeneration(generation uint64) string {
	known := g.generation.Load()
	switch {
	case known == 0:
		return callerapi.ReasonClaimUnavailable
	case generation == 0:
		return callerapi.ReasonGenerationMissing
	case generation > known+1:
		return callerapi.ReasonGenerationNotOpen
	}
	return ""
}

// serveGeneration answers GET /v1/era.
func (g *gateway) serveGeneration(w http.ResponseWriter, _ *http.Request) {
	generation := g.generation.Load()
	if generation == 0 {
		g.reject(w, rejection{http.StatusServiceUnavailable, callerapi.ReasonClaimUnavailable, retrySoonUS})
		return
	}
	daemon.WriteJSON(w, http.StatusOK, callerapi.Generation{Generation: generation})
}

// reject answers a call that was not taken in. Without claims, whoever needed one may come
// back soon.
func (g *gateway) reject(w http.ResponseWriter, r rejection) {
	if r.reason == callerapi.ReasonClaimUnavailable {
		r.status, r.retryAfterUS = http.StatusServiceUnavailable, retrySoonUS
	}
	if r.retryAfterUS > 0 {
		seconds := (r.retryAfterUS + 999_999) / 1_000_000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	daemon.WriteJSON(w, r.status, callerapi.Frame{
		Frame:        callerapi.FrameRefused,
		Generation:   g.generation.Load(),
		Reason:       r.reason,
		Remedy:       callerapi.Remedy(r.reason),
		RetryAfterUS: r.retryAfterUS,
	})
}

// statusOf is the HTTP status of a rejection by the dispatcher.
func statusOf(reason string) int {
	switch reason {
	case dispatch.ReasonQueueFull, dispatch.ReasonDeadline:
		return http.StatusTooManyRequests
	case dispatch.ReasonKeyRevoked:
		return http.StatusUnauthorized
	case dispatch.ReasonKindRevoked, dispatch.ReasonDomainChanged:
		return http.StatusForbidden
	}
	return http.StatusServiceUnavailable
}
