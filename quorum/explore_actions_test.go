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
	doClaim      verb = "claim"      // a client claims for era B at A
	doAcquire    verb = "duty"       // client B asks A for the duty
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
	doHeal       verb = "heal"       // the wire from A to B is whole
	doIsolate    verb = "isolate"    // A is cut off both ways
	doHealAll    verb = "heal-all"   // all wires are whole
	doDrop       verb = "drop"       // the message due next is lost
	doRepeat     verb = "repeat"     // the message due next comes again later
	doPostpone   verb = "postpone"   // the message due next comes after all others
	doLate       verb = "late"       // the message due next is put aside
	doRelease    verb = "release"    // the message put aside as number A comes now
	doLeave      verb = "leave"      // A leaves politely
	doVoterSet   verb = "roster"     // an operator asks A for step B of the roster
)

// oneMachine, twoMachines: what an action's numbers name, for reading and writing.
var operands = map[verb]string{
	doTick: "n", doStep: "n", doPut: "mn", doGet: "mn", doClaim: "mn", doAcquire: "mn", doKill: "m", doPower: "mn",
	doStart: "m", doWipe: "m", doCheckpoint: "m", doFreeze: "m", doThaw: "m", doStall: "m", doFlow: "m",
	doCut: "mm", doHold: "mm", doHeal: "mm", doIsolate: "m", doHealAll: "", doDrop: "", doRepeat: "",
	doPostpone: "", doLate: "", doRelease: "n", doLeave: "m", doVoterSet: "mn",
}

func (x action) String() string {
	s := string(x.verb)
	for i, kind := range operands[x.verb] {
		v := x.a
		if i == 1 {
			v = x.b
		}
		if kind == 'm' {
			s += " " + string(rune('a'+v))
		} else {
			s += " " + strconv.Itoa(v)
		}
	}
	return s
}

// trace is a course of the world from its start.
type trace []action

func (t trace) String() string {
	var parts []string
	for _, x := range t {
		parts = append(parts, x.String())
	}
	return strings.Join(parts, "; ")
}

// readTrace reads a kept trace.
func readTrace(s string) trace {
	var t trace
	for _, part := range strings.Split(s, ";") {
		f := strings.Fields(part)
		if len(f) == 0 {
			continue
		}
		kinds, ok := operands[verb(f[0])]
		if !ok || len(kinds) != len(f)-1 {
			panic("no such action: " + part)
		}
		x := action{verb: verb(f[0])}
		for i, kind := range kinds {
			v := int(f[i+1][0] - 'a')
			if kind == 'n' {
				n, err := strconv.Atoi(f[i+1])
				if err != nil {
					panic(err)
				}
				v = n
			}
			if i == 0 {
				x.a = v
			} else {
				x.b = v
			}
		}
		t = append(t, x)
	}
	return t
}

// play runs a trace from the start of a world until something is wrong.
func play(c worldConfig, t trace) *world {
	w := newWorld(c, nil)
	w.play(t)
	return w
}

func (w *world) play(t trace) {
	for _, x := range t {
		w.apply(x)
		if w.checker.violation != "" {
			return
		}
	}
}

// act does one action and judges every state on the way.
func (w *world) apply(x action) {
	switch x.verb {
	case doTick:
		for range x.a {
			w.runUntilIdle()
			w.tick()
			w.checker.check(w)
		}
	case doStep:
		for range x.a {
			if w.checker.violation == "" && w.step() {
				w.checker.check(w)
			}
		}
	case doRelease:
		if x.a < len(w.setAside) {
			p := w.setAside[x.a]
			w.setAside = slices.Delete(w.setAside, x.a, x.a+1)
			w.receive(p)
		}
	default:
		w.disturb(x)
	}
	w.checker.check(w)
}

func (w *world) disturb(x action) {
	m := &w.machines[x.a]
	switch x.verb {
	case doPut:
		w.propose(x.a, Operation{Type: OpPut, Key: w.checker.registers[x.b].key, ExpectedRevision: AnyRevision})
	case doGet:
		w.propose(x.a, Operation{Type: OpGet, Key: w.checker.registers[x.b].key})
	case doClaim:
		w.propose(x.a, Operation{Type: OpClaim, Key: ClaimKey(uint64(x.b), "c")})
	case doAcquire:
		w.propose(x.a, Operation{Type: OpAcquire, Key: exploreRoleKey, Holder: strconv.Itoa(x.b), LeaseDuration: exploreRoleDuration})
	case doKill:
		w.kill(x.a, len(m.unsynced))
	case doPower:
		w.kill(x.a, x.b)
	case doStart:
		w.start(x.a)
	case doWipe:
		w.wipe(x.a)
	case doCheckpoint:
		w.checkpoint(x.a)
	case doFreeze:
		m.frozen = m.up
	case doThaw:
		m.frozen = false
	case doStall:
		m.stalled = m.up
	case doFlow:
		m.stalled = false
	case doLeave:
		if w.running(x.a) {
			w.input(x.a, input{kind: inLeave})
		}
	case doVoterSet:
		w.proposeVoterSet(x.a, x.b)
	default:
		w.disturbNetwork(x)
	}
}

func (w *world) disturbNetwork(x action) {
	switch x.verb {
	case doCut:
		w.links[x.a][x.b] = linkCut
	case doHold:
		w.links[x.a][x.b] = linkHeld
	case doHeal:
		w.links[x.a][x.b] = linkUp
	case doIsolate:
		for i := range w.worldConfig.machines {
			w.links[x.a][i], w.links[i][x.a] = linkCut, linkCut
		}
	case doHealAll:
		w.links = [maxMachines][maxMachines]link{}
	case doDrop:
		if k := w.next(); k >= 0 {
			w.inFlight = append(w.inFlight[:k:k], w.inFlight[k+1:]...)
		}
	case doRepeat:
		if k := w.next(); k >= 0 {
			w.inFlight = append(w.inFlight, w.inFlight[k])
		}
	case doLate:
		if k := w.next(); k >= 0 {
			w.setAside = append(w.setAside, w.inFlight[k])
			w.inFlight = slices.Delete(w.inFlight, k, k+1)
		}
	case doPostpone:
		if k := w.next(); k >= 0 {
			p := w.inFlight[k]
			w.inFlight = append(append(w.inFlight[:k:k], w.inFlight[k+1:]...), p)
		}
	default:
		panic(fmt.Sprintf("no such action: %+v", x))
	}
}

// roster has an operator ask for a change of the roster: the bits of which name the
// voters that go, and then the machines that come. Most of them are no steps at all.
func (w *world) proposeVoterSet(i, which int) {
	if !w.running(i) {
		return
	}
	r := w.machines[i].node.VoterSet()
	next := VoterSet{Revision: r.Revision + 1, Seats: r.Seats}
	for _, v := range r.Voters {
		if which>>w.index(v.Name)&1 == 0 {
			next.Voters = append(next.Voters, v)
		}
	}
	for k := range w.worldConfig.machines {
		m := &w.machines[k]
		if _, in := r.Find(m.name); in || which>>(maxMachines+k)&1 == 0 {
			continue
		}
		next.Voters = append(next.Voters, Voter{Name: m.name, Incarnation: m.incarnation, Number: uint16(16 + int(next.Step())*maxMachines + k)})
	}
	w.propose(i, Operation{Type: OpPut, Key: VoterSetKey, Value: next.Bytes(), ExpectedRevision: AnyRevision})
}

// shorten looks for the shortest trace that still ends in a finding of that kind: parts
// of it are left out, and counts are made smaller, as long as something can be.
func shorten(c worldConfig, t trace, kind string) trace {
	same := func(t trace) bool { return kindOf(play(c, t).checker.violation) == kind }
	for changed := true; changed; {
		changed = false
		for size := max(1, len(t)/2); size >= 1; size /= 2 {
			for at := 0; at+size <= len(t); {
				less := append(append(trace{}, t[:at]...), t[at+size:]...)
				if same(less) {
					t, changed = less, true
				} else {
					at++
				}
			}
		}
		for i := range t {
			for t[i].verb == doTick || t[i].verb == doStep {
				less := append(trace{}, t...)
				if less[i].a--; less[i].a < 1 || !same(less) {
					break
				}
				t, changed = less, true
			}
		}
	}
	return t
}

func kindOf(wrong string) string {
	kind, _, _ := strings.Cut(wrong, ":")
	return kind
}
