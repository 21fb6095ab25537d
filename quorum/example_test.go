package quorum_test

import (
	"fmt"

	"violetthread/quorum"
)

// Three voters in one process: the caller owns time, network and disk, and this one
// loses nothing.
func Example() {
	ro := quorum.VoterSet{Revision: quorum.FirstRevision(1)}
	for i, n := range []string{"a", "b", "c"} {
		ro.Voters = append(ro.Voters, quorum.Voter{Name: n, Incarnation: uint64(i + 1), Number: uint16(i + 1)})
	}
	nodes := map[string]*quorum.Node{}
	disk := map[string]uint64{} // records kept so far
	for i, n := range []string{"a", "b", "c"} {
		nodes[n] = quorum.New(quorum.DefaultConfig(n, uint64(i+1)), ro, 0, nil)
	}
	var now int64
	type step struct {
		at string
		o  quorum.Ready
	}
	var todo []step
	answer := map[uint64]quorum.Result{}
	run := func() {
		for len(todo) > 0 {
			s := todo[0]
			todo = todo[1:]
			if len(s.o.Records) > 0 { // append and sync them, then say so
				disk[s.at] += uint64(len(s.o.Records))
				todo = append(todo, step{s.at, nodes[s.at].RecordsSynced(now, disk[s.at])})
			}
			for _, m := range s.o.Messages {
				todo = append(todo, step{m.To, nodes[m.To].Receive(now, m.Message)})
			}
			for _, a := range s.o.Results {
				answer[a.ID] = a
			}
		}
	}
	for ; now < 3_000_000; now += 25_000 {
		for _, n := range []string{"a", "b", "c"} {
			todo = append(todo, step{n, nodes[n].Tick(now)})
			run()
		}
	}
	owner := nodes["a"].Leader("greeting")
	do := func(op quorum.Operation) quorum.Result {
		todo = append(todo, step{owner, nodes[owner].Propose(now, op)})
		run()
		return answer[op.ID]
	}
	a := do(quorum.Operation{ID: 1, Type: quorum.OpPut, Key: "greeting", Value: []byte("hello"), ExpectedRevision: 0})
	fmt.Println(a.Status == quorum.StatusDone, a.Revision)
	a = do(quorum.Operation{ID: 2, Type: quorum.OpPut, Key: "greeting", Value: []byte("late"), ExpectedRevision: 0})
	fmt.Println(a.Status == quorum.StatusConflict, a.Revision)
	a = do(quorum.Operation{ID: 3, Type: quorum.OpGet, Key: "greeting"})
	fmt.Println(string(a.Value))
	// Output:
	// true 1
	// true 1
	// hello
}
