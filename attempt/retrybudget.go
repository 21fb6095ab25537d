package attempt

// RetryBudget bounds retries to a part of real traffic (a token bucket): every new request
// earns a little, every retry spends a whole token. The zero value allows no retries.
type RetryBudget struct {
	Permille int // thousandths of a retry that each request earns; 100 is one retry in ten
	balance  int // thousandths of a retry
}

// maxBalance bounds what a quiet spell may save up, in thousandths of a retry.
const maxBalance = 10_000

// CountRequest earns a new request's part.
func (b *RetryBudget) CountRequest() { b.balance = min(b.balance+b.Permille, maxBalance) }

// Allows reports whether the budget has room for a retry.
func (b *RetryBudget) Allows() bool { return b.balance >= 1000 }

// CountRetry spends one retry. The caller has asked Allows.
func (b *RetryBudget) CountRetry() { b.balance -= 1000 }
