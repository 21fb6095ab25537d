package rollout

import "github.com/gravitational/trace"

// OrderTime is how long an order may be on its way, in microseconds. None is written so
// shortly before its lease ends.
const OrderTime = 800_000

// Lease is a hold on the duty of giving orders, as its holder counts it: from before it
// asked for it.
type Lease struct {
	Fence uint64 // revision of the duty's register, which rises with each holder
	Until int64
}

// Permit tells why an order that was decided under a fence must not be written now; nil
// is leave to write it. Whatever happens to it then, it has arrived or is given up before
// the lease ends and another holder may order.
func (l Lease) Permit(now int64, fence uint64) error {
	if fence != l.Fence {
		return trace.CompareFailed("decided under fence %d, the duty is held under %d; decide anew", fence, l.Fence)
	}
	if now >= l.Until-OrderTime {
		return trace.CompareFailed("the lease ends in %d us, an order may take %d; renew it first", l.Until-now, OrderTime)
	}
	return nil
}
