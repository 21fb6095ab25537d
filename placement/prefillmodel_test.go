package placement

import (
	"math"
	"math/rand"
	"testing"
)

// TestPrefillModelLearns checks that predictions converge to the actual times for engines of
// different speeds, also if a tenth of the responses take ten times as long.
func TestPrefillModelLearns(t *testing.T) {
	for _, c := range []struct{ fixedUS, usPerToken, outliers float64 }{
		{120_000, 19, 0}, {30_000, 4, 0}, {40_000, 40, 0}, {120_000, 19, 0.1}, {20_000, 9, 0.1},
	} {
		rnd := rand.New(rand.NewSource(1))
		model := newPrefillModel(110)
		for range 400 {
			tokens := math.Exp(6 + 4*rnd.Float64())
			us := (c.fixedUS + tokens*c.usPerToken) * (0.8 + 0.4*rnd.Float64())
			if rnd.Float64() < c.outliers {
				us *= 10
			}
			model.learn(tokens, us, 110)
		}
		for _, tokens := range []float64{1000, 5000, 20_000} {
			want := c.fixedUS + tokens*c.usPerToken
			if got := model.predictUS(tokens); got < want*0.7 || got > want*1.4 {
				t.Errorf("%+v: %.0f tokens predicted to take %.0f µs, actual %.0f", c, tokens, got, want)
			}
		}
	}
}

// TestPrefillModelBounded checks that learned parameters stay within their range under a long
// series of implausible responses.
func TestPrefillModelBounded(t *testing.T) {
	for _, us := range []float64{0, 1e12} {
		model := newPrefillModel(100)
		for i := range 10_000 {
			model.learn(float64(i%30_000), us, 100)
		}
		if ratio := model.usPerToken / 10; ratio < 1.0/maxLearnedRatio-1e-9 || ratio > maxLearnedRatio+1e-9 {
			t.Errorf("responses after %.0f µs: learned %.3f µs per token", us, model.usPerToken)
		}
		if ratio := model.fixedUS / initialFixedUS; ratio < 1.0/maxLearnedRatio-1e-9 || ratio > maxLearnedRatio+1e-9 {
			t.Errorf("responses after %.0f µs: learned fixed time %.0f µs", us, model.fixedUS)
		}
	}
}

// TestPrefillWork checks that tokens with a long context have a higher weight, and tokens without
// context a weight of one.
func TestPrefillWork(t *testing.T) {
	if got := prefillWork(100, 100); got < 100 || got > 101 {
		t.Errorf("work of a short prompt: %d", got)
	}
	if got := prefillWork(contextCostTokens, contextCostTokens); got != contextCostTokens*3/2 {
		t.Errorf("work of an uncached long prompt: %d", got)
	}
	if got, whole := prefillWork(40_000, 1000), prefillWork(1000, 1000); got < whole*3/2 {
		t.Errorf("work of the end of a long prompt: %d, of a short prompt: %d", got, whole)
	}
	if prefillWork(5000, 0) != 0 {
		t.Error("non-zero work without tokens to compute")
	}
}

// TestLearnsFromAnswers checks that the picker learns a pool's speed from responses, unless
// LearnedSpeed is disabled.
func TestLearnsFromAnswers(t *testing.T) {
	for _, off := range []string{"", string(LearnedSpeed)} {
		f := newTestFleet(2)
		f.Policy, _ = ParsePolicy(off)
		now := int64(1_000_000)
		for range 200 {
			c, _ := f.Pick(now, request("own"))
			f.RequestSent(now, &c)
			now += 400_000
			f.ResponseStarted(now, &c)
			f.AttemptEnded(&c, true)
		}
		c, _ := f.Pick(now, request("own"))
		learned := c.PredictedUS > 250_000 && c.PredictedUS < 550_000
		if learned != (off == "") {
			t.Errorf("disabled %q: predicted %d µs after responses that took 400 ms", off, c.PredictedUS)
		}
	}
}

// TestQueuedTokens checks that the estimated backlog shrinks with time down to a minimum fraction
// of the tokens sent, that it includes the load of other proxies, and that the end of one prefill
// starts the next.
func TestQueuedTokens(t *testing.T) {
	const usPerToken = 10
	state := &engineState{}
	state.setOtherLoad(1_000_000, Load{PrefillTokens: 10_000})
	for _, c := range []struct {
		now  int64
		want float64
	}{{1_000_000, 10_000}, {1_020_000, 8000}, {1_080_000, 4000}, {9_000_000, 4000}} {
		if got := state.queuedTokens(c.now, usPerToken, 0.4); got != c.want {
			t.Errorf("at %d: %.0f queued tokens, want %.0f", c.now, got, c.want)
		}
	}
	state.setOtherLoad(9_000_000, Load{PrefillTokens: 6000}) // one prefill ended, the next one starts
	if got := state.queuedTokens(9_010_000, usPerToken, 0.4); got != 5000 {
		t.Errorf("after the first prefill: %.0f queued tokens", got)
	}
	state.own.PrefillTokens = 2000
	if got := state.queuedTokens(9_010_000, usPerToken, 0.4); got != 7000 {
		t.Errorf("own and others' load: %.0f queued tokens", got)
	}
}
