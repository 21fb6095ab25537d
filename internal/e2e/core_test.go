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

// cluster is a few real control nodes over loopback that come, go and lose their disks.
type cluster struct {
	t        *testing.T
	ports    []string
	seeds    []string
	machines map[string]*machine
}

type machine struct {
	settings control.Settings
	node     *control.Node
	disk     *faultyDisk
	ended    sync.WaitGroup
	err      error // of the life that ended last
}

// newCore makes n machines named a, b, c...; the first three are the seeds.
func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, ports: ports(t, 40), machines: map[string]*machine{}}
	var names []string
	for i := 0; i < n; i++ {
		names = append(names, string(rune('a'+i)))
		c.machine(names[i])
		if i < 3 {
			c.seeds = append(c.seeds, c.machines[names[i]].settings.TransportAddr)
		}
	}
	for _, n := range names {
		c.start(n, true)
	}
	t.Cleanup(func() {
		for n := range c.machines {
			c.kill(n)
		}
	})
	return c
}

func (c *cluster) port() string { p := c.ports[0]; c.ports = c.ports[1:]; return p }

func (c *cluster) machine(name string) {
	s := control.Defaults()
	s.Name, s.Zone, s.HTTPAddr, s.TransportAddr, s.DataDir, s.DrainUS = name, "north", c.port(), c.port(), c.t.TempDir(), 0
	s.LogSegments, s.LogSegmentBytes, s.OperationTimeoutUS = 16, 2<<20, 2_500_000
	m := &machine{settings: s, disk: newFaultyDisk(nil)}
	m.settings.Disk = func(fs wal.FS) wal.FS {
		m.disk.FS = fs
		return m.disk
	}
	c.machines[name] = m
}

func (c *cluster) start(name string, found bool) {
	c.t.Helper()
	m := c.machines[name]
	m.settings.Bootstrap, m.settings.Seeds = found, c.seeds
	n, err := control.NewNode(m.settings)
	if err != nil {
		c.t.Fatal(err)
	}
	m.node = n
	m.ended.Add(1)
	d := n.Daemon()
	taskgroup.New(context.Background(), d.Log).Go("machine", func(context.Context) {
		defer m.ended.Done()
		m.err = d.Run()
	})
}

// kill ends a machine without a word to the others.
func (c *cluster) kill(names ...string) {
	for _, n := range names {
		if m := c.machines[n]; m.node != nil {
			m.node.Daemon().Group.Stop()
		}
	}
	for _, n := range names {
		m := c.machines[n]
		if m.node == nil {
			continue
		}
		m.node.Daemon().Stop()
		m.ended.Wait()
		m.node = nil
	}
}

func (c *cluster) fleet(addr string) string {
	a, err := http.Get("http://" + addr + "/v1/fleet")
	if err != nil {
		return err.Error()
	}
	defer a.Body.Close()
	b, _ := io.ReadAll(a.Body)
	return string(b)
}

func (c *cluster) wipe(name string) {
	if err := os.RemoveAll(c.machines[name].settings.DataDir); err != nil {
		c.t.Fatal(err)
	}
}

// until waits for a condition and returns how long it took.
func (c *cluster) until(what string, from time.Time, f func() bool) time.Duration {
	c.t.Helper()
	tick, end := time.NewTicker(5*time.Millisecond), time.After(20*time.Second)
	defer tick.Stop()
	for !f() {
		select {
		case <-tick.C:
		case <-end:
			for n, m := range c.machines {
				if m.node != nil {
					c.t.Logf("%s: up %v, %s", n, m.node.Voting(), c.fleet(m.settings.HTTPAddr))
				}
			}
			c.t.Fatalf("waited in vain until %s", what)
		}
	}
	return time.Since(from)
}

// complete tells whether exactly these machines are the voter set and vote, and every slot
// has a leader.
func (c *cluster) complete(names ...string) bool {
	for _, n := range names {
		x := c.machines[n].node
		if !x.Voting() || len(x.VoterAddrs()) != len(names) {
			return false
		}
		for _, n := range names {
			in := false
			for _, a := range x.VoterAddrs() {
				in = in || a == c.machines[n].settings.TransportAddr
			}
			if !in {
				return false
			}
		}
	}
	return c.allSlotsServed(names[0])
}

// allSlotsServed tells whether every slot answers, as asked through one machine.
func (c *cluster) allSlotsServed(name string) bool {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	seen := map[uint16]bool{}
	for i := 0; len(seen) < 16; i++ {
		k := fmt.Sprint("key", i)
		if s := quorum.SlotOf(k, 16); !seen[s] {
			if a := c.machines[name].node.ExecuteOnce(ctx, &fb.OperationRequestT{Type: byte(quorum.OpGet), Key: k}); quorum.Status(a.Status) != quorum.StatusDone {
				return false
			}
			seen[s] = true
		}
	}
	return true
}

func (c *cluster) put(name, key, val string) {
	c.t.Helper()
	if a := c.machines[name].node.Execute(context.Background(), &fb.OperationRequestT{Type: byte(quorum.OpPut), Key: key, Value: []byte(val), ExpectedRevision: quorum.AnyRevision}); quorum.Status(a.Status) != quorum.StatusDone {
		c.t.Fatalf("putting %s at %s ended in %d", key, name, a.Status)
	}
}

func (c *cluster) reads(name, key, val string) {
	c.t.Helper()
	if a := c.machines[name].node.Execute(context.Background(), &fb.OperationRequestT{Type: byte(quorum.OpGet), Key: key}); quorum.Status(a.Status) != quorum.StatusDone || string(a.Value) != val {
		c.t.Fatalf("reading %s at %s ended in %d: %q, not %q", key, name, a.Status, a.Value, val)
	}
}

// bound fails when something took longer than the fleet promises.
func (c *cluster) bound(what string, took, most time.Duration) {
	c.t.Helper()
	c.t.Logf("%s: %d ms", what, took.Milliseconds())
	if took > most {
		c.t.Errorf("%s took %v, more than %v", what, took, most)
	}
}

// TestCoreFoundsItself: the seeds found the fleet, the others join; then a machine
// loses its disk, all lose their power, and one dies.
func TestCoreFoundsItself(t *testing.T) {
	for _, n := range []int{3, 4, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			at := time.Now()
			c := newCluster(t, n)
			var all []string
			for i := 0; i < n; i++ {
				all = append(all, string(rune('a'+i)))
			}
			c.bound("founded and joined", c.until("the fleet is whole", at, func() bool { return c.complete(all...) }), 3*time.Second)
			c.put("b", "plan", "v1")

			for _, x := range []string{"c", "a"} {
				inc := c.machines[x].node.Incarnation()
				c.kill(x)
				c.wipe(x)
				at = time.Now()
				c.start(x, false)
				c.bound("a wiped machine is back", c.until("the wiped one is back", at, func() bool { return c.complete(all...) }), 3*time.Second)
				if c.machines[x].node.Incarnation() == inc {
					t.Fatal("an emptied disk has its former incarnation")
				}
				c.reads(x, "plan", "v1")
			}

			c.put("c", "plan", "v2")
			c.kill(all...)
			at = time.Now()
			for _, x := range all {
				c.start(x, false)
			}
			c.bound("all were killed and are back", c.until("all are back", at, func() bool { return c.complete(all...) }), 4*time.Second)
			c.reads("a", "plan", "v2")

			at = time.Now()
			c.kill("b")
			c.bound("one was killed and its slots are owned", c.until("its slots are owned", at, func() bool { return c.allSlotsServed("a") }), 3*time.Second)
			c.put("a", "plan", "v3")
			if len(c.machines["a"].node.VoterAddrs()) != n {
				t.Fatal("a voter was removed for its silence alone")
			}
			at = time.Now()
			c.start("b", false)
			c.bound("it is back", c.until("it is back", at, func() bool { return c.complete(all...) }), 3*time.Second)
			c.reads("b", "plan", "v3")
		})
	}
}

// TestCoreReplacesMachines: one goes for good and another comes in its place, at an
// address that no seed names; the former one returns with its old disk and joins anew,
// and never votes with its old number.
func TestCoreReplacesMachines(t *testing.T) {
	for _, n := range []int{3, 4} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := newCluster(t, n)
			all := []string{"a", "b", "c", "d"}[:n]
			c.until("the fleet is whole", time.Now(), func() bool { return c.complete(all...) })
			c.put("b", "plan", "v1")
			inc := c.machines["a"].node.Incarnation()
			c.kill("a")
			c.machine("z")
			at := time.Now()
			c.start("z", false)
			now := append([]string{"z"}, all[1:]...)
			c.bound("another is in its place", c.until("another is in its place", at, func() bool { return c.complete(now...) }), 4*time.Second)
			c.reads("z", "plan", "v1")
			c.put("z", "plan", "v2")

			at = time.Now()
			c.start("a", false)
			now = append(now, "a")
			c.bound("the former one joins anew", c.until("the former one joins anew", at, func() bool { return c.complete(now...) }), 3*time.Second)
			if c.machines["a"].node.Incarnation() == inc {
				t.Fatal("it votes with its former number")
			}
			c.reads("a", "plan", "v2")
			for _, x := range now {
				if c.machines[x].node.LiveNodes(clock.Now()) != nil {
					t.Fatal("members out of nowhere")
				}
			}
			// The retired disk keeps its new number over a restart.
			inc = c.machines["a"].node.Incarnation()
			c.kill("a")
			at = time.Now()
			c.start("a", false)
			c.bound("it is back after a restart", c.until("it is back", at, func() bool { return c.complete(now...) }), 3*time.Second)
			if c.machines["a"].node.Incarnation() != inc {
				t.Fatal("a retired disk changed its number once more")
			}
		})
	}
}

// TestCoreMoves: a machine comes back empty under its name at another address.
func TestCoreMoves(t *testing.T) {
	c := newCluster(t, 4)
	all := []string{"a", "b", "c", "d"}
	c.until("the fleet is whole", time.Now(), func() bool { return c.complete(all...) })
	c.put("a", "plan", "v1")
	c.kill("b")
	c.machine("b")
	at := time.Now()
	c.start("b", false)
	c.bound("back at another address", c.until("it is back", at, func() bool { return c.complete(all...) }), 4*time.Second)
	c.kill("c") // now its vote is needed
	c.until("its vote counts", time.Now(), func() bool { return c.allSlotsServed("a") })
	c.reads("b", "plan", "v1")
}

// TestCoreFindsTheLost: a machine whose disk was lost has seeds that are all stale. The
// voters know its address, and it learns from them whom to ask.
func TestCoreFindsTheLost(t *testing.T) {
	c := newCluster(t, 4)
	all := []string{"a", "b", "c", "d"}
	c.until("the fleet is whole", time.Now(), func() bool { return c.complete(all...) })
	c.kill("d")
	c.wipe("d")
	c.seeds = []string{c.port(), c.port()}
	at := time.Now()
	c.start("d", false)
	c.bound("found by the others", c.until("it is back", at, func() bool { return c.complete(all...) }), 4*time.Second)
}
