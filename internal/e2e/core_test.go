package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"violetthread/internal/app/control"
	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/quorum"
	"violetthread/schema/fb"
	"violetthread/wal"
)

// cluster is a set of control nodes in one process, connected over loopback, that tests can stop,
// restart, and deprive of their disks.
type cluster struct {
	t     *testing.T
	addrs []string // not used yet
	seeds []string // for nodes that are started from now on
	nodes map[string]*testNode
}

// testNode is a control node, with what survives its restarts.
type testNode struct {
	settings control.Settings
	node     *control.Node // nil while it does not run
	disk     *faultyDisk
	running  sync.WaitGroup
	runErr   error // of the last run that ended
}

// newCluster starts n nodes named a, b, c and so on. The first three are the seeds.
func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, addrs: freeAddrs(t, 40), nodes: map[string]*testNode{}}
	var names []string
	for i := 0; i < n; i++ {
		names = append(names, string(rune('a'+i)))
		c.addNode(names[i])
		if i < 3 {
			c.seeds = append(c.seeds, c.nodes[names[i]].settings.TransportAddr)
		}
	}
	for _, name := range names {
		c.start(name, true)
	}
	t.Cleanup(func() {
		for name := range c.nodes {
			c.kill(name)
		}
	})
	return c
}

func (c *cluster) nextAddr() string { addr := c.addrs[0]; c.addrs = c.addrs[1:]; return addr }

// addNode adds a node with new addresses and an empty data folder, without starting it. It
// replaces a node of the same name.
func (c *cluster) addNode(name string) {
	s := control.Defaults()
	s.Name, s.Zone, s.HTTPAddr, s.TransportAddr, s.DataDir, s.DrainUS = name, "north", c.nextAddr(), c.nextAddr(), c.t.TempDir(), 0
	s.LogSegments, s.LogSegmentBytes, s.OperationTimeoutUS = 16, 2<<20, 2_500_000
	n := &testNode{settings: s, disk: newFaultyDisk(nil)}
	n.settings.Disk = func(fs wal.FS) wal.FS {
		n.disk.FS = fs
		return n.disk
	}
	c.nodes[name] = n
}

func (c *cluster) start(name string, bootstrap bool) {
	c.t.Helper()
	n := c.nodes[name]
	n.settings.Bootstrap, n.settings.Seeds = bootstrap, c.seeds
	node, err := control.NewNode(n.settings)
	if err != nil {
		c.t.Fatal(err)
	}
	n.node = node
	n.running.Add(1)
	d := node.Daemon()
	taskgroup.New(context.Background(), d.Log).Go("machine", func(context.Context) {
		defer n.running.Done()
		n.runErr = d.Run()
	})
}

// kill ends nodes at the same time and without a graceful shutdown: the tasks of all are stopped
// before the first daemon is, so that none can notify the other nodes.
func (c *cluster) kill(names ...string) {
	for _, name := range names {
		if n := c.nodes[name]; n.node != nil {
			n.node.Daemon().Group.Stop()
		}
	}
	for _, name := range names {
		n := c.nodes[name]
		if n.node == nil {
			continue
		}
		n.node.Daemon().Stop()
		n.running.Wait()
		n.node = nil
	}
}

// fleetStatus returns the body of /v1/fleet at an address, or the error.
func (c *cluster) fleetStatus(addr string) string {
	response, err := http.Get("http://" + addr + "/v1/fleet")
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return string(body)
}

// wipeDisk removes a node's data folder.
func (c *cluster) wipeDisk(name string) {
	if err := os.RemoveAll(c.nodes[name].settings.DataDir); err != nil {
		c.t.Fatal(err)
	}
}

// waitUntil polls a condition until it holds, and returns the time that has passed since from. It
// fails the test after 20 s.
func (c *cluster) waitUntil(what string, from time.Time, condition func() bool) time.Duration {
	c.t.Helper()
	tick, end := time.NewTicker(5*time.Millisecond), time.After(20*time.Second)
	defer tick.Stop()
	for !condition() {
		select {
		case <-tick.C:
		case <-end:
			for name, n := range c.nodes {
				if n.node != nil {
					c.t.Logf("%s: voting %v, %s", name, n.node.Voting(), c.fleetStatus(n.settings.HTTPAddr))
				}
			}
			c.t.Fatalf("timed out waiting until %s", what)
		}
	}
	return time.Since(from)
}

// allVoting returns whether the voter set consists of exactly these nodes, each of them votes
// and knows that set, and every slot has a leader.
func (c *cluster) allVoting(names ...string) bool {
	for _, name := range names {
		node := c.nodes[name].node
		if !node.Voting() || len(node.VoterAddrs()) != len(names) {
			return false
		}
		for _, voter := range names {
			found := false
			for _, addr := range node.VoterAddrs() {
				found = found || addr == c.nodes[voter].settings.TransportAddr
			}
			if !found {
				return false
			}
		}
	}
	return c.allSlotsServed(names[0])
}

// allSlotsServed returns whether a read in every slot succeeds when sent to this node.
func (c *cluster) allSlotsServed(name string) bool {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	served := map[uint16]bool{}
	for i := 0; len(served) < 16; i++ {
		key := fmt.Sprint("key", i)
		if slot := quorum.SlotOf(key, 16); !served[slot] {
			if response := c.nodes[name].node.ExecuteOnce(ctx, &fb.OperationRequestT{Type: byte(quorum.OpGet), Key: key}); quorum.Status(response.Status) != quorum.StatusDone {
				return false
			}
			served[slot] = true
		}
	}
	return true
}

func (c *cluster) mustPut(name, key, value string) {
	c.t.Helper()
	if response := c.nodes[name].node.Execute(context.Background(), &fb.OperationRequestT{Type: byte(quorum.OpPut), Key: key, Value: []byte(value), ExpectedRevision: quorum.AnyRevision}); quorum.Status(response.Status) != quorum.StatusDone {
		c.t.Fatalf("put of %s at %s ended with status %d", key, name, response.Status)
	}
}

func (c *cluster) mustRead(name, key, want string) {
	c.t.Helper()
	if response := c.nodes[name].node.Execute(context.Background(), &fb.OperationRequestT{Type: byte(quorum.OpGet), Key: key}); quorum.Status(response.Status) != quorum.StatusDone || string(response.Value) != want {
		c.t.Fatalf("read of %s at %s ended with status %d: got %q, want %q", key, name, response.Status, response.Value, want)
	}
}

// checkDuration logs how long something took, and fails the test if that is above the limit.
func (c *cluster) checkDuration(what string, took, limit time.Duration) {
	c.t.Helper()
	c.t.Logf("%s: %d ms", what, took.Milliseconds())
	if took > limit {
		c.t.Errorf("%s took %v, limit %v", what, took, limit)
	}
}

// TestClusterBootstrapAndRecovery bootstraps clusters of three to five nodes: the seeds agree on
// the first voter set and the others join. Then nodes lose their disks one at a time, all nodes
// are killed at once, and one is killed and restarted later. Each time the cluster must recover
// in bounded time and keep acknowledged writes.
func TestClusterBootstrapAndRecovery(t *testing.T) {
	for _, n := range []int{3, 4, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			began := time.Now()
			c := newCluster(t, n)
			var all []string
			for i := 0; i < n; i++ {
				all = append(all, string(rune('a'+i)))
			}
			c.checkDuration("bootstrapped and joined", c.waitUntil("all nodes vote", began, func() bool { return c.allVoting(all...) }), 3*time.Second)
			c.mustPut("b", "plan", "v1")

			for _, name := range []string{"c", "a"} {
				incarnation := c.nodes[name].node.Incarnation()
				c.kill(name)
				c.wipeDisk(name)
				began = time.Now()
				c.start(name, false)
				c.checkDuration("node with a wiped disk votes again", c.waitUntil("the node with the wiped disk votes", began, func() bool { return c.allVoting(all...) }), 3*time.Second)
				if c.nodes[name].node.Incarnation() == incarnation {
					t.Fatal("a node with a wiped disk kept its incarnation")
				}
				c.mustRead(name, "plan", "v1")
			}

			c.mustPut("c", "plan", "v2")
			c.kill(all...)
			began = time.Now()
			for _, name := range all {
				c.start(name, false)
			}
			c.checkDuration("all nodes vote after all were killed", c.waitUntil("all nodes vote again", began, func() bool { return c.allVoting(all...) }), 4*time.Second)
			c.mustRead("a", "plan", "v2")

			began = time.Now()
			c.kill("b")
			c.checkDuration("slots of a killed node have new leaders", c.waitUntil("the killed node's slots have leaders", began, func() bool { return c.allSlotsServed("a") }), 3*time.Second)
			c.mustPut("a", "plan", "v3")
			if len(c.nodes["a"].node.VoterAddrs()) != n {
				t.Fatal("a voter was removed only because it is unreachable")
			}
			began = time.Now()
			c.start("b", false)
			c.checkDuration("restarted node votes again", c.waitUntil("the restarted node votes", began, func() bool { return c.allVoting(all...) }), 3*time.Second)
			c.mustRead("b", "plan", "v3")
		})
	}
}

// TestNodeReplacement replaces a node by one at an address that is not among the seeds. The
// replaced node then returns with its old disk: it must join under a new incarnation and never
// vote with the old one.
func TestNodeReplacement(t *testing.T) {
	for _, n := range []int{3, 4} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := newCluster(t, n)
			all := []string{"a", "b", "c", "d"}[:n]
			c.waitUntil("all nodes vote", time.Now(), func() bool { return c.allVoting(all...) })
			c.mustPut("b", "plan", "v1")
			incarnation := c.nodes["a"].node.Incarnation()
			c.kill("a")
			c.addNode("z")
			began := time.Now()
			c.start("z", false)
			voters := append([]string{"z"}, all[1:]...)
			c.checkDuration("replacement votes", c.waitUntil("the replacement votes", began, func() bool { return c.allVoting(voters...) }), 4*time.Second)
			c.mustRead("z", "plan", "v1")
			c.mustPut("z", "plan", "v2")

			began = time.Now()
			c.start("a", false)
			voters = append(voters, "a")
			c.checkDuration("replaced node joined again", c.waitUntil("the replaced node has joined again", began, func() bool { return c.allVoting(voters...) }), 3*time.Second)
			if c.nodes["a"].node.Incarnation() == incarnation {
				t.Fatal("the replaced node votes with its old incarnation")
			}
			c.mustRead("a", "plan", "v2")
			for _, name := range voters {
				if c.nodes[name].node.LiveNodes(clock.Now()) != nil {
					t.Fatal("live nodes are listed though none has a session")
				}
			}
			// The new incarnation survives a restart.
			incarnation = c.nodes["a"].node.Incarnation()
			c.kill("a")
			began = time.Now()
			c.start("a", false)
			c.checkDuration("node votes after a restart", c.waitUntil("the restarted node votes", began, func() bool { return c.allVoting(voters...) }), 3*time.Second)
			if c.nodes["a"].node.Incarnation() != incarnation {
				t.Fatal("the incarnation changed again on a restart")
			}
		})
	}
}

// TestNodeChangesAddress restarts a node with an empty disk, under its old name, at another
// address.
func TestNodeChangesAddress(t *testing.T) {
	c := newCluster(t, 4)
	all := []string{"a", "b", "c", "d"}
	c.waitUntil("all nodes vote", time.Now(), func() bool { return c.allVoting(all...) })
	c.mustPut("a", "plan", "v1")
	c.kill("b")
	c.addNode("b")
	began := time.Now()
	c.start("b", false)
	c.checkDuration("node votes at its new address", c.waitUntil("the node votes at its new address", began, func() bool { return c.allVoting(all...) }), 4*time.Second)
	c.kill("c") // without c, a majority needs the vote of b
	c.waitUntil("the node's vote counts", time.Now(), func() bool { return c.allSlotsServed("a") })
	c.mustRead("b", "plan", "v1")
}

// TestRejoinWithStaleSeeds restarts a node whose disk was lost and whose seeds are all
// unreachable. The voters know its address and contact it, and so it learns theirs.
func TestRejoinWithStaleSeeds(t *testing.T) {
	c := newCluster(t, 4)
	all := []string{"a", "b", "c", "d"}
	c.waitUntil("all nodes vote", time.Now(), func() bool { return c.allVoting(all...) })
	c.kill("d")
	c.wipeDisk("d")
	c.seeds = []string{c.nextAddr(), c.nextAddr()}
	began := time.Now()
	c.start("d", false)
	c.checkDuration("node found by the voters", c.waitUntil("the node votes again", began, func() bool { return c.allVoting(all...) }), 4*time.Second)
}
