package attempt

import "testing"

func TestRetryBudgetBoundsRetries(t *testing.T) {
	b := RetryBudget{Permille: 100}
	spent := 0
	for i := 0; i < 1000; i++ {
		b.CountRequest()
		for b.Allows() {
			b.CountRetry()
			spent++
		}
	}
	if spent != 100 {
		t.Fatalf("1000 requests allowed %d retries, want 100", spent)
	}
}
