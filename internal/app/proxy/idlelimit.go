package proxy

import (
	"net/http"
	"strconv"
	"strings"
)

// Idle times of connections to engines, in microseconds.
const (
	// shortIdleUS is for how long a connection may be idle where the engine says nothing.
	shortIdleUS      = 4_000_000
	maxIdleUS        = 60_000_000 // whatever the engine says
	minIdleUS        = 100_000    // however many were lost
	keepAliveSlackUS = 400_000    // a connection is given up so long before its engine does
)

const (
	idleLossFactor = 0.5  // of the limit, that is left after a connection was lost
	idleGainFactor = 1.05 // of the limit, after one proved good that was idle for over half of it
)

// idleLimit is for how long a pool's idle connections are believed to be open: engines may
// forget them sooner than they say, and the request that is sent next is lost. It shrinks with
// each such loss and recovers while old connections prove good (additive-increase would take
// too long for a proxy that meets an engine once in seconds, so both steps are factors).
type idleLimit struct {
	us int64 // 0 as long as nothing was lost
}

// apply bounds what an engine said of its idle connections.
func (l *idleLimit) apply(keepUS int64) int64 {
	if l.us == 0 {
		return keepUS
	}
	return min(keepUS, l.us)
}

// lost takes in that a connection which was idle for so long was closed without a word.
func (l *idleLimit) lost(idleUS int64) {
	limit := float64(idleUS)
	if l.us > 0 {
		limit = min(limit, float64(l.us))
	}
	l.us = max(int64(limit*idleLossFactor), minIdleUS)
}

// proved takes in that a connection which was idle for so long carried an answer.
func (l *idleLimit) proved(idleUS int64) {
	if l.us == 0 || idleUS*2 < l.us {
		return
	}
	if l.us = int64(float64(l.us) * idleGainFactor); l.us >= maxIdleUS {
		l.us = 0
	}
}

// keepAlive is for how long a connection may be idle, in microseconds, going by the engine's
// Keep-Alive header.
func keepAlive(header http.Header) int64 {
	for _, directive := range strings.Split(header.Get("Keep-Alive"), ",") {
		if seconds, ok := strings.CutPrefix(strings.TrimSpace(directive), "timeout="); ok {
			if timeout, err := strconv.ParseInt(seconds, 10, 64); err == nil {
				return min(timeout*1_000_000-keepAliveSlackUS, maxIdleUS)
			}
		}
	}
	return shortIdleUS
}
