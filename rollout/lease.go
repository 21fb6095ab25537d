package rollout

import (
	"fmt"

	"github.com/gravitational/trace"
)

// RequestTimeoutUS is how long an update request may be on its way, in microseconds. None is
// written so shortly before its lease expires.
const RequestTimeoutUS = 800_000

// Lease is that of the rollout leader, as the leader counts it: from before it asked for
// it. The zero Lease permits nothing.
type Lease struct {
	FencingToken uint64 // revision of the lease's register, which rises with each leader
	ExpiresAt    int64
}

// StaleTokenError is why a request that was decided under another lease must not go out.
type StaleTokenError struct {
	Decided uint64 // the fencing token that the request was decided under
	Current uint64 // that of the lease in force
}

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("decided under fencing token %d, the lease is held under %d; decide anew", e.Decided, e.Current)
}

// LeaseEndingError is why no request may go out before the lease is renewed.
type LeaseEndingError struct {
	LeftUS int64 // of the lease; negative once it expired
}

func (e *LeaseEndingError) Error() string {
	return fmt.Sprintf("the lease ends in %d us, a request may take %d; renew it first", e.LeftUS, RequestTimeoutUS)
}

// Permit tells why a request that was decided under a fencing token must not be written
// now: a *StaleTokenError or a *LeaseEndingError, wrapped. Nil is leave to write it:
// whatever happens to it then, it has arrived or is given up before the lease expires and
// another leader may send requests.
func (l Lease) Permit(now int64, fencingToken uint64) error {
	if fencingToken != l.FencingToken {
		return trace.Wrap(&StaleTokenError{Decided: fencingToken, Current: l.FencingToken})
	}
	if now >= l.ExpiresAt-RequestTimeoutUS {
		return trace.Wrap(&LeaseEndingError{LeftUS: l.ExpiresAt - now})
	}
	return nil
}
