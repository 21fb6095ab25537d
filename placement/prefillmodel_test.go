package placement

import (
	"math"
	"math/rand"
	"testing"
)

// TestPrefillModelLearns: whatever the speed of engines, predictions come close to what answers
// show, though some are late by far; a tenth of answers that come ten times as late moves them
// by little.
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
				t.Errorf("%+v: %.0f tokens are predicted to take %.0f µs, they take %.0f", c, tokens, got, want)
			}
		}
	}
}

// TestPrefillModelBounded: what is learned stays within a range, however long nonsense comes.
func TestPrefillModelBounded(t *testing.T) {
	for _, us := range []float64{0, 1e12} {
		model := newPrefillModel(100)
		for i := range 10_000 {
			model.learn(float64(i%30_000), us, 100)
		}
		if ratio := model.usPerToken / 10; ratio < 1.0/maxLearnFactor-1e-9 || ratio > maxLearnFactor+1e-9 {
			t.Errorf("answers after %.0f µs: %.3f µs a token", us, model.usPerToken)
		}
		if ratio := model.fixedUS / startFixedUS; ratio < 1.0/maxLearnFactor-1e-9 || ratio > maxLearnFactor+1e-9 {
			t.Errorf("answers after %.0f µs: %.0f µs fixed", us, model.fixedUS)
		}
	}
}

// TestPrefillWork: a token behind a long context counts for more, one without for itself.
func TestPrefillWork(t *testing.T) {
	if got := prefillWork(100, 100); got < 100 || got > 101 {
		t.Errorf("a short prompt: %d", got)
	}
	if got := prefillWork(contextTokens, contextTokens); got != contextTokens*3/2 {
		t.Errorf("a whole long prompt: %d", got)
	}
	if got, whole := prefillWork(40_000, 1000), prefillWork(1000, 1000); got < whole*3/2 {
		t.Errorf("the end of a long prompt counts %d, a short prompt %d", got, whole)
	}
	if prefillWork(5000, 0) != 0 {
		t.Error("nothing to read counts")
	}
}

// TestLearnsFromAnswers: the picker learns a pool's speed from answers, and not when that is
// switched off.
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
			t.Errorf("off %q: predicted %d µs after answers that took 400 ms", off, c.PredictedUS)
		}
	}
}

// TestQueuedTokens: an engine goes on reading, but what it was sent never quite vanishes before
// it answers; what others report counts, and the end of a prompt starts the next one.
func TestQueuedTokens(t *testing.T) {
	const usPerToken = 10
	state := &engineState{}
	state.setOthers(1_000_000, Load{PrefillTokens: 10_000})
	for _, c := range []struct {
		now  int64
		want float64
	}{{1_000_000, 10_000}, {1_020_000, 8000}, {1_080_000, 4000}, {9_000_000, 4000}} {
		if got := state.queuedTokens(c.now, usPerToken, 0.4); got != c.want {
			t.Errorf("at %d: %.0f tokens, want %.0f", c.now, got, c.want)
		}
	}
	state.setOthers(9_000_000, Load{PrefillTokens: 6000}) // one was read, the next begins
	if got := state.queuedTokens(9_010_000, usPerToken, 0.4); got != 5000 {
		t.Errorf("after the first prompt: %.0f tokens", got)
	}
	state.own.PrefillTokens = 2000
	if got := state.queuedTokens(9_010_000, usPerToken, 0.4); got != 7000 {
		t.Errorf("own and others': %.0f tokens", got)
	}
}
