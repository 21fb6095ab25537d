package sim

import (
	"fmt"
	"testing"

	"violetthread/quorum"
)

// directedRun takes a cluster through a fixed sequence of events.
type directedRun struct {
	t       *testing.T
	world   *World
	cluster *Cluster
	history *History
	client  *Host
}

func newDirectedRun(t *testing.T, seed int64, key string) *directedRun {
	world := NewWorld(seed)
	s := &directedRun{t: t, world: world, cluster: NewCluster(world, 4), history: NewHistory(world, key)}
	s.client = world.NewHost("client", "north", func() {})
	s.client.Start()
	s.cluster.Start()
	return s
}

func (r *directedRun) leader() *ControlNode {
	for _, node := range r.cluster.Nodes {
		if node.up && node.node != nil {
			if _, ok := node.node.ReadUnderLease(node.Clock(), r.history.key); ok {
				return node
			}
		}
	}
	return nil
}

// awaitLeader waits until the key has a leader.
func (r *directedRun) awaitLeader() *ControlNode {
	r.t.Helper()
	for end := r.world.now + 15_000_000; r.world.now < end; r.world.Run(r.world.now + 10_000) {
		if len(r.world.violations) > 0 {
			r.t.Fatal(r.world.violations)
		}
		if leader := r.leader(); leader != nil {
			return leader
		}
	}
	r.t.Fatal("no leader")
	return nil
}

// operate runs an operation on a node and adds its result to the history.
func (r *directedRun) operate(node *ControlNode, op quorum.Operation) (result quorum.Result) {
	from := r.world.now
	Call(r.client, node.Host, op, 2_000_000, node.serve, func(x quorum.Result) {
		result = x
		if x.Status == quorum.StatusDone && op.Key == r.history.key {
			r.history.add(observedOperation{from, r.world.now, x.Revision, string(x.Value), op.Type == quorum.OpPut})
		}
	}, func() {})
	for end := r.world.now + 2_100_000; r.world.now < end && result.Status == 0; {
		r.world.Run(r.world.now + 5_000)
	}
	return result
}

func (r *directedRun) get() quorum.Result {
	return r.operate(r.awaitLeader(), quorum.Operation{Type: quorum.OpGet, Key: r.history.key})
}

func (r *directedRun) put(key, val string) quorum.Result {
	return r.operate(r.awaitLeader(), quorum.Operation{Type: quorum.OpPut, Key: key, Value: []byte(val), ExpectedRevision: quorum.AnyRevision})
}

// crashLeaderMidWrite makes the leader accept a change that reaches no other node, and then
// kills it.
func (r *directedRun) crashLeaderMidWrite() *ControlNode {
	leader := r.awaitLeader()
	for _, node := range r.cluster.Nodes {
		r.world.Cut(leader.Name, node.Name)
	}
	leader.Propose(quorum.Operation{Type: quorum.OpPut, Key: r.history.key, Value: []byte("torn"), ExpectedRevision: quorum.AnyRevision}, func(quorum.Result) {})
	r.world.Run(r.world.now + 60_000)
	leader.Kill()
	r.world.HealAll()
	return leader
}

// moveLeaderTo kills and restarts one leader after the other until the leader is want, or some
// times if want is nil.
func (r *directedRun) moveLeaderTo(want *ControlNode) {
	for i := 0; i < 30; i++ {
		leader := r.awaitLeader()
		r.get()
		r.advanceSlot()
		if leader == want {
			return
		}
		leader.Kill()
		r.world.Run(r.world.now + 2_600_000)
		leader.Start()
		r.world.Run(r.world.now + 300_000)
		if want == nil && i > 4 {
			return
		}
	}
	r.t.Fatal("the node never became the key's leader")
}

// otherKeyInSlot returns a key of the same slot; changes to it advance the slot's positions.
func otherKeyInSlot(key string) string {
	for i := 0; ; i++ {
		if k := fmt.Sprint("beside", i); quorum.SlotOf(k, 16) == quorum.SlotOf(key, 16) {
			return k
		}
	}
}

// leaveUncommittedChange leaves a change of the key on the disk of its killed leader alone,
// while later terms advance beyond what that node knows.
func (r *directedRun) leaveUncommittedChange() *ControlNode {
	r.put(r.history.key, "v1")
	r.advanceSlot()
	one := r.crashLeaderMidWrite()
	r.get()
	r.advanceSlot()
	return one
}

// advanceSlot advances the slot's positions, in memory and on disk.
func (r *directedRun) advanceSlot() {
	for i := 0; i < 3; i++ {
		r.put(otherKeyInSlot(r.history.key), fmt.Sprint(i))
	}
}

// TestPhantom checks a change that reached only its leader, which is killed, later follows its
// successor, and then becomes the key's leader again: the change must not be seen and vanish
// again.
func TestPhantom(t *testing.T) {
	for seed := int64(1); seed <= 6; seed++ {
		s := newDirectedRun(t, seed, "rare")
		one := s.leaveUncommittedChange()
		one.Start()
		s.world.Run(s.world.now + 1_500_000)
		s.moveLeaderTo(one)
		s.get()
		one.Kill()
		s.get()
		one.Start()
		s.moveLeaderTo(nil)
		if len(s.world.violations) > 0 {
			t.Fatalf("seed %d: %v", seed, s.world.violations)
		}
	}
}

// TestOldLine checks the same change when its leader comes back and votes before it learns of
// the next leader's term.
func TestOldLine(t *testing.T) {
	for seed := int64(1); seed <= 6; seed++ {
		s := newDirectedRun(t, seed, "rare")
		one := s.leaveUncommittedChange()
		leader := s.awaitLeader()
		s.world.CutBoth(one.Name, leader.Name)
		one.Start()
		s.world.Run(s.world.now + 1_200_000)
		leader.Kill()
		s.get() // the third leader was elected with the vote of the first one
		s.world.HealAll()
		leader.Start()
		s.moveLeaderTo(nil)
		if len(s.world.violations) > 0 {
			t.Fatalf("seed %d: %v", seed, s.world.violations)
		}
	}
}
