package proxy

import (
	"net/http"
	"strconv"

	"violetthread/attempt"
	"violetthread/internal/daemon"
)

// Reasons why a request was rejected, lost or aborted. They are sent to the caller together with a
// remedy and are part of the API.
const (
	reasonNoRoute         = "no-route"
	reasonKeyUnknown      = "key-unknown"
	reasonMalformed       = "malformed"
	reasonTooLarge        = "too-large"
	reasonConfigNotFresh  = "config-not-fresh"
	reasonConfigMissing   = "config-missing"
	reasonNoEngine        = "no-engine"
	reasonEngineLost      = "engine-lost"
	reasonEngineFailed    = "engine-failed"
	reasonEngineMalformed = "engine-malformed"
	reasonDeadlinePassed  = "due-passed"
	reasonWeightsOutdated = "weights-outdated"
	reasonCallerGone      = "caller-gone"
	reasonOverloaded      = "overloaded"
)

// remedies says what the caller can do about each reason, including those of package attempt.
var remedies = map[string]string{
	reasonNoRoute:             "check the host and the path, or have an operator add the route",
	reasonKeyUnknown:          "send a key that the configuration holds",
	reasonMalformed:           "send the request as the platform's pages say",
	reasonTooLarge:            "send a smaller body",
	reasonConfigNotFresh:      "come back shortly; this proxy is out of touch with the control nodes",
	reasonConfigMissing:       "come back shortly; an operator's first configuration is awaited",
	reasonNoEngine:            "come back shortly; no engine of the pool is in use",
	attempt.ReasonEnginesFull: "come back shortly; the engines that were asked are full",
	attempt.ReasonRetryBudget: "come back shortly; further attempts are bounded over the whole fleet",
	attempt.ReasonDeadline:    "allow more time",
	reasonEngineLost:          "the request may have run; look before sending it again",
	reasonEngineFailed:        "the request may have run; look before sending it again",
	reasonEngineMalformed:     "the request may have run; look before sending it again",
	reasonDeadlinePassed:      "the request may have run; allow more time",
	reasonWeightsOutdated:     "the request may have run; look before sending it again; its engine had not begun when its weights went out of date",
	reasonOverloaded:          "come back shortly; this proxy holds as much as its memory allows",
	reasonCallerGone:          "nobody is left to be told",
}

// Back-off times that a caller is told after a rejection, in microseconds.
const (
	backoffConfigMissingUS  = 300_000
	backoffConfigNotFreshUS = 400_000
	backoffNoEngineUS       = 300_000
	backoffRefusedUS        = 150_000
	backoffOverloadedUS     = 300_000
)

// respondError responds to a request that is not forwarded, or whose response was lost. A backoffUS
// above 0 is sent as Retry-After.
func (s *server) respondError(w http.ResponseWriter, status int, reason string, backoffUS int64) {
	if backoffUS > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(backoffUS)/1e6, 'f', 3, 64))
	}
	if s.daemon.Stopping() {
		w.Header().Set("Connection", "close")
	}
	daemon.WriteJSON(w, status, daemon.ErrorResponse{Reason: reason, Remedy: remedies[reason]})
}
