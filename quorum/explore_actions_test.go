package quorum

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// action is one choice of the explorer. A trace of actions replays alike; an action that
// does not apply where it stands does nothing, so that a trace may be shortened freely.
type action struct {
	verb verb
	a, b int // machines, a register, or a count
}

// verb names an action; the words are those of a kept trace.
type verb string

const (
	doTick       verb = "tick"       // all that is due, then a tick of every node; A times
	doStep       verb = "step"       // the one thing that is due next; A times
	doPut        verb = "put"        // a client changes register B at A
	doGet        verb = "get"        // a client reads register B at A
	doClaim      verb = "claim"      // a client claims for generation B at A
	doAcquire    verb = "acquire"    // client B asks A for the role
	doKill       verb = "kill"       // A's process ends; its records reach the disk
	doPower      verb = "power"      // A's machine loses its power, and the records not synced but B
	doStart      verb = "start"      // A boots
	doWipe       verb = "wipe"       // A's disk is lost
	doCheckpoint verb = "checkpoint" // A's disk is restated by a checkpoint
	doFreeze     verb = "freeze"     // A stands still
	doThaw       verb = "thaw"       // A goes on
	doStall      verb = "stall"      // A's disk syncs nothing
	doFlow       verb = "flow"       // A's disk syncs again
	doCut        verb = "cut"        // what A sends to B is lost
	doHold       verb = "hold"       // what A sends to B stays on its way
	doHeal       verb = "heal"       // the link from A to B works again
	doIsolate    verb = "isolate"    // A is cut off both ways
	doHealAll    verb = "heal-all"   // all links work again
	doDrop       verb = "drop"       // the message due next is lost
	doRepeat     verb = "repeat"     // the message due next comes again later
	doPostpone   verb = "postpone"   // the message due next comes after all others
	doLate       verb = "late"       // the message due next is put aside
	doRelease    verb = "release"    // the message put aside as number A comes now
	doLeave      verb = "leave"      // A leaves politely
	doVoterSet   verb = "voterset"   // an operator asks A for change B of the voter set
)

// operands says what an action's numbers name: m a machine, n a number.
var operands = map[verb]string{
	doTick: "n", doStep: "n", doPut: "mn", doGet: "mn", doClaim: "mn", doAcquire: "mn", doKill: "m", doPower: "mn",
	doStart: "m", doWipe: "m", doCheckpoint: "m", doFreeze: "m", doThaw: "m", doStall: "m", doFlow: "m",
	doCut: "mm", doHold: "mm", doHeal: "mm", doIsolate: "m", doHealAll: "", doDrop: "", doRepeat: "",
	doPostpone: "", doLate: "", doRelease: "n", doLeave: "m", doVoterSet: "mn",
}

func (a action) String() string {
	text := string(a.verb)
	for i, kind := range operands[a.verb] {
		operand := a.a
		if i == 1 {
			operand = a.b
		}
		if kind == 'm' {
			text += " " + string(rune('a'+operand))
		} else {
			text += " " + strconv.Itoa(operand)
		}
	}
	return text
}

// trace is a run of the world from its start.
type trace []action

func (t trace) String() string {
	var parts []string
	for _, x := range t {
		parts = append(parts, x.String())
	}
	return strings.Join(parts, "; ")
}

// readTrace reads a kept trace.
func readTrace(text string) trace {
	var parsed trace
	for _, part := range strings.Split(text, ";") {
		fields := strings.Fields(part)
		if len(fields) == 0 {
			continue
		}
		kinds, ok := operands[verb(fields[0])]
		if !ok || len(kinds) != len(fields)-1 {
			panic("no such action: " + part)
		}
		parsedAction := action{verb: verb(fields[0])}
		for i, kind := range kinds {
			operand := int(fields[i+1][0] - 'a')
			if kind == 'n' {
				number, err := strconv.Atoi(fields[i+1])
				if err != nil {
					panic(err)
				}
				operand = number
			}
			if i == 0 {
				parsedAction.a = operand
			} else {
				parsedAction.b = operand
			}
		}
		parsed = append(parsed, parsedAction)
	}
	return parsed
}

// play runs a trace from the start of a world until something is wrong.
func play(size worldConfig, actions trace) *world {
	w := newWorld(size, nil)
	w.play(actions)
	return w
}

func (w *world) play(actions trace) {
	for _, next := range actions {
		w.apply(next)
		if w.checker.violation != "" {
			return
		}
	}
}

// apply does one action and checks every state on the way.
func (w *world) apply(action action) {
	switch action.verb {
	case doTick:
		for range action.a {
			w.runUntilIdle()
			w.tick()
			w.checker.check(w)
		}
	case doStep:
		for range action.a {
			if w.checker.violation == "" && w.step() {
				w.checker.check(w)
			}
		}
	case doRelease:
		if action.a < len(w.setAside) {
			late := w.setAside[action.a]
			w.setAside = slices.Delete(w.setAside, action.a, action.a+1)
			w.receive(late)
		}
	default:
		w.disturb(action)
	}
	w.checker.check(w)
}

func (w *world) disturb(action action) {
	host := &w.machines[action.a]
	switch action.verb {
	case doPut:
		w.propose(action.a, Operation{Type: OpPut, Key: w.checker.registers[action.b].key, ExpectedRevision: AnyRevision})
	case doGet:
		w.propose(action.a, Operation{Type: OpGet, Key: w.checker.registers[action.b].key})
	case doClaim:
		w.propose(action.a, Operation{Type: OpClaim, Key: ClaimKey(uint64(action.b), "c")})
	case doAcquire:
		w.propose(action.a, Operation{Type: OpAcquire, Key: exploreRoleKey, Holder: strconv.Itoa(action.b), LeaseDurationUS: exploreRoleDuration})
	case doKill:
		w.kill(action.a, len(host.unsynced))
	case doPower:
		w.kill(action.a, action.b)
	case doStart:
		w.start(action.a)
	case doWipe:
		w.wipe(action.a)
	case doCheckpoint:
		w.checkpoint(action.a)
	case doFreeze:
		host.frozen = host.up
	case doThaw:
		host.frozen = false
	case doStall:
		host.stalled = host.up
	case doFlow:
		host.stalled = false
	case doLeave:
		if w.running(action.a) {
			w.input(action.a, input{kind: inLeave})
		}
	case doVoterSet:
		w.proposeVoterSet(action.a, action.b)
	default:
		w.disturbNetwork(action)
	}
}

func (w *world) disturbNetwork(action action) {
	switch action.verb {
	case doCut:
		w.links[action.a][action.b] = linkCut
	case doHold:
		w.links[action.a][action.b] = linkHeld
	case doHeal:
		w.links[action.a][action.b] = linkUp
	case doIsolate:
		for i := range w.worldConfig.machines {
			w.links[action.a][i], w.links[i][action.a] = linkCut, linkCut
		}
	case doHealAll:
		w.links = [maxMachines][maxMachines]link{}
	case doDrop:
		if due := w.next(); due >= 0 {
			w.inFlight = append(w.inFlight[:due:due], w.inFlight[due+1:]...)
		}
	case doRepeat:
		if due := w.next(); due >= 0 {
			w.inFlight = append(w.inFlight, w.inFlight[due])
		}
	case doLate:
		if due := w.next(); due >= 0 {
			w.setAside = append(w.setAside, w.inFlight[due])
			w.inFlight = slices.Delete(w.inFlight, due, due+1)
		}
	case doPostpone:
		if due := w.next(); due >= 0 {
			late := w.inFlight[due]
			w.inFlight = append(append(w.inFlight[:due:due], w.inFlight[due+1:]...), late)
		}
	default:
		panic(fmt.Sprintf("no such action: %+v", action))
	}
}

// proposeVoterSet has an operator ask for a change of the voter set: the bits of which name the
// voters that go, and then the machines that come. Most of them are no steps at all.
func (w *world) proposeVoterSet(i, which int) {
	if !w.running(i) {
		return
	}
	set := w.machines[i].node.VoterSet()
	next := VoterSet{Revision: set.Revision + 1, TargetSize: set.TargetSize}
	for _, voter := range set.Voters {
		if which>>w.index(voter.Name)&1 == 0 {
			next.Voters = append(next.Voters, voter)
		}
	}
	for k := range w.worldConfig.machines {
		host := &w.machines[k]
		if _, known := set.Find(host.name); known || which>>(maxMachines+k)&1 == 0 {
			continue
		}
		next.Voters = append(next.Voters, Voter{Name: host.name, Incarnation: host.incarnation, Number: uint16(16 + int(next.Step())*maxMachines + k)})
	}
	w.propose(i, Operation{Type: OpPut, Key: VoterSetKey, Value: next.Bytes(), ExpectedRevision: AnyRevision})
}

// shorten looks for the shortest trace that still ends in a finding of that kind: parts
// of it are left out, and counts are made smaller, as long as something can be.
func shorten(size worldConfig, actions trace, kind string) trace {
	same := func(actions trace) bool { return kindOf(play(size, actions).checker.violation) == kind }
	for changed := true; changed; {
		changed = false
		for size := max(1, len(actions)/2); size >= 1; size /= 2 {
			for at := 0; at+size <= len(actions); {
				less := append(append(trace{}, actions[:at]...), actions[at+size:]...)
				if same(less) {
					actions, changed = less, true
				} else {
					at++
				}
			}
		}
		for i := range actions {
			for actions[i].verb == doTick || actions[i].verb == doStep {
				less := append(trace{}, actions...)
				if less[i].a--; less[i].a < 1 || !same(less) {
					break
				}
				actions, changed = less, true
			}
		}
	}
	return actions
}

func kindOf(wrong string) string {
	kind, _, _ := strings.Cut(wrong, ":")
	return kind
}
