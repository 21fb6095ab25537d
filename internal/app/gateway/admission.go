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

// reasonStopping is the reason for ending the remaining requests when the gateway stops.
const reasonStopping = callerapi.ReasonStopping

// transientRetryAfterUS is the retry-after time for calls that are rejected for a transient
// reason, in microseconds.
const transientRetryAfterUS = 1_000_000

// caller is an authenticated caller, with the plan that it was authenticated by.
type caller struct {
	plan      *plan.Compiled
	group     string
	keyDigest string
}

// rejection is the response to a call that is not accepted.
type rejection struct {
	status       int // HTTP status
	reason       string
	retryAfterUS int64 // 0 if a retry would not help
}

// authenticate returns the caller of a request, or a rejection. The plan must be known to be
// in force.
func (g *gateway) authenticate(r *http.Request) (caller, *rejection) {
	cached := g.plan.Load()
	switch {
	case g.daemon.Stopping():
		return caller{}, &rejection{http.StatusServiceUnavailable, callerapi.ReasonStopping, transientRetryAfterUS}
	case cached.Plan == nil || cached.Age(clock.Now()) > dispatch.MaxPlanAge:
		return caller{}, &rejection{http.StatusServiceUnavailable, callerapi.ReasonPlanNotFresh, transientRetryAfterUS}
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

// checkGeneration returns the reason why an id can't be claimed in a generation, "" if it may
// be. The leader of the claim makes the final decision, so a generation that is one ahead of
// this proxy's is left to it.
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

// serveGeneration serves GET /v1/era.
func (g *gateway) serveGeneration(w http.ResponseWriter, _ *http.Request) {
	generation := g.generation.Load()
	if generation == 0 {
		g.reject(w, rejection{http.StatusServiceUnavailable, callerapi.ReasonClaimUnavailable, transientRetryAfterUS})
		return
	}
	daemon.WriteJSON(w, http.StatusOK, callerapi.Generation{Generation: generation})
}

// reject responds to a call that is not accepted. If claims are unavailable, the call may be
// retried soon.
func (g *gateway) reject(w http.ResponseWriter, r rejection) {
	if r.reason == callerapi.ReasonClaimUnavailable {
		r.status, r.retryAfterUS = http.StatusServiceUnavailable, transientRetryAfterUS
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

// statusOf returns the HTTP status of a rejection by the dispatcher.
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
