package placement

import "math"

// contextCostTokens is the context length at which the prefill of a token takes twice as long as
// without context, since attention covers all preceding tokens. It differs little between models,
// and the learned time per token absorbs the remaining difference.
const contextCostTokens = 40_000

// prefillWork returns the prefill cost of the last tokens of a prompt, as the number of tokens
// without context whose prefill takes the same time.
func prefillWork(promptTokens, tokens int) int {
	mean := float64(promptTokens) - float64(tokens)/2 // mean context length of the tokens
	return int(float64(tokens) * (1 + max(0, mean)/contextCostTokens))
}

// prefillModel predicts the time until the engines of a pool send the first event of a response,
// as a fixed time plus a time per token to process before it, including tokens of queued
// requests. It learns from responses by online quantile regression of the median (stochastic
// subgradient steps on the absolute error; Koenker and Bassett, "Regression Quantiles", 1978).
// The step length does not depend on the size of the error, so that a few very late responses
// during a fault do not distort the model.
type prefillModel struct {
	fixedUS    float64
	usPerToken float64
}

const (
	initialFixedUS = 40_000
	// learnStep is the change of a parameter's logarithm by one response that affects only that
	// parameter; the step is divided between the two parameters.
	learnStep = 0.05
	// balancedTokens is the number of tokens at which the step is divided equally.
	balancedTokens = 2000
	// maxLearnedRatio bounds the ratio between a learned parameter and its initial value.
	maxLearnedRatio = 12
)

// newPrefillModel creates a model with an assumed initial speed.
func newPrefillModel(tokensPerMS float64) *prefillModel {
	return &prefillModel{fixedUS: initialFixedUS, usPerToken: 1000 / tokensPerMS}
}

// predictUS returns the expected time until the first event if tokens have to be processed before
// it.
func (m *prefillModel) predictUS(tokens float64) float64 { return m.fixedUS + tokens*m.usPerToken }

// learn updates the model with a response whose first event arrived after us microseconds;
// tokens is the estimated number of tokens processed before it.
func (m *prefillModel) learn(tokens, us, startTokensPerMS float64) {
	step := learnStep
	if us < m.predictUS(tokens) {
		step = -learnStep
	}
	weight := tokens / (tokens + balancedTokens)
	m.usPerToken = clampToRange(m.usPerToken*math.Exp(step*weight), 1000/startTokensPerMS)
	m.fixedUS = clampToRange(m.fixedUS*math.Exp(step*(1-weight)), initialFixedUS)
}

// clampToRange limits a parameter to a factor of maxLearnedRatio around its initial value.
func clampToRange(value, initial float64) float64 {
	return min(max(value, initial/maxLearnedRatio), initial*maxLearnedRatio)
}
