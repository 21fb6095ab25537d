package quorum

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// action is one step of an explored run. A trace of actions is reproducible. An action that
// does not apply in the current state does nothing, so that a trace can be shortened freely.
type action struct {
	verb verb
	a, b int // machines, a register, or a count
}

// verb is the name of an action, as written in traces.
type verb string

const (
	doTick       verb = "tick"       // deliver everything due, then tick every node; A times
	doStep       verb = "step"       // do the one thing that is due next; A times
	doPut        verb = "put"        // a client writes register B at A
	doGet        verb = "get"        // a client reads register B at A
	doClaim      verb = "claim"      // a client makes a claim in generation B at A
	doAcquire    verb = "acquire"    // client B requests the role at A
	doKill       verb = "kill"       // A's process ends; its records reach the disk
	doPower      verb = "power"      // A loses power; of the unsynced records only B reach the disk
	doStart      verb = "start"      // A's process starts
	doWipe       verb = "wipe"       // A's disk is lost
	doCheckpoint verb = "checkpoint" // A's disk is rewritten from a checkpoint
	doFreeze     verb = "freeze"     // A's process is suspended
	doThaw       verb = "thaw"       // A's process is resumed
	doStall      verb = "stall"      // A's disk stops syncing
	doFlow       verb = "flow"       // A's disk syncs again
	doCut        verb = "cut"        // messages from A to B are lost
	doHold       verb = "hold"       // messages from A to B are held back
	doHeal       verb = "heal"       // the link from A to B works again
	doIsolate    verb = "isolate"    // all links of A are cut, in both directions
	doHealAll    verb = "heal-all"   // all links work again
	doDrop       verb = "drop"       // the next message is lost
	doRepeat     verb = "repeat"     // the next message is duplicated; the copy arrives later
	doPostpone   verb = "postpone"   // the next message arrives after all others
	doLate       verb = "late"       // the next message is put aside
	doRelease    verb = "release"    // message A of those put aside arrives now
	doLeave      verb = "leave"      // A leaves in an orderly way
	doVoterSet   verb = "voterset"   // an operator requests change B of the voter set at A
)

// operands gives the kinds of an action's operands: m is a machine, n a number.
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

// trace is a run of the cluster from its start.
type trace []action

func (t trace) String() string {
	var parts []string
	for _, x := range t {
		parts = append(parts, x.String())
	}
	return strings.Join(parts, "; ")
}

// parseTrace parses the text form of a trace.
func parseTrace(text string) trace {
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

// play runs a trace from the start of a cluster until an invariant is violated.
func play(size clusterConfig, actions trace) *cluster {
	cl := newCluster(size, nil)
	cl.play(actions)
	return cl
}

func (cl *cluster) play(actions trace) {
	for _, next := range actions {
		cl.apply(next)
		if cl.checker.violation != "" {
			return
		}
	}
}

// apply performs one action and checks every state that it passes through.
func (cl *cluster) apply(action action) {
	switch action.verb {
	case doTick:
		for range action.a {
			cl.runUntilIdle()
			cl.tick()
			cl.checker.check(cl)
		}
	case doStep:
		for range action.a {
			if cl.checker.violation == "" && cl.step() {
				cl.checker.check(cl)
			}
		}
	case doRelease:
		if action.a < len(cl.setAside) {
			late := cl.setAside[action.a]
			cl.setAside = slices.Delete(cl.setAside, action.a, action.a+1)
			cl.receive(late)
		}
	default:
		cl.disturb(action)
	}
	cl.checker.check(cl)
}

func (cl *cluster) disturb(action action) {
	host := &cl.machines[action.a]
	switch action.verb {
	case doPut:
		cl.propose(action.a, Operation{Type: OpPut, Key: cl.checker.registers[action.b].key, ExpectedRevision: AnyRevision})
	case doGet:
		cl.propose(action.a, Operation{Type: OpGet, Key: cl.checker.registers[action.b].key})
	case doClaim:
		cl.propose(action.a, Operation{Type: OpClaim, Key: ClaimKey(uint64(action.b), "c")})
	case doAcquire:
		cl.propose(action.a, Operation{Type: OpAcquire, Key: exploreRoleKey, Holder: strconv.Itoa(action.b), LeaseDurationUS: exploreRoleDuration})
	case doKill:
		cl.kill(action.a, len(host.unsynced))
	case doPower:
		cl.kill(action.a, action.b)
	case doStart:
		cl.start(action.a)
	case doWipe:
		cl.wipe(action.a)
	case doCheckpoint:
		cl.checkpoint(action.a)
	case doFreeze:
		host.frozen = host.up
	case doThaw:
		host.frozen = false
	case doStall:
		host.stalled = host.up
	case doFlow:
		host.stalled = false
	case doLeave:
		if cl.running(action.a) {
			cl.input(action.a, input{kind: inLeave})
		}
	case doVoterSet:
		cl.proposeVoterSet(action.a, action.b)
	default:
		cl.disturbNetwork(action)
	}
}

func (cl *cluster) disturbNetwork(action action) {
	switch action.verb {
	case doCut:
		cl.links[action.a][action.b] = linkCut
	case doHold:
		cl.links[action.a][action.b] = linkHeld
	case doHeal:
		cl.links[action.a][action.b] = linkUp
	case doIsolate:
		for i := range cl.clusterConfig.machines {
			cl.links[action.a][i], cl.links[i][action.a] = linkCut, linkCut
		}
	case doHealAll:
		cl.links = [maxMachines][maxMachines]link{}
	case doDrop:
		if due := cl.next(); due >= 0 {
			cl.inFlight = append(cl.inFlight[:due:due], cl.inFlight[due+1:]...)
		}
	case doRepeat:
		if due := cl.next(); due >= 0 {
			cl.inFlight = append(cl.inFlight, cl.inFlight[due])
		}
	case doLate:
		if due := cl.next(); due >= 0 {
			cl.setAside = append(cl.setAside, cl.inFlight[due])
			cl.inFlight = slices.Delete(cl.inFlight, due, due+1)
		}
	case doPostpone:
		if due := cl.next(); due >= 0 {
			late := cl.inFlight[due]
			cl.inFlight = append(append(cl.inFlight[:due:due], cl.inFlight[due+1:]...), late)
		}
	default:
		panic(fmt.Sprintf("no such action: %+v", action))
	}
}

// proposeVoterSet has an operator request a change of the voter set. The low bits of which
// select the voters to remove, the higher ones the machines to add. Most such changes are not
// valid steps.
func (cl *cluster) proposeVoterSet(i, which int) {
	if !cl.running(i) {
		return
	}
	set := cl.machines[i].node.VoterSet()
	next := VoterSet{Revision: set.Revision + 1, TargetSize: set.TargetSize}
	for _, voter := range set.Voters {
		if which>>cl.index(voter.Name)&1 == 0 {
			next.Voters = append(next.Voters, voter)
		}
	}
	for k := range cl.clusterConfig.machines {
		host := &cl.machines[k]
		if _, known := set.Find(host.name); known || which>>(maxMachines+k)&1 == 0 {
			continue
		}
		next.Voters = append(next.Voters, Voter{Name: host.name, Incarnation: host.incarnation, Number: uint16(16 + int(next.Step())*maxMachines + k)})
	}
	cl.propose(i, Operation{Type: OpPut, Key: VoterSetKey, Value: next.Bytes(), ExpectedRevision: AnyRevision})
}

// shorten returns a shorter trace that still violates the same invariant: it leaves out parts
// and decreases counts as long as possible.
func shorten(size clusterConfig, actions trace, kind string) trace {
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

func kindOf(violation string) string {
	kind, _, _ := strings.Cut(violation, ":")
	return kind
}
