package quorum_test

import (
	"fmt"

	"violetthread/quorum"
)

// Three voters in one process: the caller owns time, wires and disk, and this one
// loses nothing.
func Example() {
	ro := quorum.Roster{Rev: quorum.Found(1)}
	for i, n := range []string{"a", "b", "c"} {
		ro.Voters = append(ro.Voters, quorum.Voter{Name: n, Inc: uint64(i + 1), Num: uint16(i + 1)})
	}
	nodes := map[string]*quorum.Node{}
	disk := map[string]uint64{} // records kept so far
	for i, n := range []string{"a", "b", "c"} {
		nodes[n] = quorum.New(quorum.Defaults(n, uint64(i+1)), ro, 0, nil)
	}
	var now int64
	type step struct {
		at string
		o  quorum.Out
	}
	var todo []step
	answer := map[uint64]quorum.Answer{}
	run := func() {
		for len(todo) > 0 {
			s := todo[0]
			todo = todo[1:]
			if len(s.o.Recs) > 0 { // append and sync them, then say so
				disk[s.at] += uint64(len(s.o.Recs))
				todo = append(todo, step{s.at, nodes[s.at].Synced(now, disk[s.at])})
			}
			for _, m := range s.o.Sends {
				todo = append(todo, step{m.To, nodes[m.To].Recv(now, m.Msg)})
			}
			for _, a := range s.o.Answers {
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
	owner := nodes["a"].Owner("greeting")
	do := func(op quorum.Op) quorum.Answer {
		todo = append(todo, step{owner, nodes[owner].Do(now, op)})
		run()
		return answer[op.ID]
	}
	a := do(quorum.Op{ID: 1, Kind: quorum.OpPut, Key: "greeting", Val: []byte("hello"), Expect: 0})
	fmt.Println(a.Status == quorum.Done, a.Rev)
	a = do(quorum.Op{ID: 2, Kind: quorum.OpPut, Key: "greeting", Val: []byte("late"), Expect: 0})
	fmt.Println(a.Status == quorum.Conflict, a.Rev)
	a = do(quorum.Op{ID: 3, Kind: quorum.OpGet, Key: "greeting"})
	fmt.Println(string(a.Val))
	// Output:
	// true 1
	// true 1
	// hello
}
