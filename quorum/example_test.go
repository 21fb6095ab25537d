package quorum_test

import (
	"fmt"

	"violetthread/quorum"
)

// cluster runs three voters in one process. The caller controls time, network and disk; this
// one loses nothing.
type cluster struct {
	nodes   map[string]*quorum.Node
	synced  map[string]uint64 // records on each disk
	results map[uint64]quorum.Result
	now     int64 // microseconds
}

var names = []string{"a", "b", "c"}

func newCluster() *cluster {
	set := quorum.VoterSet{Revision: quorum.FirstRevision(1)}
	for i, name := range names {
		set.Voters = append(set.Voters, quorum.Voter{Name: name, Incarnation: uint64(i + 1), Number: uint16(i + 1)})
	}
	c := &cluster{nodes: map[string]*quorum.Node{}, synced: map[string]uint64{}, results: map[uint64]quorum.Result{}}
	for _, voter := range set.Voters {
		c.nodes[voter.Name] = quorum.New(quorum.DefaultConfig(voter.Name, voter.Incarnation), set, c.now, nil)
	}
	return c
}

// carryOut carries out the effects of an input, and all effects that follow.
func (c *cluster) carryOut(name string, ready quorum.Ready) {
	if count := len(ready.Records); count > 0 { // append and sync the records, then report it
		c.synced[name] += uint64(count)
		c.carryOut(name, c.nodes[name].RecordsSynced(c.now, c.synced[name]))
	}
	for _, envelope := range ready.Messages {
		c.carryOut(envelope.To, c.nodes[envelope.To].Receive(c.now, envelope.Message))
	}
	for _, result := range ready.Results {
		c.results[result.ID] = result
	}
}

// runFor advances time.
func (c *cluster) runFor(duration int64) {
	for end := c.now + duration; c.now < end; c.now += 25_000 {
		for _, name := range names {
			c.carryOut(name, c.nodes[name].Tick(c.now))
		}
	}
}

// propose starts an operation at the leader of its key's slot.
func (c *cluster) propose(operation quorum.Operation) quorum.Result {
	leader := c.nodes["a"].Leader(operation.Key)
	c.carryOut(leader, c.nodes[leader].Propose(c.now, operation))
	return c.results[operation.ID]
}

func Example() {
	c := newCluster()
	c.runFor(3_000_000)
	put := quorum.Operation{ID: 1, Type: quorum.OpPut, Key: "greeting", Value: []byte("hello"), ExpectedRevision: 0}
	result := c.propose(put)
	fmt.Println(result.Status, result.Revision)

	put.ID, put.Value = 2, []byte("late")
	result = c.propose(put)
	fmt.Println(result.Status, result.Revision)

	result = c.propose(quorum.Operation{ID: 3, Type: quorum.OpGet, Key: "greeting"})
	fmt.Println(result.Status, string(result.Value))
	// Output:
	// done 1
	// conflict 1
	// done hello
}
