package placement

import "math"

// contextTokens is the length of a prompt's beginning at which reading a token behind it takes
// twice as long as without: attention goes over all tokens before. Models differ little in it,
// and what is left of the difference goes into the learned time for each token.
const contextTokens = 40_000

// prefillWork is how many tokens an engine could read, without a context before them, in the
// time that it needs for the last tokens of a prompt.
func prefillWork(promptTokens, tokens int) int {
	mean := float64(promptTokens) - float64(tokens)/2 // of the context before each of them
	return int(float64(tokens) * (1 + max(0, mean)/contextTokens))
}

// prefillModel predicts how long the engines of a pool take until the first event of an answer:
// a fixed time and a time for each token that has to be read before, those of other requests
// included. It learns from answers by online quantile regression of the median (stochastic
// subgradient steps on the absolute error; Koenker and Bassett, "Regression Quantiles", 1978): a
// step's length does not depend on how far off an answer was, so that a fault can't spoil it by a
// few answers that come very late.
type prefillModel struct {
	fixedUS    float64
	usPerToken float64
}

const (
	startFixedUS = 40_000
	// learnStep is the part by which an answer that is all tokens moves the time for a token.
	learnStep = 0.05
	// balancedTokens is how many tokens move both figures alike.
	balancedTokens = 2000
	// maxLearnFactor bounds what is learned to a range around the start.
	maxLearnFactor = 12
)

// newPrefillModel starts from an assumed speed.
func newPrefillModel(tokensPerMS float64) *prefillModel {
	return &prefillModel{fixedUS: startFixedUS, usPerToken: 1000 / tokensPerMS}
}

// predictUS is the expected time until the first event after so many tokens.
func (m *prefillModel) predictUS(tokens float64) float64 { return m.fixedUS + tokens*m.usPerToken }

// learn takes in that an answer's first event came after so long, and how many tokens had to be
// read before it as far as was known.
func (m *prefillModel) learn(tokens, us, startTokensPerMS float64) {
	step := learnStep
	if us < m.predictUS(tokens) {
		step = -learnStep
	}
	weight := tokens / (tokens + balancedTokens)
	m.usPerToken = clampAround(m.usPerToken*math.Exp(step*weight), 1000/startTokensPerMS)
	m.fixedUS = clampAround(m.fixedUS*math.Exp(step*(1-weight)), startFixedUS)
}

// clampAround keeps a figure within maxLearnFactor of its start.
func clampAround(figure, start float64) float64 {
	return min(max(figure, start/maxLearnFactor), start*maxLearnFactor)
}
