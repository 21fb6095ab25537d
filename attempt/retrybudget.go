package attempt

// RetryBudget is a token bucket that limits retries to a fraction of new requests: every new
// request adds Permille thousandths of a token, every retry takes one token. The zero value
// allows no retries.
type RetryBudget struct {
	Permille int // thousandths of a retry per new request; 100 allows one retry in ten requests
	balance  int // tokens available, in thousandths of a retry
}

// maxBalance is the capacity of the bucket, in thousandths of a retry. It limits what builds
// up while few retries are needed.
const maxBalance = 10_000

// CountRequest adds the share of a new request to the bucket.
func (b *RetryBudget) CountRequest() { b.balance = min(b.balance+b.Permille, maxBalance) }

// Allows reports whether the budget has room for a retry.
func (b *RetryBudget) Allows() bool { return b.balance >= 1000 }

// CountRetry takes one retry from the bucket. The caller must check Allows first.
func (b *RetryBudget) CountRetry() { b.balance -= 1000 }
