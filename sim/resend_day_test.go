package sim

import "testing"

// changesBehind is the number of changes made by eight operators before the operator whose
// request was accepted first gets an answer. It stands for the hundreds of changes that follow
// a lost answer in a day.
const changesBehind = 300

// TestResendAfterHundredsOfChanges loses all answers to a request. However many other requests
// were accepted since, it must never be rejected, and must be acknowledged in the end.
func TestResendAfterHundredsOfChanges(t *testing.T) {
	t.Parallel()
	for _, seed := range daySeeds(1) {
		configWorld := NewConfigWorld(seed, 4, platformFormat)
		configWorld.AddReaders(1, 200_000)
		configWorld.AddOperators(1)
		late := configWorld.Operators[0]
		late.Pause, late.LosesReplies = 20_000, true
		configWorld.Start()
		world := configWorld.World
		world.Run(1_500_000) // its first request is accepted, but it misses the answer
		configWorld.AddOperators(7)
		for _, o := range configWorld.Operators[1:] {
			o.Pause = 20_000
			o.Start()
		}
		took, ok := configWorld.Until(60_000_000, func() bool { return configWorld.Config.newest > changesBehind })
		if !ok {
			t.Fatalf("seed %d: %d changes after %s: %v", seed, configWorld.Config.newest, seconds(took), world.violations)
		}
		late.LosesReplies = false
		acks := 0
		late.OnAccepted = func(*ConfigRequest) { acks++ }
		back, ok := configWorld.Until(acknowledgementBoundUS, func() bool { return acks > 0 })
		configWorld.Config.Close()
		if !ok || len(world.violations) > 0 {
			t.Fatalf("seed %d: %v, or the request is not acknowledged", seed, world.violations)
		}
		t.Logf("seed %d: %d changes in %s, %d on top of the resent request, which was acknowledged after %s", seed, configWorld.Config.newest, seconds(took), configWorld.Config.MostBehind, seconds(back))
		if configWorld.Config.MostBehind < changesBehind/2 {
			t.Errorf("only %d changes were made meanwhile: too little activity for a meaningful result", configWorld.Config.MostBehind)
		}
	}
}
