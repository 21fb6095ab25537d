package proxy

import (
	"errors"
	"math"
	"os"
	"time"

	"violetthread/internal/clock"
)

// Once a newer version of a model's weights has been announced, attempts may start on an older
// version only until a deadline (route.VersionLimits). The engine decides when an attempt starts:
// it may be queued there for as long as its caller waits. So the deadline is checked when the
// engine is selected (minVersion), when the request is sent (engineAttempt.exchange), and
// repeatedly until the engine starts. An attempt that is still queued shortly before the deadline
// is withdrawn by a reset of its connection.
const (
	// dispatchSlackUS is how long before the deadline engines on older weights stop getting new
	// attempts.
	dispatchSlackUS = 800_000
	// withdrawSlackUS is how long before the deadline attempts that have not started are withdrawn.
	// The reset must reach the engine in time, even from a busy proxy.
	withdrawSlackUS = 400_000
)

// noStartDeadline is the start deadline of an attempt on weights that have not been superseded.
const noStartDeadline = math.MaxInt64

// minVersion returns the oldest version of a model that an attempt may be sent to at the time now.
func (s *server) minVersion(now int64, model string) uint64 {
	return s.view.Load().minVersion(now, model, s.settings.Bounds.VersionLimits().ReducedBy(dispatchSlackUS))
}

// startDeadline returns the time at which an attempt on a version of a model is withdrawn unless it
// has started.
func (s *server) startDeadline(model string, version uint64) int64 {
	limits := s.settings.Bounds.VersionLimits().ReducedBy(withdrawSlackUS)
	until, superseded := s.view.Load().usableUntil(model, version, limits)
	if !superseded {
		return noStartDeadline
	}
	return until
}

// startDeadline returns the attempt's own start deadline. Without a model there is none.
func (a *engineAttempt) startDeadline() int64 {
	if a.forwarded.info.Model == "" {
		return noStartDeadline
	}
	return a.forwarded.server.startDeadline(a.forwarded.info.Model, a.choice.Version)
}

// responseDeadline returns the time at which the attempt is given up, whether it has started or
// not.
func (a *engineAttempt) responseDeadline() int64 { return a.forwarded.deadline + responseGraceUS }

// waitDeadline returns until when the attempt waits before it checks again whether it may keep
// waiting. A version that is announced from now on can't end the wait before its own deadline.
func (a *engineAttempt) waitDeadline(now int64) int64 {
	newlyAnnounced := now + a.forwarded.server.settings.Bounds.VersionLimits().Shortest() - withdrawSlackUS
	return min(a.responseDeadline(), a.startDeadline(), newlyAnnounced)
}

// setConnDeadline sets the deadline of the connection's reads and writes.
func (a *engineAttempt) setConnDeadline(now, limit int64) {
	_ = a.conn.SetDeadline(time.Now().Add(clock.Duration(limit - now)))
}

// mayKeepWaiting reports whether the attempt may keep waiting for its engine to start after a read
// failed with err. It may if the read only reached the waitDeadline.
func (a *engineAttempt) mayKeepWaiting(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	now := clock.Now()
	a.setConnDeadline(now, a.responseDeadline())
	switch {
	case now >= a.responseDeadline():
		return false
	case !a.conn.nothingReceived():
		return true // it has started meanwhile: this process may have been stalled
	case now >= a.startDeadline():
		a.withdrawn = true
		return false
	}
	a.setConnDeadline(now, a.waitDeadline(now))
	return true
}

// awaitFirstByte waits until the first byte of the response body has arrived: an engine may send
// the head of a stream before it starts. From then on the response may take until the
// responseDeadline.
func (a *engineAttempt) awaitFirstByte() bool {
	for {
		_, err := a.conn.br.Peek(1)
		if err == nil {
			a.setConnDeadline(clock.Now(), a.responseDeadline())
			return true
		}
		if !a.mayKeepWaiting(err) {
			return false
		}
	}
}

// checkVersionAge counts and logs a response that started, at the time now, on weights past their
// deadline. The proxy observes the start at the first event, a little later than the engine did.
func (a *engineAttempt) checkVersionAge(now int64) {
	s, f := a.forwarded.server, a.forwarded
	until, superseded := s.view.Load().usableUntil(f.info.Model, a.choice.Version, s.settings.Bounds.VersionLimits())
	if !superseded || now <= until {
		return
	}
	s.counts.outdated.Add(1)
	s.daemon.Log.Info("answer_outdated", "engine", a.choice.Engine.ID, "model", f.info.Model, "version", a.choice.Version,
		"late_us", now-until, "waited_us", now-a.choice.SentAt())
}
