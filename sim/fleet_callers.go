package sim

import (
	"fmt"
	"strings"
)

// requestKinds are the kinds of requests, and requestTimeoutsUS their timeouts at the caller.
var (
	requestKinds      = []string{"check", "confirmation", "tag"}
	requestTimeoutsUS = map[string]int64{"check": 8_000_000, "confirmation": 6_000_000, "tag": 5_000_000}
)

// drawnRequest is a randomly drawn request that a caller sends once or several times.
type drawnRequest struct {
	group, kind, prompt string
	key                 int // number of the group's key
	generation          uint64
	pieceDelayUS        int64
}

// sendRequests sends requests until a true time, some of them several times at different
// gateways.
func (f *Fleet) sendRequests(operator *FleetOperator, until int64) {
	world := f.World
	if world.now >= until {
		return
	}
	world.At(world.now+5_000+world.Rng.Int63n(40_000), func() { f.sendRequests(operator, until) })
	f.requestsSent++
	drawn, copies := f.drawRequest(operator)
	for i := range copies {
		gateway := pick(world, f.Gateways)
		request := &callerRequest{
			group: drawn.group, kind: drawn.kind, id: fmt.Sprint("t", f.requestsSent), keyDigest: simKey(drawn.group, drawn.key),
			gateway: gateway, generation: drawn.generation, pieceDelayUS: drawn.pieceDelayUS,
		}
		after := int64(i) * world.Rng.Int63n(3_000_000)
		if i > 0 && world.Rng.Intn(4) == 0 {
			after += world.Rng.Int63n(20_000_000) // a very late resend
		}
		world.At(world.now+after, func() { f.sendRequest(request, drawn.prompt) })
	}
}

// drawRequest draws a request and how often it is sent. The order of draws is part of a run.
func (f *Fleet) drawRequest(operator *FleetOperator) (drawn drawnRequest, copies int) {
	rng := f.World.Rng
	drawn.group = pick(f.World, simGroups)
	drawn.kind = pick(f.World, requestKinds)
	drawn.prompt = f.drawPrompt(drawn.group, drawn.kind)
	copies = 1
	if onceKinds[drawn.kind] && rng.Intn(8) == 0 {
		copies = 2 + rng.Intn(2)
	}
	drawn.key = operator.keyNumbers[drawn.group]
	if drawn.key > 0 && rng.Intn(5) == 0 {
		drawn.key-- // the caller still uses the revoked key
	}
	drawn.generation = max(1, f.callerGeneration)
	if rng.Intn(12) == 0 {
		drawn.pieceDelayUS = 200_000 + rng.Int63n(1_300_000) // a long answer, so that other events happen while it runs
	}
	return drawn, copies
}

// drawPrompt draws a prompt that shares a long prefix with others of its group, except for the
// kind that has short prompts.
func (f *Fleet) drawPrompt(group, kind string) string {
	prompt := fmt.Sprintf("%d", f.requestsSent)
	if kind == "tag" {
		return prompt
	}
	document := group
	if f.Documents > 0 {
		document += fmt.Sprint(f.World.Rng.Intn(f.Documents))
	}
	return strings.Repeat(document+" shares this much of every prompt. ", 220) + prompt
}

// sendRequest sends a request to its gateway, if the gateway is up.
func (f *Fleet) sendRequest(request *callerRequest, prompt string) {
	world, gateway := f.World, request.gateway
	timeoutUS := requestTimeoutsUS[request.kind]
	f.Tally.Sent++
	request.deadline = world.now + timeoutUS
	if !gateway.up {
		f.Tally.Lost++
		return
	}
	process := gateway.process
	world.At(world.now+300, func() {
		gateway.runIn(process, func() { gateway.admit(request, prompt, timeoutUS) })
	})
}
