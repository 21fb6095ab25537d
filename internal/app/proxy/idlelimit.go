package proxy

import (
	"net/http"
	"strconv"
	"strings"
)

// Idle times of connections to engines, in microseconds.
const (
	// shortIdleUS is how long a connection may stay idle if the engine announces no time.
	shortIdleUS      = 4_000_000
	maxIdleUS        = 60_000_000 // upper bound, whatever the engine announces
	minIdleUS        = 100_000    // lower bound, however many connections were lost
	keepAliveSlackUS = 400_000    // margin by which the proxy stops using a connection before the engine closes it
)

const (
	idleLossFactor = 0.5  // applied to the limit when an idle connection was lost
	idleGainFactor = 1.05 // applied to the limit when a connection that was idle for at least half of it was still open
)

// engineIdleLimit bounds how long idle connections to a pool's engines are reused: engines may
// close them sooner than they announce, and the next request sent on such a connection is lost. The
// limit shrinks with each such loss and grows with each reuse after a long idle time. Both steps
// are factors: additive increase would take too long for a proxy that sends to an engine only every
// few seconds.
type engineIdleLimit struct {
	us int64 // 0 until a connection was lost
}

// apply caps the idle time that an engine announced.
func (l *engineIdleLimit) apply(idleTimeoutUS int64) int64 {
	if l.us == 0 {
		return idleTimeoutUS
	}
	return min(idleTimeoutUS, l.us)
}

// recordLoss records that a connection that was idle for this long had been closed by the engine
// without notice.
func (l *engineIdleLimit) recordLoss(idleUS int64) {
	limit := float64(idleUS)
	if l.us > 0 {
		limit = min(limit, float64(l.us))
	}
	l.us = max(int64(limit*idleLossFactor), minIdleUS)
}

// recordReuse records that a connection that was idle for this long carried a response.
func (l *engineIdleLimit) recordReuse(idleUS int64) {
	if l.us == 0 || idleUS*2 < l.us {
		return
	}
	if l.us = int64(float64(l.us) * idleGainFactor); l.us >= maxIdleUS {
		l.us = 0
	}
}

// parseKeepAlive returns how long a connection may stay idle, in microseconds, according to the
// engine's Keep-Alive header.
func parseKeepAlive(header http.Header) int64 {
	for _, directive := range strings.Split(header.Get("Keep-Alive"), ",") {
		if seconds, ok := strings.CutPrefix(strings.TrimSpace(directive), "timeout="); ok {
			if timeout, err := strconv.ParseInt(seconds, 10, 64); err == nil {
				return min(timeout*1_000_000-keepAliveSlackUS, maxIdleUS)
			}
		}
	}
	return shortIdleUS
}
