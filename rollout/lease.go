package rollout

import (
	"fmt"

	"github.com/gravitational/trace"
)

// RequestTimeoutUS is the time-out for an update request to arrive, in microseconds. No request
// is written if the lease expires sooner than that.
const RequestTimeoutUS = 800_000

// Lease is the rollout leader's lease, as measured by the leader: its duration is counted from
// before the leader requested it. The zero Lease permits nothing.
type Lease struct {
	FencingToken uint64 // revision of the lease's register, which increases with each leader
	ExpiresAt    int64
}

// StaleTokenError reports an update request that must not be sent because it was decided under
// another lease.
type StaleTokenError struct {
	Decided uint64 // fencing token under which the request was decided
	Current uint64 // fencing token of the current lease
}

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("update request was decided under fencing token %d, the current lease has token %d; decide again", e.Decided, e.Current)
}

// LeaseEndingError reports that no update request may be sent before the lease is renewed.
type LeaseEndingError struct {
	LeftUS int64 // time until the lease expires; negative if it has expired
}

func (e *LeaseEndingError) Error() string {
	return fmt.Sprintf("the lease expires in %d us, an update request may take %d us; renew the lease first", e.LeftUS, RequestTimeoutUS)
}

// Permit returns a wrapped *StaleTokenError or *LeaseEndingError if a request that was decided
// under a fencing token must not be written now. If it returns nil, the request may be written:
// it arrives or times out before the lease expires and another leader may send requests.
func (l Lease) Permit(now int64, fencingToken uint64) error {
	if fencingToken != l.FencingToken {
		return trace.Wrap(&StaleTokenError{Decided: fencingToken, Current: l.FencingToken})
	}
	if now >= l.ExpiresAt-RequestTimeoutUS {
		return trace.Wrap(&LeaseEndingError{LeftUS: l.ExpiresAt - now})
	}
	return nil
}
