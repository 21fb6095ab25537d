package rollout

import "github.com/gravitational/trace"

// OrderTime is how long an order may be on its way, in microseconds. None is written so
// shortly before its lease ends.
const RequestTimeout = 800_000

// Lease is a hold on the duty of giving orders, as its holder counts it: from before it
// asked for it.
type Lease struct {
	FencingToken uint64 // revision of the duty's register, which rises with each holder
	ExpiresAt    int64
}

// Permit tells why an order that was decided under a fence must not be written now; nil
// is leave to write it. Whatever happens to it then, it has arrived or is given up before
// the lease ends and another holder may order.
func (l Lease) Permit(now int64, fence uint64) error {
	if fence != l.FencingToken {
		return trace.CompareFailed("decided under fence %d, the duty is held under %d; decide anew", fence, l.FencingToken)
	}
	if now >= l.ExpiresAt-RequestTimeout {
		return trace.CompareFailed("the lease ends in %d us, an order may take %d; renew it first", l.ExpiresAt-now, RequestTimeout)
	}
	return nil
}
