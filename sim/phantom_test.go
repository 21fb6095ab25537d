package sim

import (
	"fmt"
	"testing"

	"violetthread/quorum"
)

// directedRun drives single nodes through a set course of events.
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

// operate runs an operation on a node and tells the history when it is answered.
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

// crashLeaderMidWrite makes the leader take a change that reaches nobody, and die of it.
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

// moveLeaderTo kills the leader again and again, restarting it, until it is want, or
// until it is no more when want is nil.
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

// otherKeyInSlot is a key of the same slot, whose changes move the slot's positions on.
func otherKeyInSlot(key string) string {
	for i := 0; ; i++ {
		if k := fmt.Sprint("beside", i); quorum.SlotOf(k, 16) == quorum.SlotOf(key, 16) {
			return k
		}
	}
}

// leaveUncommittedChange leaves a change of the key on its dead owner's disk alone, while the
// next line gets ahead of what that owner knows.
func (r *directedRun) leaveUncommittedChange() *ControlNode {
	r.put(r.history.key, "v1")
	r.advanceSlot()
	one := r.crashLeaderMidWrite()
	r.get()
	r.advanceSlot()
	return one
}

// advanceSlot moves the slot's marks on, in memory and on disk.
func (r *directedRun) advanceSlot() {
	for i := 0; i < 3; i++ {
		r.put(otherKeyInSlot(r.history.key), fmt.Sprint(i))
	}
}

// TestPhantom: a change that reached only its dying owner, which later joins the
// line of its successor and then owns the key again, never shows and vanishes.
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

// TestOldLine: the same change, when its leader comes back and votes before it has
// heard of the line that followed.
func TestOldLine(t *testing.T) {
	for seed := int64(1); seed <= 6; seed++ {
		s := newDirectedRun(t, seed, "rare")
		one := s.leaveUncommittedChange()
		leader := s.awaitLeader()
		s.world.CutBoth(one.Name, leader.Name)
		one.Start()
		s.world.Run(s.world.now + 1_200_000)
		leader.Kill()
		s.get() // the third line was elected with the old owner's vote
		s.world.HealAll()
		leader.Start()
		s.moveLeaderTo(nil)
		if len(s.world.violations) > 0 {
			t.Fatalf("seed %d: %v", seed, s.world.violations)
		}
	}
}
