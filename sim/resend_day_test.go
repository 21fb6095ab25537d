package sim

import "testing"

// changesBehind is how many changes are made, with eight orders under way, before an
// order that was taken first has its answer: hundreds on a day, and a lost answer is
// followed by others.
const changesBehind = 300

// TestResendAfterHundredsOfChanges: an order whose answers all get lost is never refused,
// however many others were taken since, and is acknowledged in the end.
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
		world.Run(1_500_000) // its first order is taken, and it does not hear of that
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
